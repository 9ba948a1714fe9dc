#include "cardamompond/fleet/server_capacity.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <random>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr std::uint32_t slots = 9;

} // namespace

// A server with seeded arrivals: 20 observations a second, and a number of running requests that moves
// between one and the limit.
TEST_GROUP(server_capacity) {
  server_capacity capacity;
  time_point now{seconds(100)};
  std::mt19937 random{7};
  std::uint32_t running = 1;

  void setup() override {
    capacity.set_slots(slots);
  }

  std::uint32_t limit() {
    return capacity.learned_limit(now).value_or(slots);
  }

  // Runs the server for a time. `step_s` is the time of one step by the number of running requests. Returns
  // the smallest limit in this time.
  std::uint32_t run(duration length, const std::function<double(std::uint32_t)>& step_s,
                    std::uint32_t least_running = 1) {
    std::uint32_t smallest = slots;
    for (const time_point end = now + length; now < end; now += milliseconds(50)) {
      const int change = std::uniform_int_distribution<int>(-2, 3)(random);
      running = static_cast<std::uint32_t>(std::clamp<int>(
          static_cast<int>(running) + change, static_cast<int>(least_running), static_cast<int>(limit())));
      const double noise = std::lognormal_distribution<double>(0, 0.2)(random);
      capacity.record(running, step_s(running) * noise, now);
      smallest = std::min(smallest, limit());
    }
    return smallest;
  }
};

// Guards against slots that stay empty on engines whose step time hardly depends on the running requests.
TEST(server_capacity, a_server_that_does_not_slow_down_uses_all_slots) {
  const auto smallest = run(seconds(60), [](std::uint32_t n) { return 0.04 * (1 + 0.02 * n); });
  UNSIGNED_LONGS_EQUAL(slots, smallest);
}

// Guards against requests on a server beyond the number from which it only slows down, whether its
// throughput then stays the same or falls.
TEST(server_capacity, a_server_that_slows_at_half_its_slots_is_limited) {
  run(seconds(15), [](std::uint32_t n) { return n <= 4 ? 0.04 : 0.04 * n / 4.0; });
  CHECK(limit() >= 3 && limit() <= 5);
  capacity = {};
  capacity.set_slots(slots);
  run(seconds(3), [](std::uint32_t n) { return n <= 4 ? 0.04 : 0.04 * n * n / 16.0; });
  CHECK(limit() >= 3 && limit() <= 5);
  // It is found again after the server has been changed to handle all its slots.
  run(seconds(60), [](std::uint32_t) { return 0.04; });
  UNSIGNED_LONGS_EQUAL(slots, limit());
}

// Guards against a limit that collapses because the machine has become slow at every number of requests, and
// against one that is wrong after it has recovered.
TEST(server_capacity, a_slow_machine_keeps_its_limit) {
  const auto usual = [](std::uint32_t) { return 0.04; };
  const auto slow = [](std::uint32_t) { return 0.2; };
  run(seconds(10), usual);
  UNSIGNED_LONGS_EQUAL(slots, run(seconds(10), slow, 7));
  UNSIGNED_LONGS_EQUAL(slots, run(seconds(10), usual, 1));
}

// Guards against a limit that follows the load of a neighbour on the same machine for 0.6 s.
TEST(server_capacity, a_disturbance_of_a_moment_does_not_change_the_limit) {
  run(seconds(10), [](std::uint32_t) { return 0.04; });
  for (int i = 0; i < 20; ++i) {
    UNSIGNED_LONGS_EQUAL(slots, run(milliseconds(600), [](std::uint32_t) { return 0.1; }));
    UNSIGNED_LONGS_EQUAL(slots, run(seconds(3), [](std::uint32_t) { return 0.04; }));
  }
}

// Guards against limits that collapse when the load makes all servers slow at once: the step time rises with
// the load of the whole service.
TEST(server_capacity, a_slow_service_keeps_its_limits) {
  run(seconds(10), [](std::uint32_t) { return 0.04; });
  for (int i = 0; i < 5; ++i) {
    UNSIGNED_LONGS_EQUAL(slots, run(
                                    seconds(5), [](std::uint32_t) { return 0.16; }, 8));
    UNSIGNED_LONGS_EQUAL(slots, run(
                                    seconds(5), [](std::uint32_t) { return 0.04; }, 1));
  }
}

// Guards against evidence of an earlier process, and against values that cannot be times.
TEST(server_capacity, evidence_ends_with_the_slots_and_invalid_times_are_ignored) {
  CHECK_FALSE(capacity.learned_limit(now).has_value());
  DOUBLES_EQUAL(1, capacity.relative_time(3, now), 0);
  run(seconds(5), [](std::uint32_t n) { return n <= 4 ? 0.04 : 0.04 * n * n / 16.0; });
  CHECK(capacity.relative_time(9, now) > capacity.relative_time(3, now));
  for (const double invalid : {0.0, -1.0, std::numeric_limits<double>::infinity()}) {
    capacity.record(9, invalid, now);
  }
  CHECK(limit() < slots);
  capacity.set_slots(12);
  CHECK_FALSE(capacity.learned_limit(now).has_value());
  server_capacity without_slots;
  without_slots.record(1, 1, now);
  CHECK_FALSE(without_slots.learned_limit(now).has_value());
}
