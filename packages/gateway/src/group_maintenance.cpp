#include "cardamompond/gateway/group_maintenance.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

namespace cardamompond::gateway {
namespace {

constexpr milliseconds write_timeout{1'000};
constexpr milliseconds membership_interval{500};
constexpr milliseconds rollout_interval{100};

// A member that has not reported for this long is removed from the store. Its share of the quotas goes to the
// other members then.
constexpr duration member_silence_limit = seconds(20);

// The daemon of rank n waits n times this long before it writes a state, so that usually only one daemon
// writes.
constexpr duration write_delay_per_rank = milliseconds(400);

// Orders the daemons whose entries the store has lost.
constexpr std::string_view registration_key = "registration";

std::string_view state_name(fleet::rollout_order::state state) {
  switch (state) {
  case fleet::rollout_order::state::completed:
    return "completed";
  case fleet::rollout_order::state::rolled_back:
    return "rolled_back";
  case fleet::rollout_order::state::ordered:
  case fleet::rollout_order::state::running:
    break;
  }
  return "running";
}

} // namespace

group_maintenance::group_maintenance(document_store& store, admission_controller& admission,
                                     peer_group& group, const document_reader& reader, member self)
    : m_store(store)
    , m_admission(admission)
    , m_group(group)
    , m_reader(reader)
    , m_self(std::move(self)) {}

bool group_maintenance::is_listed(std::string_view name) const {
  return m_admission.known_fleet().collection(collection_kind::members).documents().contains(name);
}

bool group_maintenance::is_registered() const {
  if (!is_listed(m_self.m_name)) {
    return false;
  }
  for (const auto& each : m_admission.known_fleet().members()) {
    if (each.m_name == m_self.m_name && each.m_exchange_address == m_self.m_exchange_address) {
      return true;
    }
  }
  return false;
}

void group_maintenance::register_self() {
  const auto created =
      m_store.create(collection_kind::members, m_self.m_name, m_reader.write_member(m_self), write_timeout);
  if (!created && created.error().m_kind == document_error_kind::conflict) {
    // Either the entry belongs to an earlier process at another address, or it is this daemon's own and the
    // replica does not contain it yet.
    if (!is_listed(m_self.m_name)) {
      m_registration.record_write(monotonic_now());
    } else {
      const auto removed = m_store.remove(collection_kind::members, m_self.m_name, write_timeout);
      log_event(log_level::info, "member_replaced",
                {{"name", m_self.m_name}, {"removed", removed.has_value()}});
    }
  } else {
    if (created) {
      m_registration.record_write(monotonic_now());
    }
    log_event(created ? log_level::info : log_level::warning, "member_registered",
              {{"name", m_self.m_name},
               {"again", m_registration.is_lost()},
               {"era_before", m_registered_in_era},
               {"era", m_store.era()},
               {"result", created ? "done" : to_string(created.error().m_kind)}});
  }
}

void group_maintenance::remove_silent_members(time_point now) {
  for (const auto& each : m_admission.known_fleet().members()) {
    if (each.m_name == m_self.m_name || m_group.is_live(each.m_name) || !is_listed(each.m_name)) {
      m_silent_since.erase(each.m_name);
      continue;
    }
    const auto [since, added] = m_silent_since.try_emplace(each.m_name, now);
    if (now - since->second < member_silence_limit || m_group.live_peer_count() == 0 ||
        m_group.rank_for(each.m_name) != 0) {
      continue;
    }
    const std::string name = each.m_name; // the list of members may change during the call
    const auto removed = m_store.remove(collection_kind::members, name, write_timeout);
    log_event(log_level::info, "member_removed",
              {{"name", name}, {"result", removed ? "done" : to_string(removed.error().m_kind)}});
    m_silent_since.erase(name);
    return;
  }
}

void group_maintenance::run_membership() {
  while (!m_deregistering) {
    if (m_admission.known_fleet().collection(collection_kind::members).loaded()) {
      const bool registered = is_registered();
      if (m_registration.is_due(registered, m_group.rank_for(registration_key), monotonic_now())) {
        register_self();
      } else if (registered) {
        m_registered_in_era = m_admission.known_fleet().collection(collection_kind::members).as_of().m_era;
        remove_silent_members(monotonic_now());
      }
    }
    boost::this_fiber::sleep_for(membership_interval);
  }
}

void group_maintenance::deregister() {
  m_deregistering = true;
  const auto removed = m_store.remove(collection_kind::members, m_self.m_name, write_timeout);
  log_event(log_level::info, "member_deregistered",
            {{"name", m_self.m_name}, {"result", removed ? "done" : to_string(removed.error().m_kind)}});
}

void group_maintenance::write_decision(const fleet::rollout_controller::order_decision& decision,
                                       time_point now) {
  const fleet::rollout_order* order = nullptr;
  for (const auto& each : m_admission.known_fleet().rollouts()) {
    if (each.m_service == decision.m_service && each.m_target_version == decision.m_target_version) {
      order = &each;
    }
  }
  if (order == nullptr || order->m_state == decision.m_state ||
      order->m_state == fleet::rollout_order::state::completed ||
      order->m_state == fleet::rollout_order::state::rolled_back) {
    m_unwritten_since.erase(decision.m_service);
    return;
  }
  const auto [since, added] = m_unwritten_since.try_emplace(decision.m_service, now);
  if (now - since->second < write_delay_per_rank * static_cast<int>(m_group.rank_for(decision.m_service))) {
    return;
  }
  const store_version version(order->m_era,
                              order->m_revision); // the list of orders may change during the call
  const auto written = m_store.write_rollout_state(decision.m_service, version, decision.m_target_version,
                                                   state_name(decision.m_state), write_timeout);
  log_event(log_level::info, "rollout_state_written",
            {{"service", decision.m_service},
             {"target", decision.m_target_version},
             {"state", state_name(decision.m_state)},
             {"reason", decision.m_reason},
             {"era_before", decision.m_earlier_era},
             {"era", version.m_era},
             {"revision", version.m_revision},
             {"result", written ? "done" : to_string(written.error().m_kind)}});
  // The write is tried again after this time unless the watch shows the new state by then.
  since->second = monotonic_now() + write_delay_per_rank;
}

void group_maintenance::log_decision(const fleet::rollout_controller::order_decision& decision) {
  auto& logged = m_logged_decisions[decision.m_service];
  const auto state = std::pair(decision.m_target_version, decision.m_state);
  if (logged != state && !decision.m_reason.empty()) {
    log_event(log_level::info, "rollout_decided",
              {{"service", decision.m_service},
               {"target", decision.m_target_version},
               {"state", state_name(decision.m_state)},
               {"reason", decision.m_reason}});
  }
  logged = state;
}

void group_maintenance::run_rollouts() {
  while (true) {
    const time_point now = monotonic_now();
    m_admission.rollout_controller().tick(now);
    for (const auto& decision : m_admission.rollout_controller().decisions()) {
      log_decision(decision);
      write_decision(decision, now);
    }
    boost::this_fiber::sleep_for(rollout_interval);
  }
}

} // namespace cardamompond::gateway
