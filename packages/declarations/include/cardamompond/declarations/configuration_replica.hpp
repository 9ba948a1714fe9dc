#pragma once

#include "cardamompond/declarations/codec.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::declarations {

// Result of applying deltas or a snapshot to a configuration_replica.
enum class apply_outcome {
  applied,    // the replica advanced to a higher revision
  unchanged,  // the input is not newer than the current revision
  needs_base, // the deltas are newer but do not apply to the current revision: load the base or a snapshot
  malformed,  // the input is invalid; no part of it was applied
};

// Holds the current configuration of one daemon. Deltas and snapshots from the platform and from peers may
// arrive in any order and more than once. Each input is applied atomically and only if it results in a higher
// revision. The class is not thread-safe, but the snapshots that it returns are immutable and may be used
// from any thread.
class configuration_replica {
public:
  // Returns the current configuration, or null if none has been applied yet.
  std::shared_ptr<const snapshot> current() const { return m_current; }

  // Returns the current revision, or 0 if no configuration has been applied yet.
  std::uint64_t revision() const { return m_current ? m_current->m_revision : 0; }

  // Applies those of the consecutive `deltas` that are above the current revision.
  apply_outcome apply_deltas(std::span<const change_set> deltas);

  // Replaces the configuration if the snapshot has a higher revision.
  apply_outcome apply_snapshot(snapshot value);

  // Decodes and applies an update that update_since() of a peer returned.
  apply_outcome apply_update(std::string_view text);

  // Returns the encoded update that brings a peer from `revision` to the current revision: the change sets in
  // between, or the complete snapshot if some of them are no longer retained. Returns an empty string if the
  // peer is up to date.
  std::string update_since(std::uint64_t revision) const;

private:
  struct retained_delta {
    change_set m_change;
    std::size_t m_bytes = 0; // encoded size
  };

  // Keeps a change set for update_since() and discards the oldest ones above the size limit.
  void retain_delta(const change_set& change);

  std::shared_ptr<const snapshot> m_current;
  std::deque<retained_delta> m_deltas; // consecutive, ending at the current revision
  std::size_t m_delta_bytes = 0;       // sum of the encoded sizes in m_deltas
};

} // namespace cardamompond::declarations
