#include "cardamompond/declarations/reader.hpp"

#include "base_chunks.hpp"

namespace cardamompond::declarations {

store_result<apply_outcome> configuration_reader::poll(milliseconds timeout) {
  auto stored = m_store.get(head_key, timeout);
  if (!stored) {
    if (stored.error().m_kind == store_error_kind::not_found) {
      return apply_outcome::unchanged;
    }
    return stored.error();
  }
  return apply_head(*stored, timeout);
}

store_result<apply_outcome> configuration_reader::watch(milliseconds timeout) {
  auto stored = m_store.watch(head_key, m_head_version, timeout);
  if (!stored) {
    if (stored.error().m_kind == store_error_kind::not_found) {
      return apply_outcome::unchanged;
    }
    return stored.error();
  }
  if (stored->m_version <= m_head_version) {
    return apply_outcome::unchanged;
  }
  return apply_head(*stored, timeout);
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
      // The base may be older than the head, so the deltas are applied to it before m_replica is updated.
      configuration_replica base_with_deltas;
      base_with_deltas.apply_snapshot(std::move(*base));
      base_with_deltas.apply_deltas(head->m_deltas);
      if (base_with_deltas.revision() != head->m_revision) {
        return store_error{store_error_kind::unavailable, 0,
                           "malformed " + std::string(head_key) + ": its deltas do not fit its base"};
      }
      outcome = m_replica.apply_snapshot(*base_with_deltas.current());
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
      // The chunk may be missing because a newer base replaced this one after the head was read. The error is
      // reported as temporary: the next read gets the newer head.
      error.m_kind = store_error_kind::unavailable;
      error.m_message = key + ": " + error.m_message;
      return error;
    }
    if (chunk_key(chunk->m_value) != key) {
      return store_error{store_error_kind::unavailable, 0,
                         key + ": the content does not match the hash in the key"};
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
