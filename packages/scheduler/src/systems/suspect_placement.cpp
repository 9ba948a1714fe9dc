#include "systems/suspect_placement.hpp"

#include "servers.hpp"
#include "systems/crashes.hpp"
#include "systems/rollouts.hpp"

#include <algorithm>
#include <set>

namespace cardamompond::scheduler {

namespace {

// A suspect waits for an empty backend server for at most this long, or for half of its remaining time if
// that is shorter. After that it runs on the server with the fewest outstanding requests.
constexpr seconds max_wait_for_empty_server{10};
// Suspects may reserve at most one in this many backend servers of a version, but always one.
constexpr std::size_t servers_per_suspect = 8;

// Returns the backend servers that the content has crashed or may have crashed.
std::set<std::string> find_possibly_crashed_servers(const crash_row& crash) {
  std::set<std::string> servers(crash.m_crashed_servers.begin(), crash.m_crashed_servers.end());
  for (const unconfirmed_crash& pending : crash.m_unconfirmed) {
    servers.insert(pending.m_server);
  }
  return servers;
}

bool may_reserve_another(const scheduler_state& state, const version_row& version) {
  const auto dedicated =
      std::count_if(version.m_servers.begin(), version.m_servers.end(),
                    [&](row_index server) { return is_dedicated_to_suspect(state, server); });
  return static_cast<std::size_t>(dedicated) <
         std::max<std::size_t>(1, version.m_in_service_count / servers_per_suspect);
}

// Returns the backend server with the fewest outstanding requests among those that may run the suspect. If
// `exclude_possibly_crashed` is true, servers that the content may have crashed are excluded.
row_index find_least_loaded_server(const scheduler_state& state, const version_row& version,
                                   const std::set<std::string>& possibly_crashed,
                                   bool exclude_possibly_crashed) {
  row_index best = no_row;
  for (const row_index server_index : version.m_servers) {
    const server_row& server = state.m_servers[server_index];
    if (server.m_counted_limit == 0 || server.m_suspects_outstanding > 0 ||
        (exclude_possibly_crashed && possibly_crashed.contains(server.m_name))) {
      continue;
    }
    // Among equals, a server that is already reserved for a suspect is preferred.
    const bool is_better =
        best == no_row || server.m_outstanding < state.m_servers[best].m_outstanding ||
        (server.m_outstanding == state.m_servers[best].m_outstanding && server.m_reserved_for_suspect);
    if (is_better) {
      best = server_index;
    }
  }
  return best;
}

bool has_waited_long_enough(const scheduler_state& state, const request_row& request) {
  const duration half_remaining_time = (request.m_deadline - request.m_isolated_since) / 2;
  return state.m_now >=
         request.m_isolated_since + std::min<duration>(max_wait_for_empty_server, half_remaining_time);
}

row_index choose_server_in_version(scheduler_state& state, const request_row& request,
                                   row_index version_index, const std::set<std::string>& possibly_crashed) {
  const version_row& version = state.m_versions[version_index];
  row_index server = find_least_loaded_server(state, version, possibly_crashed, true);
  if (server == no_row) {
    server =
        // No other server can run the suspect, and a crash of this one adds no further crashed server.
        find_least_loaded_server(state, version, possibly_crashed, false);
  }
  if (server == no_row) {
    return no_row;
  }
  const bool is_free = state.m_servers[server].m_free_position != no_row;
  if (is_free &&
      (has_waited_long_enough(state, request) ||
       (state.m_servers[server].m_outstanding == 0 &&
        (state.m_servers[server].m_reserved_for_suspect || may_reserve_another(state, version))))) {
    return server;
  }
  if (state.m_servers[server].m_reserved_for_suspect || may_reserve_another(state, version)) {
    state.m_servers[server].m_reserved_for_suspect = true;
    state.m_servers[server].m_reservation_renewed = true;
    state.m_reserved_servers.insert(server);
  }
  return no_row;
}

} // namespace

bool is_dedicated_to_suspect(const scheduler_state& state, row_index server) {
  return state.m_servers[server].m_reserved_for_suspect || state.m_servers[server].m_suspects_outstanding > 0;
}

row_index choose_suspect_server(scheduler_state& state, const request_row& request) {
  const crash_row* crash = find_crash(state, request.m_fingerprint);
  const std::set<std::string> possibly_crashed =
      crash == nullptr ? std::set<std::string>{} : find_possibly_crashed_servers(*crash);
  if (crash != nullptr && (crash->m_outstanding > 0 || possibly_crashed.size() > 1)) {
    return no_row; // wait for the outcome of another request with this content, or for load reports
  }
  for (const row_index version : choose_versions(state, request)) {
    if (version == no_row) {
      return no_row;
    }
    if (const row_index server = choose_server_in_version(state, request, version, possibly_crashed);
        server != no_row) {
      return server;
    }
  }
  return no_row;
}

void release_reservations(scheduler_state& state) {
  std::erase_if(state.m_reserved_servers, [&](row_index server_index) {
    server_row& server = state.m_servers[server_index];
    server.m_reserved_for_suspect = server.m_reserved_for_suspect && server.m_reservation_renewed;
    server.m_reservation_renewed = false;
    return !server.m_reserved_for_suspect;
  });
}

} // namespace cardamompond::scheduler
