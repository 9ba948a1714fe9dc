#pragma once

#include "tables.hpp"

#include <span>

namespace cardamompond::scheduler {

// Which backend servers probably hold which prompt blocks: learned from dispatches, corrected by cache
// events.

// The server runs, or will run, a prompt of these blocks.
void add_cached_blocks(scheduler_state& state, row_index server, std::span<const std::uint64_t> blocks);

// Forgets what is known of the server's cache.
void clear_cached_blocks(scheduler_state& state, row_index server);

void handle_cache_event(scheduler_state& state, const cache_event& change);

// Number of leading blocks that the server probably holds.
std::size_t count_matching_blocks(const scheduler_state& state, row_index server,
                                  std::span<const std::uint64_t> blocks);

// The servers that probably hold the longest known part of the chain; empty if none is known.
std::span<const row_index> find_longest_match_holders(const scheduler_state& state, row_index service,
                                                      std::span<const std::uint64_t> blocks);

} // namespace cardamompond::scheduler
