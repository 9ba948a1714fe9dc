#pragma once

#include "dispatch_tables.hpp"

namespace cardamompond::fleet {

// Times that a request would take on a server if it was sent now, in seconds.
struct expected_times {
  double m_first_s = 0;  // to the first event, or to the response if it is not streamed
  double m_end_s = 0;    // to the end of the response
  double m_prompt_s = 0; // in which the server reads the prompt of this request
  double m_pause_s = 0;  // longest pause of the streams on the server, while prompts are read; 0: no streams
  double m_pause_before_s = 0; // the same without this request
};

// How well a server suits a request by its expected times; higher is better.
enum class time_fit {
  none,              // the response would not be complete by the deadline
  late_and_stalling, // the response would begin late, and streams on the server would pause for too long
  late,
  stalling,
  good
};

// Returns the speed of the server apart from disturbances: the speed that the daemons measured, or the stated
// one until there are measurements.
const speed_estimate& lasting_speed(const server_row& server, time_point now);

// Returns the speed that is expected of the server now: the lasting speed adjusted by what the server states
// about the moment.
const speed_estimate& expected_speed(const server_row& server, time_point now);

// What a request needs of a server, so that it is not looked up anew for each server.
struct request_needs {
  std::uint32_t m_prompt_tokens = 0;
  double m_events = 0;           // expected
  double m_until_due_s = 0;      // until the response should begin
  double m_until_deadline_s = 0; // until the response has to be complete
  double m_accepted_pause_s = 0; // longest pause between two events that callers of the service accept
  std::size_t m_urgency_level = 0;
  std::array<double, urgency_levels> m_blocked{}; // requests that were blocked lately, by level
  time_point m_now;
};

request_needs find_needs(const dispatch_tables& tables, const submission& request, time_point now);

expected_times predict_times(const server_row& server, const request_needs& needs);

// Returns the times that the request would take without a disturbance and without other prompts on the
// server.
expected_times predict_undisturbed_times(const server_row& server, const request_needs& needs);

// Whether the server can read a prompt of this length without stalling its other streams for too long.
bool reads_without_stalling(const server_row& server, double prompt_tokens, const request_needs& needs);

time_fit evaluate_times(const expected_times& times, const request_needs& needs);

// Returns how many streams on the server will probably pause for too long because of the prompt.
double expected_stalled_streams(const server_row& server, const expected_times& times,
                                const request_needs& needs);

// Returns how many responses will probably be late if the request is sent to the server: this one, and the
// streams that the prompt of this one stalls.
double expected_late_responses(const server_row& server, const expected_times& times,
                               const request_needs& needs);

} // namespace cardamompond::fleet
