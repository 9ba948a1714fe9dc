#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Microseconds per token before the first observation in a service: the workload in section 2 of the design.
constexpr double default_prefill_us_per_token = 100;
constexpr double default_decode_us_per_token = 43'000;

// Checks the measurements of a completed request: no count above what a model can hold, no negative or
// contradictory duration.
bool is_plausible(const completed_event& completed);

// Learns the speeds of the backend server and of its service from a plausible, successful request.
void observe_completion(scheduler_state& state, const request_row& request, const completed_event& completed);

// Duration of the whole request per output token, with its uncached prompt tokens weighted by their cost in
// the service. 0 if there is none.
double us_per_token(const service_row& service, const completed_event& completed);

} // namespace cardamompond::scheduler
