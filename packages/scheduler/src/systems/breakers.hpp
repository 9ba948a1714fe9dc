#pragma once

#include "scheduler_state.hpp"

#include <vector>

namespace cardamompond::scheduler {

// Returns true while a circuit breaker keeps requests of the route away from the version.
bool is_breaker_open(const scheduler_state& state, row_index version, row_index route);

// Records the outcome of a dispatch for its version and route. Opens the circuit breaker if the recorded
// outcomes or durations show a fault.
void record_outcome(scheduler_state& state, const request_row& request, const completed_event& completed);

// Sets the declared attempt number of the version. A higher number closes the circuit breakers of earlier
// attempts and discards the recorded outcomes.
void set_attempt(scheduler_state& state, row_index version, std::uint64_t attempt);

void merge_trips(scheduler_state& state, const std::vector<breaker_trip>& trips);
std::vector<breaker_trip> list_breaker_trips(const scheduler_state& state);

} // namespace cardamompond::scheduler
