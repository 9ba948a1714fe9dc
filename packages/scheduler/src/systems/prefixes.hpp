#pragma once

#include "scheduler_state.hpp"

#include <span>

namespace cardamompond::scheduler {

// Tracks which backend servers probably cache which prompt blocks. Dispatches add blocks; cache events add
// and remove them.

// Records that the backend server runs or will run a prompt that consists of these blocks.
void add_cached_blocks(scheduler_state& state, row_index server, std::span<const std::uint64_t> blocks);

// Discards everything known about the cache of the backend server.
void clear_cached_blocks(scheduler_state& state, row_index server);

void handle_cache_event(scheduler_state& state, const cache_event& change);

// Returns the number of leading blocks that the backend server probably caches.
std::size_t count_matching_blocks(const scheduler_state& state, row_index server,
                                  std::span<const std::uint64_t> blocks);

// Returns the backend servers that probably cache the longest known prefix of the blocks. The result is empty
// if no prefix is known.
std::span<const row_index> find_longest_match_holders(const scheduler_state& state, row_index service,
                                                      std::span<const std::uint64_t> blocks);

} // namespace cardamompond::scheduler
