#include "dispatch_tables.hpp"

namespace cardamompond::fleet {
namespace {

// Reports come several times a second; one this old says nothing about requests that last a second or two.
constexpr duration max_report_age = seconds(2);

} // namespace

void run_peer_loads(dispatch_tables& tables, time_point now) {
  std::erase_if(tables.m_peers, [&](const auto& peer) { return now - peer.second.m_received > max_report_age; });
  std::unordered_map<std::uint64_t, server_row*> by_hash;
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      by_hash[server.m_hash] = &server;
      server.m_peers = 0;
      server.m_speed = server.m_observed.summary();
    }
  }
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& load : peer.m_loads) {
      if (const auto found = by_hash.find(load.m_server); found != by_hash.end()) {
        found->second->m_peers += load.m_running;
        found->second->m_speed = combine(found->second->m_speed, load.m_speed);
      }
    }
  }
}

} // namespace cardamompond::fleet
