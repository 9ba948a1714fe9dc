#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(rollout) {
  scheduler::scheduler m_scheduler{1};
  configuration m_config = make_configuration(4, 8);
  std::uint64_t m_sequence = 0;
  std::int64_t m_now_ms = 0;

  void setup() override {
    for (std::size_t i = 2; i < 4; ++i) {
      m_config.m_backend_servers[i].m_version = "v2";
    }
    m_config.m_versions.push_back({"v2", "chat", 1});
    rollout_configuration rollout;
    rollout.m_target_version = "v2";
    rollout.m_started = at(0);
    rollout.m_due = at(1000);
    m_config.m_services[0].m_rollout = rollout;
    m_scheduler.apply(m_config, at(0));
  }
  // Runs `count` requests one after the other. Requests on v2 end with `new_version_outcome`. Returns the
  // number of requests that went to v2.
  int run(int count, outcome new_version_outcome, const std::string& route = "/a",
          milliseconds new_version_total_time = milliseconds(480)) {
    int on_v2 = 0;
    for (int i = 0; i < count; ++i) {
      submit_event submitted = make_submit(++m_sequence, "high", 10'000'000);
      submitted.m_route = route;
      m_scheduler.handle(submitted, at(++m_now_ms));
      const auto grants = grants_in(m_scheduler.tick(at(m_now_ms)));
      CHECK_EQUAL(1U, grants.size());
      const bool is_new = grants.at(0).m_version == "v2";
      on_v2 += is_new ? 1 : 0;
      m_scheduler.handle(started_event{key(m_sequence)}, at(m_now_ms));
      completed_event completed =
          make_completed(m_sequence, is_new ? new_version_outcome : outcome::succeeded);
      completed.m_total_time = is_new ? new_version_total_time : milliseconds(480);
      m_scheduler.handle(completed, at(m_now_ms));
    }
    return on_v2;
  }
  rollout_status status() {
    return m_scheduler.status().m_rollouts.at(0);
  }
};

// A step of 1% must give exactly every hundredth grant to the new version. A random or rounded share would
// deviate.
TEST(rollout, first_step_is_every_hundredth_grant) {
  LONGS_EQUAL(0, run(99, outcome::succeeded));
  LONGS_EQUAL(1, run(1, outcome::succeeded));
  LONGS_EQUAL(9, run(900, outcome::succeeded));
}

// A step must not end before it has enough successful requests, and the rollout of a healthy version must
// complete.
TEST(rollout, rollout_of_healthy_version_completes) {
  run(1990, outcome::succeeded);
  DOUBLES_EQUAL(1, status().m_traffic_percent, 0.001);
  run(20, outcome::succeeded);
  DOUBLES_EQUAL(5, status().m_traffic_percent, 0.001);
  run(600, outcome::succeeded);
  CHECK(status().m_state == rollout_state::done);
  LONGS_EQUAL(10, run(10, outcome::succeeded));
}

// A failing version must lose its traffic, also after its rollout has completed. Only a higher attempt number
// may reset the circuit breaker, not an unchanged declaration.
TEST(rollout, failing_version_is_rolled_back_until_a_new_attempt) {
  run(2700, outcome::succeeded);
  CHECK(status().m_state == rollout_state::done);
  LONGS_EQUAL(10, run(500, outcome::failed));
  CHECK(status().m_state == rollout_state::rolled_back);
  CHECK(!status().m_reason.empty());
  LONGS_EQUAL(1, m_scheduler.fault_signals(at(m_now_ms)).m_trips.size());
  ++m_config.m_revision;
  m_scheduler.apply(m_config, at(m_now_ms));
  LONGS_EQUAL(0, run(200, outcome::failed));
  m_config.m_versions[1].m_attempt = 2;
  ++m_config.m_revision;
  m_scheduler.apply(m_config, at(m_now_ms));
  LONGS_EQUAL(2, run(200, outcome::succeeded));
  LONGS_EQUAL(0, m_scheduler.fault_signals(at(m_now_ms)).m_trips.size());
}

// A version that is much slower than the old one must be rolled back, although its requests do not fail.
TEST(rollout, slow_version_is_rolled_back) {
  run(5000, outcome::succeeded, "/a", milliseconds(1100));
  CHECK(status().m_state == rollout_state::rolled_back);
  STRCMP_EQUAL("/a", m_scheduler.fault_signals(at(m_now_ms)).m_trips.at(0).m_route.c_str());
}

// An open circuit breaker received from a peer must roll back the rollout, unless it belongs to an older
// attempt.
TEST(rollout, breaker_trips_from_peers_are_applied) {
  fault_signal_set fault_signals;
  fault_signals.m_trips.push_back({"chat", "v2", 0, "", "old"});
  m_scheduler.merge(fault_signals, at(0));
  CHECK(status().m_state == rollout_state::in_progress);
  fault_signals.m_trips[0].m_attempt = 1;
  m_scheduler.merge(fault_signals, at(0));
  CHECK(status().m_state == rollout_state::rolled_back);
  LONGS_EQUAL(0, run(300, outcome::succeeded));
}

// When the version whose turn it is has no backend servers in service, requests must go to the other version.
TEST(rollout, requests_use_the_other_version_when_one_has_no_servers) {
  m_scheduler.handle(host_state_event{"s2", true}, at(0));
  m_scheduler.handle(host_state_event{"s3", true}, at(0));
  LONGS_EQUAL(0, run(300, outcome::succeeded));
  m_scheduler.handle(host_state_event{"s2", false}, at(m_now_ms));
  m_scheduler.handle(host_state_event{"s0", true}, at(m_now_ms));
  m_scheduler.handle(host_state_event{"s1", true}, at(m_now_ms));
  LONGS_EQUAL(50, run(50, outcome::succeeded));
}
