#pragma once

#include "cardamompond/core/fault_signals.hpp"
#include "cardamompond/scheduler/scheduler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::daemon {

// Decides when and on which backend server the requests of a cell run. The current time is passed to each
// call instead of being read from a clock.
class decision_engine {
public:
  virtual ~decision_engine() = default;

  virtual void apply(const scheduler::configuration& config, time_point now) = 0;
  virtual void handle(const scheduler::event& input, time_point now) = 0;
  virtual std::vector<scheduler::decision> tick(time_point now) = 0;

  // Removes all requests and permits when a new epoch of ownership starts. Observations about backend servers
  // are kept.
  virtual void reset_requests() = 0;

  virtual void merge(const fault_signal_set& fault_signals, time_point now) = 0;
  virtual fault_signal_set fault_signals(time_point now) const = 0;
  virtual scheduler::scheduler_status status() const = 0;

  // Number of rejected events by reason, for metrics.
  virtual std::map<std::string, std::uint64_t, std::less<>> rejected_inputs() const = 0;
};

// Creates an engine that runs scheduler::scheduler.
std::unique_ptr<decision_engine> make_scheduler_engine(std::uint64_t seed);

} // namespace cardamompond::daemon
