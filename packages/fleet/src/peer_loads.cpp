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

// Ignores the failure reports for a service if they concern more than half of its servers: the reporting
// peers then probably have a bad network link themselves.
void update_failure_reports(const server_lists& servers) {
  const auto reported = std::count_if(servers.m_all.begin(), servers.m_all.end(),
                                      [](const server_row* each) { return each->m_failure_reports > 0; });
  const bool ignored = static_cast<std::size_t>(reported) * 2 > servers.m_all.size();
  for (server_row* each : servers.m_all) {
    each->m_failure_reports_ignored = ignored;
  }
}

void update_failure_reports(const dispatch_tables& tables) {
  for (const auto& [name, servers] : tables.m_lists) {
    update_failure_reports(servers);
  }
}

// Adds a report to the sums of its servers, or takes it out. Returns whether it reports a failing server.
bool apply_loads(dispatch_tables& tables, std::span<const server_load> loads, bool added) {
  bool has_failing = false;
  const auto change = [&](std::uint32_t& sum, std::uint32_t by) {
    sum = added ? sum + by : sum - std::min(sum, by);
  };
  for (const auto& load : loads) {
    has_failing = has_failing || load.m_failing;
    const auto found = tables.m_servers_by_hash.find(load.m_server);
    if (found == tables.m_servers_by_hash.end()) {
      continue;
    }
    server_row& server = *found->second;
    change(server.m_peer_running, load.m_running);
    change(server.m_peer_reading, load.m_reading_tokens);
    change(server.m_failure_reports, load.m_failing ? 1 : 0);
    change(server.m_leaving_reports,
           load.m_leaving && load.m_instance == instance_hash(server.m_entry) ? 1 : 0);
  }
  return has_failing;
}

} // namespace

bool uses_learned_limits(const dispatch_tables& tables, std::string_view service) {
  return tables.m_learned_limits == learned_limits_mode::on ||
         (tables.m_learned_limits == learned_limits_mode::automatic &&
          tables.m_stating_services.contains(service));
}

void record_work_time(dispatch_tables& tables, server_row& server, std::uint32_t percent, time_point stated) {
  server.m_work_time.record(percent, stated);
  if (server.m_work_time.known()) {
    tables.m_stating_services.insert(server.m_entry.m_service);
  }
}

void index_servers(dispatch_tables& tables) {
  tables.m_servers_by_hash.clear();
  tables.m_lists.clear();
  for (auto& [name, servers] : tables.m_servers) {
    server_lists& lists = tables.m_lists[name];
    for (auto& [id, server] : servers) {
      tables.m_servers_by_hash[server.m_id_hash] = &server;
      lists.m_all.push_back(&server);
      if (server.m_entry.m_availability_zone == tables.m_self.m_availability_zone) {
        lists.m_own_zone.push_back(&server);
      }
      server.m_peer_running = 0;
      server.m_peer_reading = 0;
      server.m_failure_reports = 0;
      server.m_leaving_reports = 0;
    }
  }
  for (const auto& [name, peer] : tables.m_peers) {
    apply_loads(tables, peer.m_loads, true);
  }
  update_failure_reports(tables);
}

void replace_peer_loads(dispatch_tables& tables, peer_row& peer, std::span<const server_load> loads) {
  const bool had_failing = apply_loads(tables, peer.m_loads, false);
  const bool has_failing = apply_loads(tables, loads, true);
  peer.m_loads.assign(loads.begin(), loads.end());
  if (had_failing || has_failing) {
    update_failure_reports(tables);
  }
}

void expire_peer_loads(dispatch_tables& tables, time_point now) {
  const duration max_age = tables.m_frequent_reports ? max_report_age : max_report_age_large_group;
  for (auto each = tables.m_peers.begin(); each != tables.m_peers.end();) {
    if (now - each->second.m_received <= max_age) {
      ++each;
      continue;
    }
    replace_peer_loads(tables, each->second, {});
    each = tables.m_peers.erase(each);
  }
}

void record_work(server_row& server, duration took, time_point now) {
  const work_time& stated = server.m_work_time;
  server.m_capacity.set_slots(server.m_entry.m_slots);
  server.m_capacity.record(
      server.m_own_running + server.m_peer_running,
      std::chrono::duration<double>(took).count() * stated.lasting() / stated.expected(now), now);
}

void update_learned_limits(dispatch_tables& tables, time_point now) {
  std::unordered_map<std::uint32_t, std::vector<std::uint32_t>> limits;
  for (const auto& [hash, server] : tables.m_servers_by_hash) {
    if (const auto limit = server->m_capacity.learned_limit(now)) {
      limits[hash].push_back(*limit);
    }
  }
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& [hash, limit] : peer.m_limits) {
      limits[hash].push_back(limit);
    }
  }
  for (const auto& [hash, server] : tables.m_servers_by_hash) {
    const auto found = limits.find(hash);
    server->m_learned_limit = 0;
    if (found != limits.end()) {
      // The higher median: one daemon with a wrong view neither lowers nor raises the limit.
      auto& learned = found->second;
      const auto middle = learned.begin() + static_cast<std::ptrdiff_t>(learned.size() / 2);
      std::nth_element(learned.begin(), middle, learned.end());
      server->m_learned_limit = *middle;
    }
  }
}

void update_combined_speeds(dispatch_tables& tables) {
  for (const auto& [hash, server] : tables.m_servers_by_hash) {
    server->m_combined_speed =
        server->m_own_speed.has_observations() ? server->m_own_speed.estimate() : assumed_speed();
  }
  for (const auto& [name, peer] : tables.m_peers) {
    for (const auto& [hash, speed] : peer.m_speeds) {
      if (const auto found = tables.m_servers_by_hash.find(hash); found != tables.m_servers_by_hash.end()) {
        found->second->m_combined_speed = combine(found->second->m_combined_speed, speed);
      }
    }
  }
}

} // namespace cardamompond::fleet
