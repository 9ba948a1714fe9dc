#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cardamompond::gateway {

// One collection as this daemon knows it, from the store or from a peer. Only ever moves forward in the
// store's revisions, so that neither a stale answer nor a peer that is behind can undo a change.
class collection_replica {
public:
  // Replaces the content if the snapshot is newer; false: it was not, and nothing changed.
  bool apply(const collection_snapshot& snapshot);

  // Applies changes that follow the known revision; false: they were older and nothing changed.
  bool apply(const collection_changes& changes);

  // The store, or a daemon that has the same content, was found complete up to `as_of` at that time.
  void confirm(std::uint64_t as_of, time_point when);

  bool loaded() const { return m_as_of > 0; }

  // The store's revision up to which the content is complete.
  std::uint64_t as_of() const { return m_as_of; }

  // The revision at which the content last changed, as far as known; never above as_of().
  std::uint64_t changed_at() const { return m_changed_at; }

  // When the content was last known to be what the store holds.
  time_point confirmed_at() const { return m_confirmed_at; }

  const std::map<std::string, document, std::less<>>& documents() const { return m_documents; }

  // Size of all documents' content.
  std::size_t bytes() const;

  // Everything, for a peer.
  collection_snapshot snapshot() const;

private:
  std::map<std::string, document, std::less<>> m_documents;
  std::uint64_t m_as_of = 0;
  std::uint64_t m_changed_at = 0;
  time_point m_confirmed_at;
};

} // namespace cardamompond::gateway
