#include "cardamompond/fleet/rollout_controller.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

using state = rollout_order::state;

// Share of a service's requests that the target version gets during a rollout. The platform allows a tenth.
constexpr double canary_share = 0.07;

// Requests that each daemon may send to the target regardless of the share, so that each daemon observes it.
constexpr std::uint64_t min_canary_requests = 1;

// An order is completed this long before its due time, which leaves time to retry failed writes.
constexpr duration completion_margin = milliseconds(1500);

// A target is rolled back if one route has at least this many failures and its failure rate exceeds that of
// the old versions by the margin.
constexpr std::uint64_t min_failures = 4;
constexpr double failure_rate_margin = 0.15; // on the same route

// A target is slow if its mean time per unit on a route is over this multiple of that of the old versions.
constexpr double slow_factor = 2.2;
constexpr std::uint64_t min_slow_samples = 8;

double rate(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

double mean(double sum, std::uint64_t count) {
  return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

void add(version_outcomes& to, const version_outcomes& more) {
  to.m_good += more.m_good;
  to.m_bad += more.m_bad;
  to.m_time_to_first_token_s += more.m_time_to_first_token_s;
  to.m_time_per_unit_s += more.m_time_per_unit_s;
}

} // namespace

void rollout_controller::set_orders(const std::vector<rollout_order>& orders, time_point now) {
  std::map<std::string, rollout_progress, std::less<>> next;
  for (const auto& order : orders) {
    rollout_progress progress;
    progress.m_started = now;
    const auto known = m_rollouts.find(order.m_service);
    if (known != m_rollouts.end() && known->second.m_order.m_created_revision == order.m_created_revision &&
        known->second.m_order.m_target_version == order.m_target_version) {
      progress = known->second;
    } else {
      m_own_outcomes.erase(order.m_service);
    }
    progress.m_order = order;
    if (order.m_state == state::completed || order.m_state == state::rolled_back) {
      progress.m_decided_state = order.m_state;
    }
    next.insert_or_assign(order.m_service, std::move(progress));
  }
  m_rollouts = std::move(next);
}

void rollout_controller::record_outcome(std::string_view service, std::string_view version,
                                        std::string_view route, bool good, duration first_answer,
                                        duration time_per_unit, time_point /*now*/) {
  if (!m_rollouts.contains(service)) {
    return;
  }
  auto& outcomes = m_own_outcomes[std::string(service)][{std::string(version), std::string(route)}];
  if (!good) {
    ++outcomes.m_bad;
    return;
  }
  ++outcomes.m_good;
  outcomes.m_time_to_first_token_s += std::chrono::duration<double>(first_answer).count();
  outcomes.m_time_per_unit_s += std::chrono::duration<double>(time_per_unit).count();
}

void rollout_controller::set_peer_observations(std::string_view daemon,
                                               const std::vector<version_observation>& observations) {
  if (observations.empty()) {
    m_peer_observations.erase(std::string(daemon));
    return;
  }
  m_peer_observations.insert_or_assign(std::string(daemon), observations);
}

std::vector<version_observation> rollout_controller::own_observations() const {
  std::vector<version_observation> all;
  for (const auto& [service, by_key] : m_own_outcomes) {
    for (const auto& [key, outcomes] : by_key) {
      all.push_back({service, key.first, key.second, outcomes});
    }
  }
  return all;
}

void rollout_controller::record_grant(std::string_view service, std::string_view version) {
  if (const auto found = m_rollouts.find(service); found != m_rollouts.end()) {
    ++found->second.m_granted;
    if (version == found->second.m_order.m_target_version) {
      ++found->second.m_granted_to_target;
    }
  }
}

bool rollout_controller::allows(std::string_view service, std::string_view version) const {
  const auto found = m_rollouts.find(service);
  if (found == m_rollouts.end()) {
    return true;
  }
  const rollout_progress& progress = found->second;
  const bool is_target = version == progress.m_order.m_target_version;
  switch (progress.m_decided_state) {
  case state::completed:
    return is_target || progress.m_order.m_state != state::completed;
  case state::rolled_back:
    return !is_target;
  case state::ordered:
  case state::running:
    break;
  }
  return !is_target || static_cast<double>(progress.m_granted_to_target) <
                           static_cast<double>(min_canary_requests) +
                               canary_share * static_cast<double>(progress.m_granted);
}

std::map<rollout_controller::outcome_key, version_outcomes>
rollout_controller::total_outcomes(const std::string& service) const {
  std::map<outcome_key, version_outcomes> total;
  if (const auto own = m_own_outcomes.find(service); own != m_own_outcomes.end()) {
    total = own->second;
  }
  for (const auto& [daemon, observations] : m_peer_observations) {
    for (const auto& each : observations) {
      if (each.m_service == service) {
        add(total[{each.m_version, each.m_route}], each.m_outcomes);
      }
    }
  }
  return total;
}

void rollout_controller::evaluate(const std::string& service, rollout_progress& progress, time_point now) {
  const auto total = total_outcomes(service);
  const std::string& target = progress.m_order.m_target_version;
  std::map<std::string, version_outcomes> old_outcomes_by_route;
  for (const auto& [key, outcomes] : total) {
    if (key.first != target) {
      add(old_outcomes_by_route[key.second], outcomes);
    }
  }
  for (const auto& [key, outcomes] : total) {
    if (key.first != target) {
      continue;
    }
    const version_outcomes& old_outcomes = old_outcomes_by_route[key.second];
    const double failure_rate = rate(outcomes.m_bad, outcomes.m_good + outcomes.m_bad);
    const double old_failure_rate = rate(old_outcomes.m_bad, old_outcomes.m_good + old_outcomes.m_bad);
    if (outcomes.m_bad >= min_failures && failure_rate > old_failure_rate + failure_rate_margin) {
      progress.m_decided_state = state::rolled_back;
      progress.m_reason = "failures on route " + key.second;
      return;
    }
    const double time_per_unit = mean(outcomes.m_time_per_unit_s, outcomes.m_good);
    const double old_time_per_unit = mean(old_outcomes.m_time_per_unit_s, old_outcomes.m_good);
    if (outcomes.m_good >= min_slow_samples && old_outcomes.m_good >= min_slow_samples &&
        time_per_unit > slow_factor * old_time_per_unit) {
      progress.m_decided_state = state::rolled_back;
      progress.m_reason = "slow on route " + key.second;
      return;
    }
  }
  if (now >= progress.m_started + progress.m_order.m_period - completion_margin) {
    progress.m_decided_state = state::completed;
    progress.m_reason = "no fault until the due time";
  }
}

void rollout_controller::tick(time_point now) {
  for (auto& [service, progress] : m_rollouts) {
    if (progress.m_decided_state == state::running || progress.m_decided_state == state::ordered) {
      evaluate(service, progress, now);
    }
  }
}

std::vector<rollout_controller::order_decision> rollout_controller::decisions() const {
  std::vector<order_decision> all;
  for (const auto& [service, progress] : m_rollouts) {
    all.push_back({service, progress.m_order.m_target_version, progress.m_decided_state, progress.m_reason});
  }
  return all;
}

void rollout_controller::record_rollback(std::string_view service, std::uint64_t created_revision,
                                         std::string_view reason) {
  const auto found = m_rollouts.find(service);
  if (found != m_rollouts.end() && found->second.m_order.m_created_revision == created_revision &&
      found->second.m_decided_state != state::rolled_back &&
      found->second.m_order.m_state != state::completed) {
    found->second.m_decided_state = state::rolled_back;
    found->second.m_reason = reason;
  }
}

std::vector<std::pair<std::string, std::uint64_t>> rollout_controller::rolled_back_orders() const {
  std::vector<std::pair<std::string, std::uint64_t>> all;
  for (const auto& [service, progress] : m_rollouts) {
    if (progress.m_decided_state == state::rolled_back) {
      all.emplace_back(service, progress.m_order.m_created_revision);
    }
  }
  return all;
}

} // namespace cardamompond::fleet
