#include "cardamompond/gateway/event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace cardamompond::gateway {
namespace {

constexpr std::string_view lf_separator = "\n\n";
constexpr std::string_view crlf_separator = "\r\n\r\n";

// Returns the position after the last separator, or 0 if there is none.
std::size_t find_last_event_end(std::string_view text) {
  std::size_t end = 0;
  if (const auto at = text.rfind(lf_separator); at != std::string_view::npos) {
    end = at + lf_separator.size();
  }
  if (const auto at = text.rfind(crlf_separator); at != std::string_view::npos) {
    end = std::max(end, at + crlf_separator.size());
  }
  return end;
}

bool is_blank(std::string_view line) {
  return line.empty() || line == "\r";
}

// Returns the value of a line "id: VALUE", or nullopt for other lines.
std::optional<std::string_view> parse_id(std::string_view line) {
  constexpr std::string_view id_field = "id:";
  if (!line.starts_with(id_field)) {
    return std::nullopt;
  }
  line.remove_prefix(id_field.size());
  while (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.remove_suffix(1);
  }
  return line;
}

// Returns the number that the text consists of, or nullopt.
std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

bool is_field(std::string_view line) {
  return !is_blank(line) && !line.starts_with(':');
}

} // namespace

bool has_field(std::string_view stream) {
  while (!stream.empty()) {
    const auto line_end = stream.find('\n');
    if (line_end == std::string_view::npos || is_field(stream.substr(0, line_end))) {
      return true;
    }
    stream.remove_prefix(line_end + 1);
  }
  return false;
}

// An incomplete line counts as a field, since its rest may be anything.
bool is_inside_event(std::string_view stream) {
  stream.remove_prefix(find_last_event_end(stream));
  return has_field(stream);
}

std::size_t count_events(std::string_view stream) {
  std::size_t count = 0;
  bool in_event = false;
  for (auto line_end = stream.find('\n'); line_end != std::string_view::npos; line_end = stream.find('\n')) {
    const std::string_view line = stream.substr(0, line_end);
    if (is_blank(line)) {
      count += std::exchange(in_event, false) ? 1 : 0;
    } else {
      in_event = in_event || is_field(line);
    }
    stream.remove_prefix(line_end + 1);
  }
  return count;
}

bool ids_increase(std::string_view events, std::string_view last_id) {
  std::optional<std::uint64_t> last = parse_number(last_id);
  std::optional<std::string_view> id; // of the current event: the last one, if it states several
  while (!events.empty()) {
    const auto line_end = std::min(events.find('\n'), events.size() - 1);
    const std::string_view line = events.substr(0, line_end + 1);
    if (const auto stated = parse_id(line)) {
      id = stated;
    } else if (id && (line == "\n" || line == "\r\n")) {
      const auto number = parse_number(*id);
      if (number && last && *number <= *last) {
        return false;
      }
      last = number;
      id.reset();
    }
    events.remove_prefix(line_end + 1);
  }
  return true;
}

bool has_later_id(std::string_view events, std::string_view last_id) {
  const auto last = parse_number(last_id);
  while (last && !events.empty()) {
    const auto line_end = std::min(events.find('\n'), events.size() - 1);
    const auto id = parse_id(events.substr(0, line_end + 1));
    if (const auto number = id ? parse_number(*id) : std::nullopt; number && *number > *last) {
      return true;
    }
    events.remove_prefix(line_end + 1);
  }
  return false;
}

std::string_view event_splitter::feed(std::string_view bytes) {
  m_buffer.erase(0, m_complete_bytes);
  // The bytes kept from earlier calls hold no whole separator, but a part of one may be at their end.
  const std::size_t search_begin = m_buffer.size() - std::min(m_buffer.size(), crlf_separator.size() - 1);
  m_buffer.append(bytes);
  const std::size_t end = find_last_event_end(std::string_view(m_buffer).substr(search_begin));
  m_complete_bytes = end == 0 ? 0 : search_begin + end;
  const std::string_view events = std::string_view(m_buffer).substr(0, m_complete_bytes);
  m_ids_increase = !m_continues || gateway::ids_increase(events, m_last_event_id);
  m_event_count = count_events(events);
  if (m_ids_increase && m_event_count > 0) {
    update_last_event_id(events);
  }
  return events;
}

void event_splitter::continue_stream() {
  m_continues = !m_last_event_id.empty();
  m_buffer.clear();
  m_complete_bytes = 0;
}

void event_splitter::update_last_event_id(std::string_view events) {
  m_can_resume = false;
  std::size_t line_end = events.size();
  // Only the last id counts, so the search goes backwards line by line.
  while (line_end > 0) {
    const auto previous_newline = events.rfind('\n', line_end - 1);
    const std::size_t begin = previous_newline == std::string_view::npos ? 0 : previous_newline + 1;
    if (const auto id = parse_id(events.substr(begin, line_end - begin))) {
      m_last_event_id = *id;
      m_can_resume = !id->empty() && count_events(events.substr(begin)) == 1;
      return;
    }
    if (begin == 0) {
      return;
    }
    line_end = previous_newline;
  }
}

} // namespace cardamompond::gateway
