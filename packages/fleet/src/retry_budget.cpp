#include "cardamompond/fleet/retry_budget.hpp"

namespace cardamompond::fleet {

retry_budget::slice& retry_budget::current_slice(time_point now) {
  const std::int64_t number = now.time_since_epoch() / (m_limits.m_window / slices);
  slice& found = m_slices[static_cast<std::size_t>(number % slices)];
  if (found.m_number != number) {
    found = {number, 0, 0};
  }
  return found;
}

void retry_budget::record_request(time_point now) {
  ++current_slice(now).m_requests;
}

bool retry_budget::try_take(time_point now) {
  slice& newest = current_slice(now);
  double requests = 0;
  double repeats = 0;
  for (const auto& each : m_slices) {
    if (each.m_number > newest.m_number - slices) {
      requests += each.m_requests;
      repeats += each.m_repeats;
    }
  }
  if (repeats + 1 > requests * m_limits.m_ratio + m_limits.m_fixed) {
    return false;
  }
  ++newest.m_repeats;
  return true;
}

} // namespace cardamompond::fleet
