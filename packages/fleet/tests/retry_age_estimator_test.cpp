#include "cardamompond/fleet/retry_age_estimator.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

TEST_GROUP(retry_age_estimator) {
  retry_age_estimator ages;
  time_point now{seconds(100)};

  std::int64_t age_ms(milliseconds time_left, std::string_view route = "guide") {
    return std::chrono::duration_cast<milliseconds>(ages.record_attempt(route, time_left, now)).count();
  }
};

// Guards against retries that are mistaken for first attempts and served before requests whose response can
// still be on time.
TEST(retry_age_estimator, an_attempt_with_much_less_time_left_is_a_retry) {
  LONGS_EQUAL(0, age_ms(milliseconds(15'000)));
  LONGS_EQUAL(0, age_ms(milliseconds(12'800))); // the times of first attempts differ
  LONGS_EQUAL(6'000, age_ms(milliseconds(9'000)));
  LONGS_EQUAL(0, age_ms(milliseconds(3'000), "sort"));
}

// Guards against first attempts being taken for retries permanently after the callers of a route shorten
// their timeouts.
TEST(retry_age_estimator, longest_times_expire) {
  LONGS_EQUAL(0, age_ms(milliseconds(15'000)));
  now += seconds(21);
  LONGS_EQUAL(10'000, age_ms(milliseconds(5'000)));
  now += seconds(21);
  LONGS_EQUAL(0, age_ms(milliseconds(5'000)));
  now += seconds(60);
  LONGS_EQUAL(0, age_ms(milliseconds(2'000)));
}
