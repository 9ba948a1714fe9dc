#pragma once

#include "scheduler_state.hpp"

#include <vector>

namespace cardamompond::scheduler {

// Tracks request content that crashes backend servers. When a connection breaks, the content of its request
// is suspected immediately, so that retries cannot crash a third server before the load reports arrive. A
// load report then confirms the suspicion if the server restarted and drops it if it did not.

// Returns the crash record of the content, or null if there is none.
crash_row* find_crash(scheduler_state& state, const hash128& fingerprint);
const crash_row* find_crash(const scheduler_state& state, const hash128& fingerprint);

// Returns true while requests with this content must be isolated from other requests.
bool is_suspicious(const crash_row& crash);

// Suspects the content of a request whose connection broke before the response was complete.
void suspect_content(scheduler_state& state, const request_row& request);

// Confirms the suspicions that are based on broken connections to the backend server. Called when a load
// report shows that the server has restarted.
void confirm_crashes(scheduler_state& state, row_index server);

// Drops the suspicions that are based on connections to the backend server that broke before `measured`.
// Called when a load report measured at that time shows no restart since the previous report.
void drop_suspicions(scheduler_state& state, row_index server, time_point measured);

// Clears the content of a completed request from suspicion, unless the content is quarantined.
void clear_suspicion(scheduler_state& state, const request_row& request);

// Refuses waiting requests whose content is quarantined and isolates those whose content is suspected.
void apply_crash_records_to_queue(scheduler_state& state);

// Removes expired suspicions and crash records.
void expire_crashes(scheduler_state& state);

void merge_crashes(scheduler_state& state, const std::vector<crash_record>& records);
std::vector<crash_record> list_crash_records(const scheduler_state& state);

} // namespace cardamompond::scheduler
