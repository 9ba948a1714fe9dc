#pragma once

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace cardamompond::cell {

// Reads the fields of a JSON object strictly: all required fields must be present, and other fields than the
// required and optional ones are errors. Keeps the first error.
class json_fields {
public:
  json_fields(const boost::json::value& value, std::initializer_list<std::string_view> names,
              std::initializer_list<std::string_view> optional_names = {})
      : m_object(value.if_object()) {
    if (m_object == nullptr) {
      m_error = "not an object";
      return;
    }
    for (const auto name : names) {
      if (find(name) == nullptr) {
        fail(name, "missing");
      }
    }
    std::size_t expected = names.size();
    for (const auto name : optional_names) {
      expected += find(name) != nullptr ? 1 : 0;
    }
    if (m_error.empty() && m_object->size() != expected) {
      m_error = "unknown field";
    }
  }

  // Returns the field of this name, or null. Repeated fields are not detected, because Boost.JSON keeps only
  // the last one.
  const boost::json::value* find(std::string_view name) const {
    return m_object == nullptr ? nullptr
                               : m_object->if_contains(boost::json::string_view(name.data(), name.size()));
  }

  void read(std::string_view name, std::string& out) {
    if (const auto* value = find(name); value != nullptr && value->is_string()) {
      out.assign(value->get_string().data(), value->get_string().size());
    } else {
      fail(name, "not a string");
    }
  }

  // Reads an integer from 0 to 2^63 - 1.
  void read(std::string_view name, std::uint64_t& out) {
    if (const auto* value = find(name); value != nullptr && value->is_int64() && value->get_int64() >= 0) {
      out = static_cast<std::uint64_t>(value->get_int64());
    } else {
      fail(name, "not an integer from 0 to 2^63 - 1");
    }
  }

  void read(std::string_view name, std::int64_t& out) {
    if (const auto* value = find(name); value != nullptr && value->is_int64()) {
      out = value->get_int64();
    } else {
      fail(name, "not an integer");
    }
  }

  void read(std::string_view name, bool& out) {
    if (const auto* value = find(name); value != nullptr && value->is_bool()) {
      out = value->get_bool();
    } else {
      fail(name, "not true or false");
    }
  }

  // Returns null only if error() is not empty.
  const boost::json::array* read_array(std::string_view name, std::size_t max_size) {
    const auto* value = find(name);
    const auto* array = value == nullptr ? nullptr : value->if_array();
    if (array == nullptr) {
      fail(name, "not an array");
    } else if (array->size() > max_size) {
      fail(name, "over " + std::to_string(max_size) + " entries");
    }
    return array;
  }

  void fail(std::string_view name, std::string_view reason) {
    if (m_error.empty()) {
      m_error = std::string(name) + ": " + std::string(reason);
    }
  }

  const std::string& error() const { return m_error; }

private:
  const boost::json::object* m_object;
  std::string m_error;
};

} // namespace cardamompond::cell
