#include "cardamompond/fleet/crash_register.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

const hash128 content{1, 2};
const time_point start{seconds(10)};

} // namespace

TEST_GROUP(crash_register){};

// Guards against a request that goes on crashing one server after the other.
TEST(crash_register, refuses_what_broke_on_three_servers) {
  crash_register seen;
  seen.record_broken_connection(content, 1, start);
  seen.record_broken_connection(content, 1, start);
  seen.record_broken_connection(content, 2, start);
  CHECK_FALSE(seen.is_refused(content, start));
  seen.record_broken_connection(content, 3, start);
  CHECK(seen.is_refused(content, start));
  CHECK_FALSE(seen.is_refused(content, start + seconds(61)));
}

// Guards against breaks at different daemons that are never added up.
TEST(crash_register, adds_up_what_other_daemons_saw) {
  crash_register one;
  crash_register other;
  one.record_broken_connection(content, 1, start);
  one.record_broken_connection(content, 2, start);
  other.record_broken_connection(content, 3, start);
  for (const auto& each : one.recent(10, start)) {
    other.merge(each, start);
  }
  CHECK(other.is_refused(content, start));
}

// Guards against innocent contents, such as plain reads, that stay suspected for ever.
TEST(crash_register, an_answer_clears_the_content_also_against_late_reports) {
  crash_register seen;
  seen.record_broken_connection(content, 1, start);
  seen.record_broken_connection(content, 2, start);
  const auto reported = seen.recent(10, start);
  seen.record_answer(content, start);
  seen.merge(reported.front(), start + seconds(1));
  seen.record_broken_connection(content, 3, start + seconds(1));
  CHECK_FALSE(seen.is_refused(content, start + seconds(1)));
}
