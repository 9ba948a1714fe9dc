#pragma once

#include "schema.hpp"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::declarations {

// Visitor for visit_fields() that writes an object as JSON. Optional tables that are not set and optional
// strings that are empty are omitted.
class json_field_writer {
public:
  explicit json_field_writer(boost::json::object& target)
      : m_target(target) {}

  template <typename T> void value(const field_spec& spec, const T& member) {
    if constexpr (std::is_same_v<T, std::string>) {
      if (member.empty() && !spec.m_required) {
        return;
      }
    }
    m_target.emplace(spec.m_key, boost::json::value_from(member, m_target.storage()));
  }
  template <typename T> void enumeration(const field_spec& spec, const T& member) {
    m_target.emplace(spec.m_key, to_keyword(member));
  }
  template <typename T> void table(const field_spec& spec, const std::optional<T>& member) {
    if (member) {
      m_target.emplace(spec.m_key, write(*member));
    }
  }
  template <typename T> void tables(const field_spec& spec, const std::vector<T>& member) {
    boost::json::array items(m_target.storage());
    for (const auto& item : member) {
      items.emplace_back(write(item));
    }
    m_target.emplace(spec.m_key, std::move(items));
  }

private:
  template <typename T> boost::json::object write(const T& item) {
    boost::json::object json_object(m_target.storage());
    json_field_writer nested(json_object);
    visit_fields(item, nested);
    return json_object;
  }

  boost::json::object& m_target;
};

template <typename T> boost::json::object to_json(const T& object, boost::json::storage_ptr storage = {}) {
  boost::json::object json_object(std::move(storage));
  json_field_writer writer(json_object);
  visit_fields(object, writer);
  return json_object;
}

// Visitor for visit_fields() that reads an object from JSON. error() describes the first error.
class json_field_reader {
public:
  explicit json_field_reader(const boost::json::value& source) {
    m_source = source.if_object();
    if (m_source == nullptr) {
      fail("", "not an object");
    }
  }

  // Returns the first error, or an empty string if there is none.
  const std::string& error() const { return m_error; }

  // Reports unknown keys; to be called after visit_fields().
  void finish() {
    if (m_source != nullptr && m_error.empty() && m_keys_read != m_source->size()) {
      fail("", "unknown key");
    }
  }

  template <typename T> void value(const field_spec& spec, T& member) {
    if (const auto* found = find(spec)) {
      read(spec, *found, member);
    }
  }
  template <typename T> void enumeration(const field_spec& spec, T& member) {
    if (const auto* found = find(spec);
        found != nullptr && !(found->is_string() && parse_keyword(found->get_string(), member))) {
      fail(spec.m_key, "not " + std::string(allowed_keywords(member)));
    }
  }
  template <typename T> void table(const field_spec& spec, std::optional<T>& member) {
    if (const auto* found = find(spec)) {
      read_nested(spec, *found, member.emplace());
    }
  }
  template <typename T> void tables(const field_spec& spec, std::vector<T>& member) {
    if (const auto* found = find(spec)) {
      if (!found->is_array()) {
        return fail(spec.m_key, "not a list");
      }
      member.clear();
      for (const auto& item : found->get_array()) {
        read_nested(spec, item, member.emplace_back());
      }
    }
  }

private:
  void fail(std::string_view key, const std::string& message) {
    if (m_error.empty()) {
      m_error = key.empty() ? message : std::string(key) + ": " + message;
    }
  }

  const boost::json::value* find(const field_spec& spec) {
    if (m_source == nullptr) {
      return nullptr;
    }
    const auto* found = m_source->if_contains(spec.m_key);
    if (found != nullptr) {
      ++m_keys_read;
    } else if (spec.m_required) {
      fail(spec.m_key, "missing");
    }
    return found;
  }

  template <typename T>
  void read_nested(const field_spec& spec, const boost::json::value& source, T& member) {
    json_field_reader reader(source);
    visit_fields(member, reader);
    reader.finish();
    if (!reader.error().empty()) {
      fail(spec.m_key, reader.error());
    }
  }

  void read(const field_spec& spec, const boost::json::value& source, std::string& member) {
    if (!source.is_string()) {
      return fail(spec.m_key, "not a string");
    }
    const std::string_view text = source.get_string();
    if (const auto problem = check_text(spec, text)) {
      return fail(spec.m_key, problem->m_message);
    }
    member.assign(text);
  }
  void read(const field_spec& spec, const boost::json::value& source, bool& member) {
    if (!source.is_bool()) {
      return fail(spec.m_key, "not a boolean");
    }
    member = source.get_bool();
  }
  void read(const field_spec& spec, const boost::json::value& source, double& member) {
    boost::system::error_code error;
    const auto number = source.is_number() ? source.to_number<double>(error) : 0.0;
    if (!source.is_number() || error) {
      return fail(spec.m_key, "not a number");
    }
    check(spec, number);
    member = number;
  }
  template <typename Integer>
  requires std::is_integral_v<Integer>
  void read(const field_spec& spec, const boost::json::value& source, Integer& member) {
    boost::system::error_code error;
    // The parser yields a double for a number with an exponent or a fraction. Such a number is rejected even
    // if its value is integral.
    const bool integer = source.is_int64() || source.is_uint64();
    const auto number = integer ? source.to_number<Integer>(error) : Integer{};
    if (!integer || error) {
      return fail(spec.m_key, "not an integer in range");
    }
    check(spec, static_cast<double>(number));
    member = number;
  }
  template <typename T>
  void read(const field_spec& spec, const boost::json::value& source, std::vector<T>& member) {
    if (!source.is_array()) {
      return fail(spec.m_key, "not a list");
    }
    if (const auto problem = check_count(spec, source.get_array().size())) {
      return fail(spec.m_key, problem->m_message);
    }
    member.clear();
    for (const auto& item : source.get_array()) {
      read(spec, item, member.emplace_back());
    }
  }

  void check(const field_spec& spec, double number) {
    if (const auto problem = check_number(spec, number)) {
      fail(spec.m_key, problem->m_message);
    }
  }

  const boost::json::object* m_source = nullptr;
  std::size_t m_keys_read = 0;
  std::string m_error;
};

} // namespace cardamompond::declarations
