#include "cardamompond/declarations/reader.hpp"

#include "base_chunks.hpp"

namespace cardamompond::declarations {

store_result<apply_outcome> configuration_reader::poll(milliseconds timeout) {
  auto found = m_store.get(head_key, timeout);
  if (!found) {
    if (found.error().m_kind == store_error_kind::not_found) {
      return apply_outcome::unchanged;
    }
    return found.error();
  }
  return apply_head(*found, timeout);
}

store_result<apply_outcome> configuration_reader::watch(milliseconds timeout) {
  auto found = m_store.watch(head_key, m_head_version, timeout);
  if (!found) {
    if (found.error().m_kind == store_error_kind::not_found) {
      return apply_outcome::unchanged;
    }
    return found.error();
  }
  if (found->m_version <= m_head_version) {
    return apply_outcome::unchanged;
  }
  return apply_head(*found, timeout);
}

store_result<apply_outcome> configuration_reader::apply_head(const stored_value& value,
                                                             milliseconds timeout) {
  auto head = decode_head(value.m_value);
  if (!head) {
    return store_error{store_error_kind::unavailable, 0,
                       "malformed " + std::string(head_key) + ": " + head.error().m_message};
  }
  auto outcome = apply_outcome::unchanged;
  if (head->m_revision > m_replica.revision()) {
    outcome = m_replica.apply_deltas(head->m_deltas);
    if (outcome != apply_outcome::applied) {
      auto base = load_base(*head, timeout);
      if (!base) {
        return base.error();
      }
      // The base alone may be older than the head; it is completed before anything is offered.
      configuration_replica completed;
      completed.apply_snapshot(std::move(*base));
      completed.apply_deltas(head->m_deltas);
      if (completed.revision() != head->m_revision) {
        return store_error{store_error_kind::unavailable, 0,
                           "malformed " + std::string(head_key) + ": its deltas do not fit its base"};
      }
      outcome = m_replica.apply_snapshot(*completed.current());
    }
  }
  m_head = std::move(*head);
  m_head_version = value.m_version;
  return outcome;
}

store_result<snapshot> configuration_reader::load_base(const configuration_head& head, milliseconds timeout) {
  std::vector<std::string> chunks;
  for (const auto& key : head.m_base_chunks) {
    auto chunk = m_store.get(key, timeout);
    if (!chunk) {
      auto error = chunk.error();
      // A newer base has replaced this one since the head was read; the next read finds the newer head.
      error.m_kind = store_error_kind::unavailable;
      error.m_message = key + ": " + error.m_message;
      return error;
    }
    if (chunk_key(chunk->m_value) != key) {
      return store_error{store_error_kind::unavailable, 0, key + ": the content does not match the name"};
    }
    chunks.push_back(std::move(chunk->m_value));
  }
  auto base = decode_base(chunks, head.m_base_revision);
  if (!base) {
    return store_error{store_error_kind::unavailable, 0, "malformed base: " + base.error().m_message};
  }
  return std::move(*base);
}

} // namespace cardamompond::declarations
