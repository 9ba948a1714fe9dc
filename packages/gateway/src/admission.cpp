#include "cardamompond/gateway/admission.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::gateway {
namespace {

// Part of the group's fixed repeats that the daemons use; the rest covers windows that begin at different
// times.
constexpr double fixed_repeats_share = 0.7;

// Part of the allowed ratio, for the same reason.
constexpr double repeat_ratio_share = 0.8;

} // namespace

admission::admission(fleet_knowledge& knowledge, fleet::daemon_place self, fleet_limits limits,
                     std::uint64_t seed)
    : m_knowledge(knowledge)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_dispatcher(seed) {
  m_dispatcher.set_rollout_judge(&m_judge);
  m_dispatcher.set_members({m_self}, m_self, true);
  m_knowledge.on_change([this](collection_kind kind) { note_change(kind); });
}

void admission::note_change(collection_kind kind) {
  const time_point now = monotonic_now();
  switch (kind) {
  case collection_kind::declarations:
    if (const auto routes = m_knowledge.routes()) {
      m_dispatcher.apply(routes->source());
      m_quota.apply(routes->source(), now);
    }
    break;
  case collection_kind::backend_servers:
    m_dispatcher.set_backend_servers(m_knowledge.backend_servers(), now);
    break;
  case collection_kind::rollouts:
    m_judge.set_orders(m_knowledge.rollouts(), now);
    break;
  case collection_kind::evacuations:
    m_dispatcher.set_evacuated_zones(m_knowledge.evacuated_zones());
    break;
  case collection_kind::members:
    break; // the exchange with the peers counts them
  }
  run();
}

admission_result admission::acquire(fleet::submission request) {
  waiter self;
  const fleet::ticket ticket = request.m_ticket;
  m_waiters[ticket] = &self;
  m_dispatcher.submit(std::move(request), monotonic_now());
  run();
  self.m_wait.wait();
  return std::move(self.m_result);
}

void admission::wake(fleet::ticket request, admission_result decision) {
  const auto found = m_waiters.find(request);
  if (found == m_waiters.end()) {
    return;
  }
  waiter& of = *found->second;
  m_waiters.erase(found);
  of.m_result = std::move(decision);
  of.m_wait.complete({});
}

void admission::cancel(fleet::ticket request) {
  m_dispatcher.cancel(request);
  wake(request, std::monostate{});
}

void admission::run() {
  for (auto& decision : m_dispatcher.tick(monotonic_now())) {
    std::visit(
        [&](auto& each) {
          const fleet::ticket ticket = each.m_ticket;
          wake(ticket, std::move(each));
        },
        decision);
  }
}

bool admission::take_repeat(std::string_view service) {
  const auto found = m_budgets.find(service);
  return found != m_budgets.end() && found->second.take(monotonic_now());
}

fleet::retry_budget::limits admission::own_repeat_limits() const {
  return {m_limits.m_retry_ratio * repeat_ratio_share,
          m_limits.m_retry_fixed * fixed_repeats_share / m_registered, m_limits.m_retry_window};
}

void admission::note_request(std::string_view service) {
  auto found = m_budgets.find(service);
  if (found == m_budgets.end()) {
    found = m_budgets.emplace(std::string(service), fleet::retry_budget()).first;
    found->second.set_limits(own_repeat_limits());
  }
  found->second.note_request(monotonic_now());
}

void admission::set_members(std::vector<fleet::daemon_place> registered, std::uint32_t heard, bool close) {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, registered.size()));
  m_quota.set_members(count, heard, monotonic_now());
  m_dispatcher.set_members(std::move(registered), m_self, close);
  if (count == m_registered) {
    return;
  }
  m_registered = count;
  for (auto& [service, budget] : m_budgets) {
    budget.set_limits(own_repeat_limits());
  }
}

} // namespace cardamompond::gateway
