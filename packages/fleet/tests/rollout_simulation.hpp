#pragma once

#include "cardamompond/fleet/rollout_controller.hpp"

#include <cstdint>

namespace cardamompond::fleet::testing {

// A rollout on a group of daemons. The servers of both versions have the same three speeds. The servers of
// the old version carry the load; those of the target are nearly idle.
struct simulated_rollout {
  std::uint64_t m_seed = 1;
  int m_servers_per_version = 18;
  int m_daemons = 4;
  double m_requests_per_s = 139;
  double m_load = 0.6;      // share of the slots of the old version in use
  double m_slow_factor = 1; // the slow responses of the target take this many times as long
  double m_slow_share = 1;  // share of the responses of the target that is slow
  bool m_slow_on_one_route = false;
  duration m_slow_after{};    // the target is as fast as the old version until then
  duration m_restart_every{}; // one daemon after the other restarts at this interval; 0: none
  duration m_period = seconds(16);
};

struct simulation_result {
  rollout_order::state m_state = rollout_order::state::running;
  duration m_decided_after{};
  std::uint64_t m_requests = 0;           // until the decision
  std::uint64_t m_requests_to_target = 0; // until the decision
};

simulation_result simulate(const simulated_rollout& rollout);

// Whether a rule that compares the mean times to the first token with a factor of 2.2 finds the target slow
// by its due time, if it gets 7% of the requests until then.
bool is_slow_by_mean(const simulated_rollout& rollout);

} // namespace cardamompond::fleet::testing
