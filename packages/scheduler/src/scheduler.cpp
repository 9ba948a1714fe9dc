#include "cardamompond/scheduler/scheduler.hpp"

#include "configure.hpp"
#include "event_handlers.hpp"
#include "scheduler_state.hpp"
#include "servers.hpp"
#include "systems/breakers.hpp"
#include "systems/crashes.hpp"
#include "systems/health.hpp"
#include "systems/placement.hpp"
#include "systems/queueing.hpp"
#include "systems/rollouts.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::scheduler {

namespace {

// Later times could overflow when a deadline is added to them.
constexpr time_point latest_time = time_point(duration::max() / 2);

} // namespace

class scheduler::impl {
public:
  // Sets the current time. A time before the latest one or out of range is counted as rejected input, and the
  // latest time stays in effect.
  void advance(time_point now) {
    if (now < m_state.m_now) {
      count_rejected(m_state, "clock_went_back");
      return;
    }
    if (now > latest_time) {
      count_rejected(m_state, "clock_out_of_range");
      return;
    }
    m_state.m_now = now;
  }

  scheduler_state m_state;
};

scheduler::scheduler(std::uint64_t seed)
    : m_impl(std::make_unique<impl>()) {
  m_impl->m_state.m_random.seed(seed);
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::apply(const configuration& config, time_point now) {
  m_impl->advance(now);
  apply_configuration(m_impl->m_state, config);
}

void scheduler::handle(const event& input, time_point now) {
  m_impl->advance(now);
  handle_event(m_impl->m_state, input);
}

std::vector<decision> scheduler::tick(time_point now) {
  m_impl->advance(now);
  scheduler_state& state = m_impl->m_state;
  release_expired_orphans(state);
  release_unanswered_grants(state);
  expire_requests(state);
  expire_crashes(state);
  apply_crash_records_to_queue(state);
  expire_health_timeouts(state);
  advance_rollouts(state);
  place_requests(state);
  return std::exchange(state.m_decisions, {});
}

void scheduler::reset_requests() {
  scheduler_state& state = m_impl->m_state;
  for (service_row& service : state.m_services) {
    service.m_tiers.assign(service.m_tiers.size(), tier_queue{});
    service.m_waiting = 0;
  }
  for (account_row& account : state.m_accounts) {
    account.m_outstanding = 0;
  }
  for (row_index server_index = 0; server_index < state.m_servers.size(); ++server_index) {
    server_row& server = state.m_servers[server_index];
    server.m_outstanding = 0;
    server.m_long_outstanding = 0;
    server.m_suspects_outstanding = 0;
    server.m_reserved_for_suspect = false;
    update_server_indexes(state, server_index);
  }
  for (auto& [fingerprint, crash] : state.m_crashes) {
    crash.m_outstanding = 0;
  }
  state.m_reserved_servers.clear();
  state.m_requests.clear();
  state.m_orphans.clear();
  state.m_grants_by_time.clear();
  // A refusal from the previous epoch may not have reached its member, which then submits the request again.
  state.m_finished.clear();
  state.m_finished_order.clear();
  state.m_decisions.clear();
  state.m_waiting = 0;
}

void scheduler::merge(const fault_signal_set& fault_signals, time_point now) {
  m_impl->advance(now);
  merge_trips(m_impl->m_state, fault_signals.m_trips);
  merge_crashes(m_impl->m_state, fault_signals.m_crashes);
}

fault_signal_set scheduler::fault_signals(time_point now) const {
  fault_signal_set known{list_breaker_trips(m_impl->m_state), list_crash_records(m_impl->m_state)};
  std::erase_if(known.m_crashes, [now](const crash_record& record) { return record.m_expires <= now; });
  return known;
}

std::uint64_t scheduler::fault_signals_version() const {
  return m_impl->m_state.m_fault_signals_version;
}

scheduler_status scheduler::status() const {
  const scheduler_state& state = m_impl->m_state;
  scheduler_status status;
  status.m_rollouts = list_rollout_statuses(state);
  for (const server_row& server : state.m_servers) {
    if (server.m_declared) {
      status.m_backend_servers.push_back({server.m_name, is_cold(server), is_in_service(server),
                                          current_limit(server), server.m_outstanding});
    }
  }
  status.m_waiting = state.m_waiting;
  status.m_outstanding = state.m_requests.size() - state.m_waiting;
  return status;
}

const std::map<std::string, std::uint64_t, std::less<>>& scheduler::rejected_inputs() const {
  return m_impl->m_state.m_rejected_inputs;
}

} // namespace cardamompond::scheduler
