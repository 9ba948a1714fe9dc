#include "policy_simulation.hpp"

#include <cstdio>
#include <string>

using namespace cardamompond;
using namespace cardamompond::benchmark;

namespace {

constexpr std::uint64_t seed = 42;

struct pair_of_results {
  simulation_result m_library;
  simulation_result m_baseline;
};

pair_of_results compare(const scenario& what) {
  const auto library = make_library();
  const auto baseline = make_baseline();
  return {simulate(*library, what, seed), simulate(*baseline, what, seed)};
}

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

// Returns the number of requests per second that the library completes in time when far more arrive and all
// are of one tier.
double measure_capacity() {
  scenario what;
  what.m_rate = 200;
  what.m_single_tier = true;
  const auto library = make_library();
  const simulation_result result = simulate(*library, what, seed);
  return static_cast<double>(result.m_tiers[0].m_good) / static_cast<double>(what.m_length.count());
}

void print_goodput(const char* name, double load, const simulation_result& result) {
  std::printf("%-9s %5.1f |", name, load);
  for (const tier_result& tier : result.m_tiers) {
    std::printf(" %6.2f%%", share(tier.m_good, tier.m_demand));
  }
  std::printf(" | %6.2f%% | %6.2f%% | %6.2f%% | %5llu\n",
              share(result.m_tiers[0].m_refused, result.m_tiers[0].m_demand),
              share(result.m_wasted_tokens, result.m_prefill_tokens),
              share(result.m_wasted_tokens, result.m_prompt_tokens),
              static_cast<unsigned long long>(result.m_inversions));
}

void compare_loads(double capacity) {
  std::printf("\nResponses in time, share of the demand by tier (0 is the highest; 15%%, 25%%, 30%%, 30%% of "
              "the load)\n");
  std::printf("%-9s %5s | %7s %7s %7s %7s | %7s | %7s | %7s | %s\n", "policy", "load", "tier 0", "tier 1",
              "tier 2", "tier 3", "refused", "wasted", "wasted", "inversions");
  std::printf("%-9s %5s | %7s %7s %7s %7s | %7s | %7s | %7s |\n", "", "", "", "", "", "", "tier 0", "prefill",
              "prompt");
  for (const double load : {0.8, 1.0, 2.0, 4.0}) {
    scenario what;
    what.m_rate = capacity * load;
    const pair_of_results results = compare(what);
    print_goodput("library", load, results.m_library);
    print_goodput("baseline", load, results.m_baseline);
  }
}

void print_version(const char* name, const simulation_result& result) {
  std::printf("%-9s | %12.2f%% | %12.2f%% | %10.2f s | %llu of %llu\n", name,
              100 * result.m_bad_share_before_tenth, 100 * result.m_bad_share_before_zero,
              result.m_tenth_fault_to_zero_s, static_cast<unsigned long long>(result.m_bad_dispatched),
              static_cast<unsigned long long>(result.m_dispatched));
}

void compare_bad_version(double capacity) {
  scenario what;
  what.m_rate = capacity * 0.6; // 6 of the 33 engines run only the new version
  what.m_bad_version = true;
  std::printf("\nVersion that fails every request: its share of the dispatches since the rollout began\n");
  std::printf("%-9s | %13s | %13s | %12s | bad dispatches\n", "policy", "to 10th fault", "to the last",
              "10th to zero");
  const pair_of_results results = compare(what);
  print_version("library", results.m_library);
  print_version("baseline", results.m_baseline);
}

void print_faults(const char* name, const simulation_result& result) {
  tier_result all;
  for (const tier_result& tier : result.m_tiers) {
    all.m_demand += tier.m_demand;
    all.m_good += tier.m_good;
    all.m_refused += tier.m_refused;
    all.m_late += tier.m_late;
    all.m_lost += tier.m_lost;
  }
  std::printf("%-9s | %6llu | %6llu | %6llu | %6llu | %6.2f%% | %6.2f%% | %4u (1) | %4u\n", name,
              static_cast<unsigned long long>(all.m_demand), static_cast<unsigned long long>(all.m_lost),
              static_cast<unsigned long long>(all.m_refused), static_cast<unsigned long long>(all.m_late),
              share(all.m_good, all.m_demand), share(result.m_tiers[0].m_good, result.m_tiers[0].m_demand),
              result.m_cold_peak, result.m_cold_excess);
}

void compare_faults(const char* title, const scenario& what) {
  std::printf("\n%s\n%-9s | %6s | %6s | %6s | %6s | %7s | %7s | %8s | %s\n", title, "policy", "demand",
              "lost", "refused", "late", "in time", "tier 0", "cold", "worst excess");
  std::printf("%-9s | %6s | %6s | %6s | %6s | %7s | %7s | %8s | over the ramp\n", "", "", "", "", "", "",
              "in time", "peak");
  const pair_of_results results = compare(what);
  print_faults("library", results.m_library);
  print_faults("baseline", results.m_baseline);
}

} // namespace

int main() {
  const double capacity = measure_capacity();
  std::printf("33 engines of 8 slots, 8 daemons, 4 tiers, seed %llu; capacity %.1f requests/s\n",
              static_cast<unsigned long long>(seed), capacity);
  compare_loads(capacity);
  compare_bad_version(capacity);
  scenario zone;
  zone.m_rate = capacity * 0.6;
  zone.m_length = seconds(240);
  zone.m_zone_exit = true;
  compare_faults("Zone of 11 engines is declared out of service, stops 45 s later and returns cold; load 0.6",
                 zone);
  scenario restarts;
  restarts.m_rate = capacity * 0.6;
  restarts.m_restarts = true;
  compare_faults("An engine restarts without notice every 10 s; load 0.6", restarts);
  return 0;
}
