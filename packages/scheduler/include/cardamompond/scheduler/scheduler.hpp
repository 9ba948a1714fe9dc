#pragma once

#include "cardamompond/core/signals.hpp"
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

// Returns the state as status records and the administration address show it, e.g. "taken_back".
std::string_view to_string(rollout_state state);

struct rollout_status {
  std::string m_service;
  std::string m_target_version;
  rollout_state m_state = rollout_state::none;
  double m_traffic_percent = 0;
  std::string m_reason;
};

struct backend_server_status {
  std::string m_name;
  bool m_cold = false;
  bool m_in_service = false;
  std::uint32_t m_limit = 0;
  std::uint32_t m_outstanding = 0;
};

struct scheduler_status {
  std::vector<rollout_status> m_rollouts;
  std::vector<backend_server_status> m_backend_servers;
  std::size_t m_waiting = 0;
  std::size_t m_outstanding = 0;
};

// Decides for one cell which request runs when and where, and which is refused. Reads no clock, opens no
// socket and starts no thread: time comes as an argument and must not go back; a time before an earlier one
// counts as that one.
class scheduler {
public:
  explicit scheduler(std::uint64_t seed);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  // Replaces the configuration. A revision below the current one is ignored and counted.
  void apply(const configuration& config, time_point now);

  // Takes in one event. Bad input changes nothing it should not and is counted by reason.
  void handle(const event& input, time_point now);

  // Runs all systems and returns the decisions since the last tick. Call it after each batch of events and at
  // least every 50 ms.
  std::vector<decision> tick(time_point now);

  // Forgets waiting requests and outstanding permits, for a new epoch of ownership. Observations are kept.
  void reset_requests();

  // Merges faults learned from peers.
  void merge(const signal_set& signals, time_point now);

  // The faults known here, own ones included; the version increases with each change.
  signal_set signals(time_point now) const;
  std::uint64_t signals_version() const;

  scheduler_status status() const;

  // Counts of rejected input by reason, for metrics.
  const std::map<std::string, std::uint64_t, std::less<>>& rejected_inputs() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::scheduler
