#include "schema.hpp"

#include "cardamompond/declarations/rfc3339.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <arpa/inet.h>

namespace cardamompond::declarations {
namespace {

// Names are short because they are used in object keys, URLs and metric labels.
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_path_bytes = 256;
constexpr std::size_t sha256_digits = 64;

// SHA-256 of the empty string. A client account with this hash would admit callers that send an empty API
// key.
constexpr std::string_view sha256_of_empty_text =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

bool is_alphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_bytes && is_alphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return is_alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

bool is_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string host(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc{} || end != port_text.data() + port_text.size() || port == 0 || port > 65535) {
    return false;
  }
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), binary.data()) == 1;
}

bool is_api_key_hash(std::string_view text) {
  return text.size() == sha256_digits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

bool is_path(std::string_view text) {
  return !text.empty() && text.size() <= max_path_bytes && text.front() == '/' &&
         text.find("..") == std::string_view::npos && std::all_of(text.begin(), text.end(), [](char c) {
           return is_alphanumeric(c) || std::string_view("/-_.~").find(c) != std::string_view::npos;
         });
}

bool is_method(std::string_view text) {
  constexpr std::array<std::string_view, 6> methods = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
  return std::find(methods.begin(), methods.end(), text) != methods.end();
}

// Quotes a value for a message. Replaces control characters and truncates long values.
std::string quote(std::string_view value) {
  constexpr std::size_t max_shown_bytes = 80;
  std::string text = "\"";
  for (const char c : value.substr(0, max_shown_bytes)) {
    text += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
  }
  return text + (value.size() > max_shown_bytes ? "...\"" : "\"");
}

std::string format_number(double value) {
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} ? std::string(text.data(), end) : "?";
}

} // namespace

std::optional<value_problem> check_text(const field_spec& spec, std::string_view value) {
  switch (spec.m_format) {
  case text_format::name_or_star:
    if (value == "*") {
      return std::nullopt;
    }
    [[fallthrough]];
  case text_format::name:
    if (!is_name(value)) {
      return value_problem{quote(value) + " is not a name",
                           "use 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit"};
    }
    break;
  case text_format::address:
    if (!is_address(value)) {
      return value_problem{quote(value) + " is not an address",
                           "write an IP address and a port, as in \"127.0.0.1:9001\" or \"[::1]:9001\""};
    }
    break;
  case text_format::time:
    if (!parse_rfc3339(value)) {
      return value_problem{quote(value) + " is not a time",
                           "write an RFC 3339 time in UTC with whole seconds, as in 2026-12-04T10:00:00Z"};
    }
    break;
  case text_format::api_key_hash:
    if (!is_api_key_hash(value)) {
      return value_problem{quote(value) + " is not a SHA-256 hash",
                           "write 64 lower-case hexadecimal digits: printf %s KEY | sha256sum"};
    }
    if (value == sha256_of_empty_text) {
      return value_problem{"the hash is that of an empty key", "hash the key: printf %s KEY | sha256sum"};
    }
    break;
  case text_format::path:
    if (!is_path(value)) {
      return value_problem{quote(value) + " is not a route path",
                           "start it with '/' and use letters, digits and '-', '_', '.', '~', '/', not '..'"};
    }
    break;
  case text_format::method:
    if (!is_method(value)) {
      return value_problem{quote(value) + " is not a method", "use GET, HEAD, POST, PUT, PATCH or DELETE"};
    }
    break;
  }
  return std::nullopt;
}

std::optional<value_problem> check_number(const field_spec& spec, double value) {
  if (std::isfinite(value) && value >= spec.m_min && value <= spec.m_max) {
    return std::nullopt;
  }
  return value_problem{format_number(value) + " is out of bounds",
                       "use a value from " + format_number(spec.m_min) + " to " + format_number(spec.m_max)};
}

std::optional<value_problem> check_count(const field_spec& spec, std::size_t items) {
  if (items >= spec.m_min_items) {
    return std::nullopt;
  }
  return value_problem{"the list has " + std::to_string(items) + " entries",
                       "give at least " + std::to_string(spec.m_min_items)};
}

std::string_view to_keyword(service_kind value) {
  return value == service_kind::model ? "model" : "plain";
}

std::string_view to_keyword(backend_server_state value) {
  switch (value) {
  case backend_server_state::serving:
    return "serving";
  case backend_server_state::leaving:
    return "leaving";
  case backend_server_state::out:
    break;
  }
  return "out";
}

std::string_view to_keyword(bool in_service) {
  return in_service ? "in" : "out";
}

bool parse_keyword(std::string_view keyword, service_kind& value) {
  value = keyword == "model" ? service_kind::model : service_kind::plain;
  return to_keyword(value) == keyword;
}

bool parse_keyword(std::string_view keyword, backend_server_state& value) {
  value = keyword == "serving"   ? backend_server_state::serving
          : keyword == "leaving" ? backend_server_state::leaving
                                 : backend_server_state::out;
  return to_keyword(value) == keyword;
}

bool parse_keyword(std::string_view keyword, bool& in_service) {
  in_service = keyword == "in";
  return to_keyword(in_service) == keyword;
}

std::string_view allowed_keywords(service_kind /*value*/) {
  return "\"model\" or \"plain\"";
}

std::string_view allowed_keywords(backend_server_state /*value*/) {
  return "\"serving\", \"leaving\" or \"out\"";
}

std::string_view allowed_keywords(bool /*in_service*/) {
  return "\"in\" or \"out\"";
}

} // namespace cardamompond::declarations
