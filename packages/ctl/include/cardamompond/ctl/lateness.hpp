#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::ctl {

// Where most of the time of a late attempt went, or how an attempt ended without a response.
enum class attempt_class {
  on_time,
  late_on_arrival,  // the target had passed before the caller sent this attempt
  late_waiting,     // it waited in the daemon for a backend server with room
  late_reserving,   // reservations on backend servers took longest
  late_dispatches,  // earlier dispatches of the same attempt took longest
  late_first_event, // the backend server took longest until the first event
  late_pause,       // the first event was on time, a later one came after too long a pause
  refused_quota,    // 429
  refused_capacity, // any other refusal of a request that has not run
  deadline_passed,  // no complete response before the deadline
  caller_gone,      // the caller disconnected first
  failed            // anything else
};

std::string_view to_string(attempt_class value);

// The fields of a `request_ended` log line that classify the attempt. Times that the line does not contain
// are zero.
struct ended_attempt {
  std::string m_route;
  std::string m_result;
  int m_status = 0;
  bool m_may_have_run = false;
  milliseconds m_age{0};           // from the caller's first attempt to the arrival of this one
  milliseconds m_wait{0};          // from the arrival to the last dispatch
  milliseconds m_queued{0};        // part of m_wait in the daemon's queue
  milliseconds m_reserving{0};     // in reservations of the last dispatch
  milliseconds m_first{0};         // from the arrival to the first event
  milliseconds m_longest_pause{0}; // between two events
  milliseconds m_first_target{0};  // 0: none
  milliseconds m_pause_target{0};  // 0: none
};

// Reads a line of a daemon's log. Text before the first field is skipped. Returns nothing for other events.
std::optional<ended_attempt> parse_ended_attempt(std::string_view line);

attempt_class classify(const ended_attempt& attempt);

// Counts attempts by route and class.
class lateness_table {
public:
  // Returns whether the line was a `request_ended` line.
  bool add_line(std::string_view line);

  std::size_t attempts() const { return m_attempts; }

  // Renders one row for each route and class, with the number of attempts, their share of the route's
  // attempts, and the median time until the first event or, without one, until the end.
  std::string to_text() const;
  std::string to_json() const;

private:
  struct row {
    std::string m_route;
    attempt_class m_class = attempt_class::on_time;
    std::size_t m_count = 0;
    double m_share = 0;
    milliseconds m_median{0};
  };
  std::vector<row> rows() const;

  std::map<std::string, std::map<attempt_class, std::vector<milliseconds>>> m_times; // by route
  std::size_t m_attempts = 0;
};

} // namespace cardamompond::ctl
