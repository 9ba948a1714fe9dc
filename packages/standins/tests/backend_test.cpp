#include "cardamompond/standins/engine.hpp"
#include "cardamompond/standins/plain_service.hpp"
#include "fixture.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

using namespace cardamompond;
using namespace cardamompond::standins;

namespace {

std::string make_chat_body(std::string_view text, std::int64_t tokens, bool stream) {
  return boost::json::serialize(boost::json::object{{"model", "m"},
                                                    {"stream", stream},
                                                    {"max_tokens", tokens},
                                                    {"messages", {{{"role", "user"}, {"content", text}}}}});
}

constexpr std::string_view chat_path = "/v1/chat/completions";

} // namespace

TEST_GROUP(engine) {
  standin_fixture<engine> m_engine;
  void setup() override {
    m_engine.set_parameters({{"tokens_per_s", 500.0}, {"slowdown", 0.0}});
  }

  boost::json::value fetch_load() {
    return boost::json::parse(m_engine.call("GET", "/load")->m_body);
  }

  // Sends `count` requests at the same time and returns how many responses have the status `expected_status`.
  int count_responses(int count, std::int64_t tokens, int expected_status) {
    int matching = 0;
    std::vector<boost::fibers::fiber> fibers;
    for (int i = 0; i < count; ++i) {
      fibers.emplace_back([&] {
        matching +=
            m_engine.call_status("POST", chat_path, make_chat_body("x", tokens, false)) == expected_status;
      });
    }
    for (auto& fiber : fibers) {
      fiber.join();
    }
    return matching;
  }
};

// Guards against responses that a caller cannot match to its request, and against streams without their last
// events.
TEST(engine, plain_and_streamed_responses_identify_their_request) {
  const auto plain = m_engine.call("POST", chat_path, make_chat_body("hello", 3, false));
  const auto body = boost::json::parse(plain->m_body);
  const std::string expected =
      make_response_token("hello", 0) + make_response_token("hello", 1) + make_response_token("hello", 2);
  STRCMP_EQUAL(expected.c_str(), body.at_pointer("/choices/0/message/content").as_string().c_str());
  LONGS_EQUAL(3, body.at_pointer("/usage/completion_tokens").as_int64());
  const auto streamed = m_engine.call("POST", chat_path, make_chat_body("hello", 3, true));
  CHECK(streamed->m_body.ends_with("data: [DONE]\n\n"));
  CHECK(streamed->m_body.find(make_response_token("hello", 2)) != std::string::npos);
  CHECK(streamed->m_body.find(R"("completion_tokens":3)") != std::string::npos);
}

// Guards against a stream that cannot be resumed at the byte after which its connection was closed.
TEST(engine, cut_stream_resumes_at_its_offset) {
  const std::string uninterrupted = m_engine.call("POST", chat_path, make_chat_body("q", 5, true))->m_body;
  m_engine.set_parameters({{"cut_after_bytes", 100}});
  auto call = m_engine.m_client.open(m_engine.m_server.address());
  CHECK((*call)
            ->send({"POST", std::string(chat_path), {}, make_chat_body("q", 5, true)}, milliseconds(1000))
            .has_value());
  const auto head = (*call)->read_head(milliseconds(1000));
  const std::string id(*net::find_header(head->m_headers, "X-Stream-Id"));
  std::string received;
  std::array<char, 64> buffer{};
  while (auto part = (*call)->read_some(buffer, milliseconds(1000))) {
    received.append(part->data(), part->size());
  }
  LONGS_EQUAL(100, received.size());
  received += m_engine.call("GET", "/streams/" + id + "?offset=100")->m_body;
  LONGS_EQUAL(uninterrupted.size(), received.size());
  CHECK(received.ends_with("data: [DONE]\n\n"));
}

// Guards against a cold engine that accepts more requests than its limit or never becomes warm.
TEST(engine, cold_engine_fails_requests_above_its_limit_and_warms_up) {
  m_engine.set_parameters({{"cold_limit", 1}, {"slots", 4}});
  STRCMP_EQUAL("cold", fetch_load().at("state").as_string().c_str());
  LONGS_EQUAL(2, count_responses(3, 5, 500));
  LONGS_EQUAL(2, count_responses(2, 5, 200)); // the first completion doubled the limit
  STRCMP_EQUAL("warm", fetch_load().at("state").as_string().c_str());
  LONGS_EQUAL(8, count_responses(8, 5, 200)); // a warm engine queues requests that exceed its slots
}

// Guards against a crash that spares the requests in progress, and against a restarted engine that still
// counts them or has the old boot id, so that a daemon cannot detect the restart.
TEST(engine, crash_closes_connections_and_changes_the_boot_id) {
  m_engine.set_parameters({{"cold_limit", 2}, {"slots", 2}, {"down_ms", 50}});
  const std::string boot_id(fetch_load().at("boot_id").as_string());
  int other_status = 0;
  boost::fibers::fiber other_call(
      [&] { other_status = m_engine.call_status("POST", chat_path, make_chat_body("x", 500, false)); });
  boost::this_fiber::sleep_for(milliseconds(30));
  LONGS_EQUAL(0, m_engine.call_status("POST", chat_path, make_chat_body("CRASH-THE-SERVER", 1, false)));
  other_call.join();
  LONGS_EQUAL(0, other_status);
  boost::this_fiber::sleep_for(milliseconds(120));
  CHECK(boot_id != std::string_view(fetch_load().at("boot_id").as_string()));
  LONGS_EQUAL(0, fetch_load().at("running").as_int64());
  const auto rows = m_engine.fetch_history();
  STRCMP_EQUAL("lost", rows[0].at("outcome").as_string().c_str());
  STRCMP_EQUAL("crashed", rows[1].at("outcome").as_string().c_str());
}

// Guards against a cancelled stream that keeps its slot.
TEST(engine, cancel_frees_the_slot) {
  auto call = m_engine.m_client.open(m_engine.m_server.address());
  CHECK((*call)
            ->send({"POST", std::string(chat_path), {}, make_chat_body("q", 5000, true)}, milliseconds(1000))
            .has_value());
  const auto head = (*call)->read_head(milliseconds(1000));
  const std::string id(*net::find_header(head->m_headers, "X-Stream-Id"));
  LONGS_EQUAL(1, fetch_load().at("running").as_int64());
  LONGS_EQUAL(200, m_engine.call_status("DELETE", "/streams/" + id));
  LONGS_EQUAL(0, fetch_load().at("running").as_int64());
}

// Guards against usage that omits cached tokens, and against cache events that are never published.
TEST(engine, prefix_cache_reports_cached_tokens_and_publishes_events) {
  m_engine.set_parameters({{"cache_event_lag_ms", 80}});
  const std::string prompt(1024, 'p');
  m_engine.call_status("POST", chat_path, make_chat_body(prompt, 1, false));
  const auto second = m_engine.call("POST", chat_path, make_chat_body(prompt, 1, false));
  LONGS_EQUAL(256, boost::json::parse(second->m_body).at_pointer("/usage/cached_tokens").as_int64());
  const auto events = [&] {
    return boost::json::parse(m_engine.call("GET", "/cache-events?after=0")->m_body)
        .at("events")
        .as_array()
        .size();
  };
  boost::this_fiber::sleep_for(milliseconds(100));
  LONGS_EQUAL(1, events());
}

// Guards against faults that apply to the first fault_after requests or to other routes.
TEST(engine, faults_apply_only_after_n_requests_and_to_their_route) {
  m_engine.set_parameters({{"fail_rate", 1.0}, {"fault_after", 1}, {"fault_route", "/v1"}});
  LONGS_EQUAL(200, m_engine.call_status("POST", chat_path, make_chat_body("x", 1, false)));
  LONGS_EQUAL(500, m_engine.call_status("POST", chat_path, make_chat_body("x", 1, false)));
  LONGS_EQUAL(200, m_engine.call_status("POST", "/orders", R"({"order":"a","fencing":1})"));
}

TEST_GROUP(plain_service) {
  standin_fixture<plain_service> m_service;
};

// Tests detect orders that were executed twice by the number of executions of an idempotency key. Guards
// against a number that leaves out a failure after the effect, and against a refusal that counts as executed.
TEST(plain_service, counts_executions_by_key) {
  const net::http_headers key = {{"Idempotency-Key", "k1"}, {"Cardamompond-Request-Id", "r1"}};
  m_service.set_parameters({{"fail_after_rate", 1.0}});
  LONGS_EQUAL(500, m_service.call_status("POST", "/orders", "{}", key));
  m_service.set_parameters({{"fail_after_rate", 0.0}});
  const auto second = m_service.call("POST", "/orders", "{}", key);
  LONGS_EQUAL(2, boost::json::parse(second->m_body).at("execution").as_int64());
  m_service.set_parameters({{"refuse_rate", 1.0}});
  const auto refused = m_service.call("POST", "/orders", "{}", key);
  LONGS_EQUAL(503, refused->m_status);
  CHECK(net::find_header(refused->m_headers, "X-Not-Run").has_value());
  const auto rows = m_service.fetch_history();
  CHECK(rows[0].at("executed").as_bool() && !rows[2].at("executed").as_bool());
}

// Guards against an order that is accepted although its fencing number is lower than that of an earlier
// order.
TEST(plain_service, stale_fencing_number_is_refused) {
  m_service.set_parameters({{"checks_fencing", true}});
  LONGS_EQUAL(200, m_service.call_status("POST", "/orders", R"({"order":"a","fencing":5})"));
  LONGS_EQUAL(409, m_service.call_status("POST", "/orders", R"({"order":"b","fencing":4})"));
  LONGS_EQUAL(200, m_service.call_status("POST", "/orders", R"({"order":"c","fencing":5})"));
}
