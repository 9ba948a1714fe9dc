#include "systems/prefixes.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// Maximum number of blocks remembered for all backend servers together. Each block takes about 200 bytes.
constexpr std::size_t max_blocks_in_total = 200'000;
constexpr std::size_t min_blocks_per_server = 32;
constexpr std::size_t max_blocks_per_server = 8192;
constexpr std::size_t max_holders_per_block = 8;
// After this many consecutive events with old sequence numbers, the sequence is assumed to have restarted.
constexpr std::uint32_t stale_events_before_reset = 16;

std::size_t max_blocks_for_server(const scheduler_state& state) {
  return std::clamp(max_blocks_in_total / std::max<std::size_t>(1, state.m_servers.size()),
                    min_blocks_per_server, max_blocks_per_server);
}

void remove_holder(service_row& service, std::uint64_t block, row_index server) {
  const auto found = service.m_block_holders.find(block);
  if (found == service.m_block_holders.end()) {
    return;
  }
  std::erase(found->second, server);
  if (found->second.empty()) {
    service.m_block_holders.erase(found);
  }
}

void remove_cached_block(scheduler_state& state, row_index server, std::uint64_t block) {
  cached_blocks& known = state.m_servers[server].m_cached_blocks;
  const auto found = known.m_blocks.find(block);
  if (found == known.m_blocks.end()) {
    return;
  }
  known.m_lru_order.erase(found->second);
  known.m_blocks.erase(found);
  remove_holder(state.m_services[state.m_servers[server].m_service], block, server);
}

void add_cached_block(scheduler_state& state, row_index server, std::uint64_t block) {
  cached_blocks& known = state.m_servers[server].m_cached_blocks;
  if (const auto found = known.m_blocks.find(block); found != known.m_blocks.end()) {
    known.m_lru_order.splice(known.m_lru_order.end(), known.m_lru_order, found->second);
    return;
  }
  known.m_blocks[block] = known.m_lru_order.insert(known.m_lru_order.end(), block);
  std::vector<row_index>& holders =
      state.m_services[state.m_servers[server].m_service].m_block_holders[block];
  if (holders.size() >= max_holders_per_block) {
    holders.erase(holders.begin());
  }
  holders.push_back(server);
  while (known.m_lru_order.size() > max_blocks_for_server(state)) {
    remove_cached_block(state, server, std::uint64_t{known.m_lru_order.front()});
  }
}

} // namespace

void add_cached_blocks(scheduler_state& state, row_index server, std::span<const std::uint64_t> blocks) {
  for (const std::uint64_t block : blocks) {
    add_cached_block(state, server, block);
  }
}

void clear_cached_blocks(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  if (server.m_service != no_row) {
    for (const std::uint64_t block : server.m_cached_blocks.m_lru_order) {
      remove_holder(state.m_services[server.m_service], block, server_index);
    }
  }
  server.m_cached_blocks = {};
}

void handle_cache_event(scheduler_state& state, const cache_event& change) {
  const row_index server_index = find_row(state.m_server_names, change.m_backend_server);
  if (server_index == no_row || state.m_servers[server_index].m_service == no_row) {
    count_rejected(state, "unknown_backend_server");
    return;
  }
  cached_blocks& known = state.m_servers[server_index].m_cached_blocks;
  if (change.m_sequence <= known.m_last_event_sequence &&
      ++known.m_stale_events < stale_events_before_reset) {
    count_rejected(state, "old_cache_event");
    return;
  }
  if (known.m_last_event_sequence != 0 && change.m_sequence != known.m_last_event_sequence + 1) {
    count_rejected(state, "cache_event_gap");
    clear_cached_blocks(state, server_index);
  }
  known.m_last_event_sequence = change.m_sequence;
  known.m_stale_events = 0;
  if (change.m_added) {
    add_cached_block(state, server_index, change.m_block);
  } else {
    remove_cached_block(state, server_index, change.m_block);
  }
}

std::size_t count_matching_blocks(const scheduler_state& state, row_index server,
                                  std::span<const std::uint64_t> blocks) {
  const auto& known = state.m_servers[server].m_cached_blocks.m_blocks;
  // A cached block can be used only if all blocks before it are cached, too.
  const auto end = std::find_if_not(blocks.begin(), blocks.end(),
                                    [&](std::uint64_t block) { return known.contains(block); });
  return static_cast<std::size_t>(end - blocks.begin());
}

std::span<const row_index> find_longest_match_holders(const scheduler_state& state, row_index service,
                                                      std::span<const std::uint64_t> blocks) {
  const auto& holders = state.m_services[service].m_block_holders;
  const auto end = std::find_if_not(blocks.begin(), blocks.end(),
                                    [&](std::uint64_t block) { return holders.contains(block); });
  if (end == blocks.begin()) {
    return {};
  }
  return holders.at(*std::prev(end));
}

} // namespace cardamompond::scheduler
