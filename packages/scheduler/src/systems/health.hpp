#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Tracks the health of backend servers, based on load reports, failed polls, refused connections, the host
// list and the outcomes of requests. Each function updates the server indexes itself.

void handle_load_report(scheduler_state& state, const load_report_event& report);
void handle_unreachable(scheduler_state& state, const unreachable_event& observed);
void handle_host_state(scheduler_state& state, const host_state_event& observed);

// Records a refused connection. The backend server gets no requests until it sends a load report or a retry
// is due; it then starts cold.
void record_connect_failure(scheduler_state& state, row_index server);

// Records a connection that broke before the response was complete. The backend server may have restarted, so
// its limit is reduced to its current load, or to the cold limit if that is higher, until a load report
// arrives or a timeout expires.
void record_broken_connection(scheduler_state& state, row_index server);

// Compares the time to first token of a completed request with the average of the backend server. Several
// slow requests in a row trigger a cold start.
void record_time_to_first_token(scheduler_state& state, row_index server, const request_row& request,
                                duration time_to_first_token);

// Handles expired timeouts of refused connections and possible restarts.
void expire_health_timeouts(scheduler_state& state);

} // namespace cardamompond::scheduler
