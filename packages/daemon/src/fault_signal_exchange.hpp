#pragma once

#include "cardamompond/cell/signal_registry.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/scheduler/configuration.hpp"

#include <set>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

// The fault signals known to this daemon, and their exchange with peers and with the platform object
// `signals`.
class fault_signal_exchange {
public:
  explicit fault_signal_exchange(object_store& store)
      : m_store(store) {}

  // Merges what the engine or a peer knows. Returns whether anything changed.
  bool merge(const signal_set& signals, time_point now);

  // Merges the JSON of a peer; malformed text changes nothing and is counted.
  bool merge_encoded(std::string_view text, time_point now);

  // Drops trips that a declaration with a higher attempt supersedes.
  void apply(const scheduler::configuration& config);

  void expire(time_point now) { m_registry.expire(now); }

  std::string encoded(time_point now) const;
  signal_set signals(time_point now) const { return m_registry.signals(now); }
  std::uint64_t version() const { return m_registry.version(); }
  bool is_quarantined(const hash128& fingerprint, time_point now) const;

  // Merges with the platform object in both directions; for the cell owner. Blocks. Returns whether anything
  // new was learned. Losing a race with another cell leaves the write for the next call.
  bool synchronize_with_store(time_point now);

private:
  object_store& m_store;
  cell::signal_registry m_registry;
  std::uint64_t m_stored_version = 0; // of the registry, when the platform object was last known to hold it
  object_version m_object_version = 0;
};

} // namespace cardamompond::daemon
