#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <cstdio>
#include <string>
#include <string_view>

using namespace cardamompond;
using namespace cardamompond::testing;

// Groups of daemons of which one reaches no engine.
TEST_GROUP(server_path){};

namespace {

// Sends requests of all kinds to one daemon, one after the other, and returns the share that is answered.
double serve_share(soak_callers& callers, const std::string& address, milliseconds length) {
  int sent = 0;
  int served = 0;
  int running = 0;
  for (const std::string_view route : {"order", "read", "guide", "note"}) {
    ++running;
    net::fiber_runtime::spawn([&, route] {
      for (const time_point end = monotonic_now() + length; monotonic_now() < end;) {
        ++sent;
        served += callers.send(address, route) == 200 ? 1 : 0;
        boost::this_fiber::sleep_for(milliseconds(20));
      }
      --running;
    });
  }
  wait_until("the requests have ended", length + seconds(5), [&] { return running == 0; });
  return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

} // namespace

// Guards against a daemon that answers callers with failures for as long as it reaches no engine, although
// its peers do: its connections hang, are reset, or go on while new ones are reset. Callers and the store
// still reach it.
TEST(server_path, daemon_without_a_path_to_engines_serves_through_peers) {
  for (const auto kind : {partition_kind::hang, partition_kind::reset, partition_kind::reset_new}) {
    soak_group group(3, 4, 1);
    group.wait_until_ready();
    soak_callers callers(group, 6, 1'000'000);
    boost::this_fiber::sleep_for(milliseconds(1'500));
    auto& daemon = group.daemons().front();
    group.begin_disturbance(daemon.m_name);
    for (auto& engine : group.engines()) {
      engine.m_relay->partition_process(daemon.m_process->pid(), kind);
    }
    boost::this_fiber::sleep_for(seconds(3));
    const double share = serve_share(callers, group.callers_address(daemon), seconds(4));
    for (auto& engine : group.engines()) {
      engine.m_relay->partition_process(0, partition_kind::none);
    }
    const double share_after = serve_share(callers, group.callers_address(daemon), seconds(4));
    group.end_disturbance(daemon.m_name);
    callers.stop();
    std::printf("partition %d: %.3f served, %.3f afterwards\n", static_cast<int>(kind), share, share_after);
    // The rule asks for two thirds of what other daemons serve.
    CHECK(share > 0.9);
    CHECK(share_after > 0.9);
    callers.report_history("without a path");
  }
}

// Guards against a daemon that goes on using an engine after it has passed on, for a peer without a path, an
// answer in which the engine states that it leaves. The only engine leaves no choice by preference.
TEST(server_path, statement_in_a_passed_answer_binds_the_daemon_that_passed_it_on) {
  soak_group group(2, 1, 1);
  group.wait_until_ready();
  soak_callers callers(group, 0, 1'000'000);
  auto& cut = group.daemons()[0];
  auto& engine = group.engines().front();
  const std::string cut_address = group.callers_address(cut);
  const std::string helper_address = group.callers_address(group.daemons()[1]);
  group.begin_disturbance(cut.m_name);
  engine.m_relay->partition_process(cut.m_process->pid(), partition_kind::reset);
  wait_until("the cut daemon serves through its peer", seconds(6),
             [&] { return callers.send(cut_address, "read") == 200; });
  CHECK_EQUAL(200, callers.send(helper_address, "read"));
  engine.m_engine->leave();
  CHECK_EQUAL(200, callers.send(cut_address, "read"));
  boost::this_fiber::sleep_for(milliseconds(500));
  const int status = callers.send(helper_address, "read");
  CHECK_EQUAL(503, status);
  callers.stop();
  callers.report_history("a statement passed on");
}
