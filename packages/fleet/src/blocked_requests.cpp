#include "cardamompond/fleet/blocked_requests.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Time constant of the decay. It covers several rounds of reports, and is below the time that a generation
// occupies a slot.
constexpr double decay_s = 0.7;

} // namespace

double blocked_requests::value_at(const decaying_count& count, time_point now) {
  const double age_s = std::max(0.0, std::chrono::duration<double>(now - count.m_updated).count());
  return count.m_value * std::exp(-age_s / decay_s);
}

void blocked_requests::record(std::size_t level, std::uint32_t count, time_point now) {
  decaying_count& updated = m_counts[std::min(level, urgency_levels - 1)];
  updated.m_value = value_at(updated, now) + count;
  updated.m_updated = std::max(updated.m_updated, now);
}

double blocked_requests::at(std::size_t level, time_point now) const {
  return value_at(m_counts[std::min(level, urgency_levels - 1)], now);
}

double blocked_requests::more_urgent_than(std::size_t level, time_point now) const {
  double sum = 0;
  for (std::size_t i = 0; i < std::min(level, urgency_levels); ++i) {
    sum += value_at(m_counts[i], now);
  }
  return sum;
}

} // namespace cardamompond::fleet
