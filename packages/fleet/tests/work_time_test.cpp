#include "cardamompond/fleet/work_time.hpp"

#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

TEST_GROUP(work_time) {
  work_time stated;
  time_point now{seconds(100)};

  // The server states the value ten times a second for the given time.
  void state(std::uint32_t percent, duration length) {
    for (const time_point end = now + length; now < end; now += milliseconds(100)) {
      stated.record(percent, now);
    }
  }
};

// Guards against disturbances that are taken for the speed of the machine, and against a disturbance that is
// expected to last after the server has not been heard of for a while.
TEST(work_time, a_disturbance_is_expected_to_end) {
  state(100, seconds(3));
  for (int i = 0; i < 10; ++i) {
    state(250, milliseconds(600));
    DOUBLES_EQUAL(1.0, stated.lasting(), 1e-9);
    DOUBLES_EQUAL(2.5, stated.expected(now - milliseconds(100)), 1e-9);
    CHECK(stated.expected(now + milliseconds(200)) > 1.5);
    state(100, seconds(4));
  }
  state(250, milliseconds(600));
  CHECK(stated.expected(now + seconds(2)) < 1.2);
}

// Guards against a machine that has become slow or fast for good and is still expected to be as before.
TEST(work_time, a_lasting_change_is_followed_within_two_seconds) {
  state(100, seconds(3));
  state(280, seconds(2));
  DOUBLES_EQUAL(2.8, stated.lasting(), 1e-9);
  DOUBLES_EQUAL(2.8, stated.expected(now + seconds(5)), 1e-9);
  state(55, seconds(2));
  DOUBLES_EQUAL(0.55, stated.lasting(), 1e-9);
}

// Guards against an old report that replaces a newer statement, and against values that predictions cannot
// use.
TEST(work_time, old_and_invalid_statements_are_ignored) {
  CHECK_FALSE(stated.known());
  DOUBLES_EQUAL(1.0, stated.expected(now), 1e-9);
  stated.record(100, now);
  stated.record(250, now - milliseconds(50));
  stated.record(0, now + milliseconds(10));
  stated.record(1'000'000, now + milliseconds(10));
  DOUBLES_EQUAL(1.0, stated.expected(now), 1e-9);
  CHECK(stated.age(now + milliseconds(30)) == duration(milliseconds(30)));
}

// Guards against learned limits on services that do not state the work time, and against statements that do
// not reach the peers, or that are passed on without their age.
TEST(work_time, statements_enable_learned_limits_and_reach_the_peers) {
  daemon_fixture first;
  daemon_fixture second;
  daemon_fixture disabled;
  disabled.m_dispatcher.set_learned_limits(learned_limits_mode::off);
  for (auto* each : {&first, &second, &disabled}) {
    each->set_member_count(2);
    each->set_servers({make_server("s1")});
    CHECK_FALSE(each->m_dispatcher.learned_limits_enabled("chat"));
  }
  first.m_dispatcher.record_work_time("s1", 250, first.m_now);
  first.m_dispatcher.record_work_time("unknown", 250, first.m_now);
  CHECK(first.m_dispatcher.learned_limits_enabled("chat"));
  CHECK_FALSE(first.m_dispatcher.learned_limits_enabled("plain"));
  const auto loads = first.m_dispatcher.own_loads(first.m_now + milliseconds(120));
  LONGS_EQUAL(1, loads.size());
  UNSIGNED_LONGS_EQUAL(250, loads.front().m_work_time.m_percent);
  CHECK(loads.front().m_work_time.m_age == duration(milliseconds(120)));
  for (auto* each : {&second, &disabled}) {
    each->m_dispatcher.set_peer_loads("d1", loads, first.m_now + milliseconds(150));
  }
  CHECK(second.m_dispatcher.learned_limits_enabled("chat"));
  CHECK_FALSE(disabled.m_dispatcher.learned_limits_enabled("chat"));
  CHECK(second.m_dispatcher.own_loads(second.m_now).empty()); // peers hear it from the first daemon only
  CHECK(first.m_dispatcher.own_loads(first.m_now + seconds(1)).empty());
  first.m_dispatcher.set_learned_limits(learned_limits_mode::off);
  CHECK_FALSE(first.m_dispatcher.learned_limits_enabled("chat"));
  first.m_dispatcher.set_learned_limits(learned_limits_mode::on);
  CHECK(first.m_dispatcher.learned_limits_enabled("plain"));
}

// Guards against a prompt that peers count as being read after its first event, or after its request ended.
TEST(work_time, prompts_that_are_being_read_are_reported) {
  daemon_fixture daemon;
  daemon.set_servers({make_server("s1", "a", 4)});
  for (ticket id = 1; id <= 2; ++id) {
    auto request = daemon.make_request(id);
    request.m_prompt_tokens = 6'000;
    daemon.m_dispatcher.submit(request, daemon.m_now);
  }
  LONGS_EQUAL(2, count_results(daemon.tick(), "s1"));
  const auto reading = [&] { return daemon.m_dispatcher.own_loads(daemon.m_now).front().m_reading_tokens; };
  UNSIGNED_LONGS_EQUAL(12'000, reading());
  daemon.m_dispatcher.record_first_token(1, daemon.m_now + milliseconds(80));
  daemon.m_dispatcher.record_first_token(1, daemon.m_now + milliseconds(90));
  UNSIGNED_LONGS_EQUAL(6'000, reading());
  daemon.m_dispatcher.finish(2, server_outcome::answered, daemon.m_now + milliseconds(100));
  UNSIGNED_LONGS_EQUAL(0, reading());
}
