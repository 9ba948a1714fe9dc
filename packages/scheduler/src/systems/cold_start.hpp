#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Begins a cold start: reduces the concurrency limit to the cold limit. The limit grows again as requests
// complete.
void begin_cold_start(scheduler_state& state, server_row& server);

// Counts a successful request. The limit doubles after as many successes as its current value.
void count_ramp_success(server_row& server, const request_row& request);

} // namespace cardamompond::scheduler
