#include "cardamompond/daemon/response_meter.hpp"

#include "cardamompond/gateway/event_splitter.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <string_view>

namespace cardamompond::daemon {
namespace {

// At least this many trailing bytes of the body are kept. They hold the usage object and what engines send
// after it.
constexpr std::size_t tail_bytes = 1024;
constexpr std::string_view event_prefix = "data:";

std::uint32_t read_count(const boost::json::object& fields, std::string_view name) {
  const auto* value = fields.if_contains(name);
  constexpr std::int64_t max_count = 100'000'000;
  return value != nullptr && value->is_int64()
             ? static_cast<std::uint32_t>(std::clamp<std::int64_t>(value->get_int64(), 0, max_count))
             : 0;
}

} // namespace

void response_meter::add(std::span<const char> chunk) {
  const std::string_view text(chunk.data(), chunk.size());
  m_bytes += text.size();
  for (auto position = text.find(event_prefix); position != std::string_view::npos;
       position = text.find(event_prefix, position + event_prefix.size())) {
    ++m_events;
  }
  if (text.size() >= tail_bytes) {
    m_tail = text.substr(text.size() - tail_bytes);
    return;
  }
  if (m_tail.size() + text.size() > 2 * tail_bytes) {
    m_tail.erase(0, m_tail.size() - tail_bytes);
  }
  m_tail += text;
}

bool response_meter::is_inside_event() const {
  return gateway::is_inside_event(m_tail);
}

bool response_meter::has_event_in_last(std::uint64_t bytes) const {
  if (bytes > m_tail.size()) {
    return true;
  }
  return gateway::has_field(std::string_view(m_tail).substr(m_tail.size() - bytes));
}

// The space behind the colon is optional.
bool response_meter::has_last_event() const {
  const auto end = m_tail.find_last_not_of("\r\n");
  const std::string_view text = std::string_view(m_tail).substr(0, end == std::string::npos ? 0 : end + 1);
  const auto line_break = text.find_last_of('\n');
  const std::string_view line = line_break == std::string_view::npos ? text : text.substr(line_break + 1);
  return (line == "data: [DONE]" || line == "data:[DONE]") && !is_inside_event();
}

std::optional<token_usage> response_meter::usage() const {
  constexpr std::string_view name = "\"usage\"";
  const auto start = m_tail.rfind(name);
  const auto open_brace = start == std::string::npos ? start : m_tail.find('{', start + name.size());
  if (open_brace == std::string::npos) {
    return std::nullopt;
  }
  int depth = 0;
  auto end = open_brace;
  while (end < m_tail.size()) {
    depth += m_tail[end] == '{' ? 1 : m_tail[end] == '}' ? -1 : 0;
    ++end;
    if (depth == 0) {
      break;
    }
  }
  boost::system::error_code error;
  const auto parsed =
      boost::json::parse(std::string_view(m_tail).substr(open_brace, end - open_brace), error);
  const auto* fields = error ? nullptr : parsed.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  return token_usage{read_count(*fields, "prompt_tokens"), read_count(*fields, "completion_tokens"),
                     read_count(*fields, "cached_tokens")};
}

} // namespace cardamompond::daemon
