#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond {

// Version of a stored object; increases with each write over the whole store. 0 means that the object does
// not exist.
using object_version = std::uint64_t;

// Reasons why a call to the platform's object API failed.
enum class store_error_kind {
  not_found,       // the object does not exist
  conflict,        // the precondition did not hold; m_current_version is the version found
  unavailable,     // refused or not reached; a write has not taken effect
  outcome_unknown, // the reply was lost; a write may have taken effect, now or later
  too_large,       // the value is over 1 MB
  rate_limited,    // the client-side or the platform's rate limit; a write has not taken effect
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

// The platform's object API: versions, conditional updates and watches. Calls block the calling fiber or
// thread, never longer than `timeout`. Implemented over HTTP in package net and in memory for tests.
class object_store {
public:
  virtual ~object_store() = default;

  // Reads one object.
  virtual store_result<stored_value> get(std::string_view key, milliseconds timeout) = 0;

  // Writes if the current version equals `expected`; 0 creates the object and fails if it exists. Returns the
  // new version.
  virtual store_result<object_version> put(std::string_view key, std::string_view value,
                                           object_version expected, milliseconds timeout) = 0;

  // Deletes if the current version equals `expected`.
  virtual store_result<success> erase(std::string_view key, object_version expected,
                                      milliseconds timeout) = 0;

  // Lists keys and versions below a prefix.
  virtual store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) = 0;

  // Waits until the version of `key` is above `after` and returns the value. At the timeout, returns a value
  // whose version equals `after` and whose content is empty.
  virtual store_result<stored_value> watch(std::string_view key, object_version after,
                                           milliseconds timeout) = 0;
};

} // namespace cardamompond
