#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cardamompond::gateway {

// This daemon's copy of one collection of the store, filled from the store or from a peer. Its revision never
// decreases, so neither a stale response of the store nor a peer with an older copy can undo a change.
//
// Beside the store's documents, a replica may keep documents that the store no longer lists. They have no
// revision of the collection, are known to this daemon only, and appear neither in snapshots nor in
// changed_at().
class collection_replica {
public:
  using document_map = std::map<std::string, document, std::less<>>;

  // Replaces the content unless the snapshot is older. Returns whether the content changed.
  bool apply(const collection_snapshot& snapshot);

  // Applies the changes unless they are older than the content. Returns whether the content changed.
  bool apply(const collection_changes& changes);

  // Applies a snapshot like apply(), and keeps the documents that were known and are not in it. Returns
  // whether the content or what is kept changed.
  bool apply_keeping(const collection_snapshot& snapshot);

  // Forgets the kept documents. Returns whether there were any.
  bool drop_kept();

  // Records since when this daemon has read the collection from the store without a failure; time_point{}: it
  // does not read it now.
  void set_read_since(time_point since) { m_read_since = since; }
  time_point read_since() const { return m_read_since; }

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

  // The documents of the store.
  const document_map& documents() const { return m_documents; }

  // The documents that are kept although the store does not list them. No name is in both.
  const document_map& kept_documents() const { return m_kept; }

  // Total size of the documents' content.
  std::size_t bytes() const;

  // All documents of the store, to be sent to a peer.
  collection_snapshot snapshot() const;

private:
  document_map m_documents;
  document_map m_kept;
  std::uint64_t m_as_of = 0;
  std::uint64_t m_changed_at = 0;
  time_point m_confirmed_at;
  time_point m_read_since;
};

} // namespace cardamompond::gateway
