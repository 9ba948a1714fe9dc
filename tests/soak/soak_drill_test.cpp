#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <csignal>

using namespace cardamompond;
using namespace cardamompond::testing;

// Runs of the group of the soak in which the store comes back from a copy and the test chooses the faults.
TEST_GROUP(soak_drill){};

// Guards against daemons that stay at an older configuration after the store came back from a copy twice: one
// that started while the store was away, one that was cut off from the store, one that was frozen, and those
// that saw all of it.
TEST(soak_drill, store_comes_back_beside_a_kill_a_cut_and_a_freeze) {
  constexpr std::uint64_t seed = 1;
  constexpr milliseconds contact_time{3'000};
  constexpr milliseconds config_apply_time{2'000};
  soak_group group(6, 4, seed);
  group.wait_until_ready();
  soak_callers callers(group, 12, seed * 1'000'000);
  auto& daemons = group.daemons();
  auto& store = group.store();
  const auto run_for = [](milliseconds length) { boost::this_fiber::sleep_for(length); };
  run_for(seconds(1));
  store.take_copy();
  group.publish();
  group.raise_revisions(200);
  group.publish();
  run_for(config_apply_time);
  store.go_away();
  daemons[0].m_process->kill();
  group.start(daemons[0]);
  daemons[1].m_store_relay->set_partitioned(true);
  daemons[2].m_process->signal(SIGSTOP);
  group.begin_disturbance(daemons[2].m_name);
  run_for(seconds(1));
  store.come_back({.m_seed = seed});
  run_for(milliseconds(700));
  daemons[2].m_process->signal(SIGCONT);
  group.end_disturbance(daemons[2].m_name);
  store.go_away();
  run_for(milliseconds(300));
  store.come_back({.m_seed = seed + 1});
  run_for(milliseconds(300));
  daemons[1].m_store_relay->set_partitioned(false);
  wait_until("all is written again", milliseconds(6'000), [&] { return store.is_complete(); });
  run_for(contact_time);
  group.publish();
  run_for(config_apply_time);
  int at_older_version = 0;
  for (const auto& daemon : daemons) {
    at_older_version += callers.send(group.callers_address(daemon), "moved") == 200 ? 0 : 1;
  }
  callers.stop();
  callers.report_history("restored store");
  CHECK_EQUAL(0, at_older_version);
}
