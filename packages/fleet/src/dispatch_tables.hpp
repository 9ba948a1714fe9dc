#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/fleet/dispatcher.hpp"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// One backend server.
struct server_row {
  backend_server m_entry;
  std::uint32_t m_id_hash = 0; // server_id_hash of its id
  bool m_listed = false;       // else it gets nothing new, and the row ends with its last request
  bool m_uses_batching = false;
  milliseconds m_max_reservation{0}; // for which it keeps a place when asked

  std::uint32_t m_assigned_slots = 0; // slots that this daemon fills first
  std::uint32_t m_own_running = 0;    // running requests of this daemon
  std::uint32_t m_peer_running = 0;   // running requests of the others, by their reports

  time_point m_cold_until;
  time_point m_cold_window_start; // start of the second in which m_cold_sent were sent
  std::uint32_t m_cold_sent = 0;

  std::uint32_t m_consecutive_failures = 0;
  double m_failure_rate = 0;           // moving average
  time_point m_failing_until;          // excluded because its answers fail
  std::uint32_t m_failure_reports = 0; // peers that keep away from it for that reason
  bool m_on_probation = false;         // one request at a time until an answer is good
  time_point m_excluded_until;
  time_point m_full_until;                  // it refused a request for lack of room
  std::uint32_t m_consecutive_refusals = 0; // although it seemed to have room

  speed_estimator m_own_speed;                       // by this daemon
  speed_estimate m_combined_speed = assumed_speed(); // by all daemons
};

struct waiting_request {
  submission m_request;
  time_point m_refuse_at;
  bool m_short = false; // takes a server for a moment only
  bool m_late = false;  // its answer cannot begin in time any more
};

// How many requests of one kind this daemon gets through, as a moving average.
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
};

struct peer_row {
  std::vector<server_load> m_loads;
  std::unordered_map<std::uint32_t, speed_estimate> m_speeds; // reported less often than the loads
  time_point m_received;
};

// All state of the dispatcher. The systems below are its only writers.
struct dispatch_tables {
  std::map<std::string, service, std::less<>> m_services;
  std::map<std::string, std::map<std::string, server_row, std::less<>>, std::less<>>
      m_servers;                                                             // by service, id
  std::map<std::string, std::deque<waiting_request>, std::less<>> m_waiting; // by service
  std::map<std::tuple<std::string, std::uint32_t, bool>, grant_rate>
      m_grant_rates; // by service, route rank and lateness
  std::unordered_map<ticket, running_request> m_running;
  std::map<std::string, peer_row, std::less<>> m_peers;
  std::set<std::string, std::less<>> m_evacuated_zones;
  std::vector<daemon_location> m_members;
  daemon_location m_self;
  bool m_frequent_reports = true; // all daemons hear one another several times a second
  rollout_controller* m_rollout_controller = nullptr;
  std::mt19937_64 m_random;

  // Ids are unique over all services.
  server_row* find_server(std::string_view id);
};

// Deals the slots of each server to the daemons of its zone, as equally as they go, so that daemons that do
// not hear one another in time do not all choose the same server.
void assign_slots(dispatch_tables& tables);

// Drops peers that fell silent and adds up the others' requests.
void update_peer_loads(dispatch_tables& tables, time_point now);

// Combines what all daemons saw of the servers' speed.
void update_combined_speeds(dispatch_tables& tables);

// Follows failures and excludes servers that fail.
void update_health(server_row& server, server_outcome outcome, time_point now);

// Whether a new request may go to the server at all.
bool is_eligible(const dispatch_tables& tables, const server_row& server, time_point now);

// The best server with room for the request, or null.
server_row* select_server(dispatch_tables& tables, const submission& request, time_point now);

// Grants what can be placed, in the order of tier and arrival, and refuses what has waited too long.
void process_queues(dispatch_tables& tables, time_point now, std::vector<dispatch_decision>& decisions);

// Adds a request to the queue of its service. One that has no chance of a place in its time is refused by the
// next run of the queue unless a place is free at once.
void enqueue(dispatch_tables& tables, submission request, time_point now);

} // namespace cardamompond::fleet
