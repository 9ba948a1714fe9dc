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
// servers that crashed. Reports of other daemons that predate the response must not restore the suspicion.
TEST(crash_register, a_response_clears_the_content_despite_older_reports) {
  crash_register crashes;
  crashes.record_broken_connection(content, 1, start);
  crashes.record_broken_connection(content, 2, start);
  const auto reported = crashes.recent(10, start);
  crashes.record_response(content, start);
  crashes.merge(reported.front(), start + seconds(1));
  crashes.record_broken_connection(content, 3, start + seconds(1));
  CHECK_FALSE(crashes.is_refused(content, start + seconds(1)));
}

// Guards against a content that crashes servers again and again once its refusal has run out, because the
// servers start again under the ids that they had.
TEST(crash_register, a_crash_of_a_known_server_refuses_the_content_again) {
  crash_register crashes;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    crashes.record_broken_connection(content, server, start);
  }
  time_point now = start;
  for (int i = 0; i < 3; ++i) {
    now += seconds(61);
    CHECK_FALSE(crashes.is_refused(content, now));
    crashes.record_broken_connection(content, 2, now);
    CHECK(crashes.is_refused(content, now + seconds(59)));
  }
}

// Guards against daemons that each let the content through after its refusal, although one of them has seen
// it crash a server again.
TEST(crash_register, a_repeated_crash_reaches_other_daemons) {
  crash_register one;
  crash_register other;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    one.record_broken_connection(content, server, start);
  }
  other.merge(one.recent(10, start).front(), start);
  const time_point later = start + seconds(61);
  CHECK_FALSE(other.is_refused(content, later));
  one.record_broken_connection(content, 1, later);
  const auto reported = one.recent(10, later + seconds(1));
  UNSIGNED_LONGS_EQUAL(1, reported.size());
  other.merge(reported.front(), later + seconds(1));
  CHECK(other.is_refused(content, later + seconds(2)));
}

// Guards against a refusal that never ends because daemons tell each other of the same crashes, each time a
// little later or, in an older version, without their age.
TEST(crash_register, repeated_reports_do_not_prolong_a_refusal) {
  for (const bool states_age : {true, false}) {
    crash_register one;
    crash_register other;
    for (std::uint64_t server = 1; server <= 3; ++server) {
      one.record_broken_connection(content, server, start);
    }
    time_point now = start;
    while (now < start + seconds(70)) {
      for (auto [from, to] : {std::pair(&one, &other), std::pair(&other, &one)}) {
        for (auto each : from->recent(10, now)) {
          each.m_age = states_age ? each.m_age : std::nullopt;
          now += milliseconds(50);
          to->merge(each, now);
        }
      }
      now += milliseconds(50);
    }
    CHECK_FALSE(one.is_refused(content, now));
    CHECK_FALSE(other.is_refused(content, now));
  }
}
