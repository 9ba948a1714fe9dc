// Wrong verdicts on simulated rollouts. For each slowdown of the target version, quiet and at 1.7 times the
// load: share of the runs in which the target was rolled back, time to the verdict, requests to the target
// against the bound, and the verdicts of the rule that compared mean times with a fixed factor.
//
// Usage: rollout_bench [RUNS [LOAD]]; LOAD is 0.5 or 0.85.

#include "rollout_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

// The share of the requests of a service that a bad version may get, and the requests allowed in addition.
constexpr double exposure_share = 0.1;
constexpr double exposure_slack = 50;

void run(const char* name, simulated_rollout rollout, int runs) {
  int rolled_back = 0;
  int found_by_mean = 0;
  double seconds_sum = 0;
  double largest_use_of_bound = 0;
  for (int i = 0; i < runs; ++i) {
    rollout.m_seed = static_cast<std::uint64_t>(i + 1);
    const simulation_result result = simulate(rollout);
    rolled_back += result.m_state == rollout_order::state::rolled_back ? 1 : 0;
    found_by_mean += is_slow_by_mean(rollout) ? 1 : 0;
    seconds_sum += std::chrono::duration<double>(result.m_decided_after).count();
    largest_use_of_bound = std::max(
        largest_use_of_bound, static_cast<double>(result.m_requests_to_target) /
                                  (exposure_share * static_cast<double>(result.m_requests) + exposure_slack));
  }
  std::printf("%-34s rolled back %3d of %d, by mean times %3d, after %4.1f s, at most %2.0f%% of the bound\n",
              name, rolled_back, runs, found_by_mean, seconds_sum / runs, 100 * largest_use_of_bound);
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  const int runs = argc > 1 ? std::atoi(argv[1]) : 200;
  const double only_load = argc > 2 ? std::atof(argv[2]) : 0;
  for (const double load : {0.5, 0.85}) {
    if (only_load > 0 && load != only_load) {
      continue;
    }
    simulated_rollout rollout;
    rollout.m_load = load;
    rollout.m_requests_per_s = 139 * load / 0.5;
    std::printf("%s\n", load < 0.6 ? "quiet" : "1.7 times the load");
    for (const double factor : {1.0, 1.3, 1.5, 2.0, 3.0, 5.0, 8.0}) {
      rollout.m_slow_factor = factor;
      char name[40];
      std::snprintf(name, sizeof name, "all responses x %.1f", factor);
      run(name, rollout, runs);
    }
    for (const double factor : {2.0, 3.0, 5.0, 8.0}) {
      rollout.m_slow_factor = factor;
      rollout.m_slow_share = 0.3;
      char name[40];
      std::snprintf(name, sizeof name, "three in ten x %.1f", factor);
      run(name, rollout, runs);
    }
    rollout.m_slow_share = 1;
    rollout.m_slow_factor = 3;
    rollout.m_slow_on_one_route = true;
    run("one route x 3", rollout, runs);
    rollout.m_slow_on_one_route = false;
    rollout.m_slow_after = seconds(7);
    run("x 3 after 7 s", rollout, runs);
    rollout.m_slow_after = {};
    rollout.m_restart_every = seconds(2);
    run("x 3 while daemons restart", rollout, runs);
    rollout.m_slow_factor = 1;
    run("good while daemons restart", rollout, runs);
    rollout.m_restart_every = {};
    rollout.m_servers_per_version = 9;
    rollout.m_requests_per_s *= 0.55;
    run("good, 9 servers", rollout, runs);
    rollout.m_slow_factor = 2;
    run("all responses x 2.0, 9 servers", rollout, runs);
  }
}
