#pragma once

#include "cardamompond/cell/fault_signal_registry.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/scheduler/configuration.hpp"

#include <set>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

// Holds the fault signals known to this daemon and exchanges them with peers and with the platform object
// `signals`.
class fault_signal_exchange {
public:
  explicit fault_signal_exchange(object_store& store)
      : m_store(store) {}

  // Merges fault signals known to the engine or to a peer. Returns whether anything changed.
  bool merge(const fault_signal_set& fault_signals, time_point now);

  // Merges the JSON text of a peer or of the platform object. Malformed text changes nothing. Returns whether
  // anything changed.
  bool merge_encoded(std::string_view text, time_point now);

  // Removes breaker trips that are superseded by a declaration with a higher attempt number.
  void apply(const scheduler::configuration& config);

  void expire(time_point now) { m_registry.expire(now); }

  // Returns all fault signals as JSON text.
  std::string encoded(time_point now) const;
  fault_signal_set fault_signals(time_point now) const { return m_registry.fault_signals(now); }
  std::uint64_t version() const { return m_registry.version(); }
  bool is_quarantined(const hash128& fingerprint, time_point now) const;

  // Merges the platform object into this set and writes the result back; called by the cell owner. Blocks.
  // Returns whether the set changed. If another cell writes at the same time, the write is retried by the
  // next call.
  bool synchronize_with_store(time_point now);

private:
  object_store& m_store;
  cell::fault_signal_registry m_registry;
  std::uint64_t m_stored_version = 0; // version of the registry last known to be in the platform object
  object_version m_object_version = 0;
};

} // namespace cardamompond::daemon
