#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace cardamompond::fleet {

// Times of one response relative to those of a server of the assumed speed, see assumed_speed(). A time is
// kept as the index of a bin of its binary logarithm, so that a report needs a few bytes for each response.
struct response_timing {
  std::uint16_t m_server = 0; // identifies the server among those of one service
  std::uint8_t m_first = 0;   // bin of the time to the first part of the response
  std::uint8_t m_gap = 0;     // bin of the time between events, or no_timing
  std::uint8_t m_running = 0; // requests that the server ran when it received this one
  friend bool operator==(const response_timing&, const response_timing&) = default;
};

// Bin of a time that was not observed.
inline constexpr std::uint8_t no_timing = 255;

// Returns the bin of a time that is `observed_s` where a server of the assumed speed needs `expected_s`.
std::uint8_t timing_bin(double observed_s, double expected_s);

// Timings of the responses of one version, by route.
using timings_by_route = std::map<std::string, std::vector<response_timing>>;

// Result of comparing the timings of two versions.
struct slowness_evidence {
  // Likelihood of the timings if the target is slower, relative to the likelihood if it is as fast as the old
  // version or faster. The logarithm is natural. 0: the timings do not tell.
  double m_log_ratio = 0;
  std::size_t m_target_samples = 0;
  std::size_t m_old_samples = 0;
};

// Compares the responses of a target version with those of the old version. Servers differ in speed and a
// loaded server is slower than an idle one, so the model is fitted on the old version: the distribution of
// the speeds of its servers, the spread of the responses of one server and route, and the increase of times
// with each running request. The target is slower if all its responses take longer by a factor, or a share of
// them does, on all routes or on a single one.
slowness_evidence compare_timings(const timings_by_route& old_version, const timings_by_route& target);

} // namespace cardamompond::fleet
