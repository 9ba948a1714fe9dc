#include "cardamompond/gateway/admission_controller.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::gateway {
namespace {

// The share of the group's fixed number of retries that the daemons use. The rest is a reserve because the
// windows of the daemons begin at different times.
constexpr double fixed_retries_share = 0.7;

// The share of the allowed retry ratio that the daemons use, for the same reason.
constexpr double retry_ratio_share = 0.8;

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
      m_quotas.apply(routes->source(), now);
    }
    break;
  case collection_kind::backend_servers:
    m_dispatcher.set_backend_servers(m_fleet_view.backend_servers(), now);
    break;
  case collection_kind::rollouts:
    m_rollout_controller.set_orders(m_fleet_view.rollouts(), now);
    break;
  case collection_kind::evacuations:
    m_dispatcher.set_evacuated_zones(m_fleet_view.evacuated_zones());
    break;
  case collection_kind::members:
    break; // peer_group reads the members and calls set_members()
  }
  deliver_decisions();
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

bool admission_controller::take_retry(std::string_view service) {
  const auto found = m_retry_budgets.find(service);
  return found != m_retry_budgets.end() && found->second.try_take(monotonic_now());
}

fleet::retry_budget::limits admission_controller::own_retry_limits() const {
  return {m_retry_limits.m_retry_ratio * retry_ratio_share,
          m_retry_limits.m_fixed_retries * fixed_retries_share / m_daemon_count,
          m_retry_limits.m_retry_window};
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
