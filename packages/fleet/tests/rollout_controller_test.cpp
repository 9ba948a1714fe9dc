#include "cardamompond/fleet/rollout_controller.hpp"

#include "rollout_simulation.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

const time_point start{seconds(10)};

constexpr int servers_per_version = 4;

rollout_order make_order(std::uint64_t created = 5) {
  rollout_order order;
  order.m_service = "chat";
  order.m_target_version = "v2";
  order.m_period = seconds(12);
  order.m_created_revision = created;
  return order;
}

void record_outcomes(rollout_controller& controller, std::string_view version, std::string_view route,
                     bool good, milliseconds took, int times) {
  for (int i = 0; i < times; ++i) {
    const std::string server = std::string(version) + std::to_string(i % servers_per_version);
    request_sample sample{"chat", version, route, server, good};
    sample.m_time_to_first_token = took;
    controller.record_outcome(sample);
  }
}

rollout_order::state decided_state(const rollout_controller& controller) {
  return controller.decisions().front().m_state;
}

} // namespace

TEST_GROUP(rollout){};

// Guards against a target version that gets more than a tenth of the requests during its rollout.
TEST(rollout, the_target_version_gets_a_small_share) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  int target = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool allowed = controller.allows("chat", "v2");
    controller.record_grant("chat", allowed ? "v2" : "v1");
    target += allowed ? 1 : 0;
    CHECK(controller.allows("chat", "v1"));
  }
  CHECK(target > 40);
  CHECK(target <= 100);
}

// Guards against failures on a single route that go unnoticed among the successful requests of other routes.
TEST(rollout, failures_on_one_route_roll_the_version_back) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  record_outcomes(controller, "v1", "a", true, milliseconds(50), 100);
  record_outcomes(controller, "v2", "a", true, milliseconds(50), 100);
  record_outcomes(controller, "v2", "b", false, milliseconds(50), 4);
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
  CHECK_FALSE(controller.allows("chat", "v2"));
  CHECK(controller.allows("chat", "v1"));
}

// Guards against a rollback because of faults that both versions have.
TEST(rollout, failures_shared_with_the_old_version_do_not_count) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  for (const auto* version : {"v1", "v2"}) {
    record_outcomes(controller, version, "a", true, milliseconds(50), 80);
    record_outcomes(controller, version, "a", false, milliseconds(50), 14);
  }
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::running);
}

// Guards against a version that never fails but is several times slower.
TEST(rollout, slowness_rolls_the_version_back) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  record_outcomes(controller, "v1", "a", true, milliseconds(50), 20);
  record_outcomes(controller, "v2", "a", true, milliseconds(200), 8);
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
}

// Guards against failures that are spread over the daemons so that none of them sees enough to roll back.
// Repeated reports of one daemon must replace each other.
TEST(rollout, outcomes_of_all_daemons_are_added_up) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  controller.set_peer_observations("b", 1, {{"chat", "v2", "a", {0, 2, {}}, 5}});
  controller.set_peer_observations("c", 1, {{"chat", "v2", "a", {0, 2, {}}, 5}});
  controller.set_peer_observations("c", 1, {{"chat", "v2", "a", {0, 2, {}}, 5}});
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
}

// Guards against rollouts of good versions that are not completed by their due time.
TEST(rollout, a_good_version_is_completed_before_its_due_time) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  record_outcomes(controller, "v2", "a", true, milliseconds(50), 20);
  controller.tick(start + seconds(10));
  CHECK(decided_state(controller) == rollout_order::state::running);
  controller.tick(start + milliseconds(10'600));
  CHECK(decided_state(controller) == rollout_order::state::completed);
}

// Guards against a late report about an earlier order that rolls back a later order for the same version.
TEST(rollout, a_rollback_by_a_peer_applies_to_its_own_order_only) {
  rollout_controller controller;
  controller.set_orders({make_order(9)}, start);
  controller.record_rollback("chat", 5, "old");
  CHECK(controller.allows("chat", "v2"));
  controller.record_rollback("chat", 9, "new");
  CHECK_FALSE(controller.allows("chat", "v2"));
}

// Guards against a version that is completed because only a part of its responses is slow, so that their mean
// hardly differs from that of the old version.
TEST(rollout, a_version_with_some_slow_responses_is_rolled_back) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    testing::simulated_rollout rollout;
    rollout.m_seed = seed;
    rollout.m_slow_factor = 3;
    rollout.m_slow_share = 0.3;
    CHECK(testing::simulate(rollout).m_state == rollout_order::state::rolled_back);
  }
}

// Guards against a slow version that is completed because its idle servers are compared with the loaded
// servers of the old version.
TEST(rollout, a_slow_version_on_idle_servers_is_rolled_back) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    testing::simulated_rollout rollout;
    rollout.m_seed = seed;
    rollout.m_load = 0.85;
    rollout.m_slow_factor = 1.6;
    CHECK(testing::simulate(rollout).m_state == rollout_order::state::rolled_back);
  }
}

// Guards against good versions that are rolled back because servers differ in speed or daemons restart.
TEST(rollout, good_versions_on_unlike_servers_are_completed) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    testing::simulated_rollout rollout;
    rollout.m_seed = seed;
    rollout.m_load = seed % 2 == 0 ? 0.85 : 0.5;
    rollout.m_restart_every = seed % 4 < 2 ? seconds(2) : seconds(0);
    CHECK(testing::simulate(rollout).m_state == rollout_order::state::completed);
  }
}

// Guards against good versions that are rolled back in a large group, where each daemon sees about one
// response of each server of the old version.
TEST(rollout, good_versions_in_a_large_group_are_completed) {
  testing::simulated_rollout rollout;
  rollout.m_daemons = 30;
  rollout.m_servers_per_version = 90;
  rollout.m_requests_per_s = 500;
  rollout.m_period = seconds(6);
  CHECK(testing::simulate(rollout).m_state == rollout_order::state::completed);
  rollout.m_slow_factor = 2;
  CHECK(testing::simulate(rollout).m_state == rollout_order::state::rolled_back);
}

// Guards against failures that are forgotten because the daemon that saw them restarted.
TEST(rollout, outcomes_of_a_restarted_daemon_still_count) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  controller.set_peer_observations("b", 1, {{"chat", "v2", "a", {0, 2, {}}, 5}});
  controller.set_peer_observations("b", 2, {});
  controller.set_peer_observations("b", 2, {{"chat", "v2", "a", {0, 2, {}}, 5}});
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
}

// Guards against a version that is rolled back for the outcomes of an earlier order, which peers still
// report.
TEST(rollout, outcomes_of_an_earlier_order_do_not_count) {
  rollout_controller controller;
  controller.set_orders({make_order(9)}, start);
  controller.set_peer_observations("b", 1, {{"chat", "v2", "a", {0, 9, {}}, 5}});
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::running);
}

// Guards against many daemons that together send more than the allowed requests to the target because each
// may send some regardless of the share.
TEST(rollout, the_daemons_of_a_large_group_share_the_free_requests) {
  constexpr int daemons = 100;
  constexpr int requests_per_daemon = 5;
  int to_target = 0;
  for (int i = 0; i < daemons; ++i) {
    rollout_controller controller;
    controller.set_daemon_count(daemons);
    controller.set_orders({make_order()}, start);
    for (int j = 0; j < requests_per_daemon; ++j) {
      const bool allowed = controller.allows("chat", "v2");
      controller.record_grant("chat", allowed ? "v2" : "v1");
      to_target += allowed ? 1 : 0;
    }
  }
  CHECK(to_target <= 50);
}

// Guards against a version being completed although the responses do not tell whether it is slower. Keeping a
// bad version costs far more than rolling a good one back.
TEST(rollout, an_undecided_version_is_rolled_back_at_its_due_time) {
  rollout_controller controller;
  controller.set_orders({make_order()}, start);
  record_outcomes(controller, "v1", "a", true, milliseconds(50), 100);
  record_outcomes(controller, "v2", "a", true, milliseconds(50), 1);
  controller.tick(start + milliseconds(10'600));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
}

// Guards against an order that is judged anew after the store came back from a copy: its decision holds while
// the store lacks the order, when it is written again with another revision, and where the copy shows it as
// running. Later orders of the service are judged.
TEST(rollout, a_decision_holds_when_the_store_comes_back_from_a_copy) {
  rollout_controller controller;
  controller.set_orders({make_order(50)}, start, 1);
  record_outcomes(controller, "v1", "a", true, milliseconds(50), 100);
  record_outcomes(controller, "v2", "a", false, milliseconds(50), 10);
  controller.tick(start + seconds(1));
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);

  controller.set_orders({}, start + seconds(2), 2);
  CHECK_FALSE(controller.allows("chat", "v2"));
  auto again = make_order(41);
  again.m_state = rollout_order::state::running;
  controller.set_orders({again}, start + seconds(3), 2);
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);
  CHECK_FALSE(controller.allows("chat", "v2"));
  // A second restore right after the first.
  controller.set_orders({make_order(39)}, start + seconds(4), 3);
  CHECK(decided_state(controller) == rollout_order::state::rolled_back);

  controller.set_orders({make_order(44)}, start + seconds(5), 3);
  CHECK(decided_state(controller) == rollout_order::state::running);
  auto other = make_order(44);
  other.m_target_version = "v3";
  controller.set_orders({other}, start + seconds(6), 4);
  CHECK(decided_state(controller) == rollout_order::state::running);
}

// Guards against old servers that get requests again because the copy shows a completed order as running.
TEST(rollout, a_completed_order_stays_completed_in_a_new_era) {
  rollout_controller controller;
  auto order = make_order(50);
  order.m_state = rollout_order::state::completed;
  controller.set_orders({order}, start, 1);
  order.m_state = rollout_order::state::running;
  controller.set_orders({order}, start + seconds(1), 2);
  CHECK(decided_state(controller) == rollout_order::state::completed);
  CHECK_FALSE(controller.allows("chat", "v1"));
}

// Guards against a lost order that an older one, decided long ago, replaces until it is written again, and
// against one that nobody writes again and that stays in force for good.
TEST(rollout, a_lost_order_stays_in_force_for_a_bounded_time) {
  rollout_controller controller;
  controller.set_orders({make_order(50)}, start, 1);
  auto older = make_order(20);
  older.m_target_version = "v1";
  older.m_state = rollout_order::state::completed;
  controller.set_orders({older}, start + seconds(1), 2);
  STRCMP_EQUAL("v2", controller.decisions().front().m_target_version.c_str());
  CHECK(controller.allows("chat", "v1"));
  controller.tick(start + seconds(32));
  STRCMP_EQUAL("v1", controller.decisions().front().m_target_version.c_str());
  controller.set_orders({}, start + seconds(33), 2);
  CHECK(controller.decisions().empty());
}
