#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond {

// The version of a stored object. Versions increase with each write to any object of the store. 0 means that
// the object does not exist.
using object_version = std::uint64_t;

// Reasons why a call to the platform's object API failed.
enum class store_error_kind {
  not_found,       // the object does not exist
  conflict,        // the precondition failed; m_current_version is the version in the store
  unavailable,     // the store refused the call or was not reached; a write has not taken effect
  outcome_unknown, // the reply was lost; a write may have taken effect or may still do so
  too_large,       // the value is larger than 1 MB
  rate_limited,    // the rate limit of the client or of the platform was reached; a write has not taken
                   // effect
};

struct store_error {
  store_error_kind m_kind = store_error_kind::unavailable;
  object_version m_current_version = 0;
  std::string m_message;
};

struct stored_value {
  std::string m_value;
  object_version m_version = 0;
};

struct stored_key {
  std::string m_key;
  object_version m_version = 0;
};

template <typename T> using store_result = result<T, store_error>;

// A client of the platform's object API, which offers versions, conditional updates and watches. Calls block
// the calling fiber or thread for at most `timeout`. Package net implements the interface over HTTP, and
// memory_object_store implements it for tests.
class object_store {
public:
  virtual ~object_store() = default;

  // Reads one object.
  virtual store_result<stored_value> get(std::string_view key, milliseconds timeout) = 0;

  // Writes the object if its current version equals `expected`. With 0, creates the object and fails if it
  // exists. Returns the new version.
  virtual store_result<object_version> put(std::string_view key, std::string_view value,
                                           object_version expected, milliseconds timeout) = 0;

  // Deletes the object if its current version equals `expected`.
  virtual store_result<success> erase(std::string_view key, object_version expected,
                                      milliseconds timeout) = 0;

  // Returns the keys that begin with `prefix`, and their versions.
  virtual store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) = 0;

  // Waits until the version of `key` is greater than `after`, and returns the object. After the timeout,
  // returns an empty value with version `after`.
  virtual store_result<stored_value> watch(std::string_view key, object_version after,
                                           milliseconds timeout) = 0;
};

} // namespace cardamompond
