#include "versions_group.hpp"

// Guards against a rollout that loses responses or stops before its last step. A completed rollout must be
// reported as done.
TEST(versions, rollout_of_good_version_completes_and_is_reported_done) {
  check_rollout_of_good_version(true);
}

// Guards against a version that fails from the start and still receives more than the share of the first
// step.
TEST(versions, version_failing_from_the_start_is_rolled_back) {
  start("chat", {"fail_rate=1.0"});
  auto callers = start_chat_load();
  wait_for_calls(callers, 50);
  const auto from_ms = standins::unix_time_ms();
  publish_rollout("chat");
  wait_for_rollout_state("chat", "taken_back");
  wait_for_calls(callers, 300);
  callers.stop();
  check_rolled_back(from_ms, 0.05);
}

// Guards against a version that fails on one route and stays in service because its other routes work.
TEST(versions, version_failing_on_one_route_is_rolled_back) {
  start("orders", {"fail_rate=1.0", "fault_route=/orders"});
  auto callers = start_order_and_read_load();
  wait_for_calls(callers, 50);
  const auto from_ms = standins::unix_time_ms();
  publish_rollout("orders");
  wait_for_rollout_state("orders", "taken_back");
  wait_for_calls(callers, 300);
  callers.stop();
  check_rolled_back(from_ms, 0.05);
  STRCMP_EQUAL("", find_duplicate_executions(m_cell.fetch_backend_histories()).c_str());
}

// Guards against a version that stays in service because its faults occur only under more load than the first
// steps send to it.
TEST(versions, version_failing_under_more_load_is_rolled_back) {
  start("chat", {"fail_after_rate=1.0", "fault_after=60"});
  auto callers = start_chat_load();
  wait_for_calls(callers, 50);
  const auto from_ms = standins::unix_time_ms();
  publish_rollout("chat");
  wait_for_rollout_state("chat", "taken_back");
  wait_for_calls(callers, 300);
  callers.stop();
  check_rolled_back(from_ms, 1);
}

// Guards against a faulty version that stays in service because the rollback cannot be written to the
// platform.
TEST(versions, version_is_rolled_back_during_a_platform_outage) {
  start("chat", {"fail_rate=1.0", "fault_after=5"});
  auto callers = start_chat_load();
  wait_for_calls(callers, 50);
  const auto from_ms = standins::unix_time_ms();
  const auto owner_index = m_cell.fetch_owner_index();
  publish_rollout("chat");
  m_cell.object_api().set_parameters({{"outage", true}});
  wait_until("rollback by the owner", milliseconds(12'000), [&] {
    const auto rollouts = m_cell.fetch_debug_state(m_cell.m_daemons[owner_index]).at("moves");
    return rollouts.as_array().size() == 1 && rollouts.at(0).at("state").as_string() == "taken_back";
  });
  const auto rolled_back_ms = standins::unix_time_ms();
  wait_until("end of the time for the rollback", milliseconds(5000),
             [&] { return standins::unix_time_ms() > rolled_back_ms + max_rollback_ms + 500; });
  callers.stop();
  check_rolled_back(from_ms, 0.05);
  m_cell.object_api().set_parameters({{"outage", false}});
  wait_for_rollout_state("chat", "taken_back");
}
