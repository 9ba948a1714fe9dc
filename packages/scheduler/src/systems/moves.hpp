#pragma once

#include "tables.hpp"

#include <array>
#include <optional>
#include <vector>

namespace cardamompond::scheduler {

// Version moves: which version a request may go to, and the steps of a move.

// Versions that may get a request, in order of preference; no_row where there is none.
using version_choice = std::array<row_index, 2>;
version_choice choose_versions(const scheduler_state& state, const request_row& request);

// Counts a grant towards the shares of the service's move.
void record_rollout_grant(scheduler_state& state, row_index service, row_index version);

// Takes over the declared move of a service, or its absence. An unchanged move goes on as it was.
void apply_rollout(scheduler_state& state, row_index service,
                   const std::optional<rollout_configuration>& declared);

// Enters the next step of each move whose step has its samples and its time.
void advance_rollouts(scheduler_state& state);

// Ends the move to the version, if there is one, after its circuit breaker opened.
void roll_back(scheduler_state& state, row_index version, const std::string& reason);

// The outcome of a request on a move's new version.
void record_rollout_sample(scheduler_state& state, const request_row& request, bool failed);

// The version that `version` is compared with and that takes its traffic when it is faulty; no_row if
// `version` is not being evaluated.
row_index find_baseline_version(const scheduler_state& state, row_index version);

std::vector<rollout_status> rollout_statuses(const scheduler_state& state);

} // namespace cardamompond::scheduler
