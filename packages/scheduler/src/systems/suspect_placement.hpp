#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Places suspects, which are requests whose content is suspected of crashing backend servers. At most one
// request per content runs at a time. It runs alone on a backend server if one becomes empty in time, and it
// is never placed on a third server after two may have crashed.

// Returns true if the backend server runs a suspect or is reserved for one.
bool is_dedicated_to_suspect(const scheduler_state& state, row_index server);

// Returns the backend server for a suspect, or no_row if it has to wait. In that case a server may be
// reserved for it, which then gets no other requests.
row_index choose_suspect_server(scheduler_state& state, const request_row& request);

// Releases the reservations that no suspect has renewed since the last call.
void release_reservations(scheduler_state& state);

} // namespace cardamompond::scheduler
