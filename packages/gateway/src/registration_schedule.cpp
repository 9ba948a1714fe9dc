#include "cardamompond/gateway/registration_schedule.hpp"

namespace cardamompond::gateway {
namespace {

// Between the writes of two daemons whose entries are missing: 100 writes a second of the whole group, which
// leaves the rest of the store's rate to states of rollouts and duties.
constexpr duration turn_interval = milliseconds(10);

// The time in which a written entry appears in this daemon's copy of the list.
constexpr duration appearance_time = seconds(2);

} // namespace

bool registration_schedule::is_due(bool listed, std::size_t rank, time_point now) {
  if (listed) {
    m_was_listed = true;
    m_missing_since.reset();
    m_written_at.reset();
    return false;
  }
  if (!m_missing_since) {
    m_missing_since = now;
  }
  const duration delay = m_was_listed ? turn_interval * static_cast<std::int64_t>(rank) : duration::zero();
  return now >= *m_missing_since + delay && (!m_written_at || now >= *m_written_at + appearance_time);
}

} // namespace cardamompond::gateway
