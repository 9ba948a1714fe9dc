#include "entry_duties.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace cardamompond::daemon {
namespace {

constexpr milliseconds connect_timeout{700};
constexpr milliseconds connection_loss_timeout{2'000};

} // namespace

entry_duties::entry_duties(const gateway::gateway_settings& settings, net::fiber_runtime& runtime,
                           gateway::peer_group& group, gateway::peer_exchange& exchange,
                           gateway::admission_controller& admission, std::shared_ptr<gateway::store_era> era)
    : m_connections(runtime, {.m_connect_timeout = connect_timeout,
                              .m_connection_loss_timeout = connection_loss_timeout})
    , m_group(group)
    , m_exchange(exchange)
    , m_admission(admission)
    , m_store_era(std::move(era))
    , m_store(m_connections, settings.m_store_address, m_store_era)
    , m_peers(settings.m_availability_zone)
    , m_incarnation(static_cast<std::uint64_t>(wall_clock_ms())) {
  for (const auto& duty : settings.m_duties) {
    add(duty, settings);
  }
  m_peers.set_held_duties([this] {
    gateway::duty_peers::held_duties held;
    for (const auto& each : m_assignments) {
      if (each.m_runner->claim().announces(boot_now())) {
        held.emplace_back(each.m_runner->which(), each.m_runner->claim().record().m_token);
      }
    }
    return held;
  });
  m_group.set_duty_peers(&m_peers);
  m_exchange.set_usage_ledger(m_ledger.get());
}

entry_duties::~entry_duties() {
  m_group.set_duty_peers(nullptr);
  m_exchange.set_usage_ledger(nullptr);
}

std::unique_ptr<gateway::duty_task>
entry_duties::make_task(fleet::duty which, const gateway::duty_settings& duty, gateway::duty_api& api) {
  if (which == fleet::duty::engine_counts) {
    auto engines = std::make_unique<gateway::engine_duty>(m_admission, m_peers, m_group.self().m_name, api);
    m_engines = engines.get();
    m_peers.keep_loads();
    return engines;
  }
  m_ledger =
      std::make_unique<gateway::usage_ledger>(m_group, m_peers, m_group.self(), m_incarnation, duty.m_window);
  auto usage =
      std::make_unique<gateway::usage_duty>(m_connections, m_group, *m_ledger, api, duty.m_late_after);
  m_usage = usage.get();
  return usage;
}

void entry_duties::add(const gateway::duty_settings& duty, const gateway::gateway_settings& settings) {
  const auto which = platform::find_duty(duty.m_name);
  if (!which) {
    log_event(log_level::warning, "duty_ignored",
              {{"duty", duty.m_name}, {"reason", "this version does not know it"}});
    return;
  }
  assignment added;
  added.m_api = std::make_unique<platform::duty_api_client>(m_connections, duty.m_address);
  added.m_task = make_task(*which, duty, *added.m_api);
  added.m_runner = std::make_unique<gateway::duty_runner>(
      *which,
      fleet::claim_options{settings.m_name, m_incarnation, duty.m_fencing, duty.m_lease,
                           std::random_device{}()},
      duty.m_calls_per_s / static_cast<double>(settings.m_duties.size()),
      gateway::duty_runner::dependencies{&m_store, &m_group, &m_peers, added.m_task.get(), m_store_era});
  m_assignments.push_back(std::move(added));
}

void entry_duties::start() {
  for (const auto& each : m_assignments) {
    each.m_runner->start();
  }
}

void entry_duties::record_request(std::string_view account) {
  if (m_ledger) {
    m_ledger->record_request(account);
  }
}

void entry_duties::hand_over() {
  for (const auto& each : m_assignments) {
    each.m_runner->hand_over();
  }
}

bool entry_duties::handed_over() const {
  return std::all_of(m_assignments.begin(), m_assignments.end(),
                     [](const assignment& each) { return each.m_runner->handed_over(); });
}

void entry_duties::update_metrics(request_metrics& metrics) const {
  for (const auto& each : m_assignments) {
    const auto& claim = each.m_runner->claim();
    const auto name = fleet::to_string(each.m_runner->which());
    metrics.set_gauge("cardamompond_duty_held", "duty", name, claim.holds() ? 1 : 0);
    metrics.set_gauge("cardamompond_duty_token", "duty", name, static_cast<double>(claim.record().m_token));
    metrics.set_counter("cardamompond_duty_store_writes_total", "duty", name,
                        static_cast<double>(each.m_runner->store_writes()));
    std::uint64_t accepted = 0;
    std::uint64_t failed = 0;
    for (const auto& [outcome, count] : each.m_runner->call_counts()) {
      (outcome == gateway::duty_call_outcome::accepted ? accepted : failed) += count;
    }
    metrics.set_counter("cardamompond_duty_calls_total", "duty", name, static_cast<double>(accepted));
    metrics.set_counter("cardamompond_duty_call_failures_total", "duty", name, static_cast<double>(failed));
  }
  if (m_engines != nullptr) {
    std::map<std::string, std::uint64_t, std::less<>> ordered; // by service, over all zones
    for (const auto& [group, engines] : m_engines->orders()) {
      ordered[group.m_service] += engines;
    }
    for (const auto& [service, engines] : ordered) {
      metrics.set_gauge("cardamompond_engines_ordered", "service", service, static_cast<double>(engines));
    }
  }
  if (m_usage != nullptr) {
    metrics.set_gauge("cardamompond_usage_window", static_cast<double>(m_usage->last_accepted_window()));
  }
}

} // namespace cardamompond::daemon
