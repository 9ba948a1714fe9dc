#pragma once

#include "soak_group.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace cardamompond::testing {

// A daemon process that a request was sent to, and when.
struct soak_dispatch {
  std::string m_daemon;
  int m_start_count = 0; // of the daemon's processes
  time_point m_sent_at;
};

// A request that ended without a complete response.
struct soak_unanswered {
  std::string m_id;
  std::string m_reason;
  time_point m_ended_at;
};

// The requests that the callers sent, by the outcome that they observed, and the violations that were found.
struct soak_history {
  std::vector<std::string> m_refused_ids;      // ids of requests whose status states that they were not run
  std::vector<std::string> m_at_most_once_ids; // ids of all requests that must run at most once
  std::vector<std::string> m_successful_ids;   // ids of requests with status 200
  std::vector<soak_unanswered> m_unanswered;   // without those that could not be sent
  std::vector<std::string> m_violations;       // descriptions for the log
  // Of all requests, by id. A caller may send a refused request again with the same id.
  std::map<std::string, std::vector<soak_dispatch>> m_dispatches;
  // By daemon, its start count and the stamp of an engine's process: when the daemon first passed on an
  // answer that stated that the process leaves.
  std::map<std::tuple<std::string, int, std::string>, time_point> m_leaving_known;
  // By daemon, the stamp of an engine's process and the index of the limit in its log: when the daemon first
  // passed on an answer that stated the limit.
  std::map<std::tuple<std::string, std::string, std::size_t>, time_point> m_limit_known;
  double m_max_limit_use = 0;        // largest share used of what a limit allows in 4 s
  std::uint64_t m_pauses = 0;        // times that engines asked for
  std::uint64_t m_request_count = 0; // number of requests that were sent
};

// Concurrent callers that send requests of all kinds to all daemons until stop(), over persistent
// connections.
class soak_callers {
public:
  soak_callers(soak_group& group, int caller_count, std::uint64_t seed,
               milliseconds request_timeout = milliseconds(2'500));

  // Ends the callers and waits until their last calls are complete.
  void stop();

  // Checks the requests that must run at most once against the runs that the engines counted. Adds a
  // violation for each that ran more than once, and for each that ran although it was refused as not run.
  // Also checks that daemons left leaving engines alone and observed the pauses and limits that engines asked
  // for.
  // Returns the history with all violations.
  const soak_history& check_history();

  // Calls check_history(), prints what the callers observed, and fails the test if it violates a guarantee.
  const soak_history& report_history(const char* name);

  // Adds a violation for each request that was lost: its connection ended before its deadline without a
  // complete response, although it had reached an engine or had been sent for longer than an unread request
  // may take. Valid if the engines only paused and the daemons were disturbed only by signals. Returns the
  // number of requests that were cut at the end of a drain as the rules allow.
  std::size_t check_lost_requests();

  // Sends one request to the route of that name and checks its response. If it must run at most once and is
  // refused as not run, it may be sent again with the same id. Returns the last status, or 0 if there was no
  // complete response.
  int send(const std::string& address, std::string_view route);

private:
  void run(std::uint64_t seed);
  int send(const std::string& address, std::string_view route, const std::string& id);
  // Returns the last time before `until` at which the request was sent.
  const soak_dispatch& find_dispatch(const std::string& id, time_point until) const;
  bool may_be_cut_by_drain(const soak_dispatch& sent, time_point ended_at) const;
  void check_leaving(const platform::standins::engine_log& log);
  void check_pauses(const platform::standins::engine_log& log, const std::string& engine);
  void check_limits(const platform::standins::engine_log& log, const std::string& engine);
  void check_response(std::string_view route, const std::string& id, const net::http_response& response);

  soak_group& m_group;
  std::shared_ptr<soak_history> m_history = std::make_shared<soak_history>();
  milliseconds m_request_timeout;
  std::uint64_t m_seed;
  std::mt19937_64 m_repetitions;
  bool m_stopping = false;
  int m_running_callers = 0;
};

} // namespace cardamompond::testing
