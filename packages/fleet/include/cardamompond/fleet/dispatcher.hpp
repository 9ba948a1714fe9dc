#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/declarations.hpp"
#include "cardamompond/fleet/rollout_controller.hpp"
#include "cardamompond/fleet/speed_estimator.hpp"

#include <cstdint>
#include <memory>
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
  std::uint32_t m_rank = 0;       // 0 is the highest tier
  std::uint32_t m_route_rank = 0; // orders requests of one tier
  std::uint64_t m_affinity = 0;   // hash of the part of the prompt that other requests share; 0: none
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0; // estimate
  std::uint32_t m_body_bytes = 0;
  time_point m_arrived;
  time_point m_first_answer_due; // full credit if the answer begins by then; past for late repetitions
  time_point m_abandoned_at;     // the caller leaves if the answer has not begun by then
  time_point m_deadline;         // the caller's or the route's, whichever is earlier
  std::vector<std::string> m_excluded_servers; // ids of backend servers that have had this request
};

// The request may be sent to this backend server now.
struct dispatch_grant {
  ticket m_ticket = 0;
  backend_server m_server;
  milliseconds m_reservation{0}; // ask the server to keep a place for this long before sending; 0: just send
};

enum class refusal_reason { no_backend_server, no_capacity };

// The request is over without having been sent.
struct dispatch_refusal {
  ticket m_ticket = 0;
  refusal_reason m_reason = refusal_reason::no_capacity;
  duration m_retry_after{};
};

using dispatch_decision = std::variant<dispatch_grant, dispatch_refusal>;

// How a dispatched request ended, as far as it tells about the backend server.
enum class server_outcome {
  answered,    // a whole answer, or one that the caller broke off
  failed,      // an error of the server's own
  refused,     // the server said that it did not run the request, or had no place to keep
  misdirected, // another server has the address
  unreachable, // no connection
  broken,      // the connection broke, or the answer was no answer
  timed_out    // no answer, or no progress, in time
};

// The load that a backend server states in its answers.
struct reported_load {
  std::uint32_t m_running = 0;
  std::uint32_t m_waiting = 0;
  std::uint32_t m_slots = 0;
};

// Names a backend server in reports, which go out often and are paid for by the byte.
std::uint32_t server_id_hash(std::string_view id);

// Running requests of one daemon on one backend server and how fast it found the server.
struct server_load {
  std::uint32_t m_server = 0; // server_id_hash of its id
  std::uint32_t m_running = 0;
  speed_estimate m_speed;
  bool m_failing = false; // the daemon keeps away from it because its answers fail
};

// A daemon and its availability zone.
struct daemon_location {
  std::string m_name;
  std::string m_availability_zone;
  friend bool operator==(const daemon_location&, const daemon_location&) = default;
};

// Decides for one daemon which of its requests goes to which backend server and when, and which is refused.
// Every daemon decides alone, on its own requests, its peers' last reports and the servers' own statements.
// Reads no clock and opens no socket; used on one thread.
class dispatcher {
public:
  explicit dispatcher(std::uint64_t seed);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // Replaces the declared services.
  void apply(const declarations& source);

  // Replaces the list of backend servers. One that is missing gets nothing new; its running requests go on.
  void set_backend_servers(std::span<const backend_server> servers, time_point now);

  // Availability zones whose backend servers get nothing new.
  void set_evacuated_zones(std::set<std::string, std::less<>> zones);

  // All daemons, this one included. They share the limits of cold servers, and those of a server's own zone
  // share its slots. `frequent_reports` tells that all of them hear one another several times a second; else
  // only those of one zone do.
  void set_members(std::vector<daemon_location> members, daemon_location self, bool frequent_reports);

  // Limits by version during rollouts; outlives the dispatcher.
  void set_rollout_controller(rollout_controller* controller);

  void submit(submission request, time_point now);

  // The caller of a waiting request went away.
  void cancel(ticket request);

  // The load that a server stated while this daemon had a request there.
  void record_reported_load(std::string_view server_id, reported_load load, time_point now);

  // The server said that it is cold for another while.
  void extend_cold_period(std::string_view server_id, milliseconds remaining, time_point now);

  // The first part of the answer has arrived.
  void record_first_answer(ticket request, time_point now);

  // A stream made that many events in that time.
  void record_events(ticket request, std::uint64_t events, duration took);

  // A granted request is over.
  void finish(ticket request, server_outcome outcome, time_point now);

  // Replaces the report of one peer; an empty one removes it.
  void set_peer_loads(std::string_view daemon, std::span<const server_load> loads, time_point now);

  // Own running requests, for reports to the peers.
  std::vector<server_load> own_loads(time_point now) const;

  // Runs all systems: ages reports and exclusions, places waiting requests, refuses those without a chance.
  std::vector<dispatch_decision> tick(time_point now);

  std::size_t waiting() const;
  std::size_t running() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::fleet
