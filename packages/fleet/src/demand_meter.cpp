#include "demand_meter.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Time constant of the average. A daemon with a request every ten seconds keeps some demand.
constexpr double window_s = 10;

} // namespace

demand_meter::demand_meter()
    : m_rate(window_s) {}

void demand_meter::record_request(time_point now) {
  m_rate.record(1, now);
}

void demand_meter::publish(time_point now) {
  std::shift_right(m_published.begin(), m_published.end(), 1);
  m_published.front() = m_rate.per_second(now);
}

double demand_meter::lowest_published(std::size_t max_delay_s) const {
  const auto count = std::min(max_delay_s + 1, m_published.size());
  return *std::min_element(m_published.begin(), m_published.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace cardamompond::fleet
