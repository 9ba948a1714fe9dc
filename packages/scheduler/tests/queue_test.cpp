#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(queue){};

// A request of a lower tier must not be granted while a request of a higher tier waits.
TEST(queue, higher_tier_is_granted_first) {
  scheduler::scheduler cell_scheduler(1);
  cell_scheduler.apply(make_configuration(1, 1), at(0));
  cell_scheduler.handle(make_submit(1, "low", 60'000), at(0));
  cell_scheduler.handle(make_submit(2, "high", 60'000), at(0));
  const auto first = grants_in(cell_scheduler.tick(at(0)));
  LONGS_EQUAL(1, first.size());
  CHECK(first[0].m_key == key(2));
  cell_scheduler.handle(started_event{key(2)}, at(1));
  cell_scheduler.handle(make_completed(2), at(500));
  const auto second = grants_in(cell_scheduler.tick(at(500)));
  LONGS_EQUAL(1, second.size());
  CHECK(second[0].m_key == key(1));
}

// Retransmitted submissions must not lead to a second dispatch of the same request.
TEST(queue, repeated_submission_is_granted_once) {
  scheduler::scheduler cell_scheduler(1);
  cell_scheduler.apply(make_configuration(1, 4), at(0));
  cell_scheduler.handle(make_submit(1, "high", 60'000), at(0));
  LONGS_EQUAL(1, grants_in(cell_scheduler.tick(at(0))).size());
  cell_scheduler.handle(make_submit(1, "high", 60'000), at(1));
  cell_scheduler.handle(started_event{key(1)}, at(1));
  cell_scheduler.handle(make_submit(1, "high", 60'000), at(1));
  cell_scheduler.handle(make_completed(1), at(500));
  cell_scheduler.handle(make_submit(1, "high", 60'000), at(501));
  LONGS_EQUAL(0, cell_scheduler.tick(at(501)).size());
  LONGS_EQUAL(3, cell_scheduler.rejected_inputs().at("duplicate_submit"));
}
