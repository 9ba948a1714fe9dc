#include "cardamompond/testing/caller.hpp"

#include "cardamompond/standins/engine.hpp"
#include "cardamompond/testing/environment.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <sstream>

namespace cardamompond::testing {
namespace {

// Returns the string at a JSON pointer; empty if the text is not JSON or has no string there.
std::string find_string(std::string_view body, std::string_view pointer) {
  boost::system::error_code error;
  const auto parsed = boost::json::parse(body, error);
  const auto* value = error ? nullptr : parsed.find_pointer(pointer, error);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

// Returns the generated text of a chat response; empty if a stream lacks its final event.
std::string extract_response_text(std::string_view body, bool stream) {
  if (!stream) {
    return find_string(body, "/choices/0/message/content");
  }
  std::string text;
  std::istringstream lines{std::string(body)};
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      return text;
    }
    if (line.starts_with("data: ")) {
      text += find_string(std::string_view(line).substr(6), "/choices/0/delta/content");
    }
  }
  return {};
}

} // namespace

caller::caller()
    : m_client(test_runtime(), {.m_max_idle_per_address = 256}) {}

call_record& caller::send(const std::string& address, net::http_request request,
                          const call_options& options) {
  call_record& record = m_records.emplace_back();
  record.m_account = options.m_account;
  record.m_idempotency_key = std::string(net::find_header(request.m_headers, "Idempotency-Key").value_or(""));
  record.m_address = address;
  record.m_sent_ms = standins::unix_time_ms();
  request.m_headers.push_back({"Authorization", "Bearer key-" + options.m_account});
  request.m_headers.push_back({"Cardamompond-Timeout-Ms", std::to_string(options.m_timeout_ms)});
  // Longer than the daemon's deadline, so that the daemon can still respond when that has passed.
  const milliseconds response_timeout(options.m_timeout_ms + 5000);
  const auto record_failure = [&](const net::call_error& error) -> call_record& {
    record.m_received_ms = standins::unix_time_ms();
    record.m_connection_error = error.m_message;
    record.m_request_sent = record.m_request_sent || error.m_sent;
    return record;
  };
  auto opened_call = m_client.open(address);
  if (!opened_call) {
    return record_failure(opened_call.error());
  }
  if (const auto sent = (*opened_call)->send(request, response_timeout); !sent) {
    return record_failure(sent.error());
  }
  record.m_request_sent = true;
  const auto head = (*opened_call)->read_head(response_timeout);
  if (!head) {
    return record_failure(head.error());
  }
  record.m_status = head->m_status;
  const auto get_header = [&](std::string_view name) {
    return std::string(net::find_header(head->m_headers, name).value_or(""));
  };
  record.m_request_id = get_header("Cardamompond-Request-Id");
  record.m_verdict = get_header("Cardamompond-Verdict");
  std::array<char, 16384> buffer{};
  while (true) {
    const auto chunk = (*opened_call)->read_some(buffer, response_timeout);
    if (!chunk) {
      return record_failure(chunk.error());
    }
    if (chunk->empty()) {
      break;
    }
    record.m_body.append(chunk->data(), chunk->size());
  }
  record.m_received_ms = standins::unix_time_ms();
  record.m_code = find_string(record.m_body, "/error/code");
  if (record.m_request_id.empty()) {
    record.m_request_id = find_string(record.m_body, "/error/request_id");
  }
  record.m_complete = record.m_status == 200;
  return record;
}

call_record& caller::send_chat(const std::string& address, const std::string& text,
                               const call_options& options) {
  const boost::json::object body = {{"model", options.m_service},
                                    {"stream", options.m_stream},
                                    {"max_tokens", options.m_tokens},
                                    {"messages", {{{"role", "user"}, {"content", text}}}}};
  call_record& record = send(
      address,
      {"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, boost::json::serialize(body)},
      options);
  std::string expected;
  for (std::int64_t i = 0; i < options.m_tokens; ++i) {
    expected += standins::make_response_token(text, i);
  }
  record.m_complete = record.m_complete && extract_response_text(record.m_body, options.m_stream) == expected;
  return record;
}

call_record& caller::send_order(const std::string& address, const std::string& key, const std::string& body,
                                const call_options& options) {
  return send(address,
              {"POST",
               "/services/" + options.m_service + "/orders",
               {{"Content-Type", "application/json"}, {"Idempotency-Key", key}},
               body},
              options);
}

background_load::background_load(std::function<std::vector<std::string>()> get_addresses, int caller_count,
                                 call_function call)
    : m_get_addresses(std::move(get_addresses))
    , m_call(std::move(call)) {
  for (int i = 0; i < caller_count; ++i) {
    m_fibers.emplace_back([this, i] { run(i); });
  }
}

background_load::~background_load() {
  stop();
}

void background_load::stop() {
  m_stopping = true;
  for (auto& fiber : m_fibers) {
    if (fiber.joinable()) {
      fiber.join();
    }
  }
}

void background_load::run(int caller_index) {
  for (auto address_index = static_cast<std::size_t>(caller_index); !m_stopping; ++address_index) {
    const auto addresses = m_get_addresses();
    if (addresses.empty()) {
      boost::this_fiber::sleep_for(milliseconds(20));
      continue;
    }
    const call_record& record = m_call(addresses[address_index % addresses.size()], ++m_call_count);
    if (!record.m_complete) {
      boost::this_fiber::sleep_for(milliseconds(20));
    }
  }
}

} // namespace cardamompond::testing
