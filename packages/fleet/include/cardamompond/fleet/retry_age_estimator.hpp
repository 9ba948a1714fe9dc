#pragma once

#include "cardamompond/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Tells how long ago a caller first sent a request. Each attempt states the time that is left to its caller,
// so that one with much less than other attempts of its route is a repetition. Reads no clock.
class retry_age_estimator {
public:
  // Notes the time that an attempt of the route leaves; returns how long ago its first attempt was, zero for
  // a first one.
  duration record_attempt(std::string_view route, milliseconds time_left, time_point now);

private:
  // Longest time stated in the current and in the last window.
  struct longest_times {
    time_point m_window_begun;
    milliseconds m_current{0};
    milliseconds m_last{0};
  };

  std::map<std::string, longest_times, std::less<>> m_routes; // by name
};

} // namespace cardamompond::fleet
