// Simulates bursts over capacity and the loss of engines, with the dispatchers of a group of daemons in
// virtual time, and prints what each route's callers get. Arguments: the number of seeds (default 3).

#include "overload_simulation.hpp"

#include <cstdio>
#include <cstdlib>

using namespace cardamompond;
using namespace cardamompond::fleet::testing;

namespace {

void run(const char* name, simulated_overload overload, std::uint64_t seeds) {
  for (const bool report_blocked : {false, true}) {
    overload.m_report_blocked = report_blocked;
    double worth = 0;
    double in_burst = 0;
    double recovery_s = 0;
    std::array<double, simulated_routes> shares{};
    double late = 0;
    double callers = 0;
    for (overload.m_seed = 1; overload.m_seed <= seeds; ++overload.m_seed) {
      const auto result = simulate(overload);
      worth += result.m_worth;
      in_burst += result.m_worth_in_burst;
      recovery_s += std::chrono::duration<double>(result.m_recovery).count();
      for (std::size_t i = 0; i < simulated_routes; ++i) {
        shares[i] += result.m_routes_in_burst[i].on_time_share();
        late += result.m_routes[i].m_late;
        callers += result.m_routes[i].m_callers;
      }
    }
    const auto count = static_cast<double>(seeds);
    std::printf("%-28s %-8s worth %.3f  in burst %.3f  on time there: guide %.3f note %.3f label %.3f  "
                "late %.3f  recovery %.1f s\n",
                name, report_blocked ? "shared" : "alone", worth / count, in_burst / count, shares[0] / count,
                shares[1] / count, shares[2] / count, late / callers, recovery_s / count);
  }
}

} // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
  simulated_overload calm;
  run("no overload", calm, seeds);
  simulated_overload burst;
  burst.m_burst_factor = 1.8;
  run("burst of 1.8 times", burst, seeds);
  simulated_overload loss;
  loss.m_lost_engines = 0.33;
  run("a third of the engines lost", loss, seeds);
  simulated_overload both = burst;
  both.m_lost_engines = 0.25;
  run("both", both, seeds);
  return 0;
}
