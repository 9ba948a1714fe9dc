#include "cardamompond/fleet/return_planner.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::fleet;

TEST_GROUP(return_planner) {
  // A zone whose servers take 40 requests of this work per second. 20 come, and 120 in the last half second.
  static constexpr double work_ms = 500;
  std::mt19937_64 m_random{5};
  time_point m_now{seconds(100)};
  zone_load m_load;
  return_planner m_planner;

  void run(duration length, int arrivals_per_s, int grants_per_s, bool waiting) {
    const time_point end = m_now + length;
    for (int i = 1; m_now < end; ++i) {
      m_now += milliseconds(100);
      for (int j = 0; j < arrivals_per_s / 10; ++j) {
        m_load.record_arrival(0, work_ms, m_now);
      }
      for (int j = 0; j < grants_per_s / 10; ++j) {
        m_load.record_grant(0, work_ms, m_now);
      }
      m_load.set_own_waiting({waiting ? 2'000U : 0U}, m_now);
    }
  }

  void setup() override {
    run(seconds(60), 20, 20, false);
    run(milliseconds(4'000), 60, 40, true);
  }

  std::vector<duration> plan(int callers, duration limit, std::size_t daemons) {
    std::vector<duration> times;
    for (int i = 0; i < callers; ++i) {
      times.push_back(m_planner.plan({work_ms, limit}, m_load, daemons, m_random, m_now));
    }
    return times;
  }
};

// Guards against callers that are refused in a burst and all return at the same time: not more may be told to
// return in any second than the servers can take beside the other requests.
TEST(return_planner, callers_of_a_burst_return_spread_over_the_predicted_room) {
  const auto times = plan(200, seconds(5), 1);
  for (int second = 0; second < 5; ++second) {
    const auto returning = std::count_if(times.begin(), times.end(), [&](duration each) {
      return each >= seconds(second) && each < seconds(second + 1);
    });
    CHECK(returning <= 40);
  }
  // While the burst lasts nobody may return at once.
  CHECK(std::none_of(times.begin(), times.end(), [](duration each) { return each < milliseconds(400); }));
  CHECK(std::any_of(times.begin(), times.end(), [](duration each) { return each < seconds(5); }));
}

// Guards against 23 daemons that each promise the whole room of the zone.
TEST(return_planner, the_room_is_divided_among_the_daemons) {
  const auto all = plan(200, seconds(7), 1);
  m_planner = {};
  const auto own_share = plan(200, seconds(7), 23);
  const auto in_room = [](const std::vector<duration>& times) {
    return std::count_if(times.begin(), times.end(), [](duration each) { return each < seconds(7); });
  };
  CHECK(in_room(own_share) > 0);
  CHECK(in_room(own_share) <= in_room(all) / 23 + 1);
}

// Guards against a caller that is told a time after which it no longer returns, and against promises that
// are never forgotten.
TEST(return_planner, without_room_the_limit_is_stated_and_promises_expire) {
  const auto short_limit = plan(3, milliseconds(100), 1);
  CHECK(std::all_of(short_limit.begin(), short_limit.end(),
                    [](duration each) { return each == milliseconds(100); }));
  plan(1'000, seconds(5), 1);
  CHECK(plan(1, seconds(5), 1).front() == seconds(5));
  run(seconds(8), 20, 20, false);
  CHECK(plan(1, seconds(5), 1).front() < seconds(1));
}
