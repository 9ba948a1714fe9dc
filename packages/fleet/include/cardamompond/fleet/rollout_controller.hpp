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

// Outcomes of the requests of one version and route, as running totals of one daemon.
struct version_outcomes {
  std::uint64_t m_good = 0;
  std::uint64_t m_bad = 0;            // failed, or aborted by the server
  double m_time_to_first_token_s = 0; // sum over the good requests
  double m_time_per_unit_s = 0;       // sum over the good requests of the time per unit of the answer
};

// One row of a report: the outcomes of one route on one version of a service since the daemon started.
struct version_observation {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  version_outcomes m_outcomes;
};

// Compares the versions of services during rollouts and decides when a rollout is completed or rolled back.
// It uses the sum of the outcomes of all daemons. Reads no clock.
class rollout_controller {
public:
  // Replaces the orders in force. A new order, recognised by its creation revision, resets this daemon's
  // outcomes of its service.
  void set_orders(const std::vector<rollout_order>& orders, time_point now);

  // Records the end of a request on this daemon. `time_per_unit` is the time per unit of the answer, which
  // makes answers of different lengths comparable between versions.
  void record_outcome(std::string_view service, std::string_view version, std::string_view route, bool good,
                      duration first_answer, duration time_per_unit, time_point now);

  // Replaces the totals reported by another daemon. An empty report removes them.
  void set_peer_observations(std::string_view daemon, const std::vector<version_observation>& observations);

  // Returns the totals of this daemon for services with an order, for reports to the peers.
  std::vector<version_observation> own_observations() const;

  // Records that a request was granted to the version. The share of the target is computed from these counts.
  void record_grant(std::string_view service, std::string_view version);

  // Whether a request may go to this version now. Returns false for the target version after a rollback and
  // while its share is used up, and for the old versions once the order is completed.
  bool allows(std::string_view service, std::string_view version) const;

  // Evaluates all undecided orders.
  void tick(time_point now);

  // The state that this daemon has decided for an order. The caller writes it to the store.
  struct order_decision {
    std::string m_service;
    std::string m_target_version;
    rollout_order::state m_state = rollout_order::state::running;
    std::string m_reason;
  };
  std::vector<order_decision> decisions() const;

  // Applies the decision of another daemon to roll back the order created at this revision.
  void record_rollback(std::string_view service, std::uint64_t created_revision, std::string_view reason);

  // Returns the service and creation revision of each order that is rolled back, for reports to the peers.
  std::vector<std::pair<std::string, std::uint64_t>> rolled_back_orders() const;

private:
  struct rollout_progress {
    rollout_order m_order;
    time_point m_started; // when this daemon received the order
    rollout_order::state m_decided_state = rollout_order::state::running;
    std::string m_reason;
    std::uint64_t m_granted = 0; // requests that this daemon granted, to all versions
    std::uint64_t m_granted_to_target = 0;
  };
  using outcome_key = std::pair<std::string, std::string>; // version, route

  std::map<outcome_key, version_outcomes> total_outcomes(const std::string& service) const;
  void evaluate(const std::string& service, rollout_progress& progress, time_point now);

  std::map<std::string, rollout_progress, std::less<>> m_rollouts; // by service
  std::map<std::string, std::map<outcome_key, version_outcomes>, std::less<>>
      m_own_outcomes; // outcomes of this daemon, by service
  std::map<std::string, std::vector<version_observation>, std::less<>>
      m_peer_observations; // reports of other daemons
};

} // namespace cardamompond::fleet
