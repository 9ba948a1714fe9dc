#pragma once

#include "cardamompond/core/toml_parser.hpp"
#include "cardamompond/declarations/finding.hpp"
#include "schema.hpp"

#include <algorithm>
#include <limits>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

// Visitor for visit_fields() that reads an object from a TOML table. Reports errors as findings and records
// the line of each key.
class toml_field_reader {
public:
  toml_field_reader(const toml::table& source, std::vector<finding>& findings, std::string prefix)
      : m_source(source)
      , m_findings(findings)
      , m_prefix(std::move(prefix)) {}

  // Returns the lines of all keys that were read, including those of the nested table read last.
  std::vector<source_map::key_line> take_key_lines() {
    m_key_lines.insert(m_key_lines.end(), m_nested_key_lines.begin(), m_nested_key_lines.end());
    return std::move(m_key_lines);
  }

  // Reports unknown keys; to be called after visit_fields().
  void finish() {
    if (m_key_lines.size() == m_source.size()) {
      return;
    }
    std::string known_keys;
    for (const char* key : m_known_keys) {
      known_keys += (known_keys.empty() ? "" : ", ") + std::string(key);
    }
    for (const auto& [key, node] : m_source) {
      const std::string_view name = key.str();
      const auto known =
          std::find_if(m_key_lines.begin(), m_key_lines.end(),
                       [&](const source_map::key_line& recorded) { return name == recorded.m_key; });
      if (known == m_key_lines.end()) {
        add_finding(line_of(node), "unknown key \"" + std::string(name) + "\"",
                    "remove it or use one of: " + known_keys);
      }
    }
  }

  template <typename T> void value(const field_spec& spec, T& member) {
    if (const auto* node = find(spec)) {
      read(spec, *node, member);
    }
  }

  // A list of names may be written as the string "*", which stands for all.
  void value(const field_spec& spec, std::vector<std::string>& member) {
    if (const auto* node = find(spec)) {
      if (spec.m_format == text_format::name_or_star && node->value<std::string_view>() == "*") {
        member = {"*"};
        return;
      }
      read(spec, *node, member);
    }
  }

  template <typename T> void enumeration(const field_spec& spec, T& member) {
    if (const auto* node = find(spec)) {
      const auto text = node->value<std::string_view>();
      if (!text || !parse_keyword(*text, member)) {
        add_type_finding(spec, *node, std::string(allowed_keywords(member)));
      }
    }
  }

  template <typename T> void table(const field_spec& spec, std::optional<T>& member) {
    if (const auto* node = find(spec)) {
      if (const auto* nested = node->as_table()) {
        read_table(spec, *nested, member.emplace());
      } else {
        add_type_finding(spec, *node, "a table");
      }
    }
  }

  template <typename T> void tables(const field_spec& spec, std::vector<T>& member) {
    if (const auto* node = find(spec)) {
      const auto* rows = node->as_array();
      if (rows == nullptr) {
        return add_type_finding(spec, *node, "a list of tables");
      }
      for (const auto& row : *rows) {
        if (const auto* nested = row.as_table()) {
          read_table(spec, *nested, member.emplace_back());
        } else {
          add_type_finding(spec, row, "a list of tables");
        }
      }
    }
  }

private:
  static std::uint32_t line_of(const toml::node& node) { return node.source().begin.line; }

  void add_finding(std::uint32_t line, std::string message, std::string remedy) {
    m_findings.push_back({{}, line, {}, std::move(message), std::move(remedy), {}});
  }

  void add_finding(const field_spec& spec, const toml::node& node, const value_problem& problem) {
    add_finding(line_of(node), m_prefix + spec.m_key + ": " + problem.m_message, problem.m_remedy);
  }

  void add_type_finding(const field_spec& spec, const toml::node& node, const std::string& expected) {
    add_finding(spec, node, {"wrong type or value", "write " + expected});
  }

  const toml::node* find(const field_spec& spec) {
    m_known_keys.push_back(spec.m_key);
    const auto* node = m_source.get(spec.m_key);
    if (node != nullptr) {
      m_key_lines.push_back({spec.m_key, line_of(*node)});
    } else if (spec.m_required) {
      add_finding(line_of(m_source), m_prefix + spec.m_key + " is missing", "add the key");
    }
    return node;
  }

  template <typename T> void read_table(const field_spec& spec, const toml::table& source, T& member) {
    toml_field_reader nested(source, m_findings, m_prefix + spec.m_key + ".");
    visit_fields(member, nested);
    nested.finish();
    m_nested_key_lines = nested.take_key_lines();
  }

  void read(const field_spec& spec, const toml::node& node, std::string& member) {
    if (const auto text = node.value<std::string_view>()) {
      if (const auto problem = check_text(spec, *text)) {
        return add_finding(spec, node, *problem);
      }
      member = *text;
    } else if (const auto* time = node.as_date_time();
               time != nullptr && spec.m_format == text_format::time) {
      read_time(spec, node, time->get(), member);
    } else {
      add_type_finding(spec, node, spec.m_format == text_format::time ? "a time" : "a string in quotes");
    }
  }

  // Reads a TOML date-time, i.e. a time without quotes. As in the quoted form, only UTC is accepted.
  void read_time(const field_spec& spec, const toml::node& node, const toml::date_time& time,
                 std::string& member) {
    std::ostringstream text;
    text << time;
    std::string time_text = text.str();
    if (time.offset && time.offset->minutes == 0 && !time_text.ends_with('Z')) {
      time_text = time_text.substr(0, 19) + "Z";
    }
    if (const auto problem = check_text(spec, time_text)) {
      return add_finding(spec, node, *problem);
    }
    member = time_text;
  }

  void read(const field_spec& spec, const toml::node& node, bool& member) {
    if (const auto* flag = node.as_boolean()) {
      member = flag->get();
    } else {
      add_type_finding(spec, node, "true or false");
    }
  }

  void read(const field_spec& spec, const toml::node& node, double& member) {
    if (!node.is_number()) {
      return add_type_finding(spec, node, "a number");
    }
    const double number = node.value<double>().value_or(std::numeric_limits<double>::quiet_NaN());
    if (const auto problem = check_number(spec, number)) {
      return add_finding(spec, node, *problem);
    }
    member = number;
  }

  template <typename Integer>
  requires std::is_integral_v<Integer>
  void read(const field_spec& spec, const toml::node& node, Integer& member) {
    const auto* number = node.as_integer();
    if (number == nullptr) {
      return add_type_finding(spec, node, "a whole number");
    }
    if (const auto problem = check_number(spec, static_cast<double>(number->get()))) {
      return add_finding(spec, node, *problem);
    }
    member = static_cast<Integer>(number->get());
  }

  template <typename T> void read(const field_spec& spec, const toml::node& node, std::vector<T>& member) {
    const auto* items = node.as_array();
    if (items == nullptr) {
      return add_type_finding(spec, node, "a list");
    }
    if (const auto problem = check_count(spec, items->size())) {
      return add_finding(spec, node, *problem);
    }
    member.clear();
    for (const auto& item : *items) {
      read(spec, item, member.emplace_back());
    }
  }

  const toml::table& m_source;
  std::vector<finding>& m_findings;
  std::string m_prefix;
  std::vector<const char*> m_known_keys;
  std::vector<source_map::key_line> m_key_lines;
  std::vector<source_map::key_line> m_nested_key_lines;
};

} // namespace cardamompond::declarations
