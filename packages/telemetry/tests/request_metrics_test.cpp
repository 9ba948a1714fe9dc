#include "cardamompond/telemetry/log.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace cardamompond;

namespace {

// Returns whether the serialized metrics contain this line.
bool has_line(const request_metrics& metrics, const std::string& line) {
  return ("\n" + metrics.serialize()).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_GROUP(request_metrics){};

// Guards against observations that are recorded in another histogram, label set or unit.
TEST(request_metrics, counts_observations_by_account_and_tier) {
  request_metrics metrics;
  metrics.observe_queue_wait("a", "gold", milliseconds(4));
  metrics.observe_first_token("a", "gold", milliseconds(390));
  metrics.observe_between_tokens("a", "gold", milliseconds(43));
  metrics.observe_between_tokens("a", "gold", milliseconds(44));
  metrics.observe_between_tokens("a", "iron", milliseconds(44));
  metrics.observe_response_time("b", "gold", seconds(300));
  const std::string gold_labels = R"({client_account="a",tier="gold")";
  CHECK_TRUE(has_line(metrics, "cardamompond_queue_wait_seconds_bucket" + gold_labels + R"(,le="0.001"} 0)"));
  CHECK_TRUE(has_line(metrics, "cardamompond_queue_wait_seconds_bucket" + gold_labels + R"(,le="0.005"} 1)"));
  CHECK_TRUE(has_line(metrics, "cardamompond_first_token_seconds_bucket" + gold_labels + R"(,le="0.39"} 1)"));
  CHECK_TRUE(
      has_line(metrics, "cardamompond_between_tokens_seconds_bucket" + gold_labels + R"(,le="0.043"} 1)"));
  CHECK_TRUE(has_line(metrics, "cardamompond_between_tokens_seconds_count" + gold_labels + "} 2"));
  CHECK_TRUE(
      has_line(metrics, R"(cardamompond_between_tokens_seconds_count{client_account="a",tier="iron"} 1)"));
  CHECK_TRUE(has_line(
      metrics, R"(cardamompond_whole_answer_seconds_bucket{client_account="b",tier="gold",le="256"} 0)"));
  CHECK_TRUE(
      has_line(metrics, R"(cardamompond_whole_answer_seconds_sum{client_account="b",tier="gold"} 300)"));
}

TEST(request_metrics, counts_results_and_rejections) {
  request_metrics metrics;
  metrics.count_request("a", "gold", "answered");
  metrics.count_request("a", "gold", "answered");
  metrics.count_request("a", "gold", "queue_full");
  metrics.count_rejected(error_code::unauthorized);
  CHECK_TRUE(has_line(metrics,
                      R"(cardamompond_requests_total{client_account="a",result="answered",tier="gold"} 2)"));
  CHECK_TRUE(has_line(
      metrics, R"(cardamompond_requests_total{client_account="a",result="queue_full",tier="gold"} 1)"));
  CHECK_TRUE(has_line(metrics, R"(cardamompond_rejected_total{code="unauthorized"} 1)"));
}

// Guards against a counter that decreases, which a monitoring system interprets as a restart.
TEST(request_metrics, counters_never_decrease) {
  request_metrics metrics;
  metrics.set_gauge("cardamompond_connections", 5);
  metrics.set_gauge("cardamompond_connections", 3);
  metrics.set_gauge("cardamompond_waiting", "service", "chat", 2);
  metrics.set_counter("cardamompond_writes_total", 5);
  metrics.set_counter("cardamompond_writes_total", 3);
  metrics.set_counter("cardamompond_faults_total", "reason", "x", 1);
  metrics.set_counter("cardamompond_faults_total", "reason", "x", 4);
  CHECK_TRUE(has_line(metrics, "cardamompond_connections 3"));
  CHECK_TRUE(has_line(metrics, R"(cardamompond_waiting{service="chat"} 2)"));
  CHECK_TRUE(has_line(metrics, "cardamompond_writes_total 5"));
  CHECK_TRUE(has_line(metrics, R"(cardamompond_faults_total{reason="x"} 4)"));
}

// Guards against label values that break the text format, and against a page of metrics that grows with every
// account ever declared.
TEST(request_metrics, bounds_and_escapes_labels) {
  request_metrics metrics;
  metrics.set_gauge("cardamompond_waiting", "service", "a\"\n b", 1);
  CHECK_TRUE(has_line(metrics, R"(cardamompond_waiting{service="a\"\n b"} 1)"));
  for (int i = 0; i < 5000; ++i) {
    metrics.observe_queue_wait("account" + std::to_string(i), "gold", milliseconds(1));
  }
  CHECK_TRUE(has_line(metrics,
                      R"(cardamompond_queue_wait_seconds_count{client_account="other",tier="other"} 3320)"));
}

// Guards against slow observations. A daemon records one for each token: with 300 streams, 300 of them in the
// 43 ms between two tokens of a stream.
TEST(request_metrics, an_observation_takes_less_than_5_us) {
  request_metrics metrics;
  const std::string account = "a-client-account-with-a-long-name";
  constexpr int observations = 200'000;
  const auto start_time = std::chrono::steady_clock::now();
  for (int i = 0; i < observations; ++i) {
    metrics.observe_between_tokens(account, "gold", milliseconds(i % 100));
  }
  const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start_time;
  CHECK_TRUE(elapsed.count() / observations < 5);
}

TEST_GROUP(log){};

// Guards against external input that forges a field or a line of the log.
TEST(log, quotes_values_that_could_forge_fields_or_lines) {
  STRCMP_EQUAL(
      "event=start name=d1 ready=true count=3 debt=-2 share=0.5",
      format_event("start", {{"name", "d1"}, {"ready", true}, {"count", 3U}, {"debt", -2}, {"share", 0.5}})
          .c_str());
  STRCMP_EQUAL(
      R"(event=x a="" b="1 c=2" c="q\"\\" d="\x0aevent=y" e="\x7f")",
      format_event(
          "x", {{"a", ""}, {"b", std::string("1 c=2")}, {"c", "q\"\\"}, {"d", "\nevent=y"}, {"e", "\x7f"}})
          .c_str());
}

TEST(log, refuses_unknown_levels) {
  CHECK_FALSE(start_logging("loud"));
  CHECK_TRUE(start_logging("error"));
}
