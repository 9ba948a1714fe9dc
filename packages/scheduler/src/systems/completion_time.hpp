#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Returns the cost of placing the request on the backend server, in microseconds. The cost is the expected
// completion time, with a higher weight for uncached prompt tokens because prefill slows down the other
// requests on the server. Speeds measured on the server take precedence over the speed that it reports, which
// takes precedence over the average of the service.
double placement_cost_us(const scheduler_state& state, const request_row& request, row_index server);

// Returns the expected time until a fully loaded backend server has a free slot.
double expected_slot_wait_us(const scheduler_state& state, row_index server);

} // namespace cardamompond::scheduler
