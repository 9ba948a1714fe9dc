#include "cardamompond/fleet/retry_budget.hpp"

namespace cardamompond::fleet {

retry_budget::slice& retry_budget::current_slice(time_point now) {
  const std::int64_t index = now.time_since_epoch() / (m_limits.m_window / slice_count);
  slice& found = m_slices[static_cast<std::size_t>(index % slice_count)];
  if (found.m_index != index) {
    found = {index, 0, 0};
  }
  return found;
}

void retry_budget::record_request(time_point now) {
  ++current_slice(now).m_requests;
}

bool retry_budget::available(time_point now) {
  const slice& newest = current_slice(now);
  double requests = 0;
  double retries = 0;
  for (const auto& each : m_slices) {
    if (each.m_index > newest.m_index - slice_count) {
      requests += each.m_requests;
      retries += each.m_retries;
    }
  }
  return retries + 1 <= requests * m_limits.m_ratio + m_limits.m_fixed;
}

bool retry_budget::try_take(time_point now) {
  if (!available(now)) {
    return false;
  }
  ++current_slice(now).m_retries;
  return true;
}

} // namespace cardamompond::fleet
