#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Microseconds per token until the first measurement in a service, taken from the workload in section 2 of
// the design.
constexpr double default_prefill_us_per_token = 100;
constexpr double default_decode_us_per_token = 43'000;

// Returns false if a measurement of a completed request is impossible: a token count larger than any model
// supports, more cached tokens than prompt tokens, or a negative, excessive or inconsistent duration.
bool is_plausible(const completed_event& completed);

// Updates the speeds of the backend server and of its service from a successful request with plausible
// measurements.
void observe_completion(scheduler_state& state, const request_row& request, const completed_event& completed);

// Returns the total duration of the request per output token. Uncached prompt tokens are included, weighted
// by their cost relative to an output token in the service. Returns 0 if no duration was measured.
double us_per_token(const service_row& service, const completed_event& completed);

} // namespace cardamompond::scheduler
