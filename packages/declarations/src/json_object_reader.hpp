#pragma once

#include "cardamompond/declarations/codec.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

namespace json = boost::json;

// Reads a JSON object with a fixed set of keys, all of which are required. The first error is stored in the
// string given to the constructor; after it, all reads return empty values.
class json_object_reader {
public:
  json_object_reader(const json::value& source, std::string& error)
      : m_source(source.if_object())
      , m_error(error) {
    if (m_source == nullptr) {
      fail("not an object");
    }
  }

  const json::value* read_value(const char* name) {
    if (!m_error.empty()) {
      return nullptr;
    }
    const auto* found = m_source->if_contains(name);
    if (found == nullptr) {
      fail(std::string(name) + " is missing");
    }
    ++m_keys_read;
    return found;
  }

  template <typename Integer = std::uint64_t> Integer read_integer(const char* name) {
    const auto* found = read_value(name);
    if (found == nullptr) {
      return 0;
    }
    boost::system::error_code error;
    const bool integer = found->is_int64() || found->is_uint64();
    const auto value = integer ? found->to_number<Integer>(error) : Integer{};
    if (!integer || error) {
      fail(std::string(name) + " is not a whole number in range");
      return 0;
    }
    return value;
  }

  double read_double(const char* name) {
    const auto* found = read_value(name);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number()) {
      fail(std::string(name) + " is not a number");
      return 0;
    }
    boost::system::error_code error;
    return found->to_number<double>(error);
  }

  bool read_bool(const char* name) {
    const auto* found = read_value(name);
    if (found != nullptr && !found->is_bool()) {
      fail(std::string(name) + " is not a boolean");
      return false;
    }
    return found != nullptr && found->get_bool();
  }

  // Reads a list whose elements are read by `read(value, error)`.
  template <typename Read> auto read_object_list(const char* name, Read read) {
    std::vector<decltype(read(std::declval<const json::value&>(), std::declval<std::string&>()))> values;
    if (const auto* source = read_list(name)) {
      for (const auto& item : *source) {
        values.push_back(read(item, m_error));
        if (!m_error.empty()) {
          break;
        }
      }
    }
    return values;
  }

  std::string read_string(const char* name) {
    const auto* found = read_value(name);
    if (found == nullptr) {
      return {};
    }
    if (!found->is_string()) {
      fail(std::string(name) + " is not a string");
      return {};
    }
    return std::string(found->get_string());
  }

  const json::array* read_list(const char* name) {
    const auto* found = read_value(name);
    if (found != nullptr && !found->is_array()) {
      fail(std::string(name) + " is not a list");
    }
    return found == nullptr ? nullptr : found->if_array();
  }

  // Reports unknown keys; to be called after the last key has been read.
  void finish() {
    if (m_error.empty() && m_keys_read != m_source->size()) {
      fail("unknown key");
    }
  }

  void fail(const std::string& message) {
    if (m_error.empty()) {
      m_error = message;
    }
  }

private:
  const json::object* m_source;
  std::string& m_error;
  std::size_t m_keys_read = 0;
};

// Parses a JSON text and returns `read(root, error)`, or a decode_error if the text is invalid or `read` sets
// `error`.
template <typename T, typename Read> decode_result<T> decode_json(std::string_view text, Read read) {
  json::monotonic_resource memory;
  boost::system::error_code failure;
  const json::value root = json::parse(text, failure, &memory);
  if (failure) {
    return decode_error{"not valid JSON: " + failure.message()};
  }
  std::string error;
  T value = read(root, error);
  if (!error.empty()) {
    return decode_error{error};
  }
  return value;
}

} // namespace cardamompond::declarations
