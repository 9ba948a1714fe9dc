#include "cardamompond/fleet/rollout_controller.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

using state = rollout_order::state;

// Share of a service's requests that a version on trial gets; the platform's bound is a tenth.
constexpr double canary_share = 0.07;

// Requests that a daemon may give to a version on trial before the share counts, so that each daemon sees it.
constexpr std::uint64_t min_canary_requests = 1;

// How long before its due time an order is completed: a margin for writes that fail and are repeated.
constexpr duration completion_margin = milliseconds(1500);

// A target is taken back from this many bad outcomes on one route, when their rate is also over the rate.
constexpr std::uint64_t min_failures = 4;
constexpr double failure_rate_margin = 0.15; // over the rate of the old versions on the same route

// A target is slow when its mean on a route is over this many times that of the old versions.
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
  to.m_first_answer_s += more.m_first_answer_s;
  to.m_time_per_unit_s += more.m_time_per_unit_s;
}

} // namespace

void rollout_controller::set_orders(const std::vector<rollout_order>& orders, time_point now) {
  std::map<std::string, trial, std::less<>> next;
  for (const auto& order : orders) {
    trial progress;
    progress.m_started = now;
    const auto known = m_trials.find(order.m_service);
    if (known != m_trials.end() && known->second.m_order.m_created_revision == order.m_created_revision &&
        known->second.m_order.m_target_version == order.m_target_version) {
      progress = known->second;
    } else {
      m_own.erase(order.m_service);
    }
    progress.m_order = order;
    if (order.m_state == state::completed || order.m_state == state::rolled_back) {
      progress.m_decided = order.m_state;
    }
    next.insert_or_assign(order.m_service, std::move(progress));
  }
  m_trials = std::move(next);
}

void rollout_controller::record_outcome(std::string_view service, std::string_view version,
                                        std::string_view route, bool good, duration first_answer,
                                        duration total, time_point /*now*/) {
  if (!m_trials.contains(service)) {
    return;
  }
  auto& outcomes = m_own[std::string(service)][{std::string(version), std::string(route)}];
  if (!good) {
    ++outcomes.m_bad;
    return;
  }
  ++outcomes.m_good;
  outcomes.m_first_answer_s += std::chrono::duration<double>(first_answer).count();
  outcomes.m_time_per_unit_s += std::chrono::duration<double>(total).count();
}

void rollout_controller::set_peer_observations(std::string_view daemon,
                                               const std::vector<version_observation>& observations) {
  if (observations.empty()) {
    m_peers.erase(std::string(daemon));
    return;
  }
  m_peers.insert_or_assign(std::string(daemon), observations);
}

std::vector<version_observation> rollout_controller::own_observations() const {
  std::vector<version_observation> all;
  for (const auto& [service, by_key] : m_own) {
    for (const auto& [key, outcomes] : by_key) {
      all.push_back({service, key.first, key.second, outcomes});
    }
  }
  return all;
}

void rollout_controller::record_grant(std::string_view service, std::string_view version) {
  if (const auto found = m_trials.find(service); found != m_trials.end()) {
    ++found->second.m_granted;
    if (version == found->second.m_order.m_target_version) {
      ++found->second.m_granted_to_target;
    }
  }
}

bool rollout_controller::allows(std::string_view service, std::string_view version) const {
  const auto found = m_trials.find(service);
  if (found == m_trials.end()) {
    return true;
  }
  const trial& progress = found->second;
  const bool target = version == progress.m_order.m_target_version;
  switch (progress.m_decided) {
  case state::completed:
    return target || progress.m_order.m_state != state::completed;
  case state::rolled_back:
    return !target;
  case state::ordered:
  case state::running:
    break;
  }
  return !target || static_cast<double>(progress.m_granted_to_target) <
                        static_cast<double>(min_canary_requests) +
                            canary_share * static_cast<double>(progress.m_granted);
}

std::map<rollout_controller::outcome_key, version_outcomes>
rollout_controller::total_outcomes(const std::string& service) const {
  std::map<outcome_key, version_outcomes> total;
  if (const auto own = m_own.find(service); own != m_own.end()) {
    total = own->second;
  }
  for (const auto& [daemon, observations] : m_peers) {
    for (const auto& each : observations) {
      if (each.m_service == service) {
        add(total[{each.m_version, each.m_route}], each.m_outcomes);
      }
    }
  }
  return total;
}

void rollout_controller::evaluate(const std::string& service, trial& progress, time_point now) {
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
    const version_outcomes& old = old_outcomes_by_route[key.second];
    const double failure_rate = rate(outcomes.m_bad, outcomes.m_good + outcomes.m_bad);
    const double old_failure_rate = rate(old.m_bad, old.m_good + old.m_bad);
    if (outcomes.m_bad >= min_failures && failure_rate > old_failure_rate + failure_rate_margin) {
      progress.m_decided = state::rolled_back;
      progress.m_reason = "failures on route " + key.second;
      return;
    }
    const double slowness = mean(outcomes.m_time_per_unit_s, outcomes.m_good);
    const double old_slowness = mean(old.m_time_per_unit_s, old.m_good);
    if (outcomes.m_good >= min_slow_samples && old.m_good >= min_slow_samples &&
        slowness > slow_factor * old_slowness) {
      progress.m_decided = state::rolled_back;
      progress.m_reason = "slow on route " + key.second;
      return;
    }
  }
  if (now >= progress.m_started + progress.m_order.m_period - completion_margin) {
    progress.m_decided = state::completed;
    progress.m_reason = "no fault until the due time";
  }
}

void rollout_controller::tick(time_point now) {
  for (auto& [service, progress] : m_trials) {
    if (progress.m_decided == state::running || progress.m_decided == state::ordered) {
      evaluate(service, progress, now);
    }
  }
}

std::vector<rollout_controller::order_decision> rollout_controller::decisions() const {
  std::vector<order_decision> all;
  for (const auto& [service, progress] : m_trials) {
    all.push_back({service, progress.m_order.m_target_version, progress.m_decided, progress.m_reason});
  }
  return all;
}

void rollout_controller::record_rollback(std::string_view service, std::uint64_t created,
                                         std::string_view reason) {
  const auto found = m_trials.find(service);
  if (found != m_trials.end() && found->second.m_order.m_created_revision == created &&
      found->second.m_decided != state::rolled_back && found->second.m_order.m_state != state::completed) {
    found->second.m_decided = state::rolled_back;
    found->second.m_reason = reason;
  }
}

std::vector<std::pair<std::string, std::uint64_t>> rollout_controller::rolled_back_orders() const {
  std::vector<std::pair<std::string, std::uint64_t>> all;
  for (const auto& [service, progress] : m_trials) {
    if (progress.m_decided == state::rolled_back) {
      all.emplace_back(service, progress.m_order.m_created_revision);
    }
  }
  return all;
}

} // namespace cardamompond::fleet
