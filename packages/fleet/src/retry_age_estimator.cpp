#include "cardamompond/fleet/retry_age_estimator.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// First attempts of one route state times that differ by up to 15 parts in 100 on the users' platform; one
// that states less than this part of the longest was sent before.
constexpr double first_attempt_share = 0.8;

// The longest time is that of this window and the one before: long enough for some hundred attempts, short
// enough to follow callers that change.
constexpr duration window = seconds(20);

} // namespace

duration retry_age_estimator::record_attempt(std::string_view route, milliseconds time_left, time_point now) {
  auto found = m_routes.find(route);
  if (found == m_routes.end()) {
    found = m_routes.emplace(std::string(route), longest_times{now, {}, {}}).first;
  }
  longest_times& times = found->second;
  if (now - times.m_window_begun >= window) {
    times.m_last = now - times.m_window_begun < 2 * window ? times.m_current : milliseconds(0);
    times.m_current = milliseconds(0);
    times.m_window_begun = now;
  }
  times.m_current = std::max(times.m_current, time_left);
  const milliseconds longest = std::max(times.m_current, times.m_last);
  const bool first =
      static_cast<double>(time_left.count()) >= first_attempt_share * static_cast<double>(longest.count());
  return first ? duration::zero() : duration(longest - time_left);
}

} // namespace cardamompond::fleet
