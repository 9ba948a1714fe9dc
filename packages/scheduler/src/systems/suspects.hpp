#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Placement of requests whose content is under suspicion: one at a time per content, alone on a backend
// server if one can be emptied in time, and never on a third one.

// True if the server is kept for a suspect: it runs one, or is being emptied for one.
bool is_dedicated_to_suspect(const scheduler_state& state, row_index server);

// The backend server for a suspect, or no_row while it must wait; then a server may be emptied for it.
row_index choose_suspect_server(scheduler_state& state, const request_row& request);

// Gives back the servers that no suspect has asked for since the last call.
void release_reservations(scheduler_state& state);

} // namespace cardamompond::scheduler
