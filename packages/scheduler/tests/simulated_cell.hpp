#pragma once

#include "fixture.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::scheduler {

enum class request_progress { waiting, granted, started, finished };

struct tracked_request {
  submit_event m_request;
  request_progress m_progress = request_progress::waiting;
  std::uint32_t m_rank = 0;
  std::string m_server;
  std::string m_version;
  time_point m_granted;
};

struct simulated_cell;

// Checks the decisions of the scheduler against one property, using only the events that it is notified of
// and the state of the simulated cell. The functions that return a string describe the violation; an empty
// string means that there is none.
class oracle {
public:
  virtual ~oracle() = default;
  virtual std::string on_grant(const simulated_cell&, const tracked_request&) { return {}; }
  virtual std::string on_refusal(const simulated_cell&, const tracked_request&, const refusal&) { return {}; }
  virtual void on_finish(const tracked_request&, outcome) {}
  virtual void on_cold_start(const std::string& /*server*/) {}
  virtual void on_start(const tracked_request&) {}
  virtual std::string after_tick(const simulated_cell&, const std::vector<decision>&) { return {}; }
};

enum class operation {
  submit,
  advance_clock,
  start,
  finish,
  decline,
  cancel,
  replay_event,
  restart_server,
  toggle_leaving,
  fail_poll,
  run_sequentially
};

// Simulates entry daemons and backend servers around a scheduler. It performs random operations and reports
// the events to an oracle. It also checks that each decision concerns a waiting request.
struct simulated_cell {
  simulated_cell(configuration config, oracle& property_oracle);

  // Performs one operation, followed by a tick. `choice_a`, `choice_b` and `choice_c` are random numbers that
  // select the request, server, outcome and the like.
  void perform(operation kind, std::uint32_t choice_a, std::uint32_t choice_b, std::uint32_t choice_c);
  void send(const event& input);
  void tick();
  void finish(tracked_request& request, outcome result);
  void start(tracked_request& request);
  void submit(std::uint32_t account, std::uint64_t content, std::int64_t deadline_ms);
  void report(const std::string& server);
  // Advances the clock until the deadlines of all requests have passed. Checks that none is waiting any more
  // and that the counts of the scheduler match.
  void run_until_all_decided();
  std::size_t count_outstanding(const std::string& server) const;
  std::vector<tracked_request*> requests_in(request_progress progress);
  bool is_in_service(const std::string& server) const;

  scheduler m_scheduler{1};
  configuration m_config;
  oracle& m_oracle;
  std::map<request_key, tracked_request> m_requests;
  std::deque<event> m_recent_events;
  // Number in the boot identifier of each server; negative if it has restarted since its last load report.
  std::map<std::string, int> m_boot_numbers;
  std::map<std::string, bool> m_leaving;
  std::map<std::string, int> m_failed_polls;
  std::map<std::string, time_point> m_refused_connections;
  std::vector<decision> m_last_decisions;
  time_point m_now = at(0);
  time_point m_last_reports = at(0);
  std::uint64_t m_next_sequence = 1;
  outcome m_new_version_outcome = outcome::succeeded;
  milliseconds m_new_version_total_time{480};
  std::uint64_t m_crashing_content = 0; // crashes the backend server as soon as it starts; 0: none
  std::string m_violation;

private:
  void apply_decision(const decision& made_decision);
  void crash(const std::string& server);
  std::string server_name(std::uint32_t index) const;
};

} // namespace cardamompond::scheduler
