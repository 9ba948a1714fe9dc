#include "policy_simulation.hpp"

#include <cstdio>
#include <string>

using namespace cardamompond;
using namespace cardamompond::benchmark;

namespace {

constexpr std::uint64_t seed = 42;

struct policy_results {
  simulation_result m_library;
  simulation_result m_baseline;
};

policy_results simulate_policies(const simulation_scenario& scenario) {
  const auto library = make_library_policy();
  const auto baseline = make_baseline_policy();
  return {simulate(*library, scenario, seed), simulate(*baseline, scenario, seed)};
}

double to_percent(std::uint64_t part, std::uint64_t total) {
  return total == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(total);
}

// Returns the number of requests per second that the library completes in time when far more arrive and all
// are of one tier.
double measure_capacity() {
  simulation_scenario scenario;
  scenario.m_requests_per_s = 200;
  scenario.m_single_tier = true;
  const auto library = make_library_policy();
  const simulation_result result = simulate(*library, scenario, seed);
  return static_cast<double>(result.m_tiers[0].m_in_time) /
         static_cast<double>(scenario.m_measured_time.count());
}

void print_goodput(const char* name, double load, const simulation_result& result) {
  std::printf("%-9s %5.1f |", name, load);
  for (const tier_result& tier : result.m_tiers) {
    std::printf(" %6.2f%%", to_percent(tier.m_in_time, tier.m_demand));
  }
  std::printf(" | %6.2f%% | %6.2f%% | %6.2f%% | %5llu\n",
              to_percent(result.m_tiers[0].m_refused, result.m_tiers[0].m_demand),
              to_percent(result.m_wasted_tokens, result.m_prefill_tokens),
              to_percent(result.m_wasted_tokens, result.m_prompt_tokens),
              static_cast<unsigned long long>(result.m_priority_inversions));
}

void compare_loads(double capacity) {
  std::printf("\nResponses in time, share of the demand by tier (0 is the highest; 15%%, 25%%, 30%%, 30%% of "
              "the load)\n");
  std::printf("%-9s %5s | %7s %7s %7s %7s | %7s | %7s | %7s | %s\n", "policy", "load", "tier 0", "tier 1",
              "tier 2", "tier 3", "refused", "wasted", "wasted", "inversions");
  std::printf("%-9s %5s | %7s %7s %7s %7s | %7s | %7s | %7s |\n", "", "", "", "", "", "", "tier 0", "prefill",
              "prompt");
  for (const double load : {0.8, 1.0, 2.0, 4.0}) {
    simulation_scenario scenario;
    scenario.m_requests_per_s = capacity * load;
    const policy_results results = simulate_policies(scenario);
    print_goodput("library", load, results.m_library);
    print_goodput("baseline", load, results.m_baseline);
  }
}

void print_rollout(const char* name, const simulation_result& result) {
  std::printf("%-9s | %12.2f%% | %12.2f%% | %10.2f s | %llu of %llu\n", name,
              100 * result.m_faulty_share_at_tenth_failure, 100 * result.m_faulty_share_at_last_dispatch,
              result.m_tenth_failure_to_last_dispatch_s,
              static_cast<unsigned long long>(result.m_faulty_dispatches),
              static_cast<unsigned long long>(result.m_rollout_dispatches));
}

void compare_faulty_version(double capacity) {
  simulation_scenario scenario;
  scenario.m_requests_per_s = capacity * 0.6; // 6 of the 33 engines run only the new version
  scenario.m_faulty_rollout = true;
  std::printf("\nVersion that fails every request: its share of the dispatches since the rollout began\n");
  std::printf("%-9s | %13s | %13s | %12s | bad dispatches\n", "policy", "to 10th fault", "to the last",
              "10th to zero");
  const policy_results results = simulate_policies(scenario);
  print_rollout("library", results.m_library);
  print_rollout("baseline", results.m_baseline);
}

void print_faults(const char* name, const simulation_result& result) {
  tier_result all_tiers;
  for (const tier_result& tier : result.m_tiers) {
    all_tiers.m_demand += tier.m_demand;
    all_tiers.m_in_time += tier.m_in_time;
    all_tiers.m_refused += tier.m_refused;
    all_tiers.m_deadline_missed += tier.m_deadline_missed;
    all_tiers.m_connection_broken += tier.m_connection_broken;
  }
  std::printf("%-9s | %6llu | %6llu | %6llu | %6llu | %6.2f%% | %6.2f%% | %4u (1) | %4u\n", name,
              static_cast<unsigned long long>(all_tiers.m_demand),
              static_cast<unsigned long long>(all_tiers.m_connection_broken),
              static_cast<unsigned long long>(all_tiers.m_refused),
              static_cast<unsigned long long>(all_tiers.m_deadline_missed),
              to_percent(all_tiers.m_in_time, all_tiers.m_demand),
              to_percent(result.m_tiers[0].m_in_time, result.m_tiers[0].m_demand), result.m_max_cold_requests,
              result.m_max_cold_excess);
}

void compare_faults(const char* title, const simulation_scenario& scenario) {
  std::printf("\n%s\n%-9s | %6s | %6s | %6s | %6s | %7s | %7s | %8s | %s\n", title, "policy", "demand",
              "lost", "refused", "late", "in time", "tier 0", "cold", "worst excess");
  std::printf("%-9s | %6s | %6s | %6s | %6s | %7s | %7s | %8s | over the ramp\n", "", "", "", "", "", "",
              "in time", "peak");
  const policy_results results = simulate_policies(scenario);
  print_faults("library", results.m_library);
  print_faults("baseline", results.m_baseline);
}

} // namespace

int main() {
  const double capacity = measure_capacity();
  std::printf("33 engines of 8 slots, 8 daemons, 4 tiers, seed %llu; capacity %.1f requests/s\n",
              static_cast<unsigned long long>(seed), capacity);
  compare_loads(capacity);
  compare_faulty_version(capacity);
  simulation_scenario zone_exit;
  zone_exit.m_requests_per_s = capacity * 0.6;
  zone_exit.m_measured_time = seconds(240);
  zone_exit.m_zone_exit = true;
  compare_faults("Zone of 11 engines is declared out of service, stops 45 s later and returns cold; load 0.6",
                 zone_exit);
  simulation_scenario restarts;
  restarts.m_requests_per_s = capacity * 0.6;
  restarts.m_engine_restarts = true;
  compare_faults("An engine restarts without notice every 10 s; load 0.6", restarts);
  return 0;
}
