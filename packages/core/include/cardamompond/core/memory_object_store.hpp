#pragma once

#include "cardamompond/core/object_store.hpp"

#include <deque>
#include <map>

namespace cardamompond {

// A fault that memory_object_store injects into a call. Reads fail as unavailable whichever fault is
// injected.
enum class store_fault {
  none,
  unavailable,  // the call has no effect and fails as unavailable
  lose_reply,   // the write takes effect, but fails as outcome_unknown
  lose_request, // the write has no effect and fails as outcome_unknown
};

// An in-memory object store for tests that can inject faults. It is not thread-safe, and watch() returns at
// once.
class memory_object_store final : public object_store {
public:
  store_result<stored_value> get(std::string_view key, milliseconds timeout) override;
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds timeout) override;
  store_result<success> erase(std::string_view key, object_version expected, milliseconds timeout) override;
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) override;
  store_result<stored_value> watch(std::string_view key, object_version after, milliseconds timeout) override;

  // Adds `fault` to the queue of faults. Each call takes the first fault of the queue, if there is one.
  void inject(store_fault fault) { m_faults.push_back(fault); }

  // Starts or ends an outage, during which every call fails as unavailable.
  void set_outage(bool outage) { m_outage = outage; }

  std::uint64_t read_count() const { return m_read_count; }
  std::uint64_t write_count() const { return m_write_count; }

private:
  store_fault next_fault();

  std::map<std::string, stored_value, std::less<>> m_objects;
  std::deque<store_fault> m_faults;
  object_version m_last_version = 0;
  bool m_outage = false;
  std::uint64_t m_read_count = 0;
  std::uint64_t m_write_count = 0;
};

} // namespace cardamompond
