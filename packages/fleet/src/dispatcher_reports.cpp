#include "dispatcher_impl.hpp"
#include "expected_times.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::fleet {
namespace {

// Time for which peers are told that a server leaves. The store shows it by then, or its own answers to the
// peers do.
constexpr duration leaving_report_time = seconds(10);

// The most blocked requests that one report of a peer adds, so that a wrong total holds back other requests
// for a moment only. Daemons report several times a second.
constexpr std::uint32_t max_blocked_per_report = 50;

// Speeds of servers that this daemon does not know that are kept for one peer. Whoever can send datagrams can
// invent servers.
constexpr std::size_t max_speeds_of_unknown_servers = 256;

// Time for which peers are told a work time that a server stated. Later statements of the server reach them
// by other daemons.
constexpr duration work_time_report_time = milliseconds(500);

// The most prompt tokens that a report of a peer may state as being processed by one server.
constexpr std::uint32_t max_reported_reading_tokens = 1'000'000;

// Records a work time that a server stated to a peer.
void record_peer_work_time(dispatch_tables& tables, const server_load& load, time_point received) {
  const auto found = tables.m_servers_by_hash.find(load.m_server);
  if (found != tables.m_servers_by_hash.end() && tables.m_learned_limits != learned_limits_mode::off) {
    record_work_time(tables, *found->second, load.m_work_time.m_percent,
                     received - std::max(duration::zero(), load.m_work_time.m_age));
  }
}

// Time to the first event of a request without a prompt, which shows how fast a server is at the moment.
double expected_first_s(const server_row& server, time_point now) {
  return expected_speed(server, now).m_base_s;
}

} // namespace

void dispatcher::record_work_time(std::string_view server_id, std::uint32_t percent, time_point now) {
  server_row* server = m_impl->m_tables.find_server(server_id);
  if (server == nullptr || m_impl->m_tables.m_learned_limits == learned_limits_mode::off) {
    return;
  }
  fleet::record_work_time(m_impl->m_tables, *server, percent, now);
  if (server->m_work_time.age(now) == duration::zero()) {
    server->m_own_work_time = percent;
    server->m_own_work_time_stated = now;
  }
}

void dispatcher::set_learned_limits(learned_limits_mode mode) {
  m_impl->m_tables.m_learned_limits = mode;
}

bool dispatcher::learned_limits_enabled(std::string_view service) const {
  return uses_learned_limits(m_impl->m_tables, service);
}

void dispatcher::set_peer_loads(std::string_view daemon, std::span<const server_load> loads, time_point now) {
  auto& peer = m_impl->m_tables.m_peers[std::string(daemon)];
  replace_peer_loads(m_impl->m_tables, peer, loads);
  peer.m_received = now;
  if (std::any_of(loads.begin(), loads.end(), [](const server_load& each) { return each.m_running > 0; })) {
    peer.m_last_active = now;
  }
  // A peer may know servers that this daemon does not know yet, but not any number of them.
  const std::size_t max_speeds =
      2 * m_impl->m_tables.m_servers_by_hash.size() + max_speeds_of_unknown_servers;
  for (const auto& load : loads) {
    if (load.m_speed.m_samples > 0 &&
        (peer.m_speeds.size() < max_speeds || peer.m_speeds.contains(load.m_server))) {
      peer.m_speeds[load.m_server] = load.m_speed;
      if (load.m_learned_limit > 0) {
        peer.m_limits[load.m_server] = load.m_learned_limit;
      } else {
        peer.m_limits.erase(load.m_server);
      }
    }
    if (load.m_work_time.m_percent > 0) {
      record_peer_work_time(m_impl->m_tables, load, now);
    }
  }
}

void dispatcher::set_peer_blocked(std::string_view daemon, const blocked_totals& totals, time_point now) {
  auto& tables = m_impl->m_tables;
  auto& previous = tables.m_peers[std::string(daemon)].m_blocked;
  for (std::size_t level = 0; previous && level < urgency_levels; ++level) {
    if (totals[level] > (*previous)[level]) {
      const std::uint32_t added = totals[level] - (*previous)[level];
      tables.m_blocked.record(level, std::min(added, max_blocked_per_report), now);
    }
  }
  previous = totals;
}

blocked_totals dispatcher::own_blocked() const {
  return m_impl->m_tables.m_own_blocked;
}

std::vector<server_load> dispatcher::own_loads(time_point now) const {
  std::vector<server_load> loads;
  for (const auto& [name, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      const speed_estimate speed =
          server.m_own_speed.has_observations() ? server.m_own_speed.estimate() : speed_estimate{};
      const bool failing = now < server.m_failing_until;
      const bool leaving = server.m_listed && is_leaving(server) && !server.m_notice->m_to_confirm &&
                           now < server.m_notice->m_leaving_since + leaving_report_time;
      work_time_statement stated;
      if (server.m_own_work_time > 0 && now - server.m_own_work_time_stated <= work_time_report_time) {
        stated = {server.m_own_work_time, now - server.m_own_work_time_stated};
      }
      if (server.m_own_running > 0 || speed.m_samples > 0 || failing || leaving || stated.m_percent > 0) {
        loads.push_back({server.m_id_hash, server.m_own_running, speed, failing, leaving,
                         leaving ? instance_hash(server.m_entry) : 0, stated,
                         std::min(server.m_own_reading, max_reported_reading_tokens),
                         uses_learned_limits(m_impl->m_tables, name)
                             ? server.m_capacity.learned_limit(now).value_or(0)
                             : 0});
      }
    }
  }
  return loads;
}

placement_explanation dispatcher::explain(submission request, time_point now) const {
  return explain_placement(m_impl->m_tables, std::move(request), now);
}

std::vector<service_capacity> dispatcher::capacities(time_point now) const {
  std::vector<service_capacity> all;
  const auto& tables = m_impl->m_tables;
  for (const auto& [name, lists] : tables.m_lists) {
    if (!uses_learned_limits(tables, name)) {
      continue;
    }
    service_capacity capacity;
    capacity.m_service = name;
    for (const server_row* each : lists.m_all) {
      if (!each->m_listed) {
        continue;
      }
      const std::uint32_t slots = each->m_entry.m_slots;
      ++capacity.m_servers;
      capacity.m_slots += slots;
      capacity.m_limit += each->m_learned_limit > 0 ? std::min(each->m_learned_limit, slots) : slots;
      capacity.m_disturbed += each->m_work_time.is_disturbed(now) ? 1 : 0;
      capacity.m_expected_first_s += expected_first_s(*each, now);
    }
    if (capacity.m_servers > 0) {
      capacity.m_expected_first_s /= static_cast<double>(capacity.m_servers);
    }
    all.push_back(std::move(capacity));
  }
  return all;
}

std::uint64_t dispatcher::last_resort_count() const {
  return m_impl->m_tables.m_last_resorts;
}

} // namespace cardamompond::fleet
