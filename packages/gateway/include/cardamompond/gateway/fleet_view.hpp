#pragma once

#include "cardamompond/fleet/route_table.hpp"
#include "cardamompond/gateway/collection_replica.hpp"
#include "cardamompond/gateway/document_reader.hpp"
#include "cardamompond/gateway/earlier_era.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// This daemon's view of the fleet: replicas of the collections and the objects parsed from them. Not
// thread-safe.
class fleet_view {
public:
  using observer = std::function<void(collection_kind)>;

  explicit fleet_view(const document_reader& reader);

  const collection_replica& collection(collection_kind kind) const {
    return m_collections[static_cast<std::size_t>(kind)];
  }

  // Applies a newer state to a collection and calls the observers if its content changed; returns whether it
  // did. `source` names the origin of the state in the log. For some time after a change of the store's era,
  // entries that its copy lacks are kept, and entries that it brought back do not replace what is known to be
  // newer.
  bool apply(collection_kind kind, const collection_snapshot& snapshot, std::string_view source,
             collection_replica::origin from = collection_replica::origin::store);
  bool apply(collection_kind kind, const collection_changes& changes, std::string_view source);

  // Applies a snapshot after an outage of the store. Known documents that are not in it are kept, since they
  // may have expired although they are still valid. Peers are not told of them.
  bool apply_keeping(collection_kind kind, const collection_snapshot& snapshot, std::string_view source);

  // Whether the snapshot is the first of another era of the store than that of the known content.
  bool begins_era(collection_kind kind, const collection_snapshot& snapshot,
                  collection_replica::origin from) const;

  // Whether entries of the earlier era that the store lacks are kept.
  bool keeps_earlier_era(collection_kind kind, time_point now) const;

  // Ends what holds from the earlier era only until `now`.
  void expire_earlier_era(collection_kind kind, time_point now);

  // The next time at which expire_earlier_era() has an effect; nothing if there is none.
  std::optional<time_point> next_earlier_era_expiry(collection_kind kind) const;

  // Forgets the documents that were kept.
  void drop_kept(collection_kind kind, std::string_view source);

  // Records that the store contradicts the era of the replica.
  void withdraw_era(collection_kind kind) { m_collections[static_cast<std::size_t>(kind)].withdraw_era(); }

  // Returns when the store came back from a copy and began the era of the list of servers, as far as this
  // daemon or a peer noticed; nothing: it did not, or long ago.
  std::optional<time_point> restored_at() const;

  // Records that the store came back from a copy at the time `when` and began this era.
  void record_restore(std::uint64_t era, time_point when);

  // Records since when this daemon has read the collection from the store without a failure; time_point{}: it
  // does not read it now.
  void set_read_since(collection_kind kind, time_point since) {
    m_collections[static_cast<std::size_t>(kind)].set_read_since(since);
  }

  // Records whether the last call to the store for the collection failed.
  void set_store_out_of_reach(collection_kind kind, bool out_of_reach) {
    m_collections[static_cast<std::size_t>(kind)].set_store_out_of_reach(out_of_reach);
  }

  // Records that the replica was complete up to the version `as_of` at the time `when`.
  void confirm(collection_kind kind, store_version as_of, time_point when);

  void on_change(observer callback) { m_observers.push_back(std::move(callback)); }

  // The routes in force; null until declarations have been received.
  std::shared_ptr<const fleet::route_table> routes() const { return m_routes; }

  const std::vector<fleet::backend_server>& backend_servers() const { return m_backend_servers; }
  const std::vector<fleet::rollout_order>& rollouts() const { return m_rollouts; }
  const std::set<std::string, std::less<>>& evacuated_zones() const { return m_evacuated_zones; }
  const std::vector<member>& members() const { return m_members; }

  // Number of documents that could not be parsed since the start of the daemon.
  std::uint64_t unreadable_documents() const { return m_unreadable_documents; }

private:
  void decode(collection_kind kind, std::string_view source);
  void decode_declarations(std::string_view source);
  void decode_servers();
  void decode_rollouts();
  void decode_evacuations();
  void begin_era(collection_kind kind, const collection_snapshot& snapshot, std::string_view source);
  earlier_era& earlier(collection_kind kind) { return m_earlier_eras[static_cast<std::size_t>(kind)]; }
  // The objects read from the documents of a collection, by name, with the version that they were read from.
  template <typename T> struct decoded_document {
    std::optional<store_version> m_version;
    std::optional<T> m_object; // nothing: the document could not be read
  };
  template <typename T> using decoded_documents = std::map<std::string, decoded_document<T>, std::less<>>;

  // Reads the documents that changed since the last call and returns all objects. A collection may have
  // thousands of documents of which one changes at a time.
  template <typename T, typename Read>
  std::vector<T> decode_changed(collection_kind kind, decoded_documents<T>& known, const Read& read);
  void report_unreadable(collection_kind kind, const document& each, const unreadable_document& error);
  void report_unreadable_entries(collection_kind kind, std::size_t count, std::string_view source);

  const document_reader& m_reader;
  std::array<collection_replica, all_collection_kinds.size()> m_collections;
  std::array<earlier_era, all_collection_kinds.size()> m_earlier_eras;
  std::vector<observer> m_observers;
  std::shared_ptr<const fleet::route_table> m_routes;
  std::vector<fleet::backend_server> m_backend_servers;
  decoded_documents<fleet::backend_server> m_decoded_servers;
  decoded_documents<fleet::rollout_order> m_decoded_rollouts;
  decoded_documents<member> m_decoded_members;
  std::vector<fleet::rollout_order> m_rollouts;
  std::uint64_t m_rollouts_era = 0; // in which m_rollouts was listed
  std::uint64_t m_restored_era = 0; // which the store began at m_restored_at
  time_point m_restored_at;         // time_point{}: not known
  std::set<std::string, std::less<>> m_evacuated_zones;
  std::vector<member> m_members;
  std::uint64_t m_unreadable_documents = 0;
};

} // namespace cardamompond::gateway
