#include "cardamompond/fleet/rollout_controller.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/fleet/speed_estimator.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace cardamompond::fleet {
namespace {

using state = rollout_order::state;

// Share of a service's requests that the target version gets during a rollout. The platform allows a tenth.
constexpr double canary_share = 0.07;

// Requests that all daemons together may send to the target regardless of the share, and the most that one
// daemon may, so that each daemon of a small group observes it.
constexpr double group_canary_requests = 25;
constexpr double max_free_canary_requests = 1;

// An order is completed this long before its due time, which leaves time to retry failed writes.
constexpr duration completion_margin = milliseconds(1500);

// A target is rolled back if one route has at least this many failures and its failure rate exceeds that of
// the old versions by the margin.
constexpr std::uint64_t min_failures = 4;
constexpr double failure_rate_margin = 0.15; // on the same route

// Timings kept of the responses of the target, and of those of the old version, on each route.
constexpr std::size_t max_target_timings = 32;
constexpr std::size_t max_old_timings = 192;

// Timings of the old version on each route that all daemons together share with one another, and the most and
// the fewest that one reports. In a large group a daemon sees too few responses of the old version to know
// its servers.
constexpr std::size_t shared_old_timings = 600;
constexpr std::size_t max_reported_old_timings = 32;
constexpr std::size_t min_reported_old_timings = 2;

// Timings kept of processes that have ended.
constexpr std::size_t max_earlier_timings = 64;

// Peers whose observations are kept, and the rows of each from its processes that have ended. Whoever can
// send datagrams can invent both.
constexpr std::size_t max_observed_peers = 4'096;
constexpr std::size_t max_earlier_rows = 256;

// Interval between two comparisons of the timings.
constexpr duration comparison_interval = milliseconds(500);

// A target is rolled back at once if its responses are this many times as likely for a slower version.
constexpr double rollback_likelihood_ratio = 1000;

// With fewer responses of the old version, the model is rough and the ratio has to be higher.
constexpr std::size_t many_old_samples = 60;
constexpr double rollback_likelihood_ratio_few_samples = 100'000;
constexpr std::size_t min_slow_samples = 8;

// An order that is undecided at its due time is decided by the costs of both mistakes, relative to that of
// keeping a bad version, and by the share of bad versions.
constexpr double cost_of_wrong_rollback = 0.02;
constexpr double bad_version_share = 0.1;

// With fewer requests of the service in all, a bad version gets too few of them to do harm.
constexpr std::uint64_t min_harmful_requests = 50;

// A daemon that has seen too few responses of the old version lets the others decide for this long.
constexpr duration decision_delay_without_evidence = milliseconds(600);
constexpr std::size_t min_old_samples = 20;

// An order that the store lost stays in force for this long after the store came back, until it is written
// again.
constexpr duration rewrite_time = seconds(30);

double rate(std::uint64_t count, std::uint64_t total) {
  return total == 0 ? 0.0 : static_cast<double>(count) / static_cast<double>(total);
}

void add_counts(version_outcomes& to, const version_outcomes& more) {
  to.m_good += more.m_good;
  to.m_bad += more.m_bad;
}

void add(version_outcomes& to, const version_outcomes& more) {
  add_counts(to, more);
  to.m_timings.insert(to.m_timings.end(), more.m_timings.begin(), more.m_timings.end());
}

response_timing make_timing(const request_sample& sample) {
  const auto seconds = [](duration value) { return std::chrono::duration<double>(value).count(); };
  const speed_estimate reference = assumed_speed();
  response_timing timing;
  timing.m_server = static_cast<std::uint16_t>(hash64(sample.m_server_id));
  timing.m_first = timing_bin(seconds(sample.m_time_to_first_token),
                              reference.m_base_s + reference.m_prompt_s_per_token * sample.m_prompt_tokens);
  timing.m_gap = sample.m_event_gap > duration::zero()
                     ? timing_bin(seconds(sample.m_event_gap), reference.m_event_interval_s)
                     : no_timing;
  timing.m_running = static_cast<std::uint8_t>(std::min<std::uint32_t>(sample.m_running, 255));
  return timing;
}

// Whether keeping an undecided target costs more than rolling it back, given how many times as likely its
// responses are for a slower version.
bool is_rollback_cheaper(double log_likelihood_ratio) {
  return log_likelihood_ratio + std::log(bad_version_share / (1 - bad_version_share)) >
         std::log(cost_of_wrong_rollback);
}

std::string describe(double group_log_ratio, const slowness_evidence& slowness) {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                "log likelihood ratio %.1f, here %.1f from %zu responses of the target and %zu old ones",
                group_log_ratio, slowness.m_log_ratio, slowness.m_target_samples, slowness.m_old_samples);
  return text.data();
}

// Whether this daemon has seen enough of the old version for a comparison.
bool can_judge(const slowness_evidence& slowness) {
  return slowness.m_old_samples >= min_old_samples;
}

} // namespace

bool rollout_controller::is_decided(state of) {
  return of == state::completed || of == state::rolled_back;
}

// Within one era the revision of its creation identifies an order. It may differ in the next era, where it
// may also stand for another order.
bool rollout_controller::is_same_order(const rollout_progress& known, const rollout_order& order,
                                       std::uint64_t store_era) {
  if (known.m_order.m_service != order.m_service ||
      known.m_order.m_target_version != order.m_target_version) {
    return false;
  }
  const bool same_creation = known.m_order.m_created_revision == order.m_created_revision;
  return same_creation || (known.m_listed_in_era != store_era && known.m_order.m_period == order.m_period);
}

// Moves out all orders that are known, but none that has waited for too long to be listed again.
std::vector<rollout_controller::rollout_progress>
rollout_controller::take_known_orders(time_point now, std::uint64_t store_era) {
  std::vector<rollout_progress> known = std::move(m_displaced);
  m_displaced.clear();
  for (auto& [service, progress] : m_rollouts) {
    known.push_back(std::move(progress));
  }
  m_rollouts.clear();
  for (auto& progress : known) {
    if (progress.m_listed_in_era != store_era && !progress.m_kept_until) {
      progress.m_kept_until = now + rewrite_time;
    }
  }
  std::erase_if(known, [&](const auto& each) { return each.m_kept_until && now >= *each.m_kept_until; });
  return known;
}

void rollout_controller::set_orders(const std::vector<rollout_order>& orders, time_point now,
                                    std::uint64_t store_era) {
  std::vector<rollout_progress> known = take_known_orders(now, store_era);
  const auto is_awaited = [&](const rollout_progress& each, const std::string& service) {
    return each.m_kept_until && each.m_order.m_service == service;
  };
  std::vector<const rollout_order*> unknown;
  for (const auto& order : orders) {
    const auto same = std::find_if(known.begin(), known.end(), [&](const rollout_progress& each) {
      return is_same_order(each, order, store_era);
    });
    if (same == known.end()) {
      unknown.push_back(&order);
      continue;
    }
    rollout_progress progress = std::move(*same);
    known.erase(same);
    rename_order(order.m_service, progress.m_order.m_created_revision, order.m_created_revision);
    // A decision of an earlier era holds although the copy does not show it.
    if (is_decided(order.m_state) && !(progress.m_kept_until && is_decided(progress.m_decided_state))) {
      progress.m_decided_state = order.m_state;
    }
    progress.m_order = order;
    if (progress.m_listed_in_era != store_era) {
      progress.m_earlier_era = progress.m_listed_in_era;
    }
    progress.m_listed_in_era = store_era;
    progress.m_kept_until.reset();
    progress.m_completed_in_store = progress.m_completed_in_store || order.m_state == state::completed;
    m_rollouts.insert_or_assign(order.m_service, std::move(progress));
  }
  for (const rollout_order* order : unknown) {
    // A decided order that this daemon does not know was replaced by one that the store has lost.
    if (is_decided(order->m_state) && std::any_of(known.begin(), known.end(), [&](const auto& each) {
          return is_awaited(each, order->m_service);
        })) {
      continue;
    }
    m_own_outcomes.erase(order->m_service);
    rollout_progress progress;
    progress.m_started = now;
    progress.m_order = *order;
    progress.m_listed_in_era = store_era;
    progress.m_completed_in_store = order->m_state == state::completed;
    if (is_decided(order->m_state)) {
      progress.m_decided_state = order->m_state;
    }
    m_rollouts.insert_or_assign(order->m_service, std::move(progress));
  }
  for (auto& each : known) {
    if (!each.m_kept_until) {
      continue; // removed in this era
    }
    if (m_rollouts.contains(each.m_order.m_service)) {
      m_displaced.push_back(std::move(each));
    } else {
      m_rollouts.emplace(each.m_order.m_service, std::move(each));
    }
  }
  m_store_era = store_era;
  if (&orders != &m_listed) {
    m_listed = orders;
  }
  drop_outdated_observations();
}

// Assigns what peers reported about an order to its new creation revision.
void rollout_controller::rename_order(const std::string& service, std::uint64_t before, std::uint64_t after) {
  for (auto& [daemon, peer] : m_peer_observations) {
    for (auto* rows : {&peer.m_current, &peer.m_earlier}) {
      for (auto& each : *rows) {
        if (each.m_service == service && each.m_order == before) {
          each.m_order = after;
        }
      }
    }
  }
}

void rollout_controller::drop_outdated_observations() {
  for (auto& [daemon, peer] : m_peer_observations) {
    for (auto* rows : {&peer.m_current, &peer.m_earlier}) {
      std::erase_if(*rows, [&](const version_observation& each) {
        const auto rollout = m_rollouts.find(each.m_service);
        return rollout == m_rollouts.end() || rollout->second.m_order.m_created_revision > each.m_order;
      });
    }
  }
  std::erase_if(m_peer_observations, [](const auto& each) {
    return each.second.m_current.empty() && each.second.m_earlier.empty();
  });
}

void rollout_controller::record_outcome(const request_sample& sample) {
  const auto found = m_rollouts.find(sample.m_service);
  if (found == m_rollouts.end()) {
    return;
  }
  auto& outcomes = m_own_outcomes[std::string(sample.m_service)]
                                 [{std::string(sample.m_version), std::string(sample.m_route)}];
  if (!sample.m_good) {
    ++outcomes.m_bad;
    return;
  }
  ++outcomes.m_good;
  if (sample.m_cold) {
    return;
  }
  if (sample.m_version == found->second.m_order.m_target_version) {
    if (outcomes.m_timings.size() >= max_target_timings) {
      outcomes.m_timings.erase(outcomes.m_timings.begin());
    }
    outcomes.m_timings.push_back(make_timing(sample));
  } else {
    auto& timings = found->second.m_old_timings[std::string(sample.m_route)];
    if (timings.size() >= max_old_timings) {
      timings.pop_front();
    }
    timings.push_back(make_timing(sample));
  }
}

bool rollout_controller::is_evaluating(std::string_view service) const {
  const auto found = m_rollouts.find(service);
  return found != m_rollouts.end() &&
         (found->second.m_decided_state == state::ordered || found->second.m_decided_state == state::running);
}

void rollout_controller::set_peer_observations(std::string_view daemon, std::uint64_t incarnation,
                                               const std::vector<version_observation>& observations) {
  if (!m_peer_observations.contains(std::string(daemon)) &&
      (observations.empty() || m_peer_observations.size() >= max_observed_peers)) {
    return;
  }
  peer_observations& peer = m_peer_observations[std::string(daemon)];
  if (peer.m_incarnation != incarnation) {
    for (auto& each : peer.m_current) {
      const auto same = std::find_if(peer.m_earlier.begin(), peer.m_earlier.end(), [&](const auto& earlier) {
        return earlier.m_order == each.m_order && earlier.m_service == each.m_service &&
               earlier.m_version == each.m_version && earlier.m_route == each.m_route;
      });
      if (same == peer.m_earlier.end()) {
        if (peer.m_earlier.size() < max_earlier_rows) {
          peer.m_earlier.push_back(std::move(each));
        }
      } else {
        add(same->m_outcomes, each.m_outcomes);
        auto& timings = same->m_outcomes.m_timings;
        timings.resize(std::min(timings.size(), max_earlier_timings));
      }
    }
  }
  peer.m_incarnation = incarnation;
  peer.m_current = observations;
}

// Adds the latest timings of the old versions on the route to a row of a report. If several old versions
// serve the route, each of their rows has the same timings.
void rollout_controller::add_old_timings(const rollout_progress& progress, const std::string& route,
                                         std::vector<response_timing>& to) const {
  if (const auto known = progress.m_old_timings.find(route); known != progress.m_old_timings.end()) {
    const auto limit = std::clamp(shared_old_timings / static_cast<std::size_t>(m_daemon_count),
                                  min_reported_old_timings, max_reported_old_timings);
    const auto count = std::min(limit, known->second.size());
    to.assign(known->second.end() - static_cast<std::ptrdiff_t>(count), known->second.end());
  }
}

std::vector<version_observation> rollout_controller::own_observations() const {
  std::vector<version_observation> all;
  for (const auto& [service, by_key] : m_own_outcomes) {
    const auto rollout = m_rollouts.find(service);
    for (const auto& [key, outcomes] : by_key) {
      if (rollout != m_rollouts.end() && is_listed(rollout->second)) {
        const rollout_progress& progress = rollout->second;
        all.push_back({service, key.first, key.second, outcomes, progress.m_order.m_created_revision});
        if (key.first != progress.m_order.m_target_version) {
          add_old_timings(progress, key.second, all.back().m_outcomes.m_timings);
        } else if (can_judge(progress.m_slowness)) {
          all.back().m_log_ratio = progress.m_slowness.m_log_ratio;
        }
      }
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
    return is_target || !progress.m_completed_in_store;
  case state::rolled_back:
    return !is_target;
  case state::ordered:
  case state::running:
    break;
  }
  const double free_requests = std::min(max_free_canary_requests, group_canary_requests / m_daemon_count);
  return !is_target || static_cast<double>(progress.m_granted_to_target + 1) <=
                           free_requests + canary_share * static_cast<double>(progress.m_granted + 1);
}

std::map<rollout_controller::outcome_key, version_outcomes>
rollout_controller::total_outcomes(const rollout_order& order, bool with_timings) const {
  const auto add_row = with_timings ? add : add_counts;
  std::map<outcome_key, version_outcomes> total;
  if (const auto own = m_own_outcomes.find(order.m_service); own != m_own_outcomes.end()) {
    for (const auto& [key, outcomes] : own->second) {
      add_row(total[key], outcomes);
    }
  }
  for (const auto& [daemon, observations] : m_peer_observations) {
    for (const auto* rows : {&observations.m_current, &observations.m_earlier}) {
      for (const auto& each : *rows) {
        if (each.m_service == order.m_service && each.m_order == order.m_created_revision) {
          add_row(total[{each.m_version, each.m_route}], each.m_outcomes);
        }
      }
    }
  }
  return total;
}

// Returns the median of the log likelihood ratios of all daemons that can judge. Each daemon compares the
// timings of the target that all daemons reported with its own requests to the old version, which are a
// sample.
double rollout_controller::group_log_ratio(const rollout_progress& progress) const {
  std::vector<double> ratios;
  if (can_judge(progress.m_slowness)) {
    ratios.push_back(progress.m_slowness.m_log_ratio);
  }
  for (const auto& [daemon, observations] : m_peer_observations) {
    const auto row = std::find_if(
        observations.m_current.begin(), observations.m_current.end(), [&](const version_observation& each) {
          return each.m_order == progress.m_order.m_created_revision &&
                 each.m_service == progress.m_order.m_service &&
                 each.m_version == progress.m_order.m_target_version && std::isfinite(each.m_log_ratio);
        });
    if (row != observations.m_current.end()) {
      ratios.push_back(row->m_log_ratio);
    }
  }
  if (ratios.empty()) {
    return 0;
  }
  const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

void rollout_controller::evaluate(rollout_progress& progress, time_point now) {
  const time_point decide_at = progress.m_started + progress.m_order.m_period - completion_margin;
  const bool compares = now - progress.m_compared_at >= comparison_interval || now >= decide_at;
  const auto total = total_outcomes(progress.m_order, compares);
  const std::string& target = progress.m_order.m_target_version;
  std::map<std::string, version_outcomes> old_outcomes_by_route;
  timings_by_route target_timings;
  std::uint64_t requests = 0;
  std::uint64_t old_good = 0;
  for (const auto& [key, outcomes] : total) {
    requests += outcomes.m_good + outcomes.m_bad;
    if (key.first != target) {
      old_good += outcomes.m_good;
      add(old_outcomes_by_route[key.second], outcomes); // with the timings that peers reported
    } else {
      target_timings[key.second] = outcomes.m_timings;
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
  }
  if (!compares) {
    return;
  }
  progress.m_compared_at = now;
  timings_by_route old_timings;
  for (const auto& [route, timings] : progress.m_old_timings) {
    old_timings[route].assign(timings.begin(), timings.end());
  }
  for (const auto& [route, outcomes] : old_outcomes_by_route) {
    auto& timings = old_timings[route];
    timings.insert(timings.end(), outcomes.m_timings.begin(), outcomes.m_timings.end());
  }
  progress.m_slowness = compare_timings(old_timings, target_timings);
  const slowness_evidence& slowness = progress.m_slowness;
  const double log_ratio = group_log_ratio(progress);
  const double rollback_ratio = slowness.m_old_samples < many_old_samples
                                    ? rollback_likelihood_ratio_few_samples
                                    : rollback_likelihood_ratio;
  if (slowness.m_target_samples >= min_slow_samples && log_ratio > std::log(rollback_ratio)) {
    progress.m_decided_state = state::rolled_back;
    progress.m_reason = "slow: " + describe(log_ratio, slowness);
    return;
  }
  if (now < decide_at ||
      (!can_judge(slowness) && old_good > 0 && now < decide_at + decision_delay_without_evidence)) {
    return;
  }
  // Without responses of the old version there is nothing to return to.
  const bool harmless = requests < min_harmful_requests || old_good == 0;
  const bool roll_back = !harmless && is_rollback_cheaper(log_ratio);
  progress.m_decided_state = roll_back ? state::rolled_back : state::completed;
  progress.m_reason = (roll_back ? "undecided at the due time: " : "no fault until the due time: ") +
                      describe(log_ratio, slowness) + ", " + std::to_string(requests) + " requests";
}

void rollout_controller::tick(time_point now) {
  const auto has_expired = [&](const rollout_progress& each) {
    return each.m_kept_until && now >= *each.m_kept_until;
  };
  if (std::any_of(m_rollouts.begin(), m_rollouts.end(),
                  [&](const auto& each) { return has_expired(each.second); })) {
    set_orders(m_listed, now, m_store_era);
  }
  for (auto& [service, progress] : m_rollouts) {
    if (progress.m_decided_state == state::running || progress.m_decided_state == state::ordered) {
      evaluate(progress, now);
    }
  }
}

std::vector<rollout_controller::order_decision> rollout_controller::decisions() const {
  std::vector<order_decision> all;
  for (const auto& [service, progress] : m_rollouts) {
    all.push_back({service, progress.m_order.m_target_version, progress.m_decided_state, progress.m_reason,
                   progress.m_earlier_era});
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
    if (progress.m_decided_state == state::rolled_back && is_listed(progress)) {
      all.emplace_back(service, progress.m_order.m_created_revision);
    }
  }
  return all;
}

} // namespace cardamompond::fleet
