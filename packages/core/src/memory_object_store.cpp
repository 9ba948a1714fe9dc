#include "cardamompond/core/memory_object_store.hpp"

namespace cardamompond {
namespace {

constexpr std::size_t max_value_bytes = 1'000'000;

store_error make_unavailable_error() {
  return {store_error_kind::unavailable, 0, "object store unavailable"};
}
store_error make_outcome_unknown_error() {
  return {store_error_kind::outcome_unknown, 0, "reply lost"};
}

} // namespace

store_fault memory_object_store::next_fault() {
  if (m_outage) {
    return store_fault::unavailable;
  }
  if (m_faults.empty()) {
    return store_fault::none;
  }
  const store_fault fault = m_faults.front();
  m_faults.pop_front();
  return fault;
}

store_result<stored_value> memory_object_store::get(std::string_view key, milliseconds /*timeout*/) {
  ++m_read_count;
  if (next_fault() != store_fault::none) {
    return make_unavailable_error();
  }
  if (const auto it = m_objects.find(key); it != m_objects.end()) {
    return it->second;
  }
  return store_error{store_error_kind::not_found, 0, "not found"};
}

store_result<object_version> memory_object_store::put(std::string_view key, std::string_view value,
                                                      object_version expected, milliseconds /*timeout*/) {
  ++m_write_count;
  const store_fault fault = next_fault();
  if (fault == store_fault::unavailable) {
    return make_unavailable_error();
  }
  if (fault == store_fault::lose_request) {
    return make_outcome_unknown_error();
  }
  if (value.size() > max_value_bytes) {
    return store_error{store_error_kind::too_large, 0, "value over 1 MB"};
  }
  const auto it = m_objects.find(key);
  const object_version current = it == m_objects.end() ? 0 : it->second.m_version;
  if (current != expected) {
    return store_error{store_error_kind::conflict, current, "version conflict"};
  }
  const object_version version = ++m_last_version;
  m_objects.insert_or_assign(std::string(key), stored_value{std::string(value), version});
  if (fault == store_fault::lose_reply) {
    return make_outcome_unknown_error();
  }
  return version;
}

store_result<success> memory_object_store::erase(std::string_view key, object_version expected,
                                                 milliseconds /*timeout*/) {
  ++m_write_count;
  const store_fault fault = next_fault();
  if (fault == store_fault::unavailable) {
    return make_unavailable_error();
  }
  if (fault == store_fault::lose_request) {
    return make_outcome_unknown_error();
  }
  const auto it = m_objects.find(key);
  if (it == m_objects.end()) {
    return store_error{store_error_kind::not_found, 0, "not found"};
  }
  if (it->second.m_version != expected) {
    return store_error{store_error_kind::conflict, it->second.m_version, "version conflict"};
  }
  m_objects.erase(it);
  ++m_last_version;
  if (fault == store_fault::lose_reply) {
    return make_outcome_unknown_error();
  }
  return success{};
}

store_result<std::vector<stored_key>> memory_object_store::list(std::string_view prefix,
                                                                milliseconds /*timeout*/) {
  ++m_read_count;
  if (next_fault() != store_fault::none) {
    return make_unavailable_error();
  }
  std::vector<stored_key> keys;
  for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix);
       ++it) {
    keys.push_back({it->first, it->second.m_version});
  }
  return keys;
}

store_result<stored_value> memory_object_store::watch(std::string_view key, object_version after,
                                                      milliseconds timeout) {
  auto found = get(key, timeout);
  if (found && found->m_version <= after) {
    return stored_value{{}, after};
  }
  return found;
}

} // namespace cardamompond
