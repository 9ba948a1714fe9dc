#pragma once

#include "scheduler_state.hpp"

#include <array>
#include <optional>
#include <vector>

namespace cardamompond::scheduler {

// Rollouts shift the traffic of a service to another version in steps; a declaration calls them moves. This
// file decides which versions a request may go to and advances the steps.

// Versions that may receive a request, in order of preference. Unused entries are no_row.
using version_choice = std::array<row_index, 2>;
version_choice choose_versions(const scheduler_state& state, const request_row& request);

// Counts a grant towards the traffic shares of the service's rollout.
void record_rollout_grant(scheduler_state& state, row_index service, row_index version);

// Applies the declared rollout of a service, or its absence. An unchanged rollout keeps its progress.
void apply_rollout(scheduler_state& state, row_index service,
                   const std::optional<rollout_configuration>& declared);

// Advances each rollout whose current step has enough successes and has lasted until its planned end.
void advance_rollouts(scheduler_state& state);

// Rolls back the rollout to the version, if there is one. Called after a circuit breaker of the version
// opened.
void roll_back(scheduler_state& state, row_index version, const std::string& reason);

// Records the outcome of a request if it ran on the target version of a rollout in progress.
void record_rollout_sample(scheduler_state& state, const request_row& request, bool failed);

// Returns the version that `version` is compared with and that takes over its traffic if it is faulty.
// Returns no_row if `version` is not being evaluated.
row_index find_baseline_version(const scheduler_state& state, row_index version);

std::vector<rollout_status> list_rollout_statuses(const scheduler_state& state);

} // namespace cardamompond::scheduler
