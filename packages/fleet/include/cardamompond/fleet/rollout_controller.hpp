#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/version_evidence.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::fleet {

// Outcomes of the requests of one version and route, as running totals of one daemon.
struct version_outcomes {
  std::uint64_t m_good = 0;
  std::uint64_t m_bad = 0; // failed, or aborted by the server
  // Latest good responses of the target version. Empty for old versions, which each daemon knows well enough
  // from its own requests.
  std::vector<response_timing> m_timings;
};

// One row of a report: the outcomes of one route on one version of a service since the daemon received the
// order.
struct version_observation {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  version_outcomes m_outcomes; // with timings of the target, or a sample of those of the old versions
  std::uint64_t m_order = 0;   // creation revision of the rollout order
  // In rows of the target: slowness_evidence::m_log_ratio as computed by the sender, NaN if it cannot tell.
  double m_log_ratio = std::numeric_limits<double>::quiet_NaN();
};

// The end of a request that a server answered or failed to answer.
struct request_sample {
  std::string_view m_service;
  std::string_view m_version;
  std::string_view m_route;
  std::string_view m_server_id;
  bool m_good = false;
  bool m_cold = false;         // the server was cold, so that its times say nothing about its version
  std::uint32_t m_running = 0; // requests that the server ran, this one included
  std::uint32_t m_prompt_tokens = 0;
  duration m_time_to_first_token{};
  duration m_event_gap{}; // median time between two events of a stream; 0: unknown
};

// Compares the versions of services during rollouts and decides when a rollout is completed or rolled back.
// It uses the sum of the outcomes of all daemons. Reads no clock.
class rollout_controller {
public:
  // Replaces the orders in force. A new order, recognised by its creation revision, resets this daemon's
  // outcomes of its service. `store_era` is that of the store which lists the orders; 0: none is stated.
  //
  // A store that comes back from a copy, in a new era, lists orders as they were some seconds before, and
  // those that it lost are written again with other revisions. An order is then recognised by its service,
  // its target version, and its period or creation revision, and keeps its progress and its decision. Until
  // it is listed again, or for 30 s, it stays in force.
  void set_orders(const std::vector<rollout_order>& orders, time_point now, std::uint64_t store_era = 0);

  // Sets the number of daemons in the group, which share the requests that the target gets regardless of its
  // share.
  void set_daemon_count(std::uint32_t count) { m_daemon_count = count; }

  // Records the end of a request on this daemon.
  void record_outcome(const request_sample& sample);

  // Whether an order for the service is in force and undecided.
  bool is_evaluating(std::string_view service) const;

  // Replaces the totals reported by another daemon. After a restart of that daemon, which its incarnation
  // shows, the totals of its earlier process are kept until the order is gone.
  void set_peer_observations(std::string_view daemon, std::uint64_t incarnation,
                             const std::vector<version_observation>& observations);

  // Returns the totals of this daemon for services with an order that the store lists, for reports to the
  // peers.
  std::vector<version_observation> own_observations() const;

  // Records that a request was granted to the version. The share of the target is computed from these counts.
  void record_grant(std::string_view service, std::string_view version);

  // Whether a request may go to this version now. Returns false for the target version after a rollback and
  // while its share is used up, and for the old versions once the store shows the order as completed.
  bool allows(std::string_view service, std::string_view version) const;

  // Evaluates all undecided orders.
  void tick(time_point now);

  // The state that this daemon has decided for an order. The caller writes it to the store.
  struct order_decision {
    std::string m_service;
    std::string m_target_version;
    rollout_order::state m_state = rollout_order::state::running;
    std::string m_reason;
    std::uint64_t m_earlier_era = 0; // the era in which the order was known before the present one; 0: none
  };
  std::vector<order_decision> decisions() const;

  // Applies the decision of another daemon to roll back the order created at this revision.
  void record_rollback(std::string_view service, std::uint64_t created_revision, std::string_view reason);

  // Returns the service and creation revision of each order that is rolled back and that the store lists, for
  // reports to the peers.
  std::vector<std::pair<std::string, std::uint64_t>> rolled_back_orders() const;

private:
  struct rollout_progress {
    rollout_order m_order;
    time_point m_started; // when this daemon received the order
    rollout_order::state m_decided_state = rollout_order::state::running;
    std::string m_reason;
    std::uint64_t m_listed_in_era = 0;      // the last era in which the store listed the order
    std::uint64_t m_earlier_era = 0;        // the one listed before, if the order was known in it
    std::optional<time_point> m_kept_until; // set while the store of a new era does not list it
    bool m_completed_in_store = false;      // the store has shown the order as completed
    std::uint64_t m_granted = 0;            // requests that this daemon granted, to all versions
    std::uint64_t m_granted_to_target = 0;
    time_point m_compared_at; // last comparison of the timings
    slowness_evidence m_slowness;
    std::map<std::string, std::deque<response_timing>>
        m_old_timings; // latest responses of the old version, by route
  };
  struct peer_observations {
    std::uint64_t m_incarnation = 0;
    std::vector<version_observation> m_current;
    std::vector<version_observation> m_earlier; // of processes that have ended
  };
  static bool is_same_order(const rollout_progress& known, const rollout_order& order,
                            std::uint64_t store_era);
  static bool is_decided(rollout_order::state state);
  // Whether the store lists the order in its present era, so that its creation revision identifies it.
  bool is_listed(const rollout_progress& progress) const { return !progress.m_kept_until; }
  std::vector<rollout_progress> take_known_orders(time_point now, std::uint64_t store_era);
  void rename_order(const std::string& service, std::uint64_t before, std::uint64_t after);
  void drop_outdated_observations();

  using outcome_key = std::pair<std::string, std::string>; // version, route

  std::map<outcome_key, version_outcomes> total_outcomes(const rollout_order& order, bool with_timings) const;
  void add_old_timings(const rollout_progress& progress, const std::string& route,
                       std::vector<response_timing>& to) const;
  double group_log_ratio(const rollout_progress& progress) const;
  void evaluate(rollout_progress& progress, time_point now);

  std::map<std::string, rollout_progress, std::less<>> m_rollouts; // by service
  std::vector<rollout_progress>
      m_displaced;                     // of an earlier era, while another order of the service is listed
  std::vector<rollout_order> m_listed; // as of the last set_orders()
  std::uint64_t m_store_era = 0;
  std::map<std::string, std::map<outcome_key, version_outcomes>, std::less<>>
      m_own_outcomes; // outcomes of this daemon, by service
  std::map<std::string, peer_observations, std::less<>> m_peer_observations; // reports of other daemons
  std::uint32_t m_daemon_count = 1;
};

} // namespace cardamompond::fleet
