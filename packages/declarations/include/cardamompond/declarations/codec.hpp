#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/declarations/change_set.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

struct decode_error {
  std::string m_message;
};

template <typename T> using decode_result = result<T, decode_error>;

// JSON of sets, change sets and snapshots. Decoding is strict: unknown or missing keys, wrong types, values
// out of bounds and doubled names are errors, and nothing of a faulty text is returned.
std::string encode(const object_set& objects);
std::string encode(const change_set& change);
std::string encode(const snapshot& value);

decode_result<object_set> decode_object_set(std::string_view text);
decode_result<change_set> decode_change_set(std::string_view text);
decode_result<snapshot> decode_snapshot(std::string_view text);

// An id that was published, and the revision that it made.
struct published_change_set {
  std::string m_id;
  std::uint64_t m_revision = 0;
  friend bool operator==(const published_change_set&, const published_change_set&) = default;
};

// The object `config/head`. Deltas are consecutive and end at m_revision; some may be older than the base, so
// that daemons close behind need not load it.
struct configuration_head {
  std::uint64_t m_revision = 0;
  std::string m_change_set_id;
  std::uint64_t m_base_revision = 0; // 0: the empty set
  std::vector<std::string> m_base_chunks;
  std::vector<change_set> m_deltas;
  std::vector<published_change_set> m_recent_change_sets; // oldest first; makes publishing idempotent
  friend bool operator==(const configuration_head&, const configuration_head&) = default;
};

std::string encode(const configuration_head& head);
decode_result<configuration_head> decode_head(std::string_view text);

// What one daemon sends another that is behind: consecutive change sets, or a whole snapshot.
std::string encode_update(const std::vector<change_set>& deltas);
std::string encode_update(const snapshot& value);

struct configuration_update {
  std::vector<change_set> m_deltas;
  bool m_has_snapshot = false;
  snapshot m_snapshot;
};

decode_result<configuration_update> decode_update(std::string_view text);

} // namespace cardamompond::declarations
