#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamompond::declarations {

// The difference between two sets: the new and changed objects, and the names of the removed ones.
struct difference {
  object_set m_upserted;
  std::vector<object_name> m_removed;
  bool empty() const;
  friend bool operator==(const difference&, const difference&) = default;
};

// A published change set, which turns revision m_revision - 1 into revision m_revision.
struct change_set {
  std::uint64_t m_revision = 0;
  std::string m_id;
  std::string m_previous_id; // of the change set that created the previous revision; empty for the first
  std::string m_owner;       // the owner whose operator published it
  difference m_difference;
  friend bool operator==(const change_set&, const change_set&) = default;
};

// Returns the difference that turns `from` into `to`.
difference diff(const object_set& from, const object_set& to);

// Applies a difference to `objects`. If the difference removes an object that does not exist, returns false
// and leaves `objects` in an unspecified state.
bool apply(const difference& change, object_set& objects);

// A changed key of an object, or an object that was added or removed as a whole (m_key is empty then).
struct object_change {
  enum class kind { added, removed, changed };
  kind m_kind = kind::changed;
  object_name m_object;
  std::string m_owner;
  std::string m_key;
  std::string m_before; // old value as JSON; "none" if the key was not set
  std::string m_after;  // new value, in the same form
};

// Lists the changes in a difference for operators. `from` is the set that the difference applies to.
std::vector<object_change> list_changes(const object_set& from, const difference& change);

// Returns the change as one line of text, e.g. "changed backend_server a1: slots 4 -> 8".
std::string to_string(const object_change& change);

} // namespace cardamompond::declarations
