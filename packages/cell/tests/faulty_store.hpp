#pragma once

#include "cardamompond/core/memory_object_store.hpp"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cardamompond::cell {

// Thrown from a platform call during which the calling process dies.
struct process_died {};

enum class call_fault { none, unavailable, lose_request, lose_reply, late, die_before, die_after };

// The connection of one process to a memory_object_store. Faults apply to the next calls, in order.
class faulty_store final : public object_store {
public:
  explicit faulty_store(memory_object_store& store)
      : m_store(store) {}

  std::vector<call_fault> m_faults;
  // Delayed writes, which take effect when the test runs them.
  std::vector<std::function<void()>>* m_late_writes = nullptr;

  store_result<stored_value> get(std::string_view key, milliseconds timeout) override {
    return call<stored_value>(
        false, [&store = m_store, key = std::string(key), timeout] { return store.get(key, timeout); });
  }
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds timeout) override {
    return call<object_version>(true,
                                [&store = m_store, key = std::string(key), value = std::string(value),
                                 expected, timeout] { return store.put(key, value, expected, timeout); });
  }
  store_result<success> erase(std::string_view key, object_version expected, milliseconds timeout) override {
    return call<success>(true, [&store = m_store, key = std::string(key), expected, timeout] {
      return store.erase(key, expected, timeout);
    });
  }
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) override {
    return m_store.list(prefix, timeout);
  }
  store_result<stored_value> watch(std::string_view key, object_version after,
                                   milliseconds timeout) override {
    return m_store.watch(key, after, timeout);
  }

private:
  template <typename T, typename F> store_result<T> call(bool writes, F run) {
    const call_fault fault = m_faults.empty() ? call_fault::none : m_faults.front();
    if (!m_faults.empty()) {
      m_faults.erase(m_faults.begin());
    }
    const store_error unknown{store_error_kind::outcome_unknown, 0, "reply lost"};
    switch (fault) {
    case call_fault::none:
      return run();
    case call_fault::unavailable:
      return store_error{store_error_kind::unavailable, 0, "unavailable"};
    case call_fault::lose_request:
      return unknown;
    case call_fault::lose_reply:
      (void)run();
      return unknown;
    case call_fault::late:
      if (writes) {
        m_late_writes->push_back([run] { (void)run(); });
      }
      return unknown;
    case call_fault::die_after:
      (void)run();
      throw process_died{};
    case call_fault::die_before:
      break;
    }
    throw process_died{};
  }

  memory_object_store& m_store;
};

} // namespace cardamompond::cell
