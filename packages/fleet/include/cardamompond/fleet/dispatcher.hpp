#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/blocked_requests.hpp"
#include "cardamompond/fleet/brittle_statement.hpp"
#include "cardamompond/fleet/declarations.hpp"
#include "cardamompond/fleet/load_summary.hpp"
#include "cardamompond/fleet/placement_explanation.hpp"
#include "cardamompond/fleet/rollout_controller.hpp"
#include "cardamompond/fleet/speed_estimator.hpp"
#include "cardamompond/fleet/stated_limit.hpp"
#include "cardamompond/fleet/work_time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamompond::fleet {

// Identifies one submission to the dispatcher of this daemon.
using ticket = std::uint64_t;

// A request that waits for a backend server.
struct submission {
  ticket m_ticket = 0;
  std::string m_service;
  std::uint32_t m_rank = 0;               // tier of the request; 0 is the highest
  std::uint32_t m_route_rank = 0;         // rank of its route, which orders requests of the same tier
  std::uint64_t m_shared_prefix_hash = 0; // of the prompt prefix that it shares with other requests; 0: none
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0; // estimated
  std::uint32_t m_body_bytes = 0;
  time_point m_arrived;
  time_point m_waiting_since;   // when it came to wait here, if later than m_arrived
  time_point m_first_token_due; // the response should begin by then; already past for a late retry
  time_point m_abandoned_at;    // the caller gives up if the response has not begun by then
  time_point m_deadline;        // deadline of the caller or of the route, whichever is earlier
  std::vector<std::string> m_excluded_servers; // ids of the servers that received it before
  bool m_may_have_run = false;                 // a refusal could no longer state that it was not run
  duration m_age{};                 // time since the caller's first attempt, if this is not the first one
  std::uint32_t m_account_hash = 0; // account_quotas::account_hash of the client account; 0: none
  bool m_resubmitted = false;       // it was granted before, and the server did not take it
};

// What is known of a backend server at the time at which a request is granted.
struct server_condition {
  std::uint32_t m_running = 0; // requests that it runs, this one included
  bool m_cold = false;
};

// Allows the request to be sent to this backend server now.
struct dispatch_grant {
  ticket m_ticket = 0;
  backend_server m_server;
  milliseconds m_reservation{0}; // time for which to reserve a slot before sending; 0: no reservation
  time_point m_listed_since;     // an older connection to the address leads to an earlier process
  server_condition m_condition;  // of the server when the request was granted
};

enum class refusal_reason {
  no_backend_server,
  no_capacity,
  paused // all servers that could take the request have asked for a pause
};

// Ends a request that has not been sent.
struct dispatch_refusal {
  ticket m_ticket = 0;
  refusal_reason m_reason = refusal_reason::no_capacity;
  duration m_retry_after{};
};

using dispatch_decision = std::variant<dispatch_grant, dispatch_refusal>;

// How a dispatched request ended, from the point of view of the backend server's health.
enum class server_outcome {
  answered,    // a complete response, or one that the caller aborted
  failed,      // an internal error of the server
  refused,     // the server did not run the request, or could not reserve a slot
  misdirected, // another server uses the address now
  unreachable, // no connection could be opened
  broken,      // the connection broke, or the response was invalid
  timed_out,   // no response, or no further part of it, arrived in time
  not_sent     // the request was held back before any byte was sent
};

// The load that a backend server states in its responses.
struct reported_load {
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
  std::optional<std::uint32_t> m_work_time_percent; // see work_time; not all servers state it
};

// For which services the dispatcher chooses servers by expected times and learned limits.
enum class learned_limits_mode {
  automatic, // for those whose servers state their work time
  on,
  off
};

// Short identifier of a backend server in reports. Reports are frequent and their traffic is charged by the
// byte, so they carry a hash instead of the id.
std::uint32_t server_id_hash(std::string_view id);

// Short identifier that distinguishes the processes of a backend server in reports.
std::uint32_t instance_hash(const backend_server& server);

// Running requests of one daemon on one backend server, and the server's speed as observed by this daemon.
struct server_load {
  std::uint32_t m_server = 0; // server_id_hash of the server's id
  std::uint32_t m_running = 0;
  speed_estimate m_speed;
  bool m_failing = false;             // the daemon sends it no requests because its responses are failures
  bool m_leaving = false;             // the server stated to the daemon, not long ago, that it leaves
  std::uint32_t m_instance = 0;       // instance_hash of the process that leaves; 0 if it does not leave
  work_time_statement m_work_time{};  // last stated to this daemon, if not long ago
  std::uint32_t m_reading_tokens = 0; // of this daemon's prompts that the server has not processed yet
  std::uint32_t m_learned_limit = 0;  // see server_capacity; 0: no evidence
};

// What was learned of the listed servers of one service.
struct service_capacity {
  std::string m_service;
  std::size_t m_servers = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_limit = 0;     // sum of the learned limits
  std::size_t m_disturbed = 0;   // servers that are disturbed at the moment
  double m_expected_first_s = 0; // mean time to the first event of a request without a prompt
};

// A daemon and its availability zone.
struct daemon_location {
  std::string m_name;
  std::string m_availability_zone;
  friend bool operator==(const daemon_location&, const daemon_location&) = default;
};

// What overload control has decided, as totals for metrics.
struct overload_counts {
  std::uint64_t m_refused_on_arrival = 0; // would have begun neither on time nor usefully late
  std::uint64_t m_refused_when_late = 0;  // its objective had passed and there was no room for late requests
  std::uint64_t m_refused_after_wait = 0; // had waited for as long as its caller can afford
  std::uint64_t m_returns_in_room = 0;    // refusals whose Retry-After is a place in predicted room
  std::uint64_t m_returned_granted = 0;   // late requests of returned callers that were sent to a server
  std::uint64_t m_returned_refused = 0;   // requests of returned callers that were refused, which are lost
};

// Decides for one daemon when each of its requests is sent and to which backend server, and which requests
// are refused. Each daemon decides independently, based on its own requests, the latest reports of its peers
// and the load that the servers state. The class reads no clock and opens no socket. It is not thread-safe.
class dispatcher {
public:
  explicit dispatcher(std::uint64_t seed);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // Replaces the declared services.
  void apply(const declarations& source);

  // Replaces the list of backend servers. A server that is missing from the new list receives no new
  // requests; its running requests continue.
  void set_backend_servers(std::span<const backend_server> servers, time_point now);

  // Sets the availability zones whose backend servers receive no new requests.
  void set_evacuated_zones(std::set<std::string, std::less<>> zones);

  // Sets the list of all daemons, this one included. All daemons share the request rate of a cold server, and
  // the daemons in the zone of a server share its slots. If `frequent_reports` is true, each daemon receives
  // the reports of all others several times a second; otherwise only those of the daemons in its zone.
  void set_members(std::vector<daemon_location> members, daemon_location self, bool frequent_reports);

  // Sets the controller that limits the requests to each version during rollouts. It must outlive the
  // dispatcher.
  void set_rollout_controller(rollout_controller* controller);

  // Turns overload control on or off for a service. Where it is off, which is the default, requests are
  // ordered and refused by what this daemon observes alone, and refused callers return after a fixed time.
  void set_overload_control(std::string_view service, bool enabled);
  bool overload_control_enabled(std::string_view service) const;

  // Replaces what a peer reports about the load of the services with overload control. As for
  // set_peer_blocked(), only peers of this daemon's zone, or all in a small group.
  void set_peer_load_summaries(std::string_view daemon, std::span<const load_summary> summaries,
                               time_point now);

  // Returns the load of the services with overload control, for reports to the peers. The totals are needed
  // less often.
  std::vector<load_summary> own_load_summaries(bool with_totals) const;

  // Records quota units that a peer admitted for an account. They count if they are tokens.
  void record_peer_account_use(std::uint32_t account_hash, double units, time_point now);

  overload_counts count_overload_decisions() const;

  void submit(submission request, time_point now);

  // Removes a waiting request whose caller has disconnected.
  void cancel(ticket request);

  // Records the load that a server stated in its response to a request of this daemon.
  void record_reported_load(std::string_view server_id, reported_load load, time_point now);

  // Records the work time that a server stated in a response to this daemon.
  void record_work_time(std::string_view server_id, std::uint32_t percent, time_point now);

  // Sets for which services servers are chosen by expected times and learned limits.
  void set_learned_limits(learned_limits_mode mode);

  // Whether the servers of the service are chosen by expected times and learned limits.
  bool learned_limits_enabled(std::string_view service) const;

  // Records that the server stated that it leaves. It receives no new requests from now on, whatever its
  // entry says; a process that starts later with the same id or address does. Returns false if that was
  // known.
  bool record_leaving(const backend_server& server, time_point now);

  // Sets when the store came back from a copy, whose entries may be those of earlier processes than the ones
  // that run. A process that is listed soon after that, and that itself or one before it stated that it
  // leaves, receives no requests until confirm_leaving() tells.
  void set_entries_restored_at(time_point when);

  // Returns the listed servers of which that has to be found out, but none that wants a pause.
  std::vector<backend_server> unconfirmed_servers(time_point now) const;

  // Records the answer of such a server to a call that needs no room on it.
  void confirm_leaving(const backend_server& server, bool leaves);

  // Returns the listed server that uses the address, other than the server with that id.
  std::optional<backend_server> find_other_at(std::string_view address, std::string_view id) const;

  // Records that the server refused a request and asked this daemon to send nothing for the given time;
  // nothing: the time was not readable. Only this daemon observes the pause. Returns the time that is
  // observed, or nothing if the server was already paused.
  std::optional<milliseconds> record_pause(const backend_server& server,
                                           std::optional<milliseconds> requested, time_point now);

  // Returns the time after which a caller should retry if all servers of the service, except the excluded
  // ones, have asked for a pause; nothing otherwise.
  std::optional<duration> retry_delay_for_pauses(std::string_view service,
                                                 std::span<const std::string> excluded_servers,
                                                 time_point now);

  // Returns the number of listed servers that have asked this daemon for a pause that has not ended.
  std::size_t count_paused(time_point now) const;

  // Whether a granted request may still be sent to the server.
  bool may_send(const backend_server& server, time_point now) const;

  // Records what a server stated in its answer to a request of this daemon that was sent after `sent_after`:
  // the number of requests per second that it takes from all daemons together, or that it has no limit. The
  // daemons share the limit; it holds until the answer to a later request states none, until no daemon was
  // told it for a while, or until the process is gone.
  limit_change record_limit(const backend_server& server, std::optional<double> requests_per_s,
                            time_point sent_after, time_point now);

  // Takes over what a peer reports: statements of servers that it received, and its demand for services
  // with limited servers. A statement that is older than the one in force,
  // or of another process, changes nothing. Returns the statements that changed something.
  std::vector<limit_statement> set_peer_limits(std::string_view daemon,
                                               std::span<const limit_statement> statements,
                                               std::span<const service_demand> demands, time_point received);

  // Which statements a report contains.
  enum class limit_scope {
    recent, // those to this daemon that changed something not long ago
    own,    // all to this daemon that were made not long ago
    zone    // those in force for the servers in the zone of this daemon, whichever daemon received them
  };

  // Returns what servers stated, for reports to the peers.
  std::vector<limit_statement> limit_statements(limit_scope scope, time_point now) const;

  // Returns the demand of this daemon for the services that have limited servers, for reports to the peers.
  std::vector<service_demand> own_demands(time_point now) const;

  // Returns the number of listed servers that state a limit, and the sum of their limits per second.
  struct limit_totals {
    std::size_t m_servers = 0;
    double m_requests_per_s = 0;
  };
  limit_totals count_limits() const;

  // Records what a server stated in its answer to a request of this daemon that was sent after `sent_after`:
  // the number of rejections in a second that it withstands, or none. While the servers of a service state a
  // number, no more requests are sent to them than surely or almost surely find room.
  limit_change record_brittle(const backend_server& server, std::optional<std::uint32_t> max_rejections,
                              time_point sent_after, time_point now);

  // Takes over what a peer reports: such statements of servers, and the rejections that the peer saw. Returns
  // the statements that changed something.
  std::vector<brittle_statement> set_peer_brittle(std::string_view daemon,
                                                  std::span<const brittle_statement> statements,
                                                  time_point received);

  // Returns what servers stated about rejections, and the rejections of this daemon, for reports to the
  // peers. The scope concerns the statements; servers with rejections are always included.
  std::vector<brittle_statement> brittle_statements(limit_scope scope, time_point now) const;

  // Returns the number of listed servers that count as brittle, and of rejections by them since the start.
  struct brittle_totals {
    std::size_t m_servers = 0;
    std::uint64_t m_rejections = 0;
  };
  brittle_totals count_brittle() const;

  // Records that the server stays cold for the given time, as it stated.
  void extend_cold_period(std::string_view server_id, milliseconds remaining, time_point now);

  // Records that the first part of the response has arrived.
  void record_first_token(ticket request, time_point now);

  // Records that a stream delivered `events` events in the time `took`.
  void record_events(ticket request, std::uint64_t events, duration took);

  // Ends a granted request.
  void finish(ticket request, server_outcome outcome, time_point now);

  // Records that the server of a running request has sent nothing for a long time. The server receives no new
  // requests for a moment; call it repeatedly while the silence lasts.
  void record_silence(ticket request, time_point now);

  // Forgets the failures of all servers, because they were those of this daemon's network path.
  void forget_failures();

  // Withdraws a grant whose request was not sent.
  void release(ticket request);

  // Replaces the report of one peer. An empty list means that the peer has no load.
  void set_peer_loads(std::string_view daemon, std::span<const server_load> loads, time_point now);

  // Replaces the totals of blocked requests of a peer in this daemon's availability zone, or of any peer in a
  // small group. Totals below the previous ones belong to a new process of the peer.
  void set_peer_blocked(std::string_view daemon, const blocked_totals& totals, time_point now);

  // Returns the totals of blocked requests of this daemon, for reports to the peers.
  blocked_totals own_blocked() const;

  // Returns this daemon's running requests and speed observations by server, for reports to the peers.
  std::vector<server_load> own_loads(time_point now) const;

  // Advances the state to `now`: drops outdated reports, dispatches waiting requests, and refuses those that
  // cannot be dispatched in time.
  std::vector<dispatch_decision> tick(time_point now);

  // Returns where the request would go if it was submitted now, and why. Nothing is reserved or changed.
  placement_explanation explain(submission request, time_point now) const;

  // Returns what was learned of the servers of each service with learned limits.
  std::vector<service_capacity> capacities(time_point now) const;

  // Returns how many requests were sent to a server that does not suit them, because they would have been
  // refused otherwise.
  std::uint64_t last_resort_count() const;

  // Numbers of listed servers that stated to this daemon, or only to peers, that they leave.
  struct leaving_counts {
    std::size_t m_stated = 0;
    std::size_t m_reported = 0;
  };
  leaving_counts count_leaving() const;

  std::size_t waiting() const;
  std::size_t running() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::fleet
