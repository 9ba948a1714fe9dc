#include "cardamompond/fleet/rollout_controller.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

const time_point start{seconds(10)};

rollout_order make_order(std::uint64_t created = 5) {
  rollout_order order;
  order.m_service = "chat";
  order.m_target_version = "v2";
  order.m_period = seconds(12);
  order.m_created_revision = created;
  return order;
}

void note(rollout_controller& judge, std::string_view version, std::string_view route, bool good,
          milliseconds took, int times) {
  for (int i = 0; i < times; ++i) {
    judge.record_outcome("chat", version, route, good, took, took, start);
  }
}

rollout_order::state decided(const rollout_controller& judge) {
  return judge.decisions().front().m_state;
}

} // namespace

TEST_GROUP(rollout){};

// Guards against a version on trial that gets more than a tenth of the requests.
TEST(rollout, a_version_on_trial_gets_a_small_share) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  int target = 0;
  for (int i = 0; i < 1000; ++i) {
    const bool allowed = judge.allows("chat", "v2");
    judge.record_grant("chat", allowed ? "v2" : "v1");
    target += allowed ? 1 : 0;
    CHECK(judge.allows("chat", "v1"));
  }
  CHECK(target > 40);
  CHECK(target <= 100);
}

// Guards against failures that show on one route only and drown in the others.
TEST(rollout, failures_on_one_route_take_the_version_back) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  note(judge, "v1", "a", true, milliseconds(50), 100);
  note(judge, "v2", "a", true, milliseconds(50), 100);
  note(judge, "v2", "b", false, milliseconds(50), 4);
  judge.tick(start + seconds(1));
  CHECK(decided(judge) == rollout_order::state::rolled_back);
  CHECK_FALSE(judge.allows("chat", "v2"));
  CHECK(judge.allows("chat", "v1"));
}

// Guards against faults that both versions share being held against the new one.
TEST(rollout, failures_that_the_old_version_has_too_do_not_count) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  for (const auto* version : {"v1", "v2"}) {
    note(judge, version, "a", true, milliseconds(50), 80);
    note(judge, version, "a", false, milliseconds(50), 14);
  }
  judge.tick(start + seconds(1));
  CHECK(decided(judge) == rollout_order::state::running);
}

// Guards against a version that is several times slower and never fails.
TEST(rollout, slowness_takes_the_version_back) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  note(judge, "v1", "a", true, milliseconds(50), 20);
  note(judge, "v2", "a", true, milliseconds(200), 8);
  judge.tick(start + seconds(1));
  CHECK(decided(judge) == rollout_order::state::rolled_back);
}

// Guards against faults that are spread over daemons so that none sees enough of them.
TEST(rollout, outcomes_of_all_daemons_are_added_up) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  judge.set_peer_observations("b", {{"chat", "v2", "a", {0, 2, 0, 0}}});
  judge.set_peer_observations("c", {{"chat", "v2", "a", {0, 2, 0, 0}}});
  judge.set_peer_observations("c", {{"chat", "v2", "a", {0, 2, 0, 0}}});
  judge.tick(start + seconds(1));
  CHECK(decided(judge) == rollout_order::state::rolled_back);
}

// Guards against good versions that miss their due time.
TEST(rollout, a_good_version_is_completed_before_it_is_due) {
  rollout_controller judge;
  judge.set_orders({make_order()}, start);
  note(judge, "v2", "a", true, milliseconds(50), 20);
  judge.tick(start + seconds(10));
  CHECK(decided(judge) == rollout_order::state::running);
  judge.tick(start + milliseconds(10'600));
  CHECK(decided(judge) == rollout_order::state::completed);
}

// Guards against a late report about an earlier order that ends a later one for the same version.
TEST(rollout, a_peers_finding_holds_for_its_own_order_only) {
  rollout_controller judge;
  judge.set_orders({make_order(9)}, start);
  judge.record_rollback("chat", 5, "old");
  CHECK(judge.allows("chat", "v2"));
  judge.record_rollback("chat", 9, "new");
  CHECK_FALSE(judge.allows("chat", "v2"));
}
