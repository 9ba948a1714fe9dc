#pragma once

#include "cardamompond/standins/standin.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <string>

namespace cardamompond::standins {

// Base class of the stand-ins for backend servers, which are engines and plain services. It emulates the
// identity of a server process (the boot id), its restarts and its warm-up, load reports that lag, fencing of
// orders, and the faults of a faulty version of a service.
//
// Parameters:
// - slots: number of requests that a warm server can handle at the same time.
// - cold_limit: number of requests that a cold server can handle at the same time; 0 lets the server start
//   warm. A cold server responds with 500 to requests above its limit. When it has completed as many requests
//   as its limit, the limit doubles. The server is warm when the limit reaches `slots`.
// - state_reported: replaces the state in load reports, for example with "leaving".
// - load_lag_ms: load reports show the load as of this time ago.
// - load_unavailable: GET /load closes the connection without a response.
// - fail_rate: probability that a request gets 500 before it has any effect.
// - fail_after_rate: probability that a request fails after it took effect. The response is 500, or a stream
//   that breaks off after half of its tokens.
// - refuse_rate: probability that a request gets 503 with the header X-Not-Run.
// - slow_factor: factor by which all durations are multiplied.
// - fault_after, fault_route, fault_above_running: conditions of the last four parameters. They apply only
//   after the first fault_after requests since the boot, to paths that start with fault_route, and, unless
//   fault_above_running is 0, while more than fault_above_running requests are in flight.
// - crash_marker: a request whose body contains this text crashes the server; if empty, none does.
// - down_ms: time for which the server refuses connections after a restart or a crash.
// - checks_fencing: orders whose fencing number is below the highest one received so far get 409. Orders are
//   POST requests; for an engine, only those to /orders.
//
// POST /admin/faults also takes "restart": true and "crash": true. Either closes all connections; the server
// comes back cold with a new boot id.
class backend : public standin {
public:
  explicit backend(std::uint64_t seed);

  void handle(net::http_exchange& exchange) final;
  void on_parameters_changed(const boost::json::object& values) override;

protected:
  // Executes a request and responds to it. Not called for requests that fail before they have any effect.
  // `entry` is the history entry of the request.
  virtual void serve(net::http_exchange& exchange, history_entry& entry) = 0;

  // Handles calls that are not requests for work, such as the resumption of a stream. Returns false if the
  // call is a request for work.
  virtual bool handle_control(net::http_exchange& /*exchange*/) { return false; }

  // Clears the state that a process loses when it ends.
  virtual void clear_volatile_state() = 0;

  // Returns the present speed of a request for the load report; 0 for servers that generate no tokens.
  virtual double tokens_per_s() const { return 0; }

  // Closes all connections. The server comes back cold with a new boot id.
  void restart();

  // Returns whether the conditions of the faults hold for a request with this path.
  bool is_fault_active(std::string_view path) const;

  // Returns the factor by which the durations of a request are multiplied.
  double duration_factor(std::string_view path) const { return is_fault_active(path) ? m_slow_factor : 1; }

  // Counts a successful completion, which contributes to the warm-up of a cold server.
  void record_completion();

  // Responds with 409 and returns true if fencing is checked and the order in the body has a stale fencing
  // number.
  bool refuse_stale_order(net::http_exchange& exchange, history_entry& entry);

  // Records that the request took effect. Returns how many requests with its idempotency key have taken
  // effect so far, including this one.
  std::int64_t count_execution(history_entry& entry);

  // Returns the number of requests that the server can handle at the same time at present.
  std::int64_t capacity() const;

  // Records the present load. Load reports with a lag are taken from these records, so this must be called
  // after each change of the load.
  void record_load();

  std::uint64_t m_boot_number = 0; // requests that arrived under an earlier number end without a response
  std::string m_boot_id;
  std::int64_t m_slots = 8;
  std::int64_t m_in_flight = 0; // requests that run or wait
  std::int64_t m_running = 0;
  double m_fail_after_rate = 0;

private:
  struct load_report {
    time_point m_recorded_at{};
    boost::json::object m_content;
  };

  void boot();
  void handle_request(net::http_exchange& exchange);
  void respond_with_load(net::http_exchange& exchange);

  std::map<std::string, std::int64_t> m_executions; // by idempotency key; survives restarts like a database
  std::deque<load_report> m_load_reports;
  std::int64_t m_cold_limit = 0;
  std::int64_t m_cold_capacity = 0; // present limit of a cold server; 0 if the server is warm
  std::int64_t m_completions = 0;   // since the last change of m_cold_capacity
  std::int64_t m_requests_since_boot = 0;
  std::int64_t m_highest_fencing_number = 0;
  std::string m_state_reported;
  std::int64_t m_load_lag_ms = 0;
  bool m_load_unavailable = false;
  double m_fail_rate = 0;
  double m_refuse_rate = 0;
  double m_slow_factor = 1;
  std::int64_t m_fault_after = 0;
  std::string m_fault_route;
  std::int64_t m_fault_above_running = 0;
  std::string m_crash_marker = "CRASH-THE-SERVER";
  std::int64_t m_down_ms = 300;
  bool m_checks_fencing = false;
  bool m_restart = false;
  bool m_crash = false;
};

} // namespace cardamompond::standins
