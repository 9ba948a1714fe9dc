#include "cardamompond/scheduler/scheduler.hpp"

#include "configure.hpp"
#include "intake.hpp"
#include "servers.hpp"
#include "systems/breakers.hpp"
#include "systems/crashes.hpp"
#include "systems/health.hpp"
#include "systems/moves.hpp"
#include "systems/placement.hpp"
#include "systems/queueing.hpp"
#include "tables.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::scheduler {

namespace {

// Later times would overflow when a deadline is added.
constexpr time_point latest_time = time_point(duration::max() / 2);

} // namespace

class scheduler::impl {
public:
  // Time never goes back; an earlier time counts as the latest one.
  void advance(time_point now) {
    if (now < m_tables.m_now) {
      reject(m_tables, "clock_went_back");
      return;
    }
    if (now > latest_time) {
      reject(m_tables, "clock_out_of_range");
      return;
    }
    m_tables.m_now = now;
  }

  tables m_tables;
};

scheduler::scheduler(std::uint64_t seed)
    : m_impl(std::make_unique<impl>()) {
  m_impl->m_tables.m_random.seed(seed);
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::apply(const configuration& config, time_point now) {
  m_impl->advance(now);
  apply_configuration(m_impl->m_tables, config);
}

void scheduler::handle(const event& input, time_point now) {
  m_impl->advance(now);
  take_in(m_impl->m_tables, input);
}

std::vector<decision> scheduler::tick(time_point now) {
  m_impl->advance(now);
  tables& t = m_impl->m_tables;
  free_orphans(t);
  free_unanswered(t);
  expire_requests(t);
  expire_crashes(t);
  sort_out_waiting(t);
  check_health(t);
  advance_moves(t);
  place_requests(t);
  return std::exchange(t.m_decisions, {});
}

void scheduler::reset_requests() {
  tables& t = m_impl->m_tables;
  for (service_row& service : t.m_services) {
    service.m_tiers.assign(service.m_tiers.size(), tier_queue{});
    service.m_waiting = 0;
  }
  for (account_row& account : t.m_accounts) {
    account.m_outstanding = 0;
  }
  for (row number = 0; number < t.m_servers.size(); ++number) {
    server_row& server = t.m_servers[number];
    server.m_outstanding = 0;
    server.m_long_outstanding = 0;
    server.m_suspects_outstanding = 0;
    server.m_reserved = false;
    refresh_server(t, number);
  }
  for (auto& [fingerprint, crash] : t.m_crashes) {
    crash.m_outstanding = 0;
  }
  t.m_reserved.clear();
  t.m_requests.clear();
  t.m_orphans.clear();
  t.m_grants.clear();
  // A refusal of the last epoch may not have arrived; its request is submitted again.
  t.m_finished.clear();
  t.m_finished_order.clear();
  t.m_decisions.clear();
  t.m_waiting = 0;
}

void scheduler::merge(const signal_set& signals, time_point now) {
  m_impl->advance(now);
  merge_trips(m_impl->m_tables, signals.m_trips);
  merge_crashes(m_impl->m_tables, signals.m_crashes);
}

signal_set scheduler::signals(time_point now) const {
  signal_set known{open_trips(m_impl->m_tables), crash_records(m_impl->m_tables)};
  std::erase_if(known.m_crashes, [now](const crash_record& record) { return record.m_expires <= now; });
  return known;
}

std::uint64_t scheduler::signals_version() const {
  return m_impl->m_tables.m_signals_version;
}

scheduler_status scheduler::status() const {
  const tables& t = m_impl->m_tables;
  scheduler_status status;
  status.m_rollouts = move_statuses(t);
  for (const server_row& server : t.m_servers) {
    if (server.m_declared) {
      status.m_backend_servers.push_back(
          {server.m_name, is_cold(server), in_service(server), current_limit(server), server.m_outstanding});
    }
  }
  status.m_waiting = t.m_waiting;
  status.m_outstanding = t.m_requests.size() - t.m_waiting;
  return status;
}

const std::map<std::string, std::uint64_t, std::less<>>& scheduler::rejected_inputs() const {
  return m_impl->m_tables.m_rejected;
}

} // namespace cardamompond::scheduler
