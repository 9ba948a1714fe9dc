#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"
#include "cardamompond/gateway/fleet_view.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <utility>

namespace cardamompond::gateway {

// Counts of calls to the store, for metrics.
struct store_call_counters {
  std::uint64_t m_lists = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_discarded_lists = 0; // lists older than the replica
};

// Bounds the log lines of an event that may repeat without end: admits it when its key changes, and once per
// interval while the key stays the same.
class repeated_event_filter {
public:
  using event_key = std::pair<store_version, store_version>;

  // Returns the number of events that were not admitted since the last that was, or nothing if this event is
  // not to be logged.
  std::optional<std::uint64_t> admit(event_key key, time_point now);

private:
  std::optional<event_key> m_key;
  time_point m_admitted_at;
  std::uint64_t m_suppressed = 0;
};

// Chooses the failed calls to the store that are logged: the first one since the start or the last success,
// and the first one among them whose answer could not be read, since that is no outage and does not end like
// one.
class store_failure_filter {
public:
  // Returns whether a failure is to be logged.
  bool admit(document_error_kind kind);

  void handle_success() { *this = {}; }

private:
  bool m_failed = false;
  bool m_malformed = false;
};

// Keeps one collection up to date from the store: lists it once, then watches it, and lists it again when the
// store no longer has the history for the watch. Makes no calls while peers pass the collection on to this
// daemon. Runs on its own fiber.
class collection_watcher {
public:
  // Connects the watcher to the exchange between the daemons.
  struct peer_callbacks {
    std::function<bool(collection_kind)> m_updated_by_peers; // whether peers keep the collection up to date
    std::function<void()> m_announce_change;                 // called after a change read from the store
    // Whether a peer has read the collection from the store without a failure since the time given, or
    // longer, and has heard of the store after that time or knows a change after the version given.
    std::function<bool(collection_kind, time_point, store_version)> m_read_by_peers_since;
    // The latest era of the store that a peer states for its copy of the collection.
    std::function<std::uint64_t(collection_kind)> m_latest_peer_era;
  };

  collection_watcher(document_store& store, fleet_view& view, collection_kind kind, peer_callbacks peers,
                     std::uint64_t seed);

  // Never returns.
  void run();

  // Ends a watch under way if the content may be of an earlier era of the store than the present one. Must be
  // called several times a second: the store may come back from a copy without closing connections.
  void interrupt_outdated_watch();

  // Whether the last call to the store succeeded.
  bool connected() const { return m_connected; }

  const store_call_counters& counters() const { return m_counters; }

private:
  bool is_current_through_peers() const;
  bool may_be_of_earlier_era() const;
  bool is_of_withdrawn_era() const;
  void step(); // lists or watches the collection once, or waits while peers keep it up to date
  bool list();
  void wait_for_peer_readers();
  void watch();
  void handle_failure(const document_error& error);
  void handle_success();
  void apply_snapshot(const collection_snapshot& snapshot);
  void report_discarded_list(const collection_snapshot& snapshot);
  void report_history_gone();
  void back_off(std::uint32_t earlier_attempts);
  void wait_for_restored_entries();
  milliseconds watch_wait();

  document_store& m_store;
  fleet_view& m_fleet_view;
  collection_kind m_kind;
  peer_callbacks m_peer_callbacks;
  std::mt19937_64 m_random;
  store_call_counters m_counters;
  repeated_event_filter m_discarded_lists;
  repeated_event_filter m_history_gone;
  store_failure_filter m_failures;
  bool m_connected = false;
  bool m_watching = false;      // a watch is under way
  bool m_shorten_watch = false; // the next one is the first after a list or a change
  bool m_list_next = true;
  time_point m_next_era_check; // until then, the era that peers state is no reason for a list
  std::uint32_t m_consecutive_failures = 0;
  std::uint32_t m_consecutive_history_gone = 0; // watches that failed since the last that succeeded
  time_point m_outage_began;                    // when the first of the consecutive failures occurred
  store_version m_outage_as_of;                 // version of the replica at that time
  store_version m_keeping_as_of;                // the same for the last outage after which entries were kept
  time_point m_keeping_since;                   // beginning of the last outage after which entries were kept
  time_point m_entries_restored_at; // until then the store may lack entries that expired during its outage
};

} // namespace cardamompond::gateway
