#include "servers.hpp"

#include "systems/cold_start.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// A backend server goes out of service when more than this number of polls in a row fail. A single poll may
// be lost under load.
constexpr std::uint32_t tolerated_failed_polls = 1;

void update_free_list(scheduler_state& state, row_index server_index, bool is_free) {
  server_row& server = state.m_servers[server_index];
  std::vector<row_index>& free = state.m_versions[server.m_version].m_free_servers;
  if (is_free == (server.m_free_position != no_row)) {
    return;
  }
  if (is_free) {
    server.m_free_position = static_cast<row_index>(free.size());
    free.push_back(server_index);
    return;
  }
  state.m_servers[free.back()].m_free_position = server.m_free_position;
  free[server.m_free_position] = free.back();
  free.pop_back();
  server.m_free_position = no_row;
}

} // namespace

bool is_in_service(const server_row& server) {
  return server.m_declared && server.m_declared_in_service && !server.m_host_leaving &&
         !server.m_reported_leaving && server.m_failed_polls <= tolerated_failed_polls &&
         !server.m_refusing_connections && server.m_slots > 0;
}

bool is_cold(const server_row& server) {
  return server.m_limit < server.m_slots;
}

std::uint32_t current_limit(const server_row& server) {
  std::uint32_t limit = std::min(server.m_limit, server.m_slots);
  if (server.m_reported_slots > 0) {
    limit = std::min(limit, server.m_reported_slots);
  }
  if (server.m_restart_possible) {
    limit = std::min(limit, server.m_restart_possible_limit);
  }
  return limit;
}

void update_server_indexes(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  if (server.m_version == no_row) {
    return;
  }
  const bool serving = is_in_service(server);
  if (serving && !server.m_was_in_service) {
    begin_cold_start(state, server);
  }
  server.m_was_in_service = serving;
  const std::uint32_t limit = serving ? current_limit(server) : 0;
  version_row& version = state.m_versions[server.m_version];
  version.m_in_service_count += (serving ? 1 : 0) - (server.m_counted_in_service ? 1 : 0);
  server.m_counted_in_service = serving;
  version.m_total_limit += limit;
  version.m_total_limit -= server.m_counted_limit;
  server.m_counted_limit = limit;
  update_free_list(state, server_index, server.m_outstanding < limit);
}

void assign_slot(scheduler_state& state, request_row& request, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  request.m_server = server_index;
  request.m_version = server.m_version;
  request.m_cold_epoch = server.m_cold_epoch;
  request.m_cold_at_grant = is_cold(server);
  request.m_granted = state.m_now;
  ++server.m_outstanding;
  server.m_long_outstanding += request.m_long ? 1 : 0;
  if (request.m_suspect) {
    ++server.m_suspects_outstanding;
    ++state.m_crashes[request.m_fingerprint].m_outstanding;
  }
  update_server_indexes(state, server_index);
}

void release_slot(scheduler_state& state, const request_row& request) {
  if (request.m_server == no_row) {
    return;
  }
  server_row& server = state.m_servers[request.m_server];
  --server.m_outstanding;
  server.m_long_outstanding -= request.m_long ? 1 : 0;
  if (request.m_suspect) {
    --server.m_suspects_outstanding;
    --state.m_crashes[request.m_fingerprint].m_outstanding;
  }
  update_server_indexes(state, request.m_server);
}

} // namespace cardamompond::scheduler
