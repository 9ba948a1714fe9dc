#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace cardamompond::fleet {

// The engines of one service in one availability zone, whose number is ordered.
struct engine_group {
  std::string m_service;
  std::string m_availability_zone;
  friend bool operator<(const engine_group& a, const engine_group& b) {
    return std::tie(a.m_service, a.m_availability_zone) < std::tie(b.m_service, b.m_availability_zone);
  }
};

// What is known about an engine group at one moment.
struct engine_demand {
  double m_running = 0;          // requests that run on its engines, from all daemons
  std::uint32_t m_listed = 0;    // engines that serve or start
  double m_slots_per_engine = 1; // mean
  std::uint32_t m_min = 1;
  std::uint32_t m_max = 1;
  duration m_boot_time{}; // from an order until a new engine serves
};

// Decides how many engines each engine group should have. The requests that run are the arriving work times
// the time that it takes, so they state the need directly, at whatever speed the engines have. The number
// grows at once when demand has been high for several seconds, and shrinks in small steps, only while at most
// half of the slots are occupied and to what was enough for the last 20 s.
class capacity_planner {
public:
  // Must be called about twice a second for each group.
  void observe(const engine_group& group, const engine_demand& demand, time_point now);

  // Returns the number to order, if it differs from the one in force.
  std::optional<std::uint32_t> decide(const engine_group& group, time_point now);

  // Records that the number is in force.
  void record_order(const engine_group& group, std::uint32_t engines, time_point now);

  // Returns the number in force; 0 for a group that was not observed.
  std::uint32_t engines_in_force(const engine_group& group) const;

  // Forgets all observations, after a time in which the groups were not observed.
  void reset() { m_groups.clear(); }

private:
  struct sample {
    time_point m_at;
    double m_running = 0;
  };
  struct state {
    engine_demand m_latest;
    std::deque<sample> m_samples; // of the remembered time
    std::uint32_t m_in_force = 0;
    time_point m_observed_since;
    time_point m_listed_grew_at; // last growth of the list before the first order
    std::optional<time_point> m_raised_at;
    std::optional<time_point> m_lowered_at;
  };
  static std::optional<double> mean_running(const state& group, time_point now, duration from_age,
                                            duration to_age);
  static double raised_number(const state& group, time_point now);
  static double lowered_number(const state& group, time_point now);

  std::map<engine_group, state> m_groups;
};

} // namespace cardamompond::fleet
