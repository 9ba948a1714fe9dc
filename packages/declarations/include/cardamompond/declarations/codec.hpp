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

// Encodes and decodes sets, change sets and snapshots as JSON. Decoding is strict: unknown or missing keys,
// wrong types, values out of bounds and duplicate names are errors, and a text with an error yields no
// partial result.
std::string encode(const object_set& objects);
std::string encode(const change_set& change);
std::string encode(const snapshot& value);

decode_result<object_set> decode_object_set(std::string_view text);
decode_result<change_set> decode_change_set(std::string_view text);
decode_result<snapshot> decode_snapshot(std::string_view text);

// The id of a published change set and the revision that it created.
struct published_change_set {
  std::string m_id;
  std::uint64_t m_revision = 0;
  friend bool operator==(const published_change_set&, const published_change_set&) = default;
};

// Content of the object `config/head`. The deltas are consecutive and end at m_revision. Some of them may be
// older than the base, so that daemons that lag by a few revisions need not load the base.
struct configuration_head {
  std::uint64_t m_revision = 0;
  std::string m_change_set_id;
  std::uint64_t m_base_revision = 0;      // 0 stands for the empty set
  std::vector<std::string> m_base_chunks; // keys of the objects that hold the encoded base
  std::vector<change_set> m_deltas;
  // Oldest first. Publishing is idempotent because a change set that is listed here is not published again.
  std::vector<published_change_set> m_recent_change_sets;
  friend bool operator==(const configuration_head&, const configuration_head&) = default;
};

std::string encode(const configuration_head& head);
decode_result<configuration_head> decode_head(std::string_view text);

// Encodes the update that a daemon sends to a peer with an older revision: consecutive change sets, or a
// whole snapshot.
std::string encode_update(const std::vector<change_set>& deltas);
std::string encode_update(const snapshot& value);

struct configuration_update {
  std::vector<change_set> m_deltas; // empty if m_has_snapshot
  bool m_has_snapshot = false;
  snapshot m_snapshot;
};

decode_result<configuration_update> decode_update(std::string_view text);

} // namespace cardamompond::declarations
