#include "brittle_servers.hpp"

#include "rendezvous.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Period over which servers count their rejections, and a margin for the times of the daemons' messages.
constexpr duration rejection_period = milliseconds(1'200);

// Daemons stop sending to a server for the rest of the second when this part of the rejections that it
// withstands is known, because others may be under way.
constexpr std::uint32_t closing_divisor = 3;

// Slots that must have been unused for a multiple of the report delay before other daemons use one of them.
constexpr int unused_report_delays = 4;
constexpr std::uint32_t min_unused_slots = 2;

// Ranks the daemons that may use slots of others independently of those that have slots of their own.
constexpr std::uint64_t borrower_salt = 0x9e3779b97f4a7c15;

bool has_unused(const brittle_load& load) {
  return load.m_own_running + load.m_peer_running + std::min(min_unused_slots, load.m_slots) <= load.m_slots;
}

} // namespace

brittle_share find_brittle_share(std::uint32_t slots, std::uint32_t max_rejections, std::uint64_t server,
                                 std::uint64_t self, bool shares, std::span<const std::uint64_t> sharers,
                                 std::span<const std::uint64_t> active) {
  brittle_share share;
  if (shares) {
    const auto count = static_cast<std::uint32_t>(sharers.size() + 1);
    const std::uint32_t rest = slots % count;
    share.m_slots = slots / count + (count_higher_ranked(sharers, self, server, rest) < rest ? 1 : 0);
  }
  const std::uint32_t borrowers = (max_rejections + 1) / 2; // the owners' requests may be rejected, too
  share.m_may_borrow = count_higher_ranked(active, self, server ^ borrower_salt, borrowers) < borrowers;
  return share;
}

void brittle_server::record_rejection(time_point now) {
  m_rejections[m_next_rejection] = now;
  m_next_rejection = (m_next_rejection + 1) % max_counted;
  m_unused_since.reset();
}

void brittle_server::record_sending(const brittle_share& share, const brittle_load& load, time_point now) {
  if (load.m_own_running >= share.m_slots) {
    m_last_borrowed = now;
  }
}

std::uint32_t brittle_server::count_rejections(time_point now) const {
  return static_cast<std::uint32_t>(
      std::count_if(m_rejections.begin(), m_rejections.end(),
                    [&](const auto& each) { return each && now - *each < rejection_period; }));
}

void brittle_server::observe(const brittle_load& load, time_point now) {
  if (!has_unused(load)) {
    m_unused_since.reset();
  } else if (!m_unused_since) {
    m_unused_since = now;
  }
}

bool brittle_server::allows(std::uint32_t max_rejections, const brittle_share& share,
                            const brittle_load& load, duration report_delay, time_point now) const {
  const std::uint32_t own = count_rejections(now);
  if (own + load.m_peer_rejections >= std::max(1U, max_rejections / closing_divisor)) {
    return false;
  }
  if (load.m_own_running + load.m_peer_running >= load.m_slots) {
    return false;
  }
  if (load.m_own_running < share.m_slots) {
    return true;
  }
  return share.m_may_borrow && has_unused(load) && m_unused_since &&
         now - *m_unused_since >= unused_report_delays * report_delay &&
         (!m_last_borrowed || now - *m_last_borrowed >= report_delay);
}

} // namespace cardamompond::fleet
