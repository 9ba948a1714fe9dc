#include "cardamompond/fleet/attempt_ages.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

TEST_GROUP(attempt_ages) {
  attempt_ages ages;
  time_point now{seconds(100)};

  std::int64_t age_ms(milliseconds time_left, std::string_view route = "guide") {
    return std::chrono::duration_cast<milliseconds>(ages.note(route, time_left, now)).count();
  }
};

// Guards against repetitions that are served before requests whose answer can still be on time.
TEST(attempt_ages, an_attempt_with_much_less_time_was_sent_before) {
  LONGS_EQUAL(0, age_ms(milliseconds(15'000)));
  LONGS_EQUAL(0, age_ms(milliseconds(12'800))); // callers' own times differ
  LONGS_EQUAL(6'000, age_ms(milliseconds(9'000)));
  LONGS_EQUAL(0, age_ms(milliseconds(3'000), "sort"));
}

// Guards against a route whose callers state less time from now on being taken for repetitions for ever.
TEST(attempt_ages, longest_times_are_forgotten) {
  LONGS_EQUAL(0, age_ms(milliseconds(15'000)));
  now += seconds(21);
  LONGS_EQUAL(10'000, age_ms(milliseconds(5'000)));
  now += seconds(21);
  LONGS_EQUAL(0, age_ms(milliseconds(5'000)));
  now += seconds(60);
  LONGS_EQUAL(0, age_ms(milliseconds(2'000)));
}
