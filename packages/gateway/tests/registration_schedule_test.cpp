#include "cardamompond/gateway/registration_schedule.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(registration_schedule) {
  time_point start{seconds(10)};
};

// Guards against a group whose daemons all write to the store at once, again and again, after it came back
// from a copy without their entries: 195 daemons, each writes once, at most 65 in half a second.
TEST(registration_schedule, a_group_writes_lost_entries_in_turns) {
  constexpr std::size_t daemons = 195;
  struct daemon {
    registration_schedule m_schedule;
    std::vector<time_point> m_writes;
  };
  std::vector<daemon> group(daemons);
  for (auto& each : group) {
    CHECK_FALSE(each.m_schedule.is_due(true, 0, start));
  }
  for (duration round{}; round < seconds(5); round += milliseconds(500)) {
    int writes_in_round = 0;
    for (std::size_t i = 0; i < daemons; ++i) {
      auto& [schedule, writes] = group[i];
      const time_point now = start + round + milliseconds(2) * static_cast<std::int64_t>(i);
      // Entries appear in the copies of the list 1.5 s after they were written.
      const bool listed = !writes.empty() && now >= writes.front() + milliseconds(1'500);
      if (schedule.is_due(listed, i, now)) {
        schedule.record_write(now);
        writes.push_back(now);
        ++writes_in_round;
      }
    }
    CHECK(writes_in_round <= 65);
  }
  CHECK(
      std::all_of(group.begin(), group.end(), [](const daemon& each) { return each.m_writes.size() == 1; }));
}

// Guards against a daemon that starts and waits for a turn, or that does not write again after its entry has
// not appeared.
TEST(registration_schedule, a_new_daemon_registers_at_once_and_again_if_necessary) {
  registration_schedule schedule;
  CHECK(schedule.is_due(false, 100, start));
  CHECK_FALSE(schedule.is_lost());
  schedule.record_write(start);
  CHECK_FALSE(schedule.is_due(false, 100, start + seconds(1)));
  CHECK(schedule.is_due(false, 100, start + seconds(2)));
}
