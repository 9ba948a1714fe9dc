#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cardamompond::gateway {

// This daemon's copy of one collection of the store, filled from the store or from a peer. Its revision never
// decreases, so neither a stale response of the store nor a peer with an older copy can undo a change.
class collection_replica {
public:
  // Replaces the content unless the snapshot is older. Returns whether the content changed.
  bool apply(const collection_snapshot& snapshot);

  // Applies the changes unless they are older than the content. Returns whether the content changed.
  bool apply(const collection_changes& changes);

  // Records that the content was complete up to the revision `as_of` at the time `when`, according to the
  // store or to a peer with the same content.
  void confirm(std::uint64_t as_of, time_point when);

  // Whether the content has been received at least once.
  bool loaded() const { return m_as_of > 0; }

  // The revision of the store up to which the content is complete.
  std::uint64_t as_of() const { return m_as_of; }

  // The revision of the last known change of the content; at most as_of().
  std::uint64_t changed_at() const { return m_changed_at; }

  // The last time at which the content was known to equal that of the store.
  time_point confirmed_at() const { return m_confirmed_at; }

  const std::map<std::string, document, std::less<>>& documents() const { return m_documents; }

  // Total size of the documents' content.
  std::size_t bytes() const;

  // All documents, to be sent to a peer.
  collection_snapshot snapshot() const;

private:
  std::map<std::string, document, std::less<>> m_documents;
  std::uint64_t m_as_of = 0;
  std::uint64_t m_changed_at = 0;
  time_point m_confirmed_at;
};

} // namespace cardamompond::gateway
