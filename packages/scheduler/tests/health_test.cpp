#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(health) {
  scheduler::scheduler m_scheduler{1};

  void setup() override {
    configuration config = make_configuration(1, 8);
    config.m_backend_servers[0].m_cold_limit = 1;
    m_scheduler.apply(config, at(0));
  }
  // Returns the limit of the backend server, or 0 while it is out of service.
  std::uint32_t limit() {
    const backend_server_status server = m_scheduler.status().m_backend_servers[0];
    return server.m_in_service ? server.m_limit : 0;
  }
  void complete(std::uint64_t sequence, std::int64_t now_ms, milliseconds first_token = milliseconds(50)) {
    m_scheduler.handle(make_submit(sequence, "high", 600'000), at(now_ms));
    LONGS_EQUAL(1, grants_in(m_scheduler.tick(at(now_ms))).size());
    m_scheduler.handle(started_event{key(sequence)}, at(now_ms));
    completed_event completed = make_completed(sequence);
    completed.m_time_to_first_token = first_token;
    m_scheduler.handle(completed, at(now_ms + 5));
  }
  void warm_up() {
    for (std::uint64_t i = 1; i <= 12; ++i) {
      complete(i, static_cast<std::int64_t>(i) * 10);
    }
    LONGS_EQUAL(8, limit());
  }
};

// The limit of a cold server must double after as many completions as its current value, no sooner and no
// later.
TEST(health, limit_doubles_after_limit_completions) {
  const std::uint32_t expected[] = {1, 2, 2, 4, 4, 4, 4, 8};
  for (std::uint64_t i = 0; i < 8; ++i) {
    LONGS_EQUAL(expected[i], limit());
    complete(i + 1, static_cast<std::int64_t>(i) * 10);
  }
}

// A new boot identifier means that the server restarted, and full load would overload it. A delayed report of
// the earlier process must not count as another restart.
TEST(health, new_boot_id_triggers_cold_start) {
  m_scheduler.handle(load_report_event{"s0", "b1", reported_state::warm, 0, 0, 8, 100, at(0)}, at(1));
  warm_up();
  m_scheduler.handle(load_report_event{"s0", "b2", reported_state::warm, 0, 0, 8, 100, at(200)}, at(201));
  LONGS_EQUAL(1, limit());
  complete(20, 210);
  m_scheduler.handle(load_report_event{"s0", "b1", reported_state::leaving, 0, 0, 8, 100, at(220)}, at(221));
  LONGS_EQUAL(2, limit());
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("old_incarnation"));
}

// Three slow first tokens in a row must trigger a cold start; two in a row must not.
TEST(health, slow_first_tokens_trigger_cold_start) {
  warm_up();
  complete(20, 200, milliseconds(210));
  complete(21, 210, milliseconds(210));
  complete(22, 220, milliseconds(50));
  LONGS_EQUAL(8, limit());
  for (std::uint64_t i = 0; i < 3; ++i) {
    complete(30 + i, 300 + static_cast<std::int64_t>(i) * 10, milliseconds(210));
  }
  LONGS_EQUAL(1, limit());
}

// A server that refuses connections or is leaving must get no grants, and it must start cold when it returns.
TEST(health, refusing_and_leaving_servers_get_no_grants) {
  warm_up();
  m_scheduler.handle(make_submit(20, "high", 600'000), at(200));
  m_scheduler.tick(at(200));
  m_scheduler.handle(declined_event{key(20), decline_reason::connect_failed}, at(201));
  LONGS_EQUAL(0, limit());
  m_scheduler.tick(at(1300));
  LONGS_EQUAL(1, limit());
  m_scheduler.handle(host_state_event{"s0", true}, at(1400));
  LONGS_EQUAL(0, limit());
  m_scheduler.handle(host_state_event{"s0", false}, at(1500));
  m_scheduler.handle(load_report_event{"s0", "b", reported_state::leaving, 0, 0, 8, 1, at(1500)}, at(1501));
  LONGS_EQUAL(0, limit());
}
