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

enum class apply_outcome {
  applied,    // moved to a higher revision
  unchanged,  // not newer than what is in force
  needs_base, // newer, but the deltas do not connect to what is in force: load the base or a snapshot
  malformed,  // rejected as a whole
};

// The configuration in force in one daemon. Takes heads, deltas and snapshots from the platform and from
// peers in any order and repetition, and moves whole to a higher revision or not at all. Not thread-safe;
// snapshots given out are immutable and may be used from any thread.
class configuration_replica {
public:
  // What is in force; null before the first adoption.
  std::shared_ptr<const snapshot> current() const { return m_current; }

  // 0 before the first adoption.
  std::uint64_t revision() const { return m_current ? m_current->m_revision : 0; }

  // Applies the deltas that lie above the revision in force.
  apply_outcome apply_deltas(std::span<const change_set> deltas);
  apply_outcome apply_snapshot(snapshot value);

  // Takes what update_since() of a peer returned.
  apply_outcome apply_update(std::string_view text);

  // What a peer at `revision` needs to reach the revision in force: change sets, or the whole snapshot if
  // they are no longer held or larger than it. Empty if there is nothing newer.
  std::string update_since(std::uint64_t revision) const;

private:
  struct retained_delta {
    change_set m_change;
    std::size_t m_bytes = 0;
  };

  void retain_delta(const change_set& change);

  std::shared_ptr<const snapshot> m_current;
  std::deque<retained_delta> m_deltas; // consecutive, ending at the revision in force
  std::size_t m_delta_bytes = 0;
};

} // namespace cardamompond::declarations
