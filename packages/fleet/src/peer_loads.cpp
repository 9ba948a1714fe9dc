#include "dispatch_tables.hpp"

namespace cardamompond::fleet {
namespace {

// Reports come several times a second; one this old says nothing about requests that last a second or two.
constexpr duration max_report_age = seconds(2);

} // namespace

void run_peer_loads(dispatch_tables& tables, time_point now) {
  std::erase_if(tables.m_peers, [&](const auto& peer) { return now - peer.second.m_received > max_report_age; });
  std::unordered_map<std::uint64_t, std::uint32_t> running;
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& load : peer.m_loads) {
      running[load.m_server] += load.m_running;
    }
  }
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      const auto found = running.find(server.m_hash);
      server.m_peers = found == running.end() ? 0 : found->second;
    }
  }
}

} // namespace cardamompond::fleet
