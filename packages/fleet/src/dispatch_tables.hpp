#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/fleet/account_shares.hpp"
#include "cardamompond/fleet/blocked_requests.hpp"
#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/fleet/return_planner.hpp"
#include "cardamompond/fleet/server_capacity.hpp"
#include "cardamompond/fleet/zone_load.hpp"

#include "demand_meter.hpp"
#include "limit_sharers.hpp"
#include "limited_placement.hpp"
#include "server_notices.hpp"

#include <array>
#include <deque>
#include <map>
#include <random>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// What is expected of a server at a moment, so that it is not computed anew for each request.
struct cached_speed {
  time_point m_at;             // when it was computed
  std::uint32_t m_running = 0; // for one request more than this
  speed_estimate m_lasting;    // see lasting_speed
  speed_estimate m_expected;   // see expected_speed
  double m_concurrency = 1;    // see server_capacity::relative_time
};

// State of one backend server.
struct server_row {
  backend_server m_entry;
  std::uint32_t m_id_hash = 0; // server_id_hash of its id
  bool m_listed = false;       // false: it receives no new requests and is erased after its last one
  time_point m_listed_since;   // when this process was first listed
  const server_notice* m_notice = nullptr; // what it stated about itself, see update_notices; null: nothing
  bool m_uses_batching = false;
  milliseconds m_max_reservation{0}; // longest slot reservation; 0: none

  std::uint32_t m_assigned_slots = 0; // slots assigned to this daemon, see assign_slots
  std::uint32_t m_own_running = 0;    // running requests of this daemon
  std::uint32_t m_peer_running = 0;   // running requests of the peers, by their reports

  time_point m_cold_until;
  time_point m_cold_window_start; // start of the second in which m_cold_sent is counted
  std::uint32_t m_cold_sent = 0;

  std::uint32_t m_consecutive_failures = 0;
  double m_failure_rate = 0;              // exponential moving average
  time_point m_failing_until;             // excluded until then because its responses are failures
  std::uint32_t m_failure_reports = 0;    // number of peers that exclude it for this reason
  bool m_failure_reports_ignored = false; // see update_failure_reports
  std::uint32_t m_leaving_reports = 0;    // number of peers that report that it leaves
  bool m_on_probation = false;            // gets one request at a time until one succeeds
  time_point m_excluded_until;
  time_point m_full_until; // gets no requests until then because it refused one for lack of capacity
  std::uint32_t m_consecutive_refusals = 0; // unexplained ones, see server_health.cpp

  // Rejections in a second that it withstands, by its own statement or, before its first answer, by those of
  // the other servers of the service; nothing: no number stated. The rest counts only beside a number.
  std::optional<std::uint32_t> m_max_rejections;
  brittle_share m_brittle_share;
  brittle_server m_brittle;
  std::uint32_t m_peer_rejections = 0; // of the last second, by the reports

  work_time m_work_time;             // by the statements to all daemons
  std::uint32_t m_own_work_time = 0; // percent, last stated to this daemon
  time_point m_own_work_time_stated; // when it was
  std::uint32_t m_own_reading = 0;   // tokens of this daemon's prompts that have no first event yet
  std::uint32_t m_peer_reading = 0;  // the same of the peers, by their reports

  speed_estimator m_own_speed;                       // observed by this daemon
  speed_estimate m_combined_speed = assumed_speed(); // observed by all daemons
  mutable cached_speed m_cached_speed;               // see expected_times.cpp
  server_capacity m_capacity;                        // observed by this daemon
  std::uint32_t m_learned_limit = 0;                 // by all daemons of the zone; 0: no evidence
};

// Why a request with overload control is refused.
enum class refusal_cause { waited, on_arrival, late };

struct waiting_request {
  submission m_request;
  time_point m_refuse_at;
  bool m_short = false;   // occupies a server only briefly
  bool m_late = false;    // its response can no longer begin by m_first_token_due
  bool m_blocked = false; // was counted as blocked

  // Used by overload control only, see overload_control.hpp.
  bool m_returned = false; // its caller has returned after a refusal
  refusal_cause m_refusal_cause = refusal_cause::waited;
  double m_work_ms = 0;               // time for which it will probably occupy a slot
  double m_virtual_time = 0;          // of its account
  std::uint32_t m_effective_rank = 0; // its tier, or that of the requests before which it goes to catch up
  bool m_catching_up = false;
};

// Rate at which this daemon dispatches requests of one kind, as an exponential moving average.
class grant_rate {
public:
  void record_grant(time_point now);
  double per_second(time_point now) const;

private:
  double m_rate = 0;
  time_point m_updated;
};

struct running_request {
  std::string m_service;
  std::string m_server_id;
  std::uint32_t m_prompt_tokens = 0;
  time_point m_granted;
  bool m_reading = true;   // the first event has not arrived
  std::size_t m_level = 0; // with overload control, as the work
  double m_work_ms = 0;
};

struct peer_row {
  std::optional<blocked_totals> m_blocked; // last reported totals
  std::vector<server_load> m_loads;
  std::unordered_map<std::uint32_t, speed_estimate> m_speeds;    // reported less often than the loads
  std::unordered_map<std::uint32_t, std::uint32_t> m_limits;     // learned limits, reported with the speeds
  std::vector<service_demand> m_demands;                         // of the services with limits
  std::unordered_map<std::uint32_t, std::uint32_t> m_rejections; // of the last second, by brittle server
  time_point m_rejections_received;
  std::optional<time_point> m_last_active; // last report with running requests
  time_point m_received;
};

// The servers of a service in an order for iteration, which is much faster than over the map.
struct server_lists {
  std::vector<server_row*> m_all;
  std::vector<server_row*> m_own_zone; // those in the zone of this daemon
};

// State of a service with overload control.
struct controlled_service {
  zone_load m_load;
  return_planner m_planner;
};

// The whole state of the dispatcher. It is changed only by the dispatcher and by the functions below.
struct dispatch_tables {
  std::map<std::string, service, std::less<>> m_services;
  std::set<std::uint32_t> m_tier_ranks;  // of the client accounts
  std::set<std::uint32_t> m_route_ranks; // of the routes that lead to batching services
  bool m_route_ranks_are_tiers = false;  // some accounts have no tier, so that the rank of the route is it
  std::map<std::string, std::map<std::string, server_row, std::less<>>, std::less<>>
      m_servers; // by service and id
  // Refer to the rows of m_servers; rebuilt by index_servers.
  std::unordered_map<std::uint32_t, server_row*> m_servers_by_hash;
  std::map<std::string, server_lists, std::less<>> m_lists;                  // by service
  std::map<std::string, std::deque<waiting_request>, std::less<>> m_waiting; // by service
  std::map<std::tuple<std::string, std::uint32_t, bool>, grant_rate>
      m_grant_rates; // by service, route rank and lateness
  std::unordered_map<ticket, running_request> m_running;
  std::map<std::string, peer_row, std::less<>> m_peers;
  server_notices m_notices;
  std::optional<time_point> m_entries_restored_at;             // see dispatcher::set_entries_restored_at
  std::map<std::string, demand_meter, std::less<>> m_demands;  // by service
  std::map<std::string, limit_sharers, std::less<>> m_sharers; // of the services with limits
  std::map<std::string, large_requests, std::less<>> m_large_requests; // of those with other servers, too
  blocked_requests m_blocked;                                          // of this daemon and its peers
  blocked_totals m_own_blocked{}; // totals of this daemon, for its reports
  std::map<std::string, controlled_service, std::less<>> m_controlled; // by service
  account_shares m_account_shares;
  overload_counts m_overload_counts;
  std::set<std::string, std::less<>> m_evacuated_zones;
  std::vector<daemon_location> m_members;
  std::vector<std::uint64_t> m_other_members; // hashes of the names of the members, without this one
  daemon_location m_self;
  std::uint64_t m_brittle_rejections = 0; // requests of this daemon that brittle servers rejected
  time_point m_brittle_shares_computed;
  bool m_brittle_shares_valid = false; // no member and no server has changed since they were computed
  bool m_frequent_reports = true; // each daemon receives the reports of all others several times a second
  rollout_controller* m_rollout_controller = nullptr;
  std::mt19937_64 m_random;
  std::uint64_t m_last_resorts = 0; // see dispatcher::last_resort_count
  learned_limits_mode m_learned_limits = learned_limits_mode::automatic;
  std::map<std::string, milliseconds, std::less<>> m_accepted_pauses; // shortest of the routes, by service
  std::array<double, urgency_levels> m_typical_events{}; // mean number of events by urgency level
  std::array<double, urgency_levels>
      m_typical_prompts{}; // mean length in tokens by urgency level; 0: none seen
  std::set<std::string, std::less<>> m_stating_services; // their servers have stated their work time

  // Ids are unique over all services.
  server_row* find_server(std::string_view id);
};

// Whether the servers of the service are chosen by expected times and learned limits.
bool uses_learned_limits(const dispatch_tables& tables, std::string_view service);

// Records a work time that the server stated to this daemon or to a peer.
void record_work_time(dispatch_tables& tables, server_row& server, std::uint32_t percent, time_point stated);

// Divides the slots of each server as equally as possible among the daemons of its zone. This keeps daemons
// that have not yet received one another's reports from all choosing the same server.
void assign_slots(dispatch_tables& tables);

// Rebuilds the index and the lists of the servers, and adds up anew what the peers report about them. Must be
// called when rows were added or removed, and when the zone of this daemon changed.
void index_servers(dispatch_tables& tables);

// Replaces what a peer reports: running requests, failures and leaving servers. Only the servers in the old
// and the new report are touched.
void replace_peer_loads(dispatch_tables& tables, peer_row& peer, std::span<const server_load> loads);

// Removes peers whose last report is too old.
void expire_peer_loads(dispatch_tables& tables, time_point now);

// Recomputes the learned limit of each server from the observations of all daemons that have any.
void update_learned_limits(dispatch_tables& tables, time_point now);

// Records how long the server took for work, apart from what it states about the moment.
void record_work(server_row& server, duration took, time_point now);

// Recomputes the speed of each server from the observations of all daemons.
void update_combined_speeds(dispatch_tables& tables);

// Updates the failure statistics of a server after a request, and excludes the server if it fails.
void update_health(server_row& server, server_outcome outcome, time_point now);

// Whether the server receives new requests, apart from exclusions for failures, which are short.
bool is_in_service(const dispatch_tables& tables, const server_row& server);

// Whether the server may receive new requests now. Its free slots are not considered.
bool is_eligible(const dispatch_tables& tables, const server_row& server, time_point now);

// Updates the pointers from the servers to what they stated about themselves.
void update_notices(dispatch_tables& tables);

// Whether the server has stated that it leaves.
inline bool is_leaving(const server_row& server) {
  return server.m_notice != nullptr && server.m_notice->m_leaving;
}

// Whether the server has asked for a pause that has not ended.
inline bool is_paused(const server_row& server, time_point now) {
  return server.m_notice != nullptr && server.m_notice->is_paused(now);
}

// Records that the server asked for a pause of the given length. The return from it is spread over time, like
// the requests to a cold server. Returns false if the server is already paused.
bool record_pause(dispatch_tables& tables, const backend_server& server, duration pause, time_point now);

// Counts a granted request against the limit of the server and the rate at which the requests return to it
// after its pause.
void record_sending(dispatch_tables& tables, const server_row& server, time_point now);

// Whether the server states a limit, and this daemon may not send it a request now.
inline bool is_held_by_limit(const server_row& server, time_point now) {
  return server.m_notice != nullptr && server.m_notice->is_limited() && !server.m_notice->allows_request(now);
}

// Computes anew which servers are brittle, and the parts of this daemon in their slots if necessary, and
// takes note of their load. To be called several times a second.
void update_brittle(dispatch_tables& tables, time_point now);

// Whether the server is brittle and this daemon may not send it a request now.
bool is_held_as_brittle(const dispatch_tables& tables, const server_row& server, time_point now);

// Returns the load of a brittle server as this daemon knows it.
brittle_load find_brittle_load(const server_row& server);

// Computes anew how this daemon shares the limits, from the present demands and members. To be called once a
// second.
void update_limits(dispatch_tables& tables, time_point now);

// Returns the time after which there will be room for another caller of the service, if all its servers in
// service state a limit; nothing otherwise. `waiting` requests come before it.
std::optional<duration> retry_delay_for_limits(dispatch_tables& tables, std::string_view service,
                                               std::size_t waiting, time_point now);

// Returns the time after which a caller should retry if all servers of the service that are in service,
// except the excluded ones, are paused for a while; nothing otherwise.
std::optional<duration> retry_delay_for_pauses(dispatch_tables& tables, std::string_view service,
                                               std::span<const std::string> excluded_servers, time_point now);

// Returns the mean speed of the listed servers of the service, or the assumed one without any.
speed_estimate find_typical_speed(const dispatch_tables& tables, const std::string& service);

// Returns the latest time at which the request can be sent so that its response begins on time.
time_point latest_dispatch_time(const submission& request, const speed_estimate& typical_speed);

class spare_capacity;

// Returns the best server with capacity for the request, or null. The request leaves `required_free`
// slots free. Where learned limits are on, a request that may wait is held back while only servers have
// capacity that suit it less than others.
server_row* select_server(dispatch_tables& tables, const submission& request, spare_capacity& spare,
                          double required_free, bool may_wait, time_point now);

// Grants the waiting requests that a server can take and refuses those that have waited too long. Requests
// are tried in the order of tier, lateness, length, route rank and arrival.
void process_queues(dispatch_tables& tables, time_point now, std::vector<dispatch_decision>& decisions);

// Returns where the request would go now, without changing anything.
placement_explanation explain_placement(const dispatch_tables& tables, submission request, time_point now);

// Adds a request to the queue of its service. A request that is unlikely to be dispatched in time is refused
// by the next call of process_queues unless a server can take it immediately.
void enqueue(dispatch_tables& tables, submission request, time_point now);

} // namespace cardamompond::fleet
