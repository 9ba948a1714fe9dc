#include "report.hpp"

#include <array>
#include <charconv>
#include <ostream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

std::string_view to_word(declarations::object_change::kind kind) {
  switch (kind) {
  case declarations::object_change::kind::added:
    return "added";
  case declarations::object_change::kind::removed:
    return "removed";
  case declarations::object_change::kind::changed:
    break;
  }
  return "changed";
}

// Parses the value before or after a change. The changes of a conflict may contain texts that are not JSON;
// these are returned as strings.
json::value parse_or_text(const std::string& text) {
  boost::system::error_code error;
  auto value = json::parse(text, error);
  return error ? json::value(text) : value;
}

} // namespace

std::string to_text(const json::value& value) {
  std::string text;
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  if (value.is_double()) {
    std::array<char, 32> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value.get_double());
    return {digits.data(), end};
  }
  if (const auto* rows = value.if_array()) {
    for (const auto& row : *rows) {
      text += (text.empty() ? "" : ",") + to_text(row);
    }
    return "[" + text + "]";
  }
  if (const auto* keys = value.if_object()) {
    for (const auto& [key, nested] : *keys) {
      text += (text.empty() ? "" : ",") + std::string(key) + "=" + to_text(nested);
    }
    return "{" + text + "}";
  }
  return json::serialize(value);
}

std::string to_text(const declarations::object_change& line) {
  auto readable = line;
  readable.m_before = to_text(parse_or_text(line.m_before));
  readable.m_after = to_text(parse_or_text(line.m_after));
  return to_string(readable);
}

void report_findings(const command& call, const std::vector<declarations::finding>& findings,
                     const streams& io) {
  json::array rows;
  for (const auto& entry : findings) {
    io.m_err << to_string(entry) << '\n';
    rows.push_back(json::object{{"file", entry.m_file},
                                {"line", entry.m_line},
                                {"object", entry.m_object},
                                {"message", entry.m_message},
                                {"remedy", entry.m_remedy}});
  }
  if (call.m_output == output_format::json) {
    io.m_out << json::serialize(json::object{{"findings", std::move(rows)}}) << '\n';
  }
}

void report_message(const std::string& message, const streams& io) {
  io.m_err << "error: " << message << '\n';
}

json::array to_json(const std::vector<declarations::object_change>& changes) {
  json::array rows;
  for (const auto& line : changes) {
    json::object row{{"change", to_word(line.m_kind)},
                     {"kind", declarations::to_string(line.m_object.m_kind)},
                     {"name", line.m_object.m_name},
                     {"owner", line.m_owner}};
    if (!line.m_key.empty()) {
      row.emplace("key", line.m_key);
      row.emplace("before", parse_or_text(line.m_before));
      row.emplace("after", parse_or_text(line.m_after));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

exit_code report_error(const command& call, const declarations::publish_error& error, const streams& io) {
  using declarations::publish_error_kind;
  if (error.m_kind == publish_error_kind::refused) {
    report_findings(call, error.m_findings, io);
    report_message(error.m_message, io);
    return exit_code::findings;
  }
  for (const auto& line : error.m_changes) {
    io.m_err << to_text(line) << '\n';
  }
  report_message(error.m_message, io);
  if (error.m_kind == publish_error_kind::conflict) {
    if (call.m_output == output_format::json) {
      io.m_out << json::serialize(
                      json::object{{"conflict", error.m_message}, {"changes", to_json(error.m_changes)}})
               << '\n';
    }
    return exit_code::conflict;
  }
  return exit_code::unreachable;
}

} // namespace cardamompond::ctl
