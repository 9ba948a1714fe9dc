#include "cardamompond/fleet/return_planner.hpp"

#include <algorithm>
#include <optional>

namespace cardamompond::fleet {
namespace {

// Length of a bucket. Callers return within some milliseconds of the stated time, and a typical request
// occupies a slot for longer than this.
constexpr duration bucket_length = milliseconds(125);

} // namespace

// Forgets the promises of buckets that have passed.
void return_planner::advance(std::int64_t first_bucket) {
  const auto passed = std::min<std::int64_t>(first_bucket - m_first_bucket, bucket_count);
  for (std::int64_t i = 0; i < passed; ++i) {
    m_promised[static_cast<std::size_t>(m_first_bucket + i) % bucket_count] = 0;
  }
  m_first_bucket = std::max(m_first_bucket, first_bucket);
}

duration return_planner::plan(const request& refused, const zone_load& load, std::size_t daemons,
                              std::mt19937_64& random, time_point now) {
  advance(now.time_since_epoch() / bucket_length);
  const auto limit = std::max(refused.m_limit, duration::zero());
  const double share = 1 / static_cast<double>(std::max<std::size_t>(1, daemons));
  const double bucket_s = std::chrono::duration<double>(bucket_length).count();
  // Requests that wait already take the room that comes first.
  double backlog = load.waiting_work(0, late_class, now) * share;
  // A request takes the room of several buckets and begins anywhere in them. The place is drawn once for each
  // promise: with a new one for each caller, someone would always fit into the rest.
  if (!m_begin_share) {
    m_begin_share = std::generate_canonical<double, 16>(random);
  }
  const double begin_after = refused.m_work_ms * *m_begin_share;
  double taken = 0;
  std::optional<duration> begin;
  std::array<double, bucket_count> promised = m_promised;
  for (std::size_t i = 1; i < bucket_count && taken < refused.m_work_ms; ++i) {
    const time_point when{bucket_length * (m_first_bucket + static_cast<std::int64_t>(i))};
    if (!begin && when - now > limit) {
      break;
    }
    double& bucket =
        promised[static_cast<std::size_t>(m_first_bucket + static_cast<std::int64_t>(i)) % bucket_count];
    double room = std::max(0.0, load.spare_work_per_second(when, now) * bucket_s * share - bucket);
    const double used_by_backlog = std::min(room, backlog);
    backlog -= used_by_backlog;
    room = std::min(room - used_by_backlog, refused.m_work_ms - taken);
    bucket += room;
    taken += room;
    if (!begin && room > 0 && taken >= begin_after) {
      const auto offset =
          std::chrono::duration_cast<duration>(bucket_length * std::generate_canonical<double, 16>(random));
      begin = std::min(limit, when - now + offset);
    }
  }
  if (!begin) {
    return limit;
  }
  m_promised = promised;
  m_begin_share.reset();
  return *begin;
}

} // namespace cardamompond::fleet
