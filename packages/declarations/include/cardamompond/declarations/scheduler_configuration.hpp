#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/declarations/objects.hpp"
#include "cardamompond/scheduler/configuration.hpp"

#include <chrono>
#include <string_view>

namespace cardamompond::declarations {

// The wall clock and the monotonic clock of a daemon, read at the same moment. Declarations contain
// wall-clock times, which are converted to the monotonic times of the scheduler.
struct clock_reading {
  time_point m_monotonic;
  std::chrono::system_clock::time_point m_wall;
};

// Derives the configuration of one cell's scheduler. Backend servers of other cells are omitted. Backend
// servers that are not in state "serving", or whose availability zone is out of service, are marked as not in
// service. A rollout that is already part of `previous`, with the same active and target version, keeps its
// start time.
scheduler::configuration make_scheduler_configuration(const snapshot& value, std::string_view cell,
                                                      clock_reading now,
                                                      const scheduler::configuration* previous = nullptr);

} // namespace cardamompond::declarations
