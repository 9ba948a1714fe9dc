#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/account_quotas.hpp"
#include "cardamompond/fleet/crash_register.hpp"
#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/fleet/part_crash_register.hpp"
#include "cardamompond/fleet/retry_age_estimator.hpp"
#include "cardamompond/fleet/retry_budget.hpp"
#include "cardamompond/fleet/rollout_controller.hpp"
#include "cardamompond/gateway/fleet_view.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace cardamompond::gateway {

// Retry limits of a service over all daemons of the group together; read from the settings.
struct shared_retry_limits {
  double m_retry_ratio = 0.2;  // retries allowed per request of a service
  double m_fixed_retries = 50; // retries allowed in each window in addition, whatever the number of requests
  duration m_retry_window = seconds(10);
};

// Whether a way of scheduling is in force for the services.
enum class scheduling_switch {
  automatic, // where it is told for a service, see dispatcher::set_overload_control
  on,
  off
};

// The result of waiting for a backend server: std::monostate if the wait was cancelled, otherwise a grant or
// a refusal.
using admission_result = std::variant<std::monostate, fleet::dispatch_grant, fleet::dispatch_refusal>;

// Decides which requests of this daemon are sent to which backend server, and when. Holds the dispatcher, the
// quotas, the retry budgets, the rollout controller and the crash suspicions, updates them whenever the fleet
// view changes, and wakes the fibers that wait for a decision. Not thread-safe.
class admission_controller {
public:
  admission_controller(fleet_view& view, fleet::daemon_location self, shared_retry_limits limits,
                       std::uint64_t seed);

  // Sets whether overload control is in force for the declared services, now and after each change of the
  // declarations. With `automatic`, it is left to dispatcher::set_overload_control.
  void set_overload_control(scheduling_switch control);

  // Submits the request and blocks the fiber until it is granted, refused or cancelled.
  admission_result acquire(fleet::submission request);

  // Submits the request and returns a grant if a server can take it at once. Does not block.
  std::optional<fleet::dispatch_grant> try_acquire(fleet::submission request);

  // Ends the wait of a request; its acquire() returns std::monostate.
  void cancel(fleet::ticket request);

  fleet::ticket next_ticket() { return ++m_last_ticket; }

  // Runs the dispatcher once and wakes the fibers whose requests were decided. Must be called after every
  // event that can change a decision and every few milliseconds.
  void deliver_decisions();

  // Records what the server that was called states about itself in a response.
  void record_notices(const fleet::backend_server& called, const response_metadata& metadata);

  // Records whether the server that answered a request, which was sent after `sent_after`, limits the rate of
  // requests. Answers without a request id count for nothing, since they may be late copies.
  void record_limit(const fleet::backend_server& called, const response_metadata& metadata,
                    time_point sent_after);

  // Records what servers stated to a peer about the rate that they take, and the peer's demand.
  void record_peer_limits(std::string_view daemon, std::span<const fleet::limit_statement> statements,
                          std::span<const fleet::service_demand> demands, time_point received);

  // Records whether the server that answered a request, which was sent after `sent_after`, is brittle, as for
  // limits.
  void record_brittle(const fleet::backend_server& called, const response_metadata& metadata,
                      time_point sent_after);

  // Records what servers stated to a peer about rejections, and those that the peer saw.
  void record_peer_brittle(std::string_view daemon, std::span<const fleet::brittle_statement> statements,
                           time_point received);

  // Logs for which services learned limits have come into use since the last call.
  void log_learned_limits();

  // Sets the metrics of learned limits and expected times.
  void export_learned_limits(request_metrics& metrics, time_point now) const;

  // Returns how many pauses servers have asked for.
  std::uint64_t pause_count() const { return m_pause_count; }

  // Whether take_retry() would succeed now.
  bool has_retry(std::string_view service);

  // Takes one retry from the retry budget of the service. Returns false if the budget is used up.
  bool take_retry(std::string_view service);

  // Counts a request of the service; the retry budget grows with it.
  void record_request(std::string_view service);

  // Sets the registered daemons of the group and how many daemons report at present; both include this
  // daemon. `frequent_reports` is true if all daemons report several times a second.
  void set_members(std::vector<fleet::daemon_location> registered, std::uint32_t live_count,
                   bool frequent_reports);

  // Returns the strictest verdict on the parts of a prompt. It is `test_only` only for the daemon of the
  // group that tests the part, and `refused` for the others.
  fleet::part_crash_register::judgement judge_parts(std::span<const std::uint64_t> parts,
                                                    time_point now) const;

  // Records that a request is sent to test a part whose verdict is `test_only`.
  void begin_part_test(std::uint64_t part, time_point now);

  // Updates the verdicts on prompt parts and logs the changes.
  void update_part_verdicts(time_point now);

  fleet::dispatcher& dispatcher() { return m_dispatcher; }
  fleet::account_quotas& quotas() { return m_quotas; }
  fleet::rollout_controller& rollout_controller() { return m_rollout_controller; }
  fleet::crash_register& crashes() { return m_crashes; }
  fleet::part_crash_register& part_crashes() { return m_part_crashes; }
  fleet::retry_age_estimator& retry_ages() { return m_retry_ages; }
  fleet_view& known_fleet() { return m_fleet_view; }

private:
  struct waiter {
    net::io_wait m_wait;
    admission_result m_result;
  };

  void wake(fleet::ticket request, admission_result decision);
  bool tests_part(std::uint64_t part) const;
  void log_unreadable_limit(const fleet::backend_server& server, std::string_view text);
  void apply_collection_change(collection_kind kind);
  void apply_overload_control();
  fleet::retry_budget::limits own_retry_limits() const; // this daemon's share of the group's limits

  fleet_view& m_fleet_view;
  fleet::daemon_location m_self;
  shared_retry_limits m_retry_limits;
  fleet::rollout_controller m_rollout_controller;
  fleet::dispatcher m_dispatcher;
  fleet::account_quotas m_quotas;
  fleet::crash_register m_crashes;
  fleet::part_crash_register m_part_crashes;
  fleet::retry_age_estimator m_retry_ages;
  std::map<std::string, fleet::retry_budget, std::less<>> m_retry_budgets;
  std::uint32_t m_daemon_count = 1;
  std::vector<std::uint64_t>
      m_other_daemons; // hashes of the names of the registered daemons without this one
  std::unordered_map<fleet::ticket, waiter*> m_waiters;
  fleet::ticket m_last_ticket = 0;
  std::uint64_t m_pause_count = 0;
  std::set<std::string, std::less<>> m_logged_services; // see log_learned_limits
  // Limits that were not readable, as they were logged last, by id and start time of the server.
  std::map<std::pair<std::string, std::int64_t>, std::string> m_unreadable_limits;
  scheduling_switch m_overload_control = scheduling_switch::automatic;
};

} // namespace cardamompond::gateway
