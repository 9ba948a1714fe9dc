#include "cardamompond/fleet/crash_register.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

const hash128 content{1, 2};
const time_point start{seconds(10)};

} // namespace

TEST_GROUP(crash_register){};

// Guards against a request that crashes one server after the other because it is sent again each time.
TEST(crash_register, content_that_crashed_three_servers_is_refused) {
  crash_register crashes;
  crashes.record_broken_connection(content, 1, start);
  crashes.record_broken_connection(content, 1, start);
  crashes.record_broken_connection(content, 2, start);
  CHECK_FALSE(crashes.is_refused(content, start));
  crashes.record_broken_connection(content, 3, start);
  CHECK(crashes.is_refused(content, start));
  CHECK_FALSE(crashes.is_refused(content, start + seconds(61)));
}

// Guards against crashes that are spread over several daemons so that none of them sees enough of them.
TEST(crash_register, crashes_seen_by_other_daemons_are_counted) {
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

// Guards against harmless contents, such as common reads, that stay suspected because they happened to run on
// servers that crashed. Reports of other daemons that predate the answer must not restore the suspicion.
TEST(crash_register, an_answer_clears_the_content_despite_older_reports) {
  crash_register crashes;
  crashes.record_broken_connection(content, 1, start);
  crashes.record_broken_connection(content, 2, start);
  const auto reported = crashes.recent(10, start);
  crashes.record_response(content, start);
  crashes.merge(reported.front(), start + seconds(1));
  crashes.record_broken_connection(content, 3, start + seconds(1));
  CHECK_FALSE(crashes.is_refused(content, start + seconds(1)));
}
