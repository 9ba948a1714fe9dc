#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamompond {

// An open circuit breaker: the scheduler grants no permits for requests to this version on this route, or on
// any route if m_route is empty. The trip is dropped once a declaration of the version with a higher attempt
// is in force.
struct breaker_trip {
  std::string m_service;
  std::string m_version;
  std::uint64_t m_attempt = 0;
  std::string m_route;
  std::string m_reason;
  friend bool operator==(const breaker_trip&, const breaker_trip&) = default;
};

// Request content that crashed backend servers. It is a suspect after crashing one backend server, and is
// quarantined after crashing two.
struct crash_record {
  hash128 m_fingerprint;
  std::vector<std::string> m_backend_servers; // the servers that it crashed
  bool m_quarantined = false;
  time_point m_expires; // by the local monotonic clock; peers receive a wall-clock time
};

// The fault signals that the members of a cell exchange; they are unrelated to POSIX signals. Sets are merged
// by union, so all members reach the same set, in whatever order and however often they merge.
struct fault_signal_set {
  std::vector<breaker_trip> m_trips;
  std::vector<crash_record> m_crashes;
};

} // namespace cardamompond
