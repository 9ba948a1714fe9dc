#include "cardamompond/fleet/retry_age_estimator.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// On the users' platform, the times that first attempts of one route state differ by up to 15 %. An attempt
// that states less than this share of the longest time is a retry.
constexpr double min_first_attempt_share = 0.8;

// The longest time is taken from this window and the previous one. The window is long enough for some hundred
// attempts and short enough to adapt when callers change their timeouts.
constexpr duration window = seconds(20);

} // namespace

duration retry_age_estimator::record_attempt(std::string_view route, milliseconds time_left, time_point now) {
  auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    found = m_routes.emplace(std::string(route), longest_times{now, {}, {}}).first;
  }
  longest_times& times = found->second;
  if (now - times.m_window_start >= window) {
    times.m_previous_longest =
        now - times.m_window_start < 2 * window ? times.m_current_longest : milliseconds(0);
    times.m_current_longest = milliseconds(0);
    times.m_window_start = now;
  }
  times.m_current_longest = std::max(times.m_current_longest, time_left);
  const milliseconds longest = std::max(times.m_current_longest, times.m_previous_longest);
  const bool is_first_attempt = static_cast<double>(time_left.count()) >=
                                min_first_attempt_share * static_cast<double>(longest.count());
  return is_first_attempt ? duration::zero() : duration(longest - time_left);
}

} // namespace cardamompond::fleet
