#include "cardamompond/daemon/chat_request.hpp"
#include "cardamompond/daemon/entry_handler.hpp"
#include "cardamompond/daemon/request_router.hpp"
#include "cardamompond/daemon/response_meter.hpp"
#include "cardamompond/declarations/api_key_hash.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::daemon;

namespace {

std::shared_ptr<const declarations::snapshot> make_snapshot() {
  auto snapshot = std::make_shared<declarations::snapshot>();
  auto& objects = snapshot->m_objects;
  objects.m_tiers["gold"] = {"gold", "", 0, 7000, 1.0};
  objects.m_client_accounts["shop"] = {
      "shop", "north", "gold", 1.0, {declarations::hash_api_key("k1"), declarations::hash_api_key("k2")}, 0};
  objects.m_client_accounts["guest"] = {"guest", "north", "gold", 1.0, {declarations::hash_api_key("g")}, 0};
  declarations::service chat;
  chat.m_name = "chat";
  chat.m_allowed_accounts = {"shop"};
  objects.m_services["chat"] = chat;
  declarations::service orders;
  orders.m_name = "orders";
  orders.m_kind = declarations::service_kind::plain;
  orders.m_allowed_accounts = {"*"};
  orders.m_routes = {{"/stock", {"GET"}, true}, {"/", {"POST"}, false}, {"/stock/bulk", {"GET"}, false}};
  objects.m_services["orders"] = orders;
  return snapshot;
}

net::http_request make_request(std::string method, std::string target, net::http_headers headers = {},
                               std::string body = {}) {
  headers.push_back({"authorization", "Bearer k2"});
  return {std::move(method), std::move(target), std::move(headers), std::move(body)};
}

const std::string chat_body = R"({"model":"chat","stream":true,"max_tokens":5,)"
                              R"("messages":[{"role":"user","content":"hello there"}]})";

} // namespace

TEST_GROUP(entry_requests) {
  request_router m_router{make_snapshot(), milliseconds(60'000)};

  std::string code_of(const net::http_request& request) {
    const auto routed = m_router.route(request);
    if (routed) {
      return "ok";
    }
    CHECK(routed.error().m_verdict == verdict::not_run);
    return std::string(to_string(routed.error().m_code));
  }
};

// Guards against requests that reach a service without a key, with a wrong key, or without permission.
TEST(entry_requests, authenticates_and_authorizes) {
  STRCMP_EQUAL("ok", code_of(make_request("POST", "/v1/chat/completions", {}, chat_body)).c_str());
  STRCMP_EQUAL("unauthorized", code_of({"POST", "/v1/chat/completions", {}, chat_body}).c_str());
  STRCMP_EQUAL("unauthorized", code_of({"GET", "/x", {{"Authorization", "Bearer K2"}}, {}}).c_str());
  STRCMP_EQUAL("forbidden",
               code_of({"POST", "/v1/chat/completions", {{"Authorization", "Bearer g"}}, chat_body}).c_str());
  const auto routed = m_router.route(make_request("POST", "/v1/chat/completions", {}, chat_body));
  STRCMP_EQUAL("shop", routed->m_client_account.c_str());
  LONGS_EQUAL(7000, routed->m_timeout.count());
  LONGS_EQUAL(5, routed->m_max_output_tokens);
  CHECK(routed->m_is_streaming && !routed->m_at_most_once);
}

// Guards against a call that may run at most once but is treated as idempotent.
TEST(entry_requests, longest_matching_route_decides_whether_a_claim_is_needed) {
  CHECK_FALSE(m_router.route(make_request("GET", "/services/orders/stock?kit=3"))->m_at_most_once);
  STRCMP_EQUAL("idempotency_required", code_of(make_request("GET", "/services/orders/stock/bulk")).c_str());
  STRCMP_EQUAL("idempotency_required", code_of(make_request("POST", "/services/orders/place")).c_str());
  STRCMP_EQUAL("not_found", code_of(make_request("GET", "/services/orders/stocks")).c_str());
  STRCMP_EQUAL("not_found", code_of(make_request("GET", "/services/none/stock")).c_str());
  const auto order =
      m_router.route(make_request("POST", "/services/orders/place?x=1", {{"Idempotency-Key", "a-1"}}, "{}"));
  STRCMP_EQUAL("/place?x=1", order->m_backend_target.c_str());
  CHECK(order->m_at_most_once);
  for (const char* path : {"/services/orders/stock/../place", "/services/orders/stock/%2e%2e/place",
                           "/services/orders/stock%2Fbulk", "/services/orders//place", "services/orders",
                           "/services/orders/stock\\bulk", "/services/orders/stock/.."}) {
    STRCMP_EQUAL("bad_request", code_of(make_request("GET", path)).c_str());
  }
}

// Guards against malformed headers and bodies that are accepted, ignored or passed on to a backend server.
TEST(entry_requests, rejects_bad_headers_and_bodies) {
  for (const char* timeout : {"0", "-1", "x", "3600001", "1e3", "", " 5", "99999999999999999999"}) {
    STRCMP_EQUAL("bad_request", code_of(make_request("GET", "/services/orders/stock",
                                                     {{"Cardamompond-Timeout-Ms", timeout}}))
                                    .c_str());
  }
  for (const std::string& key : {std::string(), std::string(256, 'a'), std::string("a\tb")}) {
    STRCMP_EQUAL("bad_request",
                 code_of(make_request("POST", "/services/orders/place", {{"Idempotency-Key", key}})).c_str());
  }
  for (const char* body :
       {"", "[]", "{", R"({"model":1})", R"({"model":"chat"})", R"({"model":"chat","messages":[]})",
        R"({"model":"chat","messages":[1]})", R"({"model":"chat","max_tokens":-1,"messages":[{}]})",
        R"({"model":"chat","stream":"yes","messages":[{}]})"}) {
    STRCMP_EQUAL("bad_request", code_of(make_request("POST", "/v1/chat/completions", {}, body)).c_str());
  }
  STRCMP_EQUAL("not_found", code_of(make_request("POST", "/v1/chat/completions", {},
                                                 R"({"model":"orders","messages":[{}]})"))
                                .c_str());
}

// Guards against input that crashes the daemon or is refused with another verdict than not_run.
TEST(entry_requests, mutated_requests_are_routed_or_refused) {
  CHECK(rc::check("router and parsers survive any input", [this] {
    std::string body = chat_body;
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
      body[at] = *rc::gen::arbitrary<char>();
    }
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    const auto text = *rc::gen::arbitrary<std::string>();
    code_of(make_request("POST", "/v1/chat/completions", {{"Idempotency-Key", text}}, body));
    code_of(make_request("GET", "/services/" + text, {{"Cardamompond-Timeout-Ms", text}}));
    response_meter meter;
    meter.add(text);
    meter.add("\"usage\":" + body);
    std::ignore = meter.usage();
    std::ignore = end_to_end_headers({{"Connection", text}, {text, body}});
  }));
}

// Guards against missed prefix cache hits because a prompt in several messages is hashed differently from the
// same text in one message.
TEST(entry_requests, prefix_blocks_do_not_depend_on_message_boundaries) {
  const std::string text(5000, 'p');
  const auto single_message =
      parse_chat_request(R"({"model":"m","messages":[{"content":")" + text + R"("}]})");
  const auto several_messages =
      parse_chat_request(R"({"model":"m","messages":[{"content":")" + text.substr(0, 700) +
                         R"("},{"content":[{"type":"text","text":")" + text.substr(700) + R"("}]}]})");
  LONGS_EQUAL(4, single_message->m_prefix_blocks.size());
  CHECK(single_message->m_prefix_blocks == several_messages->m_prefix_blocks);
}

// Guards against lost token counts when the usage of a response is split over several chunks.
TEST(entry_requests, response_meter_reads_usage_split_across_chunks) {
  response_meter meter;
  const std::string response =
      "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":9,"
      "\"cached_tokens\":3}}\n\ndata: [DONE]\n\n";
  for (const char& c : response) {
    meter.add({&c, 1});
  }
  LONGS_EQUAL(9, meter.usage()->m_output_tokens);
  LONGS_EQUAL(3, meter.usage()->m_cached_tokens);
  LONGS_EQUAL(response.size(), meter.bytes());
}

// Guards against the caller's credentials, or headers that control this system, reaching a backend server.
TEST(entry_requests, only_end_to_end_headers_are_passed_on) {
  const auto kept = end_to_end_headers({{"Host", "a"},
                                        {"AUTHORIZATION", "Bearer x"},
                                        {"Connection", "x-private, close"},
                                        {"X-Private", "1"},
                                        {"cardamompond-verdict", "not-run"},
                                        {"Transfer-Encoding", "chunked"},
                                        {"X-Kept", "1"}});
  LONGS_EQUAL(1, kept.size());
  STRCMP_EQUAL("X-Kept", kept[0].m_name.c_str());
}

// Guards against error responses without a verdict or Retry-After header, and against unescaped JSON text.
TEST(entry_requests, error_responses_carry_verdict_and_retry_time) {
  const auto response =
      make_error_response({error_code::queue_full, verdict::not_run, "say \"when\"", 0}, "abc");
  LONGS_EQUAL(503, response.m_status);
  STRCMP_EQUAL("not-run", std::string(*net::find_header(response.m_headers, "Cardamompond-Verdict")).c_str());
  STRCMP_EQUAL("1", std::string(*net::find_header(response.m_headers, "Retry-After")).c_str());
  STRCMP_EQUAL(
      "{\"error\":{\"code\":\"queue_full\",\"message\":\"say \\\"when\\\"\",\"request_id\":\"abc\"}}\n",
      response.m_body.c_str());
}
