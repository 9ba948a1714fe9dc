#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/document_store.hpp"
#include "cardamompond/gateway/fleet_knowledge.hpp"

#include <cstdint>
#include <functional>
#include <random>

namespace cardamompond::gateway {

// Calls to the store and their results, for metrics.
struct feed_counters {
  std::uint64_t m_lists = 0;
  std::uint64_t m_watches = 0;
  std::uint64_t m_failures = 0;
};

// Keeps one collection up to date from the store: lists it once, then watches it, and lists it again when the
// history is gone. Rests while other daemons read it for this one. Runs on a fiber of its own.
class collection_feed {
public:
  // What a feed asks and tells the exchange between the daemons.
  struct peer_hooks {
    std::function<bool(collection_kind)> m_covered; // whether other daemons keep this one up to date
    std::function<void()> m_announce;               // there is news from the store
  };

  collection_feed(document_store& store, fleet_knowledge& knowledge, collection_kind kind, peer_hooks peers,
                  std::uint64_t seed);

  // Never returns.
  void run();

  // Whether the last call succeeded.
  bool connected() const { return m_connected; }

  const feed_counters& counters() const { return m_counters; }

private:
  void step();
  bool list();
  void wait_for_readers();
  void watch();
  void note_failure(const document_error& error);
  void note_success();
  void apply_snapshot(const collection_snapshot& snapshot);

  document_store& m_store;
  fleet_knowledge& m_knowledge;
  collection_kind m_kind;
  peer_hooks m_peers;
  std::mt19937_64 m_random;
  feed_counters m_counters;
  bool m_connected = false;
  bool m_list_next = true;
  std::uint32_t m_failures_in_row = 0;
  time_point m_lost;       // when the first call of a series failed
  time_point m_settled_at; // until then the store may lack entries that lapsed during its outage
};

} // namespace cardamompond::gateway
