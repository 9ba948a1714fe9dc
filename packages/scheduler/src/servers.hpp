#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// True while new work may go to the backend server.
bool is_in_service(const server_row& server);

// True while the limit has not grown to the slots.
bool is_cold(const server_row& server);

// Requests that may be outstanding on the backend server now.
std::uint32_t current_limit(const server_row& server);

// Brings the indexes of the server's version up to date. Call it after every change of the server's row. A
// server that comes back into service starts cold.
void update_server_indexes(scheduler_state& state, row_index server);

// Frees the slot of a granted or started request.
void release_slot(scheduler_state& state, const request_row& request);

// Takes a slot for a request that is being granted or restored.
void take_slot(scheduler_state& state, request_row& request, row_index server);

} // namespace cardamompond::scheduler
