#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(event_handling) {
  scheduler::scheduler m_scheduler{1};

  void setup() override {
    m_scheduler.apply(make_configuration(2, 4), at(0));
  }
  void submit(std::uint64_t sequence, std::int64_t now_ms = 0) {
    m_scheduler.handle(make_submit(sequence, "high", now_ms + 60'000), at(now_ms));
  }
  std::size_t tick_and_count_grants(std::int64_t now_ms) {
    return grants_in(m_scheduler.tick(at(now_ms))).size();
  }
  // Submits the requests 1 to `count` and starts the eight that get a slot.
  void fill_all_slots(std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
      submit(i);
    }
    LONGS_EQUAL(8, tick_and_count_grants(0));
    for (std::uint64_t i = 1; i <= 8; ++i) {
      m_scheduler.handle(started_event{key(i)}, at(0));
    }
  }
};

// Impossible values in a load report must not take a server out of service or remove its limit.
TEST(event_handling, impossible_load_reports_change_nothing) {
  for (const std::int64_t count : {std::numeric_limits<std::int64_t>::min(), std::int64_t{-1},
                                   std::int64_t{0}, std::numeric_limits<std::int64_t>::max()}) {
    m_scheduler.handle(load_report_event{"s0", "b", reported_state::warm, count, count, count,
                                         std::numeric_limits<double>::quiet_NaN(), at(1'000'000)},
                       at(1));
  }
  LONGS_EQUAL(4, m_scheduler.status().m_backend_servers[0].m_limit);
  LONGS_EQUAL(4, m_scheduler.rejected_inputs().at("bad_reported_slots"));
  LONGS_EQUAL(3, m_scheduler.rejected_inputs().at("bad_reported_load"));
  LONGS_EQUAL(4, m_scheduler.rejected_inputs().at("bad_reported_speed"));
  LONGS_EQUAL(4, m_scheduler.rejected_inputs().at("report_from_future"));
}

// A huge token count in one request must not make the queue look full for other client accounts.
TEST(event_handling, huge_token_counts_do_not_block_others) {
  submit_event huge = make_submit(1, "high", 60'000);
  huge.m_prompt_tokens = std::numeric_limits<std::uint32_t>::max();
  huge.m_max_output_tokens = std::numeric_limits<std::uint32_t>::max();
  m_scheduler.handle(huge, at(0));
  m_scheduler.handle(make_submit(2, "low", 60'000), at(0));
  const auto grants = grants_in(m_scheduler.tick(at(0)));
  LONGS_EQUAL(1, grants.size());
  CHECK(grants[0].m_key == key(2));
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("huge_token_count"));
}

// A clock that goes back or jumps beyond any deadline must not expire waiting requests.
TEST(event_handling, impossible_times_are_replaced_by_the_latest_one) {
  submit(1, 100);
  m_scheduler.handle(make_submit(2, "high", 60'000), at(50));
  LONGS_EQUAL(2, grants_in(m_scheduler.tick(time_point::max())).size());
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("clock_went_back"));
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("clock_out_of_range"));
}

// Contradictory measurements of a completed request must not enter the averages, but the request must still
// release its slot.
TEST(event_handling, implausible_completion_only_frees_the_slot) {
  submit(1);
  LONGS_EQUAL(1, tick_and_count_grants(0));
  m_scheduler.handle(started_event{key(1)}, at(1));
  completed_event completed = make_completed(1);
  completed.m_time_to_first_token = milliseconds(-5);
  completed.m_cached_tokens = 99;
  m_scheduler.handle(completed, at(2));
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("implausible_completion"));
  LONGS_EQUAL(0, m_scheduler.status().m_outstanding);
}

// If a member crashes before it receives a grant, it can neither use nor decline the permit. The slot must be
// released after a timeout.
TEST(event_handling, unanswered_grants_are_released) {
  submit(1);
  LONGS_EQUAL(1, tick_and_count_grants(0));
  tick_and_count_grants(10'499);
  LONGS_EQUAL(1, m_scheduler.status().m_outstanding);
  tick_and_count_grants(10'500);
  LONGS_EQUAL(0, m_scheduler.status().m_outstanding);
}

// The dispatched requests of a lost member may still run, so their slots must be released after 10 s and not
// immediately. Its waiting requests must leave the queue.
TEST(event_handling, slots_of_lost_member_are_freed_after_ten_seconds) {
  fill_all_slots(9);
  m_scheduler.handle(member_lost_event{key(1).m_daemon}, at(0));
  LONGS_EQUAL(0, m_scheduler.status().m_waiting);
  tick_and_count_grants(9'999);
  LONGS_EQUAL(8, m_scheduler.status().m_outstanding);
  tick_and_count_grants(10'000);
  LONGS_EQUAL(0, m_scheduler.status().m_outstanding);
}

// After a member was lost, a backend server must not stay idle for 10 s if its load report shows that the
// requests have ended. Slots must not be released while their requests may still run or a late permit may
// still be used.
TEST(event_handling, load_report_frees_finished_dispatches_of_a_lost_member) {
  fill_all_slots(8);
  const auto report = [this](std::int64_t measured_ms, std::int64_t running, std::int64_t waiting) {
    load_report_event event;
    event.m_backend_server = m_scheduler.status().m_backend_servers[0].m_name;
    event.m_running = running;
    event.m_waiting = waiting;
    event.m_slots = 8;
    event.m_measured = at(measured_ms);
    m_scheduler.handle(event, at(measured_ms));
    tick_and_count_grants(measured_ms);
    return m_scheduler.status().m_backend_servers[0].m_outstanding;
  };
  LONGS_EQUAL(4, report(50, 0, 0)); // no member is lost yet
  m_scheduler.handle(member_lost_event{key(1).m_daemon}, at(100));
  LONGS_EQUAL(4, report(599, 0, 0)); // a permit could still be used
  LONGS_EQUAL(4, report(600, 3, 1));
  LONGS_EQUAL(2, report(700, 1, 1));
  LONGS_EQUAL(2, report(800, -1, 0)); // malformed
  LONGS_EQUAL(0, report(900, 0, 0));
  LONGS_EQUAL(4, m_scheduler.status().m_backend_servers[1].m_outstanding); // this server has not reported
}

// A new cell owner must count the restored dispatches, must not grant a restored request again, must accept a
// request that was refused in an earlier epoch, and must not treat the loaded server as cold.
TEST(event_handling, new_epoch_restores_dispatches) {
  configuration config = make_configuration(1, 4);
  config.m_backend_servers[0].m_cold_limit = 1;
  config.m_services[0].m_queue_limit = 0;
  scheduler::scheduler owner(1);
  owner.apply(config, at(0));
  owner.handle(make_submit(9, "high", 60'000), at(0));
  LONGS_EQUAL(1, refusals_in(owner.tick(at(0))).size());
  owner.reset_requests();
  config.m_services[0].m_queue_limit = 10;
  config.m_revision = 2;
  owner.apply(config, at(1));
  owner.handle(make_submit(1, "high", 60'000), at(1));
  for (std::uint64_t i = 1; i <= 3; ++i) {
    owner.handle(restore_event{make_submit(i, "high", 60'000), "s0"}, at(1));
  }
  owner.handle(make_submit(9, "high", 60'000), at(1));
  LONGS_EQUAL(0, owner.tick(at(1)).size());
  LONGS_EQUAL(3, owner.status().m_backend_servers[0].m_outstanding);
  owner.handle(make_completed(1), at(2));
  const auto grants = grants_in(owner.tick(at(2)));
  LONGS_EQUAL(1, grants.size());
  CHECK(grants[0].m_key == key(9));
}
