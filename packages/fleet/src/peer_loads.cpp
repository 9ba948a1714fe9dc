#include "dispatch_tables.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Reports arrive several times a second. Since requests last one or two seconds, a report of this age is
// obsolete.
constexpr duration max_report_age = seconds(2);

// In a large group, reports of other zones arrive less often. The mean load that they show is still better
// than none, since their servers would seem to be free.
constexpr duration max_report_age_large_group = seconds(5);

// Discards the failure reports for a service if they concern more than half of its servers: the reporting
// peers then probably have a bad network link themselves.
void ignore_widespread_failure_reports(std::map<std::string, server_row, std::less<>>& servers) {
  const auto reported = std::count_if(servers.begin(), servers.end(),
                                      [](const auto& each) { return each.second.m_failure_reports > 0; });
  if (static_cast<std::size_t>(reported) * 2 > servers.size()) {
    for (auto& [id, server] : servers) {
      server.m_failure_reports = 0;
    }
  }
}

using servers_by_hash = std::unordered_map<std::uint32_t, server_row*>;

servers_by_hash index_servers(dispatch_tables& tables) {
  servers_by_hash index;
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      index[server.m_id_hash] = &server;
    }
  }
  return index;
}

} // namespace

void update_peer_loads(dispatch_tables& tables, time_point now) {
  const duration max_age = tables.m_frequent_reports ? max_report_age : max_report_age_large_group;
  std::erase_if(tables.m_peers, [&](const auto& peer) { return now - peer.second.m_received > max_age; });
  const servers_by_hash by_hash = index_servers(tables);
  for (const auto& [hash, server] : by_hash) {
    server->m_peer_running = 0;
    server->m_failure_reports = 0;
    server->m_reported_leaving = false;
  }
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& load : peer.m_loads) {
      if (const auto found = by_hash.find(load.m_server); found != by_hash.end()) {
        found->second->m_peer_running += load.m_running;
        found->second->m_failure_reports += load.m_failing ? 1 : 0;
        if (load.m_leaving && load.m_instance == instance_hash(found->second->m_entry)) {
          found->second->m_reported_leaving = true;
        }
      }
    }
  }
  for (auto& [name, servers] : tables.m_servers) {
    ignore_widespread_failure_reports(servers);
  }
}

void update_combined_speeds(dispatch_tables& tables) {
  const servers_by_hash by_hash = index_servers(tables);
  for (const auto& [hash, server] : by_hash) {
    server->m_combined_speed = server->m_own_speed.estimate();
  }
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& [hash, speed] : peer.m_speeds) {
      if (const auto found = by_hash.find(hash); found != by_hash.end()) {
        found->second->m_combined_speed = combine(found->second->m_combined_speed, speed);
      }
    }
  }
}

} // namespace cardamompond::fleet
