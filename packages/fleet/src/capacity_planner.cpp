#include "cardamompond/fleet/capacity_planner.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

constexpr duration remembered_time = seconds(20);

// Streams are on time up to about this share of occupied slots; engines are added above it. The number that
// is aimed at then leaves room for the growth until the next order takes effect.
constexpr double max_occupancy = 0.85;
constexpr double aimed_occupancy = 0.7;

// Demand must be high on average for this long, or for the boot time if that is longer: a burst that is
// shorter is over before a new engine serves.
constexpr duration min_high_time = seconds(3);

// Growth is extrapolated by at most this share of the demand, since a trend rarely lasts.
constexpr double max_growth_share = 0.25;

// Engines are taken away only if at most half of the slots were occupied in the remembered time, and if the
// highest demand of the remembered time would still leave enough room to grow while new engines start.
constexpr double max_occupancy_to_lower = 0.5;
constexpr double max_occupancy_after_lowering = 0.65;
constexpr duration lowering_mean_time = seconds(3);

// A list of servers that is read in parts is complete when it has not grown for this long.
constexpr duration settling_time = seconds(3);

// The number shrinks by at most a tenth, and not more often than this.
constexpr double max_lowered_share = 0.1;
constexpr duration lowering_interval = seconds(10);

} // namespace

void capacity_planner::observe(const engine_group& group, const engine_demand& demand, time_point now) {
  const auto [found, added] = m_groups.try_emplace(group);
  state& known = found->second;
  known.m_latest = demand;
  known.m_latest.m_max = std::max(demand.m_min, demand.m_max);
  known.m_latest.m_slots_per_engine = std::max(1.0, demand.m_slots_per_engine);
  if (added) {
    known.m_observed_since = now;
  }
  // Without an order, what is listed is in force.
  const std::uint32_t listed = std::clamp(demand.m_listed, known.m_latest.m_min, known.m_latest.m_max);
  if (added || (!known.m_raised_at && !known.m_lowered_at && listed > known.m_in_force)) {
    known.m_in_force = listed;
    known.m_listed_grew_at = now;
  }
  known.m_samples.push_back({now, demand.m_running});
  while (now - known.m_samples.front().m_at > remembered_time) {
    known.m_samples.pop_front();
  }
}

// Returns the mean demand from one age to another; nothing without samples.
std::optional<double> capacity_planner::mean_running(const state& group, time_point now, duration from_age,
                                                     duration to_age) {
  double sum = 0;
  int count = 0;
  for (const auto& [at, running] : group.m_samples) {
    if (now - at < from_age && now - at >= to_age) {
      sum += running;
      ++count;
    }
  }
  return count > 0 ? std::optional(sum / count) : std::nullopt;
}

// Returns the number to raise to, which is the number in force if that is enough.
double capacity_planner::raised_number(const state& group, time_point now) {
  const duration high_time = std::max(min_high_time, group.m_latest.m_boot_time);
  const double slots = group.m_latest.m_slots_per_engine;
  const auto recent = mean_running(group, now, high_time, duration::zero());
  if (now - group.m_observed_since < high_time || !recent ||
      *recent <= group.m_in_force * slots * max_occupancy) {
    return group.m_in_force;
  }
  // Running requests vary by about their square root without any trend.
  const double earlier = mean_running(group, now, high_time * 2, high_time).value_or(*recent);
  const double growth = std::max(0.0, *recent - earlier - std::sqrt(2 * *recent));
  const double boot_times =
      static_cast<double>(group.m_latest.m_boot_time.count()) / static_cast<double>(high_time.count());
  const double expected = *recent + std::min(growth * boot_times, *recent * max_growth_share);
  return std::clamp<double>(std::ceil(expected / (slots * aimed_occupancy)), group.m_in_force,
                            std::max(group.m_in_force, group.m_latest.m_max));
}

// Returns the number to lower to, which is the number in force if it must not shrink.
double capacity_planner::lowered_number(const state& group, time_point now) {
  const auto passed = [&](const std::optional<time_point>& since, duration time) {
    return !since || now - *since >= time;
  };
  if (now - group.m_observed_since < remembered_time || !passed(group.m_raised_at, remembered_time) ||
      !passed(group.m_lowered_at, lowering_interval)) {
    return group.m_in_force;
  }
  const double slots = group.m_latest.m_slots_per_engine;
  const auto mean = mean_running(group, now, remembered_time, duration::zero());
  if (!mean || *mean > group.m_in_force * slots * max_occupancy_to_lower) {
    return group.m_in_force;
  }
  double highest = 0;
  for (duration age{}; age + lowering_mean_time <= remembered_time; age += lowering_mean_time / 2) {
    highest = std::max(highest, mean_running(group, now, age + lowering_mean_time, age).value_or(0));
  }
  const double enough =
      std::max({std::ceil(highest / (slots * max_occupancy_after_lowering)),
                std::ceil(group.m_latest.m_running / slots), static_cast<double>(group.m_latest.m_min)});
  const double step = std::max(1.0, std::floor(group.m_in_force * max_lowered_share));
  return std::min<double>(group.m_in_force, std::max(enough, group.m_in_force - step));
}

std::optional<std::uint32_t> capacity_planner::decide(const engine_group& group, time_point now) {
  const auto found = m_groups.find(group);
  if (found == m_groups.end() || now - found->second.m_listed_grew_at < settling_time) {
    return std::nullopt;
  }
  const state& known = found->second;
  double wanted = raised_number(known, now);
  if (wanted <= known.m_in_force) {
    wanted = lowered_number(known, now);
  }
  const auto number = static_cast<std::uint32_t>(wanted);
  return number != known.m_in_force ? std::optional(number) : std::nullopt;
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
