#pragma once

#include "tables.hpp"

#include <vector>

namespace cardamompond::scheduler {

// Content that crashes backend servers. A connection that breaks puts its content under suspicion at once, so
// that a retry within the delay of the load reports cannot crash a third server; the suspicion is confirmed
// when the server is seen to restart and dropped when it is seen not to have restarted.

// What is known of the content, or null.
crash_row* find_crash(scheduler_state& state, const hash128& fingerprint);
const crash_row* find_crash(const scheduler_state& state, const hash128& fingerprint);

// True while requests with the content run apart from others.
bool is_suspicious(const crash_row& crash);

// A connection of the request broke without a complete answer.
void suspect_content(scheduler_state& state, const request_row& request);

// The backend server has restarted, or is seen to be the same process as at `measured`.
void confirm_crashes(scheduler_state& state, row_index server);
void drop_suspicions(scheduler_state& state, row_index server, time_point measured);

// The request completed: its content is cleared unless it is quarantined.
void clear_suspicion(scheduler_state& state, const request_row& request);

// Refuses waiting requests with quarantined content and sets those under suspicion apart.
void screen_waiting_requests(scheduler_state& state);

// Forgets what has expired.
void expire_crashes(scheduler_state& state);

void merge_crashes(scheduler_state& state, const std::vector<crash_record>& records);
std::vector<crash_record> crash_records(const scheduler_state& state);

} // namespace cardamompond::scheduler
