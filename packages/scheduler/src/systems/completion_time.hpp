#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// What a placement costs, in microseconds: the expected completion time, in which uncached prompt tokens
// weigh more, because prefill slows down the other requests of the server. What was observed goes before what
// the server reports, and that before the average of the service.
double placement_cost_us(const scheduler_state& state, const request_row& request, row_index server);

// Expected time until a busy server has a free slot.
double expected_slot_wait_us(const scheduler_state& state, row_index server);

} // namespace cardamompond::scheduler
