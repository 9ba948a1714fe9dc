#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <string>

using namespace cardamompond;
using namespace cardamompond::testing;

// Runs of the group of the soak in which the test chooses the faults.
TEST_GROUP(soak_scenarios){};

// Guards against daemons that together send an engine more requests than it states to take: beside SIGTERM in
// series, a kill and a freeze, after the limit was halved, and when another engine states one too. Also
// against an engine that gets none, while it is limited or afterwards.
TEST(soak_scenarios, stated_limits_hold_through_restarts) {
  constexpr std::uint64_t seed = 1;
  soak_group group(6, 4, seed);
  group.wait_until_ready();
  soak_callers callers(group, 12, seed * 1'000'000);
  auto& daemons = group.daemons();
  auto& engine = *group.engines()[0].m_engine;
  const auto run_for = [&](milliseconds length) {
    for (const time_point end = monotonic_now() + length; monotonic_now() < end;) {
      for (auto& daemon : daemons) {
        if (daemon.m_process->exit_code()) {
          group.start(daemon);
        }
      }
      boost::this_fiber::sleep_for(milliseconds(50));
    }
  };
  run_for(seconds(1));
  engine.set_limit(2.4);
  run_for(seconds(3));
  for (const std::size_t each : {0U, 1U}) {
    group.terminate(daemons[each]);
    group.begin_disturbance(daemons[each].m_name);
    run_for(milliseconds(700));
  }
  daemons[2].m_process->kill();
  run_for(seconds(1));
  daemons[3].m_process->signal(SIGSTOP);
  group.begin_disturbance(daemons[3].m_name);
  run_for(seconds(1));
  daemons[3].m_process->signal(SIGCONT);
  group.end_disturbance(daemons[3].m_name);
  engine.set_limit(1.2);
  group.engines()[1].m_engine->set_limit(4.8);
  run_for(seconds(7));
  engine.set_limit(std::nullopt);
  const std::size_t arrivals_in_limits = engine.log().m_arrivals.size();
  run_for(seconds(5));
  callers.stop();
  callers.report_history("limits");
  const auto count_arrivals = [&](time_point from, time_point until) {
    return std::count_if(engine.log().m_arrivals.begin(), engine.log().m_arrivals.end(),
                         [&](const auto& each) { return each.m_at >= from && each.m_at < until; });
  };
  for (const auto& limit : engine.log().m_limits) {
    CHECK_TEXT(count_arrivals(limit.m_stated_at + seconds(1), limit.m_until) > 1,
               "the limited engine got no requests");
  }
  CHECK_TEXT(engine.log().m_arrivals.size() > arrivals_in_limits + 30,
             "the engine got few requests after its limit had ended");
}

// Guards against daemons that topple brittle engines because each sends requests in the hope of room that the
// others fill at the same moment. The callers ask for about twice what the engines have slots for.
TEST(soak_scenarios, a_burst_topples_few_brittle_engines) {
  constexpr std::uint64_t seed = 1;
  constexpr std::size_t slots = 16;
  soak_group group(6, 4, seed);
  group.wait_until_ready();
  const auto set_brittle = [&](std::size_t room) {
    for (const auto& each : group.engines()) {
      each.m_engine->set_brittle(2, room);
    }
  };
  set_brittle(10 * slots); // they still let requests wait
  soak_callers callers(group, 150, seed * 1'000'000);
  boost::this_fiber::sleep_for(seconds(3));
  set_brittle(slots);
  boost::this_fiber::sleep_for(seconds(5));
  callers.stop();
  std::size_t falls = 0;
  std::size_t rejections = 0;
  for (const auto& each : group.engines()) {
    falls += each.m_engine->log().m_falls.size();
    rejections += each.m_engine->log().m_rejections.size();
  }
  const std::size_t answered = callers.report_history("brittle engines").m_successful_ids.size();
  const std::string seen = "falls " + std::to_string(falls) + ", rejections " + std::to_string(rejections) +
                           ", answered " + std::to_string(answered);
  CHECK_TEXT(falls <= 2, seen.c_str());
  CHECK_TEXT(answered > 1'000, seen.c_str());
}

// Guards against late copies of refusals that pass for the answer to the same request when it is sent again
// on that connection. One engine, one caller for each daemon and a short deadline make that the usual case.
TEST(soak_scenarios, late_copies_of_refusals_answer_nothing) {
  constexpr std::uint64_t seed = 1;
  constexpr int daemon_count = 4;
  soak_group group(daemon_count, 1, seed);
  group.wait_until_ready();
  auto& engine = group.engines().front();
  engine.m_engine->set_faults({.m_refusal_probability = 0.4});
  engine.m_relay->set_late_copies(1, seed);
  soak_callers callers(group, 0, seed * 1'000'000, milliseconds(300));
  int running = daemon_count;
  for (const auto& daemon : group.daemons()) {
    net::fiber_runtime::spawn([&, address = group.callers_address(daemon)] {
      for (const time_point end = monotonic_now() + seconds(4); monotonic_now() < end;) {
        callers.send(address, "order");
      }
      --running;
    });
  }
  wait_until("the callers have ended", seconds(12), [&] { return running == 0; });
  callers.stop();
  callers.report_history("copied refusals");
}

// Guards against requests that end without an answer because the process ends before their engine, which is
// silent, has reached its deadline.
TEST(soak_scenarios, drain_answers_requests_whose_engine_is_silent) {
  soak_group group(1, 1, 1);
  group.wait_until_ready();
  soak_callers callers(group, 0, 1'000'000);
  auto& daemon = group.daemons().front();
  group.terminate(daemon);
  // The daemon refuses requests in the last 1.8 s of its drain time; the route's timeout is 3 s.
  boost::this_fiber::sleep_for(milliseconds(2'900));
  group.engines().front().m_relay->set_partitioned(true);
  const std::string address = group.callers_address(daemon);
  int read_status = 0;
  bool read_ended = false;
  net::fiber_runtime::spawn([&] {
    read_status = callers.send(address, "read");
    read_ended = true;
  });
  const int order_status = callers.send(address, "order");
  wait_until("both requests have ended", milliseconds(4'000), [&] { return read_ended; });
  CHECK_EQUAL(502, order_status);
  CHECK_EQUAL(502, read_status);
}

// Guards against a daemon that ends its drain although requests have arrived while its event loop stood
// still.
TEST(soak_scenarios, drain_answers_requests_that_arrived_while_the_daemon_stood_still) {
  soak_group group(1, 1, 1);
  group.wait_until_ready();
  soak_callers callers(group, 0, 1'000'000);
  auto& daemon = group.daemons().front();
  const std::string address = group.callers_address(daemon);
  CHECK_EQUAL(200, callers.send(address, "read")); // leaves an open connection behind
  group.terminate(daemon);
  // The daemon may end 3.3 s after SIGTERM.
  boost::this_fiber::sleep_for(milliseconds(3'100));
  daemon.m_process->signal(SIGSTOP);
  constexpr int request_count = 4;
  int ended = 0;
  int unanswered = 0;
  for (int i = 0; i < request_count; ++i) {
    net::fiber_runtime::spawn([&] {
      unanswered += callers.send(address, "read") == 0 ? 1 : 0;
      ++ended;
    });
  }
  boost::this_fiber::sleep_for(milliseconds(600));
  daemon.m_process->signal(SIGCONT);
  wait_until("all requests have ended", milliseconds(4'000), [&] { return ended == request_count; });
  CHECK_EQUAL(0, unanswered);
}
