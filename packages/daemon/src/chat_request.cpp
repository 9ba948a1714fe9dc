#include "cardamompond/daemon/chat_request.hpp"

#include "cardamompond/core/hash.hpp"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parser.hpp>
#include <boost/json/static_resource.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <new>

namespace cardamompond::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t block_bytes = bytes_per_token * tokens_per_block;

// The parsed form of a body may take this much for each of its bytes, up to a limit, beside a copy of its
// texts. A message of two words takes about 10 bytes for each byte; a list of digits would take over 50.
constexpr std::size_t parsed_bytes_per_byte = 10;
constexpr std::size_t max_parsed_bytes = 24U << 20U;
constexpr std::size_t min_parsed_bytes = 1U << 20U;

// Memory of which only a limited amount can be had; more fails with std::bad_alloc.
class limited_resource final : public json::memory_resource {
public:
  explicit limited_resource(std::size_t bytes)
      : m_left(bytes) {}

private:
  void* do_allocate(std::size_t bytes, std::size_t alignment) override {
    if (bytes > m_left) {
      throw std::bad_alloc();
    }
    void* const memory = ::operator new(bytes, std::align_val_t(alignment));
    m_left -= bytes;
    return memory;
  }

  void do_deallocate(void* memory, std::size_t bytes, std::size_t alignment) override {
    ::operator delete(memory, bytes, std::align_val_t(alignment));
    m_left += bytes;
  }

  bool do_is_equal(const json::memory_resource& other) const noexcept override { return this == &other; }

  std::size_t m_left;
};

// Hashes the blocks of a prompt incrementally as its texts are appended, so that a prompt of several MB is
// never copied as a whole.
class block_hasher {
public:
  void append(std::string_view text) {
    m_bytes += text.size();
    while (!text.empty()) {
      if (m_partial.empty() && text.size() >= block_bytes) {
        add_block(text.substr(0, block_bytes));
        text.remove_prefix(block_bytes);
        continue;
      }
      const std::size_t length = std::min(block_bytes - m_partial.size(), text.size());
      m_partial.append(text.substr(0, length));
      text.remove_prefix(length);
      if (m_partial.size() == block_bytes) {
        add_block(m_partial);
        m_partial.clear();
      }
    }
  }
  std::size_t bytes() const { return m_bytes; }
  std::vector<std::uint64_t> take_blocks() { return std::move(m_blocks); }

private:
  void add_block(std::string_view block) {
    m_previous = hash64(block, m_previous);
    m_blocks.push_back(m_previous);
  }

  std::string m_partial;
  std::vector<std::uint64_t> m_blocks;
  std::uint64_t m_previous = 0;
  std::size_t m_bytes = 0;
};

std::uint32_t saturate_to_uint32(std::size_t value) {
  return static_cast<std::uint32_t>(std::min<std::size_t>(value, std::numeric_limits<std::uint32_t>::max()));
}

// Appends the content of one message, which is a string or a list of parts with a member "text".
void append_content(const json::value& content, block_hasher& prompt) {
  if (const auto* text = content.if_string()) {
    prompt.append(*text);
  } else if (const auto* parts = content.if_array()) {
    for (const auto& part : *parts) {
      const auto* fields = part.if_object();
      const auto* text_part = fields != nullptr ? fields->if_contains("text") : nullptr;
      if (text_part != nullptr && text_part->is_string()) {
        prompt.append(text_part->get_string());
      }
    }
  }
}

result<chat_request, std::string> read_fields(const json::object& fields) {
  chat_request request;
  const auto* model = fields.if_contains("model");
  if (model == nullptr || !model->is_string() || model->get_string().empty()) {
    return std::string("\"model\" must be a string that names the service");
  }
  request.m_model = std::string(model->get_string());
  if (const auto* stream = fields.if_contains("stream"); stream != nullptr && !stream->is_null()) {
    if (!stream->is_bool()) {
      return std::string("\"stream\" must be true or false");
    }
    request.m_stream = stream->get_bool();
  }
  for (const std::string_view name : {"max_tokens", "max_completion_tokens"}) {
    if (const auto* tokens = fields.if_contains(name); tokens != nullptr && !tokens->is_null()) {
      constexpr std::int64_t token_limit = 10'000'000;
      if (!tokens->is_int64() || tokens->get_int64() < 1 || tokens->get_int64() > token_limit) {
        return "\"" + std::string(name) + "\" must be a whole number from 1 to 10000000";
      }
      request.m_max_output_tokens = static_cast<std::uint32_t>(tokens->get_int64());
    }
  }
  const auto* messages = fields.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
    return std::string("\"messages\" must be a list with at least one message");
  }
  block_hasher prompt;
  for (const auto& message : messages->get_array()) {
    const auto* message_fields = message.if_object();
    if (message_fields == nullptr) {
      return std::string("each of \"messages\" must be an object");
    }
    if (const auto* content = message_fields->if_contains("content"); content != nullptr) {
      append_content(*content, prompt);
    }
  }
  request.m_prompt_tokens = saturate_to_uint32(prompt.bytes() / bytes_per_token);
  request.m_prefix_blocks = prompt.take_blocks();
  return request;
}

} // namespace

result<chat_request, std::string> parse_chat_request(std::string_view body) {
  limited_resource limited(2 * body.size() + min_parsed_bytes +
                           std::min(parsed_bytes_per_byte * body.size(), max_parsed_bytes));
  std::array<unsigned char, 4096> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): scratch memory
  json::monotonic_resource memory(buffer.data(), buffer.size(), &limited);
  std::array<unsigned char, 4096> parser_buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): see above
  try {
    json::parser parser(&limited, {}, parser_buffer.data(), parser_buffer.size());
    parser.reset(&memory);
    boost::system::error_code error;
    parser.write(body.data(), body.size(), error);
    if (error) {
      return "the body is not valid JSON: " + error.message();
    }
    const auto parsed = parser.release();
    const auto* fields = parsed.if_object();
    if (fields == nullptr) {
      return std::string("the body must be a JSON object");
    }
    return read_fields(*fields);
  } catch (const std::bad_alloc&) {
    return std::string("the body has too many JSON values");
  }
}

} // namespace cardamompond::daemon
