#pragma once

#include "simulated_engine.hpp"

#include "cardamompond/scheduler/decisions.hpp"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace cardamompond::benchmark {

constexpr std::size_t tier_count = 4;
constexpr std::size_t daemon_count = 8;

// Schedules the requests of all daemons of the simulated cell.
class policy {
public:
  virtual ~policy() = default;
  virtual void apply(const scheduler::configuration& config, time_point now) = 0;
  // Handles an event that concerns a request of one daemon.
  virtual void handle(std::size_t daemon_index, const scheduler::event& input, time_point now) = 0;
  // Handles an event that every scheduler of the cell receives, such as a load report.
  virtual void handle_on_all_schedulers(const scheduler::event& input, time_point now) = 0;
  virtual std::vector<scheduler::decision> tick(time_point now) = 0;
};

// Returns a policy with one scheduler::scheduler for the cell.
std::unique_ptr<policy> make_library_policy();

// Returns a policy with one scheduler::baseline_scheduler for each daemon.
std::unique_ptr<policy> make_baseline_policy();

// Numbers of requests of one tier.
struct tier_result {
  std::uint64_t m_demand = 0;  // all requests that arrived
  std::uint64_t m_in_time = 0; // requests whose response was complete before the deadline
  std::uint64_t m_refused = 0;
  std::uint64_t m_deadline_missed = 0;
  std::uint64_t m_connection_broken = 0;
  std::uint64_t m_failed = 0; // requests that the faulty version answered with an error
};

struct simulation_result {
  std::array<tier_result, tier_count> m_tiers;
  std::uint64_t m_prompt_tokens = 0;  // of the requests that an engine started
  std::uint64_t m_prefill_tokens = 0; // those of m_prompt_tokens that were not in the engine's cache
  // Prefilled tokens of blocks that another engine had in its cache, and all prefilled tokens of requests
  // without a complete response.
  std::uint64_t m_wasted_tokens = 0;
  // For each tick that refused requests for lack of capacity, the number of tiers below the highest refused
  // one that had waiting requests.
  std::uint64_t m_priority_inversions = 0;
  std::uint64_t m_rollout_dispatches = 0; // dispatches since the start of the rollout
  std::uint64_t m_faulty_dispatches = 0;  // those of m_rollout_dispatches that went to the faulty version
  // Fraction of the dispatches since the start of the rollout that went to the faulty version, at the last
  // such dispatch before the tenth failure.
  double m_faulty_share_at_tenth_failure = 0;
  double m_faulty_share_at_last_dispatch = 0; // the same at the last dispatch to the faulty version
  // Time from the tenth failure to the last dispatch to the faulty version; 0 if no dispatch followed.
  double m_tenth_failure_to_last_dispatch_s = 0;
  std::uint32_t m_max_cold_excess = 0;   // maximum of simulated_engine::m_max_cold_excess
  std::uint32_t m_max_cold_requests = 0; // maximum of simulated_engine::m_max_cold_requests
};

struct simulation_scenario {
  double m_requests_per_s = 0;
  seconds m_warm_up{60};
  seconds m_measured_time{180};
  bool m_single_tier = false;    // puts all requests in the highest tier, to measure the capacity
  bool m_faulty_rollout = false; // rolls out version v2, which runs on 6 engines and fails every request
  // Declares the availability zone "c" out of service. Its engines stop 45 s later, and 60 s after that they
  // start again and are back in service.
  bool m_zone_exit = false;
  bool m_engine_restarts = false; // restarts an engine without notice every 10 s
};

// Runs the scenario in virtual time and returns what happened to the requests that arrived in the measured
// period. The inversions, the counts of the rollout and the maxima of cold engines cover all of the run.
simulation_result simulate(policy& tested_policy, const simulation_scenario& scenario, std::uint64_t seed);

} // namespace cardamompond::benchmark
