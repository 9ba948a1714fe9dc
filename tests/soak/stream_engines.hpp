#pragma once

#include "stream_plan.hpp"

#include "cardamompond/testing/tcp_relay.hpp"
#include "scripted_engine.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::testing {

// Engines that answer each request of a stream as the plan of the stream says, byte by byte.
class stream_engines {
public:
  struct engine {
    std::string m_id;
    std::unique_ptr<platform::testing::scripted_engine> m_server;
    std::unique_ptr<tcp_relay> m_relay; // null: the daemons reach the engine directly
    int m_born = 1;
    // From then on, the engine ends its open streams with the end of a whole response, and refuses others.
    bool m_stopping = false;
    bool m_leaving = false; // states in its answers that it leaves

    std::string address() const { return m_relay ? m_relay->address() : m_server->address(); }
  };

  stream_engines(int count, bool with_relays);

  // Waits until all runs have ended, so that the daemons have to be gone.
  ~stream_engines();
  stream_engines(const stream_engines&) = delete;
  stream_engines& operator=(const stream_engines&) = delete;

  void set_plan(const std::string& request_id, stream_plan plan) { m_plans[request_id] = std::move(plan); }
  const stream_plan& plan(const std::string& request_id) const { return m_plans.at(request_id); }

  // Returns the runs of the request so far.
  const std::vector<run_trace>& runs(const std::string& request_id) { return m_runs[request_id]; }

  std::vector<std::unique_ptr<engine>>& engines() { return m_engines; }

private:
  using connection = platform::testing::scripted_engine::connection;

  void handle(engine& self, connection& conn, const std::string& request);
  void run(engine& self, connection& conn, const stream_plan& plan, const stream_run& run,
           const std::string& request_id, run_trace& trace);
  // Sends the events of the run. Returns false if the client has gone.
  bool send_events(engine& self, connection& conn, const stream_plan& plan, const stream_run& run,
                   const std::string& request_id, run_trace& trace);

  std::map<std::string, stream_plan> m_plans;
  std::map<std::string, std::vector<run_trace>> m_runs;
  std::vector<std::unique_ptr<engine>> m_engines;
  std::size_t m_active_runs = 0;
};

} // namespace cardamompond::testing
