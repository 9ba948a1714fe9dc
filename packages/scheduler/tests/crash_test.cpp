#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(crash) {
  scheduler::scheduler m_scheduler{1};
  std::map<std::string, int> m_boot_numbers;
  std::int64_t m_now_ms = 0;

  void setup() override {
    m_scheduler.apply(make_configuration(3, 4), at(0));
    for (const char* name : {"s0", "s1", "s2"}) {
      report(name);
    }
  }
  void report(const std::string& server) {
    m_now_ms += 10;
    m_scheduler.handle(load_report_event{server, "b" + std::to_string(m_boot_numbers[server]),
                                         reported_state::warm, 0, 0, 4, 100, at(m_now_ms)},
                       at(m_now_ms));
  }
  void submit(std::uint64_t sequence, std::uint64_t content) {
    submit_event submitted = make_submit(sequence, "high", m_now_ms + 60'000);
    submitted.m_fingerprint = {content, content};
    m_scheduler.handle(submitted, at(m_now_ms));
  }
  std::vector<decision> tick(std::int64_t step_ms = 1) {
    return m_scheduler.tick(at(m_now_ms += step_ms));
  }
  // Returns the backend server of the next grant, or an empty string if there is none.
  std::string tick_and_get_server(std::int64_t step_ms = 1) {
    const auto grants = grants_in(tick(step_ms));
    return grants.empty() ? "" : grants[0].m_backend_server;
  }
  void finish(std::uint64_t sequence, outcome result) {
    m_scheduler.handle(started_event{key(sequence)}, at(m_now_ms));
    m_scheduler.handle(make_completed(sequence, result), at(m_now_ms));
  }
  void crash(std::uint64_t sequence, const std::string& server) {
    finish(sequence, outcome::connection_broken);
    ++m_boot_numbers[server];
    report(server);
  }
};

// Content that has crashed two backend servers must be quarantined before it crashes a third one. The
// quarantine must end after ten minutes.
TEST(crash, crash_on_second_server_quarantines_content_for_ten_minutes) {
  submit(1, 7);
  const std::string first = tick_and_get_server();
  crash(1, first);
  submit(2, 7);
  const std::string second = tick_and_get_server();
  CHECK(!second.empty() && second != first);
  submit(3, 7);
  CHECK_EQUAL(std::string(), tick_and_get_server()); // only one request with this content may run at a time
  crash(2, second);
  const auto refusals = refusals_in(tick());
  LONGS_EQUAL(1, refusals.size());
  CHECK(refusals[0].m_code == error_code::crashing_request);
  submit(4, 7);
  CHECK(refusals_in(tick()).at(0).m_code == error_code::crashing_request);
  CHECK(m_scheduler.fault_signals(at(m_now_ms)).m_crashes.at(0).m_quarantined);
  m_now_ms += 10 * 60'000;
  tick();
  submit(5, 7);
  CHECK(!tick_and_get_server().empty());
}

// Load reports show a crash only after a delay. Retries within that delay must not reach a third server.
TEST(crash, retries_before_the_load_report_do_not_reach_a_third_server) {
  submit(1, 7);
  tick_and_get_server();
  finish(1, outcome::connection_broken);
  submit(2, 7);
  tick_and_get_server();
  finish(2, outcome::connection_broken);
  submit(3, 7);
  CHECK_EQUAL(std::string(), tick_and_get_server());
}

// A crash breaks the connections of all requests on the server, including requests that did not cause it.
// Requests with the content of such a request must still be granted. Once one of them has completed, the
// content must no longer be suspected, even if peers still send the old crash record.
TEST(crash, requests_that_did_not_cause_the_crash_are_cleared) {
  m_scheduler.handle(host_state_event{"s1", true}, at(m_now_ms));
  m_scheduler.handle(host_state_event{"s2", true}, at(m_now_ms));
  submit(1, 7);
  submit(2, 8);
  LONGS_EQUAL(2, grants_in(tick()).size());
  finish(1, outcome::connection_broken);
  crash(2, "s0");
  m_scheduler.handle(host_state_event{"s1", false}, at(m_now_ms));
  const fault_signal_set earlier_fault_signals = m_scheduler.fault_signals(at(m_now_ms));
  LONGS_EQUAL(2, earlier_fault_signals.m_crashes.size());
  submit(3, 8);
  CHECK_EQUAL(std::string("s1"), tick_and_get_server());
  finish(3, outcome::succeeded);
  LONGS_EQUAL(1, m_scheduler.fault_signals(at(m_now_ms)).m_crashes.size());
  m_scheduler.merge(earlier_fault_signals, at(m_now_ms));
  LONGS_EQUAL(1, m_scheduler.fault_signals(at(m_now_ms)).m_crashes.size());
}

// A connection can break without a crash. If the next load report shows that the server did not restart, the
// suspicion must be dropped.
TEST(crash, broken_connection_without_restart_is_no_crash) {
  submit(1, 7);
  const std::string first = tick_and_get_server();
  finish(1, outcome::connection_broken);
  report(first);
  LONGS_EQUAL(0, m_scheduler.fault_signals(at(m_now_ms)).m_crashes.size());
  for (std::uint64_t i = 2; i < 8; ++i) {
    submit(i, 7);
  }
  LONGS_EQUAL(6, grants_in(tick()).size());
}

// A suspect must run alone if a server can be emptied for it. Otherwise a crash would also break the requests
// that run on the same server.
TEST(crash, suspect_runs_alone) {
  submit(1, 7);
  const std::string first = tick_and_get_server();
  crash(1, first);
  for (std::uint64_t i = 2; i <= 9; ++i) {
    submit(i, 100 + i);
  }
  std::map<std::string, std::vector<std::uint64_t>> running;
  for (const grant& permit : grants_in(tick())) {
    running[permit.m_backend_server].push_back(permit.m_key.m_sequence);
  }
  submit(20, 7);
  CHECK_EQUAL(std::string(), tick_and_get_server());
  // These requests must not refill the server that is being emptied.
  for (std::uint64_t i = 21; i <= 24; ++i) {
    submit(i, 100 + i);
  }
  const auto later_grants = grants_in(tick());
  CHECK(later_grants.size() < 4);
  for (const grant& permit : later_grants) {
    running[permit.m_backend_server].push_back(permit.m_key.m_sequence);
  }
  std::string emptied;
  for (const auto& [server, sequences] : running) {
    for (const std::uint64_t sequence : sequences) {
      finish(sequence, outcome::succeeded);
    }
    for (const grant& permit : grants_in(tick())) {
      emptied = permit.m_key == key(20) ? permit.m_backend_server : emptied;
    }
  }
  CHECK(!emptied.empty() && emptied != first);
  for (const backend_server_status& server : m_scheduler.status().m_backend_servers) {
    if (server.m_name == emptied) {
      LONGS_EQUAL(1, server.m_outstanding);
    }
  }
}
