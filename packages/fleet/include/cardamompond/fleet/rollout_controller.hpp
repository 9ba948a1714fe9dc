#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::fleet {

// Outcomes of requests by version and route, as running totals of one daemon.
struct version_outcomes {
  std::uint64_t m_good = 0;
  std::uint64_t m_bad = 0;      // failed, or broken off by the server
  double m_first_answer_s = 0;  // sum over the good ones
  double m_time_per_unit_s = 0; // sum over the good ones, per unit of answer
};

// One row of a report: outcomes of one route on one version of a service since the daemon started.
struct version_observation {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  version_outcomes m_outcomes;
};

// Watches the versions of services during rollouts and decides when one is completed or taken back. Sums the
// outcomes of all daemons; reads no clock.
class rollout_controller {
public:
  // The orders in force. A new order (by its creation revision) starts the observation anew.
  void set_orders(const std::vector<rollout_order>& orders, time_point now);

  // A request ended here. `total` is the time per unit of the answer, for comparison between versions.
  void record_outcome(std::string_view service, std::string_view version, std::string_view route, bool good,
                      duration first_answer, duration total, time_point now);

  // A daemon's totals; replaces its earlier report.
  void set_peer_observations(std::string_view daemon, const std::vector<version_observation>& observations);

  // Totals of this daemon for services with an order, for reports.
  std::vector<version_observation> own_observations() const;

  // A request was granted to the version. Counted for the share.
  void record_grant(std::string_view service, std::string_view version);

  // Whether a request may go to this version now. False for the target once it is taken back, and while its
  // share is used up; false for the old versions once the order is completed.
  bool allows(std::string_view service, std::string_view version) const;

  // Re-evaluates all orders.
  void tick(time_point now);

  // What each order's state should be, as decided here; the caller writes it to the store.
  struct order_decision {
    std::string m_service;
    std::string m_target_version;
    rollout_order::state m_state = rollout_order::state::running;
    std::string m_reason;
  };
  std::vector<order_decision> decisions() const;

  // Takes over another daemon's finding that a target is bad.
  void record_rollback(std::string_view service, std::uint64_t created, std::string_view reason);

  // Revision of the order's creation, by service; for reports of taken-back targets.
  std::vector<std::pair<std::string, std::uint64_t>> rolled_back_orders() const;

private:
  struct trial {
    rollout_order m_order;
    time_point m_started; // when this daemon learnt of the order
    rollout_order::state m_decided = rollout_order::state::running;
    std::string m_reason;
    std::uint64_t m_granted = 0; // to all versions, by this daemon
    std::uint64_t m_granted_to_target = 0;
  };
  using outcome_key = std::pair<std::string, std::string>; // version, route

  std::map<outcome_key, version_outcomes> total_outcomes(const std::string& service) const;
  void evaluate(const std::string& service, trial& progress, time_point now);

  std::map<std::string, trial, std::less<>> m_trials; // by service
  std::map<std::string, std::map<outcome_key, version_outcomes>, std::less<>> m_own;
  std::map<std::string, std::vector<version_observation>, std::less<>> m_peers;
};

} // namespace cardamompond::fleet
