#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cardamompond {

// Monotonic time. Libraries that make decisions, such as the scheduler, do not read a clock; their callers
// pass the current time. Only differences between time points are meaningful.
using duration = std::chrono::microseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the current monotonic time. Libraries that make decisions must not call it.
inline time_point monotonic_now() {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

// Returns the time since the host started, including the time for which it was suspended, which
// monotonic_now() leaves out. It must not be compared with times of monotonic_now().
inline time_point boot_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(
      std::chrono::duration_cast<duration>(seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

// Returns the current wall-clock time in milliseconds since 1970. It is meant for records that other
// processes read, and must not be used to measure intervals.
inline std::int64_t wall_clock_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace cardamompond
