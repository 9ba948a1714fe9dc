#pragma once

#include "cardamompond/scheduler/configuration.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <memory>
#include <vector>

namespace cardamompond::scheduler {

// Reference scheduler for the benchmarks. Each daemon runs its own instance, and the instances share no
// state. Requests are served first come, first served, and are distributed round robin over the backend
// servers of the active version and of the target version of a rollout. It does not implement tiers, cold
// starts, circuit breakers or prefix affinity, and it counts only its own requests against the slots of a
// backend server.
class baseline_scheduler {
public:
  baseline_scheduler();
  ~baseline_scheduler();
  baseline_scheduler(baseline_scheduler&&) noexcept;
  baseline_scheduler& operator=(baseline_scheduler&&) noexcept;

  void apply(const configuration& config, time_point now);
  void handle(const event& input, time_point now);
  std::vector<decision> tick(time_point now);

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::scheduler
