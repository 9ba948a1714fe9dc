#pragma once

#include "tables.hpp"

#include <vector>

namespace cardamompond::scheduler {

// True while the version may get no requests of that route.
bool is_breaker_open(const scheduler_state& state, row_index version, row_index route);

// Records the outcome of a dispatch under its version and route, and opens the circuit breaker when they show
// a fault.
void record_outcome(scheduler_state& state, const request_row& request, const completed_event& completed);

// Takes over a declared attempt of the version. A higher one resets what is known of the version.
void set_attempt(scheduler_state& state, row_index version, std::uint64_t attempt);

void merge_trips(scheduler_state& state, const std::vector<breaker_trip>& trips);
std::vector<breaker_trip> open_trips(const scheduler_state& state);

} // namespace cardamompond::scheduler
