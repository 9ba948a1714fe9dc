#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamompond {

// An open circuit breaker: no grants for that version (on that route, or on all if the route is empty). A
// declaration with a higher attempt of the version supersedes it.
struct breaker_trip {
  std::string m_service;
  std::string m_version;
  std::uint64_t m_attempt = 0;
  std::string m_route;
  std::string m_reason;
  friend bool operator==(const breaker_trip&, const breaker_trip&) = default;
};

// Content that crashed backend servers. A suspect has been seen on one, a quarantined one on two.
struct crash_record {
  hash128 m_fingerprint;
  std::vector<std::string> m_backend_servers; // those that crashed under it
  bool m_quarantined = false;
  time_point m_expires; // by the local clock; sent to peers as a remaining duration
};

// What members tell one another about faults. Merging is a set union, so that order and repetition do not
// matter.
struct fault_signal_set {
  std::vector<breaker_trip> m_trips;
  std::vector<crash_record> m_crashes;
};

} // namespace cardamompond
