#pragma once

#include "cardamompond/core/fault_signals.hpp"
#include "cardamompond/scheduler/configuration.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::scheduler {

enum class rollout_state { none, in_progress, done, rolled_back };

// Returns the name of the state that is used in status records and on the administration address, e.g.
// "taken_back" for rolled_back.
std::string_view to_string(rollout_state state);

struct rollout_status {
  std::string m_service;
  std::string m_target_version;
  rollout_state m_state = rollout_state::none;
  double m_traffic_percent = 0;
  std::string m_reason; // why the rollout was rolled back
};

struct backend_server_status {
  std::string m_name;
  bool m_cold = false;
  bool m_in_service = false;
  std::uint32_t m_limit = 0; // current limit on outstanding requests
  std::uint32_t m_outstanding = 0;
};

struct scheduler_status {
  std::vector<rollout_status> m_rollouts;
  std::vector<backend_server_status> m_backend_servers;
  std::size_t m_waiting = 0;     // number of requests in the queues
  std::size_t m_outstanding = 0; // number of requests that hold a slot
};

// Schedules the requests of one cell: decides when and on which backend server each request runs, and which
// requests are rejected. It performs no I/O, starts no threads and does not read a clock. The caller passes
// the current time, which must not decrease; a time before the latest one seen is replaced by the latest one.
class scheduler {
public:
  explicit scheduler(std::uint64_t seed);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // Replaces the configuration. A configuration with a lower revision than the current one is ignored and
  // counted as rejected input.
  void apply(const configuration& config, time_point now);

  // Handles one event. Invalid input is ignored and counted by reason.
  void handle(const event& input, time_point now);

  // Expires deadlines and timeouts, places waiting requests and returns the decisions made since the last
  // call. Call it after each batch of events and at least every 50 ms.
  std::vector<decision> tick(time_point now);

  // Discards all waiting requests and outstanding permits at the start of a new ownership epoch. Measurements
  // of the backend servers, circuit breakers and crash records are kept.
  void reset_requests();

  // Merges open circuit breakers and crash records received from peers.
  void merge(const fault_signal_set& fault_signals, time_point now);

  // Returns all open circuit breakers and crash records known to this scheduler, whether detected here or
  // received from peers. The version increases with each change.
  fault_signal_set fault_signals(time_point now) const;
  std::uint64_t fault_signals_version() const;

  scheduler_status status() const;

  // Returns the number of rejected inputs by reason, for metrics.
  const std::map<std::string, std::uint64_t, std::less<>>& rejected_inputs() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::scheduler
