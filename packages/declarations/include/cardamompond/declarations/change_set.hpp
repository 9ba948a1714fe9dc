#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamompond::declarations {

// The difference between two sets: objects that are new or changed, and the names of those that are gone.
struct difference {
  object_set m_upserted;
  std::vector<object_name> m_removed;
  bool empty() const;
  friend bool operator==(const difference&, const difference&) = default;
};

// A published change set: leads from revision m_revision - 1 to m_revision.
struct change_set {
  std::uint64_t m_revision = 0;
  std::string m_id;
  std::string m_previous_id; // of the change set that made the revision before; empty for the first
  std::string m_owner;       // whose operator published it
  difference m_difference;
  friend bool operator==(const change_set&, const change_set&) = default;
};

// What leads from one set to the other.
difference diff(const object_set& from, const object_set& to);

// Applies a difference. Returns false and leaves the set unspecified if it removes an object that is not
// there.
bool apply(const difference& change, object_set& objects);

// One changed key of an object, or a whole object that was added or removed (m_key empty).
struct object_change {
  enum class kind { added, removed, changed };
  kind m_kind = kind::changed;
  object_name m_object;
  std::string m_owner;
  std::string m_key;
  std::string m_before; // as JSON
  std::string m_after;
};

// Lists a difference for operators; `from` is the set that it is applied to.
std::vector<object_change> list_changes(const object_set& from, const difference& change);

// Returns the line as text, e.g. "changed backend_server a1: slots 4 -> 8".
std::string to_string(const object_change& change);

} // namespace cardamompond::declarations
