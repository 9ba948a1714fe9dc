#include "cardamompond/core/hash.hpp"
#include "cardamompond/standins/engine.hpp"

#include <boost/json/parse.hpp>

#include <array>
#include <cstdio>

namespace cardamompond::standins {

result<chat_request, std::string> parse_chat_request(std::string_view body) {
  boost::system::error_code error;
  const auto parsed = boost::json::parse(body, error);
  const auto* fields = error ? nullptr : parsed.if_object();
  if (fields == nullptr) {
    return std::string("body is not a JSON object");
  }
  chat_request request;
  if (const auto* model = fields->if_contains("model"); model != nullptr && model->is_string()) {
    request.m_model = std::string(model->as_string());
  }
  if (const auto* stream = fields->if_contains("stream"); stream != nullptr && stream->is_bool()) {
    request.m_stream = stream->as_bool();
  }
  if (const auto* tokens = fields->if_contains("max_tokens"); tokens != nullptr && tokens->is_int64()) {
    request.m_max_tokens = tokens->as_int64();
  }
  const auto* messages = fields->if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return std::string("messages is missing");
  }
  for (const auto& message : messages->as_array()) {
    const auto* parts = message.if_object();
    const auto* content = parts != nullptr ? parts->if_contains("content") : nullptr;
    if (content == nullptr || !content->is_string()) {
      return std::string("a message has no content");
    }
    request.m_last_message = std::string(content->as_string());
    request.m_prompt += request.m_last_message;
  }
  return request;
}

std::string make_response_token(std::string_view last_message, std::int64_t index) {
  std::array<char, 48> token{};
  std::snprintf(token.data(), token.size(), "%08llx:%lld ",
                static_cast<unsigned long long>(hash64(last_message) & 0xffffffffU),
                static_cast<long long>(index));
  return token.data();
}

} // namespace cardamompond::standins
