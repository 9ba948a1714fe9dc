#include "cardamompond/fleet/group_clock.hpp"
#include "cardamompond/fleet/usage_windows.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr std::uint32_t account = 7;

std::uint64_t sum_of(const usage_windows& windows, std::int64_t window) {
  const auto sums = windows.sums(window);
  const auto found = sums.find(account);
  return found == sums.end() ? 0 : found->second;
}

} // namespace

TEST_GROUP(usage_windows) {
  usage_windows windows{usage_source{1, 1}};
  time_point now{seconds(100)};
  void setup() override {
    windows.set_range(10, 20);
  }
};

// Guards against counts that are added twice because a statement arrives again, late, or by two ways.
TEST(usage_windows, repeated_and_late_statements_change_nothing) {
  windows.merge({{2, 5}, {{12, account, 9}}});
  windows.merge({{2, 5}, {{12, account, 4}}});
  windows.merge({{2, 5}, {{12, account, 9}}});
  LONGS_EQUAL(9, sum_of(windows, 12));
}

// Guards against losing the counts of a daemon that restarts inside a window, whose totals begin at zero
// again.
TEST(usage_windows, a_restart_adds_to_the_window) {
  windows.merge({{2, 5}, {{12, account, 9}}});
  windows.merge({{2, 6}, {{12, account, 3}}});
  windows.record(12, account, now);
  LONGS_EQUAL(13, sum_of(windows, 12));
}

// Guards against an own total that comes back from a collector and is counted twice.
TEST(usage_windows, own_statements_are_not_merged) {
  windows.record(12, account, now);
  windows.merge({{1, 1}, {{12, account, 1}}});
  LONGS_EQUAL(1, sum_of(windows, 12));
}

// Guards against memory that grows with forged or outdated windows.
TEST(usage_windows, windows_outside_the_range_are_dropped) {
  windows.merge({{2, 5}, {{9, account, 1}, {21, account, 1}, {11, account, 1}}});
  LONGS_EQUAL(11, *windows.first_window());
  windows.set_range(12, 22);
  CHECK_FALSE(windows.first_window().has_value());
}

// Guards against requests of a killed daemon that nobody else knows: what changed is stated again until the
// collectors surely have it, and everything recent for new collectors.
TEST(usage_windows, statements_contain_recent_changes_or_recent_windows) {
  windows.record(11, account, now);
  windows.record(12, account, now + seconds(5));
  LONGS_EQUAL(1, windows.own_counts(now + seconds(4), 30).size());
  LONGS_EQUAL(2, windows.own_counts(now + seconds(9), 11).size());
  LONGS_EQUAL(0, windows.own_counts(now + seconds(9), 30).size());
}

TEST_GROUP(group_clock){};

// Guards against requests that are counted in the wrong window because the clocks of some hosts jump.
TEST(group_clock, a_minority_of_wrong_clocks_does_no_harm) {
  group_clock clock;
  clock.record("a", seconds(1'000), duration::zero());
  clock.record("b", seconds(1'000) + milliseconds(20), duration::zero());
  clock.record("c", seconds(90'000), duration::zero());
  LONGS_EQUAL(1'000, std::chrono::duration_cast<seconds>(clock.median_offset(duration::zero())).count());
  clock.record("b", seconds(-3'000), seconds(4));
  clock.record("b", seconds(-3'000), seconds(8));
  clock.record("d", seconds(1'000), seconds(8));
  LONGS_EQUAL(1'000, std::chrono::duration_cast<seconds>(clock.median_offset(seconds(1'000))).count());
}

// Guards against windows of usage that begin late because most reports of a burst wait on their way.
TEST(group_clock, reports_that_arrive_late_do_not_put_the_clock_back) {
  group_clock clock;
  for (int round = 0; round < 20; ++round) {
    const duration now = milliseconds(200) * round;
    for (int peer = 0; peer < 5; ++peer) {
      const duration delay = round % 5 == peer ? duration::zero() : duration(milliseconds(1'000));
      clock.record(std::to_string(peer), seconds(1'000) - delay, now);
    }
  }
  LONGS_EQUAL(1'000'000,
              std::chrono::duration_cast<milliseconds>(clock.median_offset(seconds(1'000))).count());
}
