#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Returns true while new requests may be dispatched to the backend server.
bool is_in_service(const server_row& server);

// Returns true while the concurrency limit is below the number of slots.
bool is_cold(const server_row& server);

// Returns the number of requests that may currently be outstanding on the backend server.
std::uint32_t current_limit(const server_row& server);

// Updates the list of free backend servers and the totals of the server's version. It must be called after
// every change of the server's row. A server that comes back into service starts cold.
void update_server_indexes(scheduler_state& state, row_index server);

// Releases the slot of a granted or started request.
void release_slot(scheduler_state& state, const request_row& request);

// Assigns a slot of the backend server to a request that is being granted or restored.
void assign_slot(scheduler_state& state, request_row& request, row_index server);

} // namespace cardamompond::scheduler
