#include "cardamompond/gateway/admission_controller.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace cardamompond::gateway {
namespace {

// The share of the group's fixed number of retries that the daemons use. The rest is a reserve because the
// windows of the daemons begin at different times.
constexpr double fixed_retries_share = 0.7;

// The share of the allowed retry ratio that the daemons use, for the same reason.
constexpr double retry_ratio_share = 0.8;

// Number of servers for which the last unreadable limit is kept, so that it is logged once.
constexpr std::size_t max_logged_unreadable_limits = 1'000;

// Logs that a server states another limit than before, or none any more. `source` is "answer" or the peer
// that reported it.
void log_limit_change(fleet::limit_change change, std::string_view server_id, std::optional<double> limit,
                      std::string_view source) {
  if (change == fleet::limit_change::ended) {
    log_event(log_level::info, "server_limit_ended", {{"backend_server", server_id}, {"source", source}});
  } else if (change == fleet::limit_change::stated && limit) {
    log_event(log_level::info, "server_limit_stated",
              {{"backend_server", server_id}, {"limit_per_s", *limit}, {"source", source}});
  }
}

// The same for the number of rejections that a server withstands.
void log_brittle_change(std::string_view server_id, std::optional<std::uint32_t> max_rejections,
                        std::string_view source) {
  if (max_rejections) {
    log_event(log_level::info, "server_brittle_stated",
              {{"backend_server", server_id}, {"max_rejections_per_s", *max_rejections}, {"source", source}});
  } else {
    log_event(log_level::info, "server_brittle_ended", {{"backend_server", server_id}, {"source", source}});
  }
}

// Returns the id of a prompt part as callers send it.
std::string to_part_id(std::uint64_t part) {
  std::array<char, 24> buffer{};
  const int length =
      std::snprintf(buffer.data(), buffer.size(), "%llx", static_cast<unsigned long long>(part));
  return {buffer.data(), static_cast<std::size_t>(length)};
}

} // namespace

admission_controller::admission_controller(fleet_view& view, fleet::daemon_location self,
                                           shared_retry_limits limits, std::uint64_t seed)
    : m_fleet_view(view)
    , m_self(std::move(self))
    , m_retry_limits(limits)
    , m_dispatcher(seed) {
  m_dispatcher.set_rollout_controller(&m_rollout_controller);
  m_dispatcher.set_members({m_self}, m_self, true);
  m_fleet_view.on_change([this](collection_kind kind) { apply_collection_change(kind); });
}

void admission_controller::apply_collection_change(collection_kind kind) {
  const time_point now = monotonic_now();
  switch (kind) {
  case collection_kind::declarations:
    if (const auto routes = m_fleet_view.routes()) {
      m_dispatcher.apply(routes->source());
      apply_overload_control();
      m_quotas.apply(routes->source(), now);
    }
    break;
  case collection_kind::backend_servers:
    if (const auto restored_at = m_fleet_view.restored_at()) {
      m_dispatcher.set_entries_restored_at(*restored_at);
    }
    m_dispatcher.set_backend_servers(m_fleet_view.backend_servers(), now);
    break;
  case collection_kind::rollouts:
    m_rollout_controller.set_orders(m_fleet_view.rollouts(), now,
                                    m_fleet_view.collection(kind).as_of().m_era);
    break;
  case collection_kind::evacuations:
    m_dispatcher.set_evacuated_zones(m_fleet_view.evacuated_zones());
    break;
  case collection_kind::members:
    break; // peer_group reads the members and calls set_members()
  }
  deliver_decisions();
}

void admission_controller::log_learned_limits() {
  const auto routes = m_fleet_view.routes();
  if (!routes) {
    return;
  }
  for (const auto& service : routes->source().m_services) {
    if (m_dispatcher.learned_limits_enabled(service.m_name) &&
        m_logged_services.insert(service.m_name).second) {
      log_event(log_level::info, "learned_limits_on", {{"service", service.m_name}});
    }
  }
}

void admission_controller::set_overload_control(scheduling_switch control) {
  m_overload_control = control;
  apply_overload_control();
}

void admission_controller::apply_overload_control() {
  const auto routes = m_fleet_view.routes();
  if (m_overload_control == scheduling_switch::automatic || !routes) {
    return;
  }
  for (const auto& each : routes->source().m_services) {
    const bool enabled = m_overload_control == scheduling_switch::on;
    if (m_dispatcher.overload_control_enabled(each.m_name) != enabled) {
      m_dispatcher.set_overload_control(each.m_name, enabled);
      log_event(log_level::info, "overload_control_changed",
                {{"service", each.m_name}, {"enabled", enabled}, {"reason", "settings"}});
    }
  }
}

void admission_controller::export_learned_limits(request_metrics& metrics, time_point now) const {
  for (const auto& each : m_dispatcher.capacities(now)) {
    metrics.set_gauge("cardamompond_service_slots", "service", each.m_service, each.m_slots);
    metrics.set_gauge("cardamompond_service_learned_limit", "service", each.m_service, each.m_limit);
    metrics.set_gauge("cardamompond_service_disturbed_servers", "service", each.m_service,
                      static_cast<double>(each.m_disturbed));
    metrics.set_gauge("cardamompond_service_expected_first_seconds", "service", each.m_service,
                      each.m_expected_first_s);
  }
  metrics.set_counter("cardamompond_last_resort_dispatches_total",
                      static_cast<double>(m_dispatcher.last_resort_count()));
}

admission_result admission_controller::acquire(fleet::submission request) {
  waiter self;
  const fleet::ticket ticket = request.m_ticket;
  m_waiters[ticket] = &self;
  m_dispatcher.submit(std::move(request), monotonic_now());
  deliver_decisions();
  self.m_wait.wait();
  return std::move(self.m_result);
}

std::optional<fleet::dispatch_grant> admission_controller::try_acquire(fleet::submission request) {
  waiter self;
  const fleet::ticket ticket = request.m_ticket;
  m_waiters[ticket] = &self;
  m_dispatcher.submit(std::move(request), monotonic_now());
  deliver_decisions();
  cancel(ticket); // does nothing if the request has been decided
  if (auto* grant = std::get_if<fleet::dispatch_grant>(&self.m_result)) {
    return std::move(*grant);
  }
  return std::nullopt;
}

void admission_controller::wake(fleet::ticket request, admission_result decision) {
  const auto found = m_waiters.find(request);
  if (found == m_waiters.end()) {
    return;
  }
  waiter& waiting = *found->second;
  m_waiters.erase(found);
  waiting.m_result = std::move(decision);
  waiting.m_wait.complete({});
}

void admission_controller::cancel(fleet::ticket request) {
  m_dispatcher.cancel(request);
  wake(request, std::monostate{});
}

void admission_controller::deliver_decisions() {
  for (auto& decision : m_dispatcher.tick(monotonic_now())) {
    std::visit(
        [&](auto& each) {
          const fleet::ticket ticket = each.m_ticket;
          wake(ticket, std::move(each));
        },
        decision);
  }
}

void admission_controller::record_notices(const fleet::backend_server& called,
                                          const response_metadata& metadata) {
  if (metadata.m_pause) {
    const auto& [requested, text] = *metadata.m_pause;
    if (const auto pause = m_dispatcher.record_pause(called, requested, monotonic_now())) {
      ++m_pause_count;
      log_event(requested == pause ? log_level::info : log_level::warning, "backend_server_paused",
                {{"backend_server", called.m_id}, {"pause_ms", pause->count()}, {"stated", text}});
    }
  }
  if (!metadata.m_leaving) {
    return;
  }
  std::optional<fleet::backend_server> leaving = called;
  if (metadata.m_misdirected && metadata.m_server_id != called.m_id) {
    // Another server uses the address now and has answered.
    leaving = m_dispatcher.find_other_at(called.m_address, called.m_id);
    if (leaving && metadata.m_server_id && leaving->m_id != *metadata.m_server_id) {
      leaving.reset();
    }
  }
  if (leaving && m_dispatcher.record_leaving(*leaving, monotonic_now())) {
    log_event(log_level::info, "backend_server_leaving",
              {{"backend_server", leaving->m_id},
               {"started_unix_ms", leaving->m_started_unix_ms},
               {"address", leaving->m_address}});
  }
}

void admission_controller::record_limit(const fleet::backend_server& called,
                                        const response_metadata& metadata, time_point sent_after) {
  if (!metadata.m_request_id || metadata.m_misdirected) {
    return;
  }
  const auto& stated = metadata.m_stated_limit;
  if (stated && !stated->m_requests_per_s) {
    log_unreadable_limit(called, stated->m_text);
    return;
  }
  if (!stated && !metadata.m_has_server_stamp && !metadata.m_not_run) {
    return; // it may not come from the server itself
  }
  const auto limit = stated ? stated->m_requests_per_s : std::nullopt;
  log_limit_change(m_dispatcher.record_limit(called, limit, sent_after, monotonic_now()), called.m_id, limit,
                   "answer");
}

void admission_controller::record_peer_limits(std::string_view daemon,
                                              std::span<const fleet::limit_statement> statements,
                                              std::span<const fleet::service_demand> demands,
                                              time_point received) {
  const auto changes = m_dispatcher.set_peer_limits(daemon, statements, demands, received);
  if (changes.empty()) {
    return;
  }
  std::map<std::uint32_t, const fleet::limit_statement*> by_server;
  for (const auto& each : changes) {
    by_server[each.m_server] = &each;
  }
  for (const auto& server : m_fleet_view.backend_servers()) {
    const auto found = by_server.find(fleet::server_id_hash(server.m_id));
    if (found != by_server.end() && found->second->m_instance == fleet::instance_hash(server)) {
      const auto& limit = found->second->m_requests_per_s;
      log_limit_change(limit ? fleet::limit_change::stated : fleet::limit_change::ended, server.m_id, limit,
                       daemon);
    }
  }
}

void admission_controller::record_brittle(const fleet::backend_server& called,
                                          const response_metadata& metadata, time_point sent_after) {
  if (!metadata.m_request_id || metadata.m_misdirected) {
    return;
  }
  const auto& stated = metadata.m_stated_rejections;
  if (!stated && !metadata.m_has_server_stamp && !metadata.m_not_run) {
    return; // it may not come from the server itself
  }
  // A server that states something else is taken for the most brittle one.
  const auto max_rejections =
      stated ? std::optional(stated->m_max_rejections.value_or(0)) : std::optional<std::uint32_t>();
  if (m_dispatcher.record_brittle(called, max_rejections, sent_after, monotonic_now()) !=
      fleet::limit_change::none) {
    log_brittle_change(called.m_id, max_rejections, "answer");
    if (stated && !stated->m_max_rejections) {
      log_event(log_level::warning, "server_brittle_unreadable",
                {{"backend_server", called.m_id}, {"stated", stated->m_text}});
    }
  }
}

void admission_controller::record_peer_brittle(std::string_view daemon,
                                               std::span<const fleet::brittle_statement> statements,
                                               time_point received) {
  std::map<std::uint32_t, const fleet::brittle_statement*> by_server;
  const auto changes = m_dispatcher.set_peer_brittle(daemon, statements, received);
  if (changes.empty()) {
    return;
  }
  for (const auto& each : changes) {
    by_server[each.m_server] = &each;
  }
  for (const auto& server : m_fleet_view.backend_servers()) {
    if (const auto found = by_server.find(fleet::server_id_hash(server.m_id)); found != by_server.end()) {
      log_brittle_change(server.m_id, found->second->m_max_rejections, daemon);
    }
  }
}

void admission_controller::log_unreadable_limit(const fleet::backend_server& server, std::string_view text) {
  if (m_unreadable_limits.size() >= max_logged_unreadable_limits) {
    m_unreadable_limits.clear();
  }
  const auto [logged, added] = m_unreadable_limits.try_emplace({server.m_id, server.m_started_unix_ms}, text);
  if (added || logged->second != text) {
    logged->second = text;
    log_event(log_level::warning, "server_limit_unreadable",
              {{"backend_server", server.m_id}, {"stated", text}});
  }
}

bool admission_controller::has_retry(std::string_view service) {
  const auto found = m_retry_budgets.find(service);
  return found != m_retry_budgets.end() && found->second.available(monotonic_now());
}

bool admission_controller::take_retry(std::string_view service) {
  const auto found = m_retry_budgets.find(service);
  return found != m_retry_budgets.end() && found->second.try_take(monotonic_now());
}

fleet::retry_budget::limits admission_controller::own_retry_limits() const {
  return {m_retry_limits.m_retry_ratio * retry_ratio_share,
          m_retry_limits.m_fixed_retries * fixed_retries_share / m_daemon_count,
          m_retry_limits.m_retry_window};
}

// Whether this daemon is the first of the group in the rendezvous-hash order of the part.
bool admission_controller::tests_part(std::uint64_t part) const {
  const auto weight = [&](std::uint64_t daemon) {
    return hash64({reinterpret_cast<const char*>(&daemon), sizeof daemon}, part);
  };
  const auto own_weight = weight(hash64(m_self.m_name));
  return std::none_of(m_other_daemons.begin(), m_other_daemons.end(),
                      [&](std::uint64_t each) { return weight(each) > own_weight; });
}

fleet::part_crash_register::judgement admission_controller::judge_parts(std::span<const std::uint64_t> parts,
                                                                        time_point now) const {
  using verdict = fleet::part_crash_register::verdict;
  auto strictest = m_part_crashes.judge(parts, now);
  if (strictest.m_verdict == verdict::test_only && !tests_part(strictest.m_part)) {
    strictest.m_verdict = verdict::refused;
  }
  return strictest;
}

void admission_controller::begin_part_test(std::uint64_t part, time_point now) {
  m_part_crashes.record_test(part, now);
  log_event(log_level::info, "prompt_part_tested", {{"part", to_part_id(part)}});
}

void admission_controller::update_part_verdicts(time_point now) {
  for (const auto& change : m_part_crashes.update(now)) {
    log_event(log_level::info, "prompt_part_judged",
              {{"part", to_part_id(change.m_part)},
               {"verdict", to_string(change.m_verdict)},
               {"crashes", change.m_crashes}});
  }
}

void admission_controller::record_request(std::string_view service) {
  auto found = m_retry_budgets.find(service);
  if (found == m_retry_budgets.end()) {
    found = m_retry_budgets.emplace(std::string(service), fleet::retry_budget()).first;
    found->second.set_limits(own_retry_limits());
  }
  found->second.record_request(monotonic_now());
}

void admission_controller::set_members(std::vector<fleet::daemon_location> registered,
                                       std::uint32_t live_count, bool frequent_reports) {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, registered.size()));
  m_other_daemons.clear();
  for (const auto& each : registered) {
    if (each.m_name != m_self.m_name) {
      m_other_daemons.push_back(hash64(each.m_name));
    }
  }
  m_quotas.set_member_counts(count, live_count, monotonic_now());
  m_dispatcher.set_members(std::move(registered), m_self, frequent_reports);
  if (count == m_daemon_count) {
    return;
  }
  m_daemon_count = count;
  m_rollout_controller.set_daemon_count(count);
  for (auto& [service, budget] : m_retry_budgets) {
    budget.set_limits(own_retry_limits());
  }
}

} // namespace cardamompond::gateway
