#include "fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

TEST_GROUP(placement) {
  scheduler::scheduler m_scheduler{1};

  std::string place(std::uint64_t sequence, const std::vector<std::uint64_t>& blocks) {
    submit_event submitted = make_submit(sequence, "high", 600'000);
    submitted.m_prompt_tokens = 4000;
    submitted.m_prefix_blocks = blocks;
    m_scheduler.handle(submitted, at(0));
    const auto grants = grants_in(m_scheduler.tick(at(0)));
    return grants.empty() ? "" : grants[0].m_backend_server;
  }
  void complete(std::uint64_t sequence, milliseconds total = milliseconds(480)) {
    m_scheduler.handle(started_event{key(sequence)}, at(0));
    completed_event completed = make_completed(sequence);
    completed.m_total_time = total;
    m_scheduler.handle(completed, at(0));
  }
};

// Prompts with the same prefix must go to the server that caches it, to avoid a repeated prefill. After a
// removed block or a gap in the cache events the server must no longer be preferred.
TEST(placement, prefix_affinity_follows_cache_events) {
  m_scheduler.apply(make_configuration(4, 8), at(0));
  const std::string holder = place(1, {1, 2, 3, 4});
  for (std::uint64_t i = 2; i < 6; ++i) {
    CHECK_EQUAL(holder, place(i, {1, 2, 3, 4, 100 + i}));
  }
  m_scheduler.handle(cache_event{holder, 1, false, 1}, at(0));
  CHECK(place(7, {1, 2, 3}) != holder);
  const std::string other = place(8, {50, 51, 52});
  m_scheduler.handle(cache_event{other, 5, true, 60}, at(0));
  m_scheduler.handle(cache_event{other, 9, true, 61}, at(0));
  m_scheduler.handle(cache_event{other, 9, true, 61}, at(0));
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("cache_event_gap"));
  LONGS_EQUAL(1, m_scheduler.rejected_inputs().at("old_cache_event"));
  CHECK(place(9, {50, 51, 52}) != other);
}

// A request must wait for a busy server that caches its prefix instead of repeating the prefill elsewhere,
// but for no more than 3 s.
TEST(placement, request_waits_three_seconds_for_busy_server_with_its_prefix) {
  m_scheduler.apply(make_configuration(2, 1), at(0));
  const std::string holder = place(1, {1, 2, 3, 4});
  complete(1);
  CHECK_EQUAL(holder, place(2, {1, 2, 3, 4}));
  CHECK_EQUAL(std::string(), place(3, {1, 2, 3, 4}));
  CHECK(place(4, {}) != holder);
  complete(4);
  LONGS_EQUAL(0, grants_in(m_scheduler.tick(at(2999))).size());
  LONGS_EQUAL(1, grants_in(m_scheduler.tick(at(3000))).size());
}

// The time to first token of a short prompt is mostly the first decoding step. If it were attributed to the
// prompt tokens, long prompts would be refused because their estimated duration would be far too high.
TEST(placement, short_prompts_do_not_inflate_prefill_estimate) {
  m_scheduler.apply(make_configuration(2, 8), at(0));
  for (std::uint64_t i = 1; i <= 20; ++i) {
    auto submitted = make_submit(i, "high", 60'000);
    submitted.m_prompt_tokens = 2;
    m_scheduler.handle(submitted, at(0));
    m_scheduler.tick(at(0));
    auto completed = make_completed(i);
    completed.m_prompt_tokens = 2;
    completed.m_time_to_first_token = milliseconds(30);
    m_scheduler.handle(completed, at(0));
  }
  auto large = make_submit(21, "high", 600'000);
  large.m_prompt_tokens = 1'000'000;
  m_scheduler.handle(large, at(1));
  LONGS_EQUAL(1, grants_in(m_scheduler.tick(at(1))).size());
}

// The speed measured on a server must take precedence over the speed that the server reports.
TEST(placement, observed_speed_takes_precedence_over_reported_speed) {
  m_scheduler.apply(make_configuration(2, 8), at(0));
  for (const char* name : {"s0", "s1"}) {
    m_scheduler.handle(
        load_report_event{name, "b", reported_state::warm, 0, 0, 8, name[1] == '0' ? 900.0 : 10.0, at(0)},
        at(0));
  }
  CHECK_EQUAL(std::string("s0"), place(1, {}));
  complete(1, seconds(60));
  CHECK_EQUAL(std::string("s1"), place(2, {}));
}

// Long requests must not occupy all slots while short ones wait. The cap on long requests must not leave
// slots idle.
TEST(placement, long_request_share_applies_only_while_short_requests_wait) {
  m_scheduler.apply(make_configuration(1, 4), at(0));
  for (std::uint64_t i = 1; i <= 4; ++i) {
    submit_event submitted = make_submit(i, "high", 600'000);
    submitted.m_prompt_tokens = 3000;
    m_scheduler.handle(submitted, at(0));
  }
  m_scheduler.handle(make_submit(5, "high", 700'000), at(0));
  const auto grants = grants_in(m_scheduler.tick(at(0)));
  LONGS_EQUAL(4, grants.size());
  LONGS_EQUAL(1,
              std::count_if(grants.begin(), grants.end(), [](const grant& g) { return g.m_key == key(5); }));
}

// A cancelled request must not be granted. The slot of a dispatched request must stay occupied until the end
// of the request is confirmed.
TEST(placement, cancel_frees_the_slot_only_when_confirmed) {
  m_scheduler.apply(make_configuration(1, 1), at(0));
  place(1, {});
  CHECK_EQUAL(std::string(), place(2, {}));
  m_scheduler.handle(cancel_event{key(2)}, at(0));
  m_scheduler.handle(cancel_event{key(1)}, at(0));
  CHECK_EQUAL(std::string(), place(3, {}));
  m_scheduler.handle(started_event{key(1)}, at(0));
  m_scheduler.handle(make_completed(1, outcome::cancelled), at(0));
  const auto grants = grants_in(m_scheduler.tick(at(0)));
  LONGS_EQUAL(1, grants.size());
  CHECK(grants[0].m_key == key(3));
}
