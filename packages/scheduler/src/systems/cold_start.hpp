#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Starts a new cold start: the limit falls to the cold limit and grows again with completions.
void begin_cold_start(scheduler_state& state, server_row& server);

// Counts a success towards the ramp.
void count_ramp_success(server_row& server, const request_row& request);

} // namespace cardamompond::scheduler
