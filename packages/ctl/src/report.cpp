#include "report.hpp"

#include <array>
#include <charconv>
#include <ostream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

std::string_view describe_change_kind(declarations::object_change::kind kind) {
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
json::value parse_json_or_text(const std::string& text) {
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
  if (const auto* elements = value.if_array()) {
    for (const auto& element : *elements) {
      text += (text.empty() ? "" : ",") + to_text(element);
    }
    return "[" + text + "]";
  }
  if (const auto* members = value.if_object()) {
    for (const auto& [key, member_value] : *members) {
      text += (text.empty() ? "" : ",") + std::string(key) + "=" + to_text(member_value);
    }
    return "{" + text + "}";
  }
  return json::serialize(value);
}

std::string to_text(const declarations::object_change& change) {
  auto readable = change;
  readable.m_before = to_text(parse_json_or_text(change.m_before));
  readable.m_after = to_text(parse_json_or_text(change.m_after));
  return to_string(readable);
}

void report_findings(const command_options& options, const std::vector<declarations::finding>& findings,
                     const streams& io) {
  json::array json_findings;
  for (const auto& finding : findings) {
    io.m_err << to_string(finding) << '\n';
    json_findings.push_back(json::object{{"file", finding.m_file},
                                         {"line", finding.m_line},
                                         {"object", finding.m_object},
                                         {"message", finding.m_message},
                                         {"remedy", finding.m_remedy}});
  }
  if (options.m_output == output_format::json) {
    io.m_out << json::serialize(json::object{{"findings", std::move(json_findings)}}) << '\n';
  }
}

void report_message(const std::string& message, const streams& io) {
  io.m_err << "error: " << message << '\n';
}

json::array to_json(const std::vector<declarations::object_change>& changes) {
  json::array json_changes;
  for (const auto& change : changes) {
    json::object json_change{{"change", describe_change_kind(change.m_kind)},
                             {"kind", declarations::to_string(change.m_object.m_kind)},
                             {"name", change.m_object.m_name},
                             {"owner", change.m_owner}};
    if (!change.m_key.empty()) {
      json_change.emplace("key", change.m_key);
      json_change.emplace("before", parse_json_or_text(change.m_before));
      json_change.emplace("after", parse_json_or_text(change.m_after));
    }
    json_changes.push_back(std::move(json_change));
  }
  return json_changes;
}

exit_code report_error(const command_options& options, const declarations::publish_error& error,
                       const streams& io) {
  using declarations::publish_error_kind;
  if (error.m_kind == publish_error_kind::refused) {
    report_findings(options, error.m_findings, io);
    report_message(error.m_message, io);
    return exit_code::findings;
  }
  for (const auto& change : error.m_changes) {
    io.m_err << to_text(change) << '\n';
  }
  report_message(error.m_message, io);
  if (error.m_kind == publish_error_kind::conflict) {
    if (options.m_output == output_format::json) {
      io.m_out << json::serialize(
                      json::object{{"conflict", error.m_message}, {"changes", to_json(error.m_changes)}})
               << '\n';
    }
    return exit_code::conflict;
  }
  return exit_code::unreachable;
}

} // namespace cardamompond::ctl
