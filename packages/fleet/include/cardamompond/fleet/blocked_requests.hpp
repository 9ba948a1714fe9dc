#pragma once

#include "cardamompond/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cardamompond::fleet {

// Levels of urgency of requests that are not late; 0 is the most urgent. Less urgent ones share the last.
inline constexpr std::size_t urgency_levels = 4;

// Requests that were on time but found no free slot when they came, by level. Totals since the start of the
// daemon, so that lost reports do no harm.
using blocked_totals = std::array<std::uint32_t, urgency_levels>;

// How many requests were blocked lately in this daemon and in its peers, by level. Reads no clock.
class blocked_requests {
public:
  void record(std::size_t level, std::uint32_t count, time_point now);

  // Returns the number of requests that were blocked in about the last second at more urgent levels than the
  // given one. For urgency_levels: at all levels.
  double more_urgent_than(std::size_t level, time_point now) const;

  // Returns the number of requests that were blocked in about the last second at the level.
  double at(std::size_t level, time_point now) const;

private:
  struct decaying_count {
    double m_value = 0;
    time_point m_updated;
  };
  static double value_at(const decaying_count& count, time_point now);

  std::array<decaying_count, urgency_levels> m_counts{};
};

} // namespace cardamompond::fleet
