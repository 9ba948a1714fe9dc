#include "cardamompond/cell/claim_sweeper.hpp"
#include "cardamompond/cell/object_claim_store.hpp"
#include "cardamompond/core/memory_object_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

constexpr std::int64_t start_ms = 1'800'000'000'000;
constexpr std::int64_t day_ms = 24LL * 3600 * 1000;

claim_request request(const std::string& key, std::uint64_t body = 1) {
  return {"orders", "acme", key, {0, body}};
}

} // namespace

TEST_GROUP(claims) {
  memory_object_store m_platform;
  std::uint64_t m_random = 0;
  std::int64_t m_wall_ms = start_ms;
  object_claim_store m_claims{
      m_platform, {"d1"}, [this] { return ++m_random; }, [this] { return m_wall_ms; }};

  claim_ticket claimed(const std::string& key) {
    return std::get<claim_ticket>(m_claims.claim(request(key)));
  }
  error_code refused(const claim_request& asked) {
    return std::get<request_error>(m_claims.claim(asked)).m_code;
  }
};

// Guards against recorded answers that change when replayed: bodies may contain any bytes, and an answer
// whose body is over the limit must keep its status.
TEST(claims, recorded_answers_are_replayed) {
  std::string bytes("\0\xff\"\n", 4);
  for (std::size_t size = 4; size < 8; ++size, bytes += 'x') {
    const auto key = std::to_string(size);
    CHECK(m_claims.record(claimed(key), {201, "text/\xff", bytes, true}).has_value());
    const auto response = std::get<recorded_response>(m_claims.claim(request(key)));
    LONGS_EQUAL(201, response.m_status);
    CHECK(response.m_body == bytes && response.m_complete);
    STRCMP_EQUAL("application/octet-stream", response.m_content_type.c_str());
  }
  CHECK(m_claims.record(claimed("big"), {200, "a", std::string(max_recorded_body_bytes + 1, 'x'), true})
            .has_value());
  const auto big = std::get<recorded_response>(m_claims.claim(request("big")));
  CHECK(big.m_status == 200 && big.m_body.empty() && !big.m_complete);
}

// Guards against an answer that overwrites the claim of another request, which can happen when a claim was
// deleted and a retry has claimed the same key.
TEST(claims, an_answer_is_not_recorded_into_another_claim) {
  const auto old = claimed("k");
  CHECK(m_platform.erase(old.m_key, old.m_version, milliseconds(1)).has_value());
  claimed("k");
  CHECK_FALSE(m_claims.record(old, {200, "t", "late", true}).has_value());
  m_claims.release(old);
  CHECK(refused(request("k")) == error_code::in_progress);
}

// Guards against two requests that share a key although they differ in account, service or idempotency key.
TEST(claims, distinct_requests_have_distinct_keys) {
  CHECK(claim_key({"s", "ab", "c", {}}) != claim_key({"s", "a", "bc", {}}));
  CHECK(claim_key({"s", "a", "1:b", {}}) != claim_key({"s", "a1:", "b", {}}));
}

// Guards against refusals with a wrong code. A claim that cannot be decoded must be reported as in progress,
// because its request may have run.
TEST(claims, refusals_have_the_stated_codes) {
  claimed("k");
  CHECK(refused(request("k")) == error_code::in_progress);
  CHECK(refused(request("k", 2)) == error_code::key_reused);
  CHECK(m_platform.put(claim_key(request("x")), "{}", 0, milliseconds(1)).has_value());
  CHECK(refused(request("x")) == error_code::in_progress);
  m_platform.set_outage(true);
  CHECK(refused(request("y")) == error_code::claims_unavailable);
}

// Guards against accepting malformed claims, which other versions of the daemon may have written.
TEST(claims, malformed_claims_are_not_decoded) {
  const std::string good =
      encode(stored_claim{{1, 2}, {3, 4}, "d", 5, recorded_response{200, "t", "body", true}});
  CHECK(decode_claim(good).has_value());
  for (const auto& [from, to] : {std::pair("answered", "claimed"),
                                 {"Ym9keQ==", "Ym9keQ="},
                                 {"200", "99"},
                                 {"\"claimant\"", "\"x\""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), std::string(from).size(), to);
    CHECK_FALSE(decode_claim(bad).has_value());
  }
}

// Guards against a sweeper that exceeds its rate of platform calls, deletes young claims, or stops at claims
// that were rewritten or cannot be decoded.
TEST(claims, the_sweeper_deletes_old_claims_at_a_bounded_rate) {
  for (int i = 0; i < 50; ++i) {
    claimed("old" + std::to_string(i));
  }
  CHECK(m_platform.put("claims/orders/bad", "?", 0, milliseconds(1)).has_value());
  m_wall_ms += day_ms / 2;
  claimed("young");
  m_wall_ms += day_ms / 2 + 1;
  claim_sweeper sweeper(m_platform);
  const auto calls = [&] { return m_platform.read_count() + m_platform.write_count(); };
  const auto before = calls();
  std::size_t deleted = 0;
  time_point now{};
  for (int second = 0; second < 30; ++second, now += seconds(1)) {
    deleted += sweeper.sweep(now, m_wall_ms);
    CHECK(calls() - before <= 2 + 5 * static_cast<std::uint64_t>(second));
  }
  LONGS_EQUAL(50, deleted);
  LONGS_EQUAL(2, m_platform.list("claims/", milliseconds(1))->size());
  now += seconds(600);
  m_wall_ms += day_ms;
  LONGS_EQUAL(1, sweeper.sweep(now, m_wall_ms));
}
