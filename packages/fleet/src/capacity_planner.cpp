#include "cardamompond/fleet/capacity_planner.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Share of the slots that may be occupied before engines are added, and the share that is aimed at then.
// Above about two thirds, a burst finds no room before new engines serve.
constexpr double max_occupancy = 0.65;
constexpr double aimed_occupancy = 0.55;

// Engines are taken away only down to this occupancy by the highest demand of the last 30 s.
constexpr double occupancy_after_lowering = 0.5;
constexpr duration remembered_time = seconds(30);

// From this occupancy on, requests wait or are refused, which the running ones do not show.
constexpr double full_occupancy = 0.9;
constexpr double growth_when_full = 1.5;

// The number shrinks by at most a tenth, and not more often than this.
constexpr double max_lowered_share = 0.1;
constexpr duration lowering_interval = seconds(10);

// Demand is the mean over the first time, and its growth the difference of two means over the second. Running
// requests vary by about their square root without any trend.
constexpr duration mean_time = seconds(2);
constexpr duration trend_time = seconds(4);

} // namespace

void capacity_planner::observe(const engine_group& group, const engine_demand& demand, time_point now) {
  const auto [found, added] = m_groups.try_emplace(group);
  state& known = found->second;
  known.m_latest = demand;
  known.m_latest.m_max = std::max(demand.m_min, demand.m_max);
  known.m_latest.m_slots_per_engine = std::max(1.0, demand.m_slots_per_engine);
  if (added) {
    known.m_in_force = std::clamp(demand.m_listed, known.m_latest.m_min, known.m_latest.m_max);
    known.m_observed_since = now;
  }
  known.m_samples.push_back({now, demand.m_running});
  while (now - known.m_samples.front().m_at > remembered_time) {
    known.m_samples.pop_front();
  }
}

// Returns the number of running requests that is expected when engines that are ordered now begin to serve.
double capacity_planner::expected_running(const state& group, time_point now) {
  const auto mean_between = [&](duration from_age, duration to_age) -> std::optional<double> {
    double sum = 0;
    int count = 0;
    for (const auto& [at, running] : group.m_samples) {
      if (now - at <= from_age && now - at >= to_age) {
        sum += running;
        ++count;
      }
    }
    return count > 0 ? std::optional(sum / count) : std::nullopt;
  };
  const double recent = mean_between(mean_time, duration::zero()).value_or(0);
  const auto later = mean_between(trend_time, duration::zero());
  const auto earlier = mean_between(trend_time * 2, trend_time + duration(1));
  const double noise = std::sqrt(2 * recent);
  const double growth = later && earlier ? std::max(0.0, *later - *earlier - noise) : 0;
  const double boot_times =
      static_cast<double>(group.m_latest.m_boot_time.count()) / static_cast<double>(trend_time.count());
  // A trend rarely lasts for longer than it takes to double.
  return recent + std::min(growth * boot_times, recent);
}

std::optional<std::uint32_t> capacity_planner::decide(const engine_group& group, time_point now) {
  const auto found = m_groups.find(group);
  if (found == m_groups.end() || found->second.m_samples.empty()) {
    return std::nullopt;
  }
  const state& known = found->second;
  const auto& latest = known.m_latest;
  const double slots = latest.m_slots_per_engine;
  const auto engines_for = [&](double running, double occupancy) {
    const double engines = std::ceil(running / (slots * occupancy));
    return std::clamp(engines, static_cast<double>(latest.m_min), static_cast<double>(latest.m_max));
  };
  const double in_force = known.m_in_force;
  const double expected = expected_running(known, now);
  double wanted = in_force;
  if (expected > in_force * slots * max_occupancy) {
    wanted = engines_for(expected, aimed_occupancy);
  }
  const bool all_serve = latest.m_listed >= known.m_in_force;
  if (all_serve && latest.m_running >= in_force * slots * full_occupancy) {
    wanted = std::max(wanted, std::min<double>(std::ceil(in_force * growth_when_full), latest.m_max));
  }
  if (wanted > in_force) {
    return static_cast<std::uint32_t>(wanted);
  }
  const auto passed = [&](const std::optional<time_point>& since, duration time) {
    return !since || now - *since >= time;
  };
  if (now - known.m_observed_since < remembered_time || !passed(known.m_raised_at, remembered_time) ||
      !passed(known.m_lowered_at, lowering_interval)) {
    return std::nullopt;
  }
  const double highest =
      std::max_element(known.m_samples.begin(), known.m_samples.end(), [](const auto& a, const auto& b) {
        return a.m_running < b.m_running;
      })->m_running;
  const double enough = engines_for(std::max(highest, expected), occupancy_after_lowering);
  const double step = std::max(1.0, std::floor(in_force * max_lowered_share));
  wanted = std::max(enough, in_force - step);
  return wanted < in_force ? std::optional(static_cast<std::uint32_t>(wanted)) : std::nullopt;
}

void capacity_planner::record_order(const engine_group& group, std::uint32_t engines, time_point now) {
  if (const auto found = m_groups.find(group); found != m_groups.end()) {
    state& known = found->second;
    (engines > known.m_in_force ? known.m_raised_at : known.m_lowered_at) = now;
    known.m_in_force = engines;
  }
}

std::uint32_t capacity_planner::engines_in_force(const engine_group& group) const {
  const auto found = m_groups.find(group);
  return found == m_groups.end() ? 0 : found->second.m_in_force;
}

} // namespace cardamompond::fleet
