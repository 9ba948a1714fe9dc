#pragma once

#include "tables.hpp"

#include <array>
#include <optional>
#include <vector>

namespace cardamompond::scheduler {

// Version moves: which version a request may go to, and the steps of a move.

// Versions that may get a request, in order of preference; no_row where there is none.
using version_choice = std::array<row, 2>;
version_choice choose_versions(const tables& t, const request_row& request);

// Counts a grant towards the shares of the service's move.
void count_grant(tables& t, row service, row version);

// Takes over the declared move of a service, or its absence. An unchanged move goes on as it was.
void apply_move(tables& t, row service, const std::optional<rollout_configuration>& declared);

// Enters the next step of each move whose step has its samples and its time.
void advance_moves(tables& t);

// Ends the move to the version, if there is one, after its circuit breaker opened.
void take_back_move(tables& t, row version, const std::string& reason);

// The outcome of a request on a move's new version.
void count_move_sample(tables& t, const request_row& request, bool failed);

// The version that `version` is compared with and that takes its traffic when it is faulty; no_row if
// `version` is not being evaluated.
row old_version_beside(const tables& t, row version);

std::vector<rollout_status> move_statuses(const tables& t);

} // namespace cardamompond::scheduler
