#include "cardamompond/fleet/dispatcher.hpp"

#include "dispatcher_impl.hpp"
#include "overload_control.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::fleet {
namespace {

// Upper bound of the cold period that a server or its entry may state.
constexpr duration max_cold = seconds(60);

// Upper bound of the pause that a server may ask for. A server that asks for more has a fault and is tried
// again once a minute, as one that states a long cold period.
constexpr milliseconds max_pause{60'000};

// The pause of a server that asks for one but does not state its length readably.
constexpr milliseconds unreadable_pause{1'000};

// How long a silent server receives no new requests. It covers several of the checks that report the silence.
constexpr duration silence_exclusion = milliseconds(300);

// Applies the settings that are declared for all servers of a service.
void apply_service_settings(server_row& server, const service& declared) {
  server.m_uses_batching = declared.m_uses_batching;
  server.m_max_reservation = declared.m_max_reservation;
}

} // namespace

std::uint32_t server_id_hash(std::string_view id) {
  return static_cast<std::uint32_t>(hash64(id));
}

std::uint32_t instance_hash(const backend_server& server) {
  return static_cast<std::uint32_t>(server.m_started_unix_ms);
}

server_row* dispatch_tables::find_server(std::string_view id) {
  for (auto& [name, servers] : m_servers) {
    if (const auto found = servers.find(id); found != servers.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

server_row* dispatcher::impl::erase_running(ticket request) {
  const auto found = m_tables.m_running.find(request);
  if (found == m_tables.m_running.end()) {
    return nullptr;
  }
  server_row* const server = m_tables.find_server(found->second.m_server_id);
  if (server != nullptr && server->m_own_running > 0) {
    --server->m_own_running;
  }
  if (server != nullptr && found->second.m_reading) {
    server->m_own_reading -= std::min(server->m_own_reading, found->second.m_prompt_tokens);
  }
  m_tables.m_running.erase(found);
  return server;
}

void dispatcher::impl::erase_unlisted_servers() {
  std::size_t erased = 0;
  for (auto& [name, servers] : m_tables.m_servers) {
    erased += std::erase_if(
        servers, [](const auto& each) { return !each.second.m_listed && each.second.m_own_running == 0; });
  }
  if (erased > 0) {
    index_servers(m_tables);
  }
}

dispatcher::dispatcher(std::uint64_t seed)
    : m_impl(std::make_unique<impl>()) {
  m_impl->m_tables.m_random.seed(seed);
}

dispatcher::~dispatcher() = default;

void dispatcher::apply(const declarations& source) {
  auto& tables = m_impl->m_tables;
  tables.m_services.clear();
  tables.m_tier_ranks.clear();
  tables.m_route_ranks.clear();
  tables.m_accepted_pauses.clear();
  const bool accounts_without_rank =
      std::any_of(source.m_client_accounts.begin(), source.m_client_accounts.end(),
                  [](const client_account& each) { return !each.m_has_rank; });
  tables.m_route_ranks_are_tiers = accounts_without_rank;
  for (const auto& account : source.m_client_accounts) {
    if (account.m_has_rank) {
      tables.m_tier_ranks.insert(account.m_rank);
    }
  }
  for (const auto& route : source.m_routes) {
    const bool batching =
        std::any_of(source.m_services.begin(), source.m_services.end(), [&](const service& declared) {
          return declared.m_uses_batching &&
                 std::any_of(route.m_services.begin(), route.m_services.end(),
                             [&](const weighted_service& each) { return each.m_service == declared.m_name; });
        });
    for (const auto& [name, weight] : route.m_services) {
      if (route.m_event_gap_target > milliseconds(0)) {
        auto& accepted = tables.m_accepted_pauses.try_emplace(name, route.m_event_gap_target).first->second;
        accepted = std::min(accepted, route.m_event_gap_target);
      }
    }
    if (batching) {
      tables.m_route_ranks.insert(route.m_rank);
      if (accounts_without_rank) {
        tables.m_tier_ranks.insert(route.m_rank);
      }
    }
  }
  tables.m_account_shares.apply(source);
  for (const auto& each : source.m_services) {
    tables.m_services.emplace(each.m_name, each);
    if (const auto servers = tables.m_servers.find(each.m_name); servers != tables.m_servers.end()) {
      for (auto& [id, server] : servers->second) {
        apply_service_settings(server, each);
      }
    }
  }
}

void dispatcher::set_backend_servers(std::span<const backend_server> servers, time_point now) {
  auto& tables = m_impl->m_tables;
  for (auto& [name, rows] : tables.m_servers) {
    for (auto& [id, row] : rows) {
      row.m_listed = false;
    }
  }
  for (const auto& entry : servers) {
    auto& rows = tables.m_servers[entry.m_service];
    auto found = rows.find(entry.m_id);
    if (found != rows.end() && found->second.m_entry.m_started_unix_ms != entry.m_started_unix_ms) {
      // The server was restarted with the same id. Its state belongs to a process that has ended.
      const auto own_running = found->second.m_own_running;
      const auto own_reading = found->second.m_own_reading;
      found->second = {};
      found->second.m_own_running = own_running;
      found->second.m_own_reading = own_reading;
    }
    server_row& row = found == rows.end() ? rows[entry.m_id] : found->second;
    if (row.m_listed_since == time_point{}) {
      row.m_listed_since = now;
    }
    const bool changed = row.m_entry.m_cold_remaining != entry.m_cold_remaining || row.m_id_hash == 0;
    if (row.m_entry != entry) {
      row.m_entry = entry;
    }
    row.m_id_hash = server_id_hash(entry.m_id);
    row.m_listed = true;
    if (changed && entry.m_cold_remaining.count() > 0) {
      row.m_cold_until =
          std::max(row.m_cold_until, now + std::min<duration>(entry.m_cold_remaining, max_cold));
    }
    if (const auto declared = tables.m_services.find(entry.m_service); declared != tables.m_services.end()) {
      apply_service_settings(row, declared->second);
    }
  }
  tables.m_notices.update_listed(servers, now, tables.m_entries_restored_at);
  update_notices(tables);
  m_impl->erase_unlisted_servers();
  assign_slots(tables);
  index_servers(tables);
  update_combined_speeds(tables);
}

void dispatcher::set_evacuated_zones(std::set<std::string, std::less<>> zones) {
  m_impl->m_tables.m_evacuated_zones = std::move(zones);
  m_impl->m_tables.m_brittle_shares_valid = false;
}

void dispatcher::set_members(std::vector<daemon_location> members, daemon_location self,
                             bool frequent_reports) {
  auto& tables = m_impl->m_tables;
  tables.m_frequent_reports = frequent_reports;
  if (members == tables.m_members && self == tables.m_self) {
    return;
  }
  tables.m_members = std::move(members);
  tables.m_self = std::move(self);
  tables.m_other_members.clear();
  for (const auto& each : tables.m_members) {
    if (each.m_name != tables.m_self.m_name) {
      tables.m_other_members.push_back(hash64(each.m_name));
    }
  }
  assign_slots(tables);
  index_servers(tables);
}

void dispatcher::set_rollout_controller(rollout_controller* controller) {
  m_impl->m_tables.m_rollout_controller = controller;
}

void dispatcher::set_overload_control(std::string_view service, bool enabled) {
  auto& controlled = m_impl->m_tables.m_controlled;
  if (enabled) {
    controlled.try_emplace(std::string(service));
  } else if (const auto found = controlled.find(service); found != controlled.end()) {
    controlled.erase(found);
  }
}

bool dispatcher::overload_control_enabled(std::string_view service) const {
  return m_impl->m_tables.m_controlled.contains(service);
}

void dispatcher::set_peer_load_summaries(std::string_view daemon, std::span<const load_summary> summaries,
                                         time_point now) {
  for (auto& [name, controlled] : m_impl->m_tables.m_controlled) {
    const std::uint32_t hash = service_hash(name);
    for (const auto& each : summaries) {
      if (each.m_service == hash) {
        controlled.m_load.set_peer(daemon, each, now);
      }
    }
  }
}

std::vector<load_summary> dispatcher::own_load_summaries(bool with_totals) const {
  std::vector<load_summary> summaries;
  for (const auto& [name, controlled] : m_impl->m_tables.m_controlled) {
    summaries.push_back(controlled.m_load.own_summary(with_totals));
    summaries.back().m_service = service_hash(name);
  }
  return summaries;
}

void dispatcher::record_peer_account_use(std::uint32_t account_hash, double units, time_point now) {
  // The units of other accounts are requests.
  if (auto& shares = m_impl->m_tables.m_account_shares; shares.counts_tokens(account_hash)) {
    shares.record_use(account_hash, units, now);
  }
}

overload_counts dispatcher::count_overload_decisions() const {
  return m_impl->m_tables.m_overload_counts;
}

void dispatcher::submit(submission request, time_point now) {
  enqueue(m_impl->m_tables, std::move(request), now);
}

void dispatcher::cancel(ticket request) {
  for (auto& [name, queue] : m_impl->m_tables.m_waiting) {
    std::erase_if(queue, [&](const waiting_request& each) { return each.m_request.m_ticket == request; });
  }
}

void dispatcher::record_reported_load(std::string_view server_id, reported_load load, time_point now) {
  server_row* server = m_impl->m_tables.find_server(server_id);
  if (server == nullptr) {
    return;
  }
  // The server also counts requests of daemons whose reports were lost or are late.
  if (load.m_waiting > 0 && server->m_uses_batching) {
    constexpr duration queue_pause = milliseconds(100);
    server->m_full_until = std::max(server->m_full_until, now + queue_pause);
  }
}

bool dispatcher::record_leaving(const backend_server& server, time_point now) {
  const bool is_new = m_impl->m_tables.m_notices.record_leaving(server, now);
  update_notices(m_impl->m_tables);
  return is_new;
}

void dispatcher::set_entries_restored_at(time_point when) {
  m_impl->m_tables.m_entries_restored_at = when;
}

std::vector<backend_server> dispatcher::unconfirmed_servers(time_point now) const {
  std::vector<backend_server> unconfirmed;
  if (!m_impl->m_tables.m_notices.has_unconfirmed()) {
    return unconfirmed;
  }
  for (const auto& [name, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      if (server.m_listed && server.m_notice != nullptr && server.m_notice->m_to_confirm &&
          !server.m_notice->is_paused(now)) {
        unconfirmed.push_back(server.m_entry);
      }
    }
  }
  return unconfirmed;
}

void dispatcher::confirm_leaving(const backend_server& server, bool leaves) {
  m_impl->m_tables.m_notices.confirm_leaving(server, leaves);
  update_notices(m_impl->m_tables);
}

std::optional<backend_server> dispatcher::find_other_at(std::string_view address, std::string_view id) const {
  for (const auto& [name, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [other_id, server] : servers) {
      if (server.m_listed && server.m_entry.m_address == address && other_id != id) {
        return server.m_entry;
      }
    }
  }
  return std::nullopt;
}

bool dispatcher::may_send(const backend_server& server, time_point now) const {
  const server_notice* notice = m_impl->m_tables.m_notices.find(server);
  return notice == nullptr || (!notice->m_leaving && !notice->is_paused(now));
}

std::optional<milliseconds> dispatcher::record_pause(const backend_server& server,
                                                     std::optional<milliseconds> requested, time_point now) {
  const milliseconds pause = std::clamp(requested.value_or(unreadable_pause), milliseconds(0), max_pause);
  if (pause == milliseconds(0) || !fleet::record_pause(m_impl->m_tables, server, pause, now)) {
    return std::nullopt;
  }
  return pause;
}

std::optional<duration> dispatcher::retry_delay_for_pauses(std::string_view service,
                                                           std::span<const std::string> excluded_servers,
                                                           time_point now) {
  return fleet::retry_delay_for_pauses(m_impl->m_tables, service, excluded_servers, now);
}

std::size_t dispatcher::count_paused(time_point now) const {
  std::size_t count = 0;
  for (const auto& [name, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      count += server.m_listed && is_paused(server, now) ? 1 : 0;
    }
  }
  return count;
}

dispatcher::leaving_counts dispatcher::count_leaving() const {
  leaving_counts counts;
  for (const auto& [name, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      if (server.m_listed && is_leaving(server)) {
        ++counts.m_stated;
      } else if (server.m_listed && server.m_leaving_reports > 0) {
        ++counts.m_reported;
      }
    }
  }
  return counts;
}

void dispatcher::extend_cold_period(std::string_view server_id, milliseconds remaining, time_point now) {
  if (server_row* server = m_impl->m_tables.find_server(server_id); server != nullptr) {
    server->m_cold_until = std::max(server->m_cold_until, now + std::min<duration>(remaining, max_cold));
  }
}

void dispatcher::record_first_token(ticket request, time_point now) {
  if (const auto found = m_impl->m_tables.m_running.find(request);
      found != m_impl->m_tables.m_running.end()) {
    if (server_row* server = m_impl->m_tables.find_server(found->second.m_server_id); server != nullptr) {
      server->m_own_speed.record_first_token(found->second.m_prompt_tokens, now - found->second.m_granted);
      if (!server->m_uses_batching) {
        record_work(*server, now - found->second.m_granted, now);
      }
      if (std::exchange(found->second.m_reading, false)) {
        server->m_own_reading -= std::min(server->m_own_reading, found->second.m_prompt_tokens);
      }
    }
  }
}

void dispatcher::record_events(ticket request, std::uint64_t events, duration took) {
  if (const auto found = m_impl->m_tables.m_running.find(request);
      found != m_impl->m_tables.m_running.end()) {
    if (server_row* server = m_impl->m_tables.find_server(found->second.m_server_id); server != nullptr) {
      server->m_own_speed.record_events(events, took);
      if (events > 0) {
        record_work(*server, took / static_cast<std::int64_t>(events), m_impl->m_last_tick);
      }
    }
  }
}

void dispatcher::finish(ticket request, server_outcome outcome, time_point now) {
  if (outcome == server_outcome::refused || outcome == server_outcome::misdirected ||
      outcome == server_outcome::unreachable || outcome == server_outcome::not_sent) {
    m_impl->withdraw_grant(request, now);
  }
  if (server_row* server = m_impl->erase_running(request); server != nullptr) {
    if (outcome == server_outcome::refused && server->m_max_rejections) {
      server->m_brittle.record_rejection(now);
      ++m_impl->m_tables.m_brittle_rejections;
    }
    update_health(*server, outcome, now);
    if (outcome == server_outcome::refused &&
        find_controlled(m_impl->m_tables, server->m_entry.m_service) != nullptr) {
      extend_full_pause(m_impl->m_tables, *server, now);
    }
    m_impl->erase_if_unused(*server);
  }
}

void dispatcher::record_silence(ticket request, time_point now) {
  auto& tables = m_impl->m_tables;
  if (const auto found = tables.m_running.find(request); found != tables.m_running.end()) {
    if (server_row* server = tables.find_server(found->second.m_server_id); server != nullptr) {
      server->m_excluded_until = std::max(server->m_excluded_until, now + silence_exclusion);
    }
  }
}

void dispatcher::forget_failures() {
  for (auto& [service, servers] : m_impl->m_tables.m_servers) {
    for (auto& [id, server] : servers) {
      server.m_consecutive_failures = 0;
      server.m_failure_rate = 0;
      server.m_on_probation = false;
      server.m_failing_until = {};
      server.m_excluded_until = {};
    }
  }
}

void dispatcher::release(ticket request) {
  if (const auto found = m_impl->m_tables.m_running.find(request);
      found != m_impl->m_tables.m_running.end()) {
    m_impl->withdraw_grant(request, found->second.m_granted);
  }
  if (server_row* server = m_impl->erase_running(request); server != nullptr) {
    m_impl->erase_if_unused(*server);
  }
}

std::vector<dispatch_decision> dispatcher::tick(time_point now) {
  m_impl->m_last_tick = now;
  std::vector<dispatch_decision> decisions;
  constexpr duration expiry_interval = milliseconds(100);
  if (now - m_impl->m_peer_loads_expired >= expiry_interval) {
    m_impl->m_peer_loads_expired = now;
    expire_peer_loads(m_impl->m_tables, now);
    update_brittle(m_impl->m_tables, now);
  }
  // Combining the speeds is expensive because each peer reports every server. Peers send speeds every 0.8 s.
  constexpr duration speed_update_interval = milliseconds(400);
  if (now - m_impl->m_speeds_updated >= speed_update_interval) {
    m_impl->m_speeds_updated = now;
    update_combined_speeds(m_impl->m_tables);
    update_learned_limits(m_impl->m_tables, now);
  }
  constexpr duration limit_update_interval = seconds(1);
  if (now - m_impl->m_limits_updated >= limit_update_interval) {
    m_impl->m_limits_updated = now;
    for (auto& [service, demand] : m_impl->m_tables.m_demands) {
      demand.publish(now);
    }
    update_limits(m_impl->m_tables, now);
    update_large_shares(m_impl->m_tables, now);
  }
  process_queues(m_impl->m_tables, now, decisions);
  return decisions;
}

std::size_t dispatcher::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, queue] : m_impl->m_tables.m_waiting) {
    count += queue.size();
  }
  return count;
}

std::size_t dispatcher::running() const {
  return m_impl->m_tables.m_running.size();
}

} // namespace cardamompond::fleet
