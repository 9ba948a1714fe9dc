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
speed_estimate lasting_speed(const server_row& server);

// Returns the speed that is expected of the server now: the lasting speed adjusted by what the server states
// about the moment.
speed_estimate expected_speed(const server_row& server, time_point now);

// Returns the longest pause between two events that callers of the service accept, in seconds.
double accepted_pause_s(const dispatch_tables& tables, std::string_view service);

expected_times predict_times(const dispatch_tables& tables, const server_row& server,
                             const submission& request, time_point now);

// Returns the times that the request would take without a disturbance and without other prompts on the
// server.
expected_times predict_undisturbed_times(const dispatch_tables& tables, const server_row& server,
                                         const submission& request);

// Whether the server can read a prompt of this length without stalling its other streams for too long.
bool reads_without_stalling(const dispatch_tables& tables, const server_row& server, double prompt_tokens);

time_fit evaluate_times(const dispatch_tables& tables, const expected_times& times, const submission& request,
                        time_point now);

// Returns how many streams on the server will probably pause for too long because of the prompt.
double expected_stalled_streams(const dispatch_tables& tables, const server_row& server,
                                const expected_times& times);

// Returns how many responses will probably be late if the request is sent to the server: this one, and the
// streams that the prompt of this one stalls.
double expected_late_responses(const dispatch_tables& tables, const server_row& server,
                               const expected_times& times, const submission& request, time_point now);

} // namespace cardamompond::fleet
