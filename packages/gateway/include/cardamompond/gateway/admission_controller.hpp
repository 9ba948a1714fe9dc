#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/attempt_ages.hpp"
#include "cardamompond/fleet/crash_register.hpp"
#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/fleet/retry_budget.hpp"
#include "cardamompond/fleet/rollout_judge.hpp"
#include "cardamompond/fleet/token_quota.hpp"
#include "cardamompond/gateway/fleet_view.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <variant>

namespace cardamompond::gateway {

// Figures that the daemons of a group share; from the settings.
struct shared_retry_limits {
  double m_retry_ratio = 0.2;  // repeats for each request of a service
  double m_fixed_retries = 50; // and over all daemons in a window
  duration m_retry_window = seconds(10);
};

// Nothing (the wait was cancelled), a backend server, or a refusal.
using admission_result = std::variant<std::monostate, fleet::dispatch_grant, fleet::dispatch_refusal>;

// The decision state of this daemon: the dispatcher, quotas, retry budgets, rollouts and crash suspicions,
// kept in step with what is known of the fleet, and the fibers that wait for decisions. Used on one thread.
class admission_controller {
public:
  admission_controller(fleet_view& view, fleet::daemon_place self, shared_retry_limits limits,
                       std::uint64_t seed);

  // Blocks the fiber until the request is granted, refused or cancelled.
  admission_result acquire(fleet::submission request);

  // Ends the wait of a request; its acquire() returns nothing.
  void cancel(fleet::ticket request);

  fleet::ticket next_ticket() { return ++m_last_ticket; }

  // Runs the dispatcher once and wakes those with a decision. Call it after events and every few
  // milliseconds.
  void deliver_decisions();

  // Whether a further dispatch of a request fits the service's budget; takes it.
  bool take_retry(std::string_view service);
  void record_request(std::string_view service);

  // The daemons, and how many of them report at present, this one included in both. `close` tells that all of
  // them report several times a second.
  void set_members(std::vector<fleet::daemon_place> registered, std::uint32_t live_count,
                   bool frequent_reports);

  fleet::dispatcher& dispatcher() { return m_dispatcher; }
  fleet::token_quota& quota() { return m_quota; }
  fleet::rollout_judge& judge() { return m_judge; }
  fleet::crash_register& crashes() { return m_crashes; }
  fleet::attempt_ages& attempts() { return m_attempts; }
  fleet_view& known_fleet() { return m_fleet_view; }

private:
  struct waiter {
    net::io_wait m_wait;
    admission_result m_result;
  };

  void wake(fleet::ticket request, admission_result decision);
  void apply_collection_change(collection_kind kind);
  fleet::retry_budget::limits own_retry_limits() const; // this daemon's part of the group's

  fleet_view& m_fleet_view;
  fleet::daemon_place m_self;
  shared_retry_limits m_retry_limits;
  fleet::rollout_judge m_judge;
  fleet::dispatcher m_dispatcher;
  fleet::token_quota m_quota;
  fleet::crash_register m_crashes;
  fleet::attempt_ages m_attempts;
  std::map<std::string, fleet::retry_budget, std::less<>> m_retry_budgets;
  std::uint32_t m_daemon_count = 1;
  std::unordered_map<fleet::ticket, waiter*> m_waiters;
  fleet::ticket m_last_ticket = 0;
};

} // namespace cardamompond::gateway
