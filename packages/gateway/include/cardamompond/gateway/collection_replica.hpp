#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace cardamompond::gateway {

// This daemon's copy of one collection of the store, filled from the store or from a peer. Its version never
// decreases, so neither a stale response of the store nor a peer with an older copy can undo a change. Its
// revision does when the store begins a new era. An era that only a peer stated holds until the store states
// another one.
//
// Beside the store's documents, a replica may keep documents that the store no longer lists. They have no
// revision of the collection, are known to this daemon only, and appear neither in snapshots nor in
// changed_at().
class collection_replica {
public:
  using document_map = std::map<std::string, document, std::less<>>;

  // Where a snapshot was read. What the store says about its era takes precedence over what a peer says.
  enum class origin { store, peer };

  // Replaces the content unless the snapshot is older. Returns whether the content changed.
  bool apply(const collection_snapshot& snapshot, origin from = origin::store);

  // Whether the snapshot would be discarded as older than the content.
  bool is_older(const collection_snapshot& snapshot, origin from) const;

  // Applies the changes unless they are older than the content, of another era, or follow a later version.
  // Returns whether the content changed.
  bool apply(const collection_changes& changes);

  // Applies a snapshot like apply(), and keeps the documents that were known and are not in it. Returns
  // whether the content or what is kept changed.
  bool apply_keeping(const collection_snapshot& snapshot, origin from = origin::store);

  // Forgets the kept documents. Returns whether there were any.
  bool drop_kept();

  // Whether the store itself stated the era of the content.
  bool has_era_of_store() const { return m_era_from_store; }

  // Records that the store contradicts the era of the content. Whatever era it states next replaces it.
  void withdraw_era() { m_era_from_store = false; }

  // Records since when this daemon has read the collection from the store without a failure; time_point{}: it
  // does not read it now.
  void set_read_since(time_point since) { m_read_since = since; }
  time_point read_since() const { return m_read_since; }

  // Records whether the last call to the store for the collection failed.
  void set_store_out_of_reach(bool out_of_reach) { m_store_out_of_reach = out_of_reach; }
  bool store_out_of_reach() const { return m_store_out_of_reach; }

  // Records that the content was complete up to the version `as_of` at the time `when`, according to the
  // store or to a peer with the same content. Says nothing about the content if it is of another era.
  void confirm(store_version as_of, time_point when);

  // Whether the content has been received at least once.
  bool loaded() const { return m_as_of.m_revision > 0; }

  // The version of the store up to which the content is complete.
  store_version as_of() const { return m_as_of; }

  // The version of the last known change of the content; at most as_of(), and of the same era.
  store_version changed_at() const { return m_changed_at; }

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
  store_version m_as_of;
  store_version m_changed_at;
  bool m_era_from_store =
      false; // whether the store itself stated the era of the content and has not withdrawn it
  time_point m_confirmed_at;
  time_point m_read_since;
  bool m_store_out_of_reach = false;
};

} // namespace cardamompond::gateway
