#include "cardamompond/fleet/capacity_planner.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

const engine_group group{"chat", "a"};
constexpr double slots = 9;
constexpr duration boot_time = seconds(8);
constexpr duration step = milliseconds(500);

// What a simulated run of one engine group saw.
struct run_result {
  int m_orders = 0;
  int m_full_steps = 0; // steps in which more requests wanted to run than there were slots
  std::uint32_t m_highest = 0;
  std::uint32_t m_last = 0;
};

// Plays a load, given as the mean number of requests that want to run, against engines that serve a boot time
// after their order and go at once.
run_result play(std::uint32_t engines, std::uint32_t min, std::uint32_t max, duration length,
                const std::function<double(duration)>& load) {
  capacity_planner planner;
  std::mt19937_64 random(42);
  std::deque<std::pair<time_point, std::uint32_t>> booting;
  std::uint32_t serving = engines;
  run_result result;
  const time_point start{seconds(100)};
  for (time_point now = start; now < start + length; now += step) {
    while (!booting.empty() && booting.front().first <= now) {
      serving = std::max(serving, booting.front().second);
      booting.pop_front();
    }
    std::poisson_distribution<int> noise(load(now - start));
    const double wanted = noise(random);
    const double running = std::min(wanted, serving * slots);
    result.m_full_steps += wanted > serving * slots ? 1 : 0;
    planner.observe(group, {running, serving, slots, min, max, boot_time}, now);
    if (const auto ordered = planner.decide(group, now)) {
      ++result.m_orders;
      CHECK(*ordered >= min && *ordered <= max);
      CHECK(*ordered * slots >= running);
      if (*ordered > serving) {
        booting.emplace_back(now + boot_time, *ordered);
      } else {
        serving = *ordered;
        booting.clear();
      }
      planner.record_order(group, *ordered, now);
    }
    result.m_highest = std::max(result.m_highest, serving);
  }
  result.m_last = serving;
  return result;
}

} // namespace

TEST_GROUP(capacity_planner){};

// Guards against orders that go up and down with the noise of a steady load.
TEST(capacity_planner, a_steady_load_needs_no_orders) {
  const auto result = play(40, 10, 90, seconds(300), [](duration) { return 40 * slots * 0.53; });
  LONGS_EQUAL(0, result.m_orders);
}

// Guards against engines that serve only after the burst is over that they were ordered for: bursts of 2.5
// and 5 s to twice the load, every 20 s.
TEST(capacity_planner, short_bursts_need_no_orders) {
  const auto result = play(40, 10, 90, seconds(300), [](duration at) {
    const duration phase = at % seconds(20);
    const bool burst = phase < milliseconds(2'500) || (phase >= seconds(10) && phase < seconds(15));
    return 40 * slots * (burst ? 0.95 : 0.53);
  });
  LONGS_EQUAL(0, result.m_orders);
}

// Guards against requests that find no room for longer than the boot time and the time to recognise the
// growth take: a load that doubles within 20 s.
TEST(capacity_planner, a_growing_load_is_followed) {
  const auto result = play(40, 10, 94, seconds(120), [](duration at) {
    return 40 * slots * 0.5 *
           (1 + std::clamp(static_cast<double>(at / milliseconds(1)) / 20'000 - 1, 0.0, 1.0));
  });
  CHECK(result.m_full_steps <= 16);
  CHECK(result.m_last >= 50);
  CHECK(result.m_orders <= 2);
}

// Guards against an overload that is never recognised because only what has room can run: a sudden load of
// three times the slots.
TEST(capacity_planner, full_engines_are_added_to_until_they_are_not_full) {
  const auto result = play(20, 10, 120, seconds(60), [](duration) { return 60 * slots; });
  CHECK(result.m_last > 60);
}

// Guards against a list of servers that is read in parts, whose first part looks full.
TEST(capacity_planner, a_list_that_still_grows_is_not_full) {
  capacity_planner planner;
  time_point now{seconds(100)};
  for (int i = 0; i < 40; ++i, now += step) {
    const auto listed = static_cast<std::uint32_t>(std::min(20, 6 + i * 2));
    planner.observe(group, {110, listed, slots, 8, 30, boot_time}, now);
    CHECK_FALSE(planner.decide(group, now).has_value());
  }
  LONGS_EQUAL(20, planner.engines_in_force(group));
}

// Guards against paying for engines that are not needed, and against taking so many away that the next peak
// finds no room: after a peak the number shrinks slowly, down to half occupancy.
TEST(capacity_planner, the_number_shrinks_slowly_after_a_peak) {
  const auto load = [](duration at) { return at < seconds(20) ? 60 * slots * 0.6 : 20 * slots * 0.5; };
  const auto early = play(60, 10, 90, seconds(36), load);
  CHECK(early.m_last >= 55); // what the peak needs at 65% of the slots
  const auto late = play(60, 10, 90, seconds(300), load);
  CHECK(late.m_last >= 18 && late.m_last <= 27);
  LONGS_EQUAL(0, late.m_full_steps);
}

// Guards against a successor that takes engines away, or orders again, before it has seen the load.
TEST(capacity_planner, a_new_holder_waits_before_it_lowers_the_number) {
  const auto result = play(60, 10, 90, seconds(20), [](duration) { return 5.0; });
  LONGS_EQUAL(0, result.m_orders);
}

// Guards against numbers outside the declared bounds.
TEST(capacity_planner, the_bounds_hold) {
  LONGS_EQUAL(39, play(60, 39, 94, seconds(600), [](duration) { return 0.5; }).m_last);
  LONGS_EQUAL(70, play(60, 39, 70, seconds(60), [](duration) { return 200 * slots; }).m_last);
}
