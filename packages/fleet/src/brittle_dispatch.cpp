#include "dispatcher_impl.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Upper bound of what a server or a peer may state; servers with room for more need no care.
constexpr std::uint32_t max_stated_rejections = 10'000;

// Times within which reports arrive: in small groups and from the own zone, and between zones of large
// groups.
constexpr duration report_delay = milliseconds(250);
constexpr duration report_delay_remote_zone = seconds(3);

// A peer counts as active for this time after a report with running requests. Those of plain services last
// some milliseconds, so that most reports contain none.
constexpr duration active_time = seconds(5);

// Active daemons change without an event, so that the shares are computed anew after this time.
constexpr duration share_lifetime = seconds(1);

// Rejections that a peer reported count for this time.
constexpr duration peer_rejection_time = seconds(1);

// Times for which peers are told what a server stated, as for limits.
constexpr duration recent_statement_time = seconds(2);
constexpr duration statement_time = seconds(10);
constexpr duration end_report_time = seconds(30);

server_row* find_process(dispatch_tables& tables, std::uint32_t id_hash, std::uint32_t instance) {
  const auto found = tables.m_servers_by_hash.find(id_hash);
  return found != tables.m_servers_by_hash.end() && instance_hash(found->second->m_entry) == instance
             ? found->second
             : nullptr;
}

// Sets for how many rejections the servers of the service are known. A server without a statement of its own,
// which may have started a moment ago, counts like the most brittle one.
void set_max_rejections(const server_lists& servers, bool& shares_valid) {
  std::optional<std::uint32_t> least;
  for (const server_row* each : servers.m_all) {
    if (each->m_listed && each->m_notice != nullptr && each->m_notice->m_brittle.m_max_rejections) {
      const auto stated = *each->m_notice->m_brittle.m_max_rejections;
      least = least ? std::min(*least, stated) : stated;
    }
  }
  for (server_row* each : servers.m_all) {
    const bool has_statement = each->m_notice != nullptr && each->m_notice->m_brittle.m_stated;
    const auto max_rejections = has_statement ? each->m_notice->m_brittle.m_max_rejections : least;
    shares_valid = shares_valid && each->m_max_rejections == max_rejections;
    each->m_max_rejections = max_rejections;
  }
}

// The daemons of a zone without servers in service have slots in all zones.
void compute_shares(const dispatch_tables& tables, const server_lists& servers,
                    std::span<const std::uint64_t> active) {
  std::set<std::string_view> server_zones;
  for (const server_row* each : servers.m_all) {
    if (is_in_service(tables, *each)) {
      server_zones.insert(each->m_entry.m_availability_zone);
    }
  }
  std::map<std::string_view, std::vector<std::uint64_t>> sharers;
  const auto shares = [&](std::string_view daemon_zone, std::string_view server_zone) {
    return daemon_zone == server_zone || !server_zones.contains(daemon_zone);
  };
  for (const auto zone : server_zones) {
    auto& of_zone = sharers[zone];
    for (const auto& each : tables.m_members) {
      if (each.m_name != tables.m_self.m_name && shares(each.m_availability_zone, zone)) {
        of_zone.push_back(hash64(each.m_name));
      }
    }
  }
  for (server_row* each : servers.m_all) {
    if (is_in_service(tables, *each) && each->m_max_rejections) {
      const std::string& zone = each->m_entry.m_availability_zone;
      each->m_brittle_share = find_brittle_share(
          each->m_entry.m_slots, *each->m_max_rejections, each->m_id_hash, hash64(tables.m_self.m_name),
          shares(tables.m_self.m_availability_zone, zone), sharers[zone], active);
    }
  }
}

// Returns the peers that had requests lately. Slots of the others are free for those that have.
std::vector<std::uint64_t> find_active_peers(const dispatch_tables& tables, time_point now) {
  std::vector<std::uint64_t> active;
  for (const auto& [name, peer] : tables.m_peers) {
    if (peer.m_last_active && now - *peer.m_last_active <= active_time) {
      active.push_back(hash64(name));
    }
  }
  return active;
}

// Adds up what the peers reported. Done here, because requests are placed far more often than reports come.
void sum_peer_rejections(const dispatch_tables& tables, time_point now) {
  for (const auto& [hash, server] : tables.m_servers_by_hash) {
    server->m_peer_rejections = 0;
  }
  for (const auto& [name, peer] : tables.m_peers) {
    if (now - peer.m_rejections_received >= peer_rejection_time) {
      continue;
    }
    for (const auto& [hash, rejections] : peer.m_rejections) {
      if (const auto found = tables.m_servers_by_hash.find(hash); found != tables.m_servers_by_hash.end()) {
        found->second->m_peer_rejections += rejections;
      }
    }
  }
}

bool is_within(std::optional<time_point> when, duration time, time_point now) {
  return when && now - *when <= time;
}

// Whether a report of that scope contains what the server stated.
bool is_reported(const dispatch_tables& tables, const server_row& server, dispatcher::limit_scope scope,
                 time_point now) {
  const brittle_notice& brittle = server.m_notice->m_brittle;
  if (scope == dispatcher::limit_scope::zone) {
    return brittle.m_stated && server.m_entry.m_availability_zone == tables.m_self.m_availability_zone;
  }
  if (!brittle.m_own_stated || brittle.m_own_stated != brittle.m_stated) {
    return false;
  }
  return scope == dispatcher::limit_scope::recent ? is_within(brittle.m_changed, recent_statement_time, now)
         : brittle.m_max_rejections               ? is_within(brittle.m_stated, statement_time, now)
                                                  : is_within(brittle.m_changed, end_report_time, now);
}

} // namespace

void update_brittle(dispatch_tables& tables, time_point now) {
  if (!tables.m_notices.has_brittle()) {
    return;
  }
  tables.m_notices.expire_brittle(now);
  bool shares_valid =
      tables.m_brittle_shares_valid && now - tables.m_brittle_shares_computed < share_lifetime;
  for (const auto& [service, servers] : tables.m_lists) {
    set_max_rejections(servers, shares_valid);
  }
  sum_peer_rejections(tables, now);
  std::vector<std::uint64_t> active;
  if (!shares_valid) {
    active = find_active_peers(tables, now);
    tables.m_brittle_shares_computed = now;
  }
  for (const auto& [service, servers] : tables.m_lists) {
    if (!shares_valid) {
      compute_shares(tables, servers, active);
    }
    for (server_row* each : servers.m_all) {
      if (each->m_max_rejections) {
        each->m_brittle.observe(find_brittle_load(*each), now);
      }
    }
  }
  tables.m_brittle_shares_valid = true;
}

brittle_load find_brittle_load(const server_row& server) {
  return {server.m_entry.m_slots, server.m_own_running, server.m_peer_running, server.m_peer_rejections};
}

bool is_held_as_brittle(const dispatch_tables& tables, const server_row& server, time_point now) {
  if (!server.m_max_rejections) {
    return false;
  }
  const bool near =
      tables.m_frequent_reports || server.m_entry.m_availability_zone == tables.m_self.m_availability_zone;
  return !server.m_brittle.allows(*server.m_max_rejections, server.m_brittle_share, find_brittle_load(server),
                                  near ? report_delay : report_delay_remote_zone, now);
}

limit_change dispatcher::record_brittle(const backend_server& server,
                                        std::optional<std::uint32_t> max_rejections, time_point sent_after,
                                        time_point now) {
  auto& tables = m_impl->m_tables;
  if (max_rejections) {
    max_rejections = std::min(*max_rejections, max_stated_rejections);
  }
  const limit_change change = tables.m_notices.record_brittle(server, max_rejections, now, sent_after);
  if (change != limit_change::none) {
    update_notices(tables);
    update_brittle(tables, now);
  }
  return change;
}

std::vector<brittle_statement> dispatcher::set_peer_brittle(std::string_view daemon,
                                                            std::span<const brittle_statement> statements,
                                                            time_point received) {
  auto& tables = m_impl->m_tables;
  std::vector<brittle_statement> changes;
  bool has_rejections = false;
  if (const auto peer = tables.m_peers.find(daemon); peer != tables.m_peers.end()) {
    peer->second.m_rejections.clear();
  }
  for (const auto& each : statements) {
    const server_row* server = find_process(tables, each.m_server, each.m_instance);
    if (server == nullptr) {
      continue;
    }
    if (each.m_rejections > 0) {
      has_rejections = true;
      peer_row& peer = tables.m_peers[std::string(daemon)];
      peer.m_received = std::max(peer.m_received, received);
      peer.m_rejections[each.m_server] = std::min(each.m_rejections, max_stated_rejections);
      peer.m_rejections_received = received;
    }
    auto max_rejections = each.m_max_rejections;
    if (max_rejections) {
      max_rejections = std::min(*max_rejections, max_stated_rejections);
    }
    const time_point stated = received - std::max(duration::zero(), each.m_age);
    if (tables.m_notices.record_brittle(server->m_entry, max_rejections, stated, std::nullopt) !=
        limit_change::none) {
      changes.push_back(each);
    }
  }
  if (!changes.empty()) {
    update_notices(tables);
    update_brittle(tables, received);
  } else if (has_rejections) {
    sum_peer_rejections(tables, received);
  }
  return changes;
}

std::vector<brittle_statement> dispatcher::brittle_statements(limit_scope scope, time_point now) const {
  std::vector<brittle_statement> statements;
  const auto& tables = m_impl->m_tables;
  if (!tables.m_notices.has_brittle()) {
    return statements;
  }
  for (const auto& [service, lists] : tables.m_lists) {
    for (const server_row* each : lists.m_all) {
      if (!each->m_listed || each->m_notice == nullptr || !each->m_notice->m_brittle.m_stated) {
        continue;
      }
      const brittle_notice& brittle = each->m_notice->m_brittle;
      const std::uint32_t rejections = each->m_max_rejections ? each->m_brittle.count_rejections(now) : 0;
      if (rejections > 0 || is_reported(tables, *each, scope, now)) {
        statements.push_back({each->m_id_hash, instance_hash(each->m_entry), brittle.m_max_rejections,
                              std::max(duration::zero(), now - *brittle.m_stated), rejections});
      }
    }
  }
  return statements;
}

dispatcher::brittle_totals dispatcher::count_brittle() const {
  brittle_totals totals{0, m_impl->m_tables.m_brittle_rejections};
  for (const auto& [service, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      totals.m_servers += server.m_listed && server.m_max_rejections ? 1 : 0;
    }
  }
  return totals;
}

} // namespace cardamompond::fleet
