#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Health of the backend servers: from load reports, failed polls, refused connections, the host list and
// what their answers show. Each function brings the indexes up to date itself.

void handle_load_report(scheduler_state& state, const load_report_event& report);
void handle_unreachable(scheduler_state& state, const unreachable_event& observed);
void handle_host_state(scheduler_state& state, const host_state_event& observed);

// A connection was refused: the server gets nothing until it reports or a retry is due, and is then cold.
void record_connect_failure(scheduler_state& state, row_index server);

// A connection broke without a complete answer: the server may have restarted. Freed slots are not filled
// again until a load report tells.
void record_broken_connection(scheduler_state& state, row_index server);

// Compares the time to first token of a completed request with the server's average.
void record_time_to_first_token(scheduler_state& state, row_index server, const request_row& request,
                                duration first_token);

// Acts on time limits that have passed.
void expire_health_timeouts(scheduler_state& state);

} // namespace cardamompond::scheduler
