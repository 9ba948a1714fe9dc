#pragma once

#include "cardamompond/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Estimates how long ago a caller first sent a request. Each attempt states the time that its caller has
// left. An attempt with much less time left than other attempts of its route is therefore a retry. Reads no
// clock.
class retry_age_estimator {
public:
  // Records the time left for an attempt on the route. Returns the time since the first attempt of the same
  // request; zero if this is the first one.
  duration record_attempt(std::string_view route, milliseconds time_left, time_point now);

private:
  // The longest time left that was stated in the current and in the previous window.
  struct longest_times {
    time_point m_window_start;
    milliseconds m_current_longest{0};
    milliseconds m_previous_longest{0};
  };

  std::map<std::string, longest_times, std::less<>> m_routes; // by name
};

} // namespace cardamompond::fleet
