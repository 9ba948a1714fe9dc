#include "cardamompond/gateway/collection_watcher.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <set>

namespace cardamompond::gateway {
namespace {

// One watch lasts at most this long, so that one that went silent is noticed within the time in which changes
// of the collection must be in force. Each daemon and collection costs one call to the store in that time.
milliseconds watch_timeout(collection_kind kind) {
  switch (kind) {
  case collection_kind::declarations:
  case collection_kind::backend_servers:
    return milliseconds(2'500);
  case collection_kind::rollouts:
  case collection_kind::evacuations:
    return milliseconds(4'000);
  case collection_kind::members:
    break;
  }
  return milliseconds(10'000);
}

// Normal answers take a few milliseconds, and half a second when the store is slow.
constexpr milliseconds list_timeout{1'500};

// After a change the next watch waits this long, so that changes in quick succession cost one call.
constexpr milliseconds pause_after_change{200};

// After its first list a daemon hears within this time whether others read for it: where all daemons start
// together, they register, learn of one another by a watch and report within some 0.6 s. Changes must be in
// force within two seconds. Without the pause each start cost a watch of every collection.
constexpr milliseconds peer_readers_wait{1'000};

// How often a daemon for which others read looks whether they still do.
constexpr milliseconds peer_readers_poll_interval{100};

constexpr milliseconds min_backoff{50};
constexpr milliseconds max_backoff{600};

// An outage this long lets entries of living backend servers lapse; they are back within about two seconds of
// the store's return.
constexpr duration min_outage_for_expiry = milliseconds(1'500);
constexpr duration entries_restore_time = milliseconds(2'200);

} // namespace

collection_watcher::collection_watcher(document_store& store, fleet_view& view, collection_kind kind,
                                       peer_callbacks peers, std::uint64_t seed)
    : m_store(store)
    , m_fleet_view(view)
    , m_kind(kind)
    , m_peer_callbacks(std::move(peers))
    , m_random(seed) {}

void collection_watcher::run() {
  while (true) {
    step();
  }
}

void collection_watcher::step() {
  if (m_list_next) {
    const bool first_list = !m_fleet_view.collection(m_kind).loaded();
    if (!list()) {
      return;
    }
    if (first_list && m_kind != collection_kind::members) {
      wait_for_peer_readers();
    }
    m_list_next = monotonic_now() < m_entries_restored_at;
    if (m_list_next) {
      constexpr milliseconds relist_interval{400};
      boost::this_fiber::sleep_for(relist_interval);
    }
    return;
  }
  if (m_consecutive_failures == 0 && m_peer_callbacks.m_updated_by_peers(m_kind)) {
    boost::this_fiber::sleep_for(peer_readers_poll_interval);
    return;
  }
  watch();
}

bool collection_watcher::list() {
  ++m_counters.m_lists;
  const auto listed = m_store.list(m_kind, list_timeout);
  if (!listed) {
    handle_failure(listed.error());
    return false;
  }
  handle_success();
  apply_snapshot(*listed);
  m_fleet_view.confirm(m_kind, listed->m_as_of, monotonic_now());
  return true;
}

void collection_watcher::wait_for_peer_readers() {
  const time_point until = monotonic_now() + peer_readers_wait;
  while (monotonic_now() < until && !m_peer_callbacks.m_updated_by_peers(m_kind)) {
    boost::this_fiber::sleep_for(peer_readers_poll_interval);
  }
}

// Right after an outage, entries that are missing are kept until they have had time to come back.
void collection_watcher::apply_snapshot(const collection_snapshot& snapshot) {
  if (m_kind != collection_kind::backend_servers || monotonic_now() >= m_entries_restored_at) {
    m_fleet_view.apply(m_kind, snapshot, "store");
    return;
  }
  collection_snapshot merged = snapshot;
  std::set<std::string_view> listed;
  for (const auto& each : snapshot.m_documents) {
    listed.insert(each.m_name);
  }
  for (const auto& [name, each] : m_fleet_view.collection(m_kind).documents()) {
    if (!listed.contains(name)) {
      merged.m_documents.push_back(each);
    }
  }
  m_fleet_view.apply(m_kind, merged, "store_after_outage");
}

void collection_watcher::watch() {
  ++m_counters.m_watches;
  const auto changes = m_store.watch(m_kind, m_fleet_view.collection(m_kind).as_of(), watch_timeout(m_kind));
  if (!changes) {
    if (changes.error().m_kind == document_error_kind::history_gone) {
      log_event(log_level::info, "watch_history_gone",
                {{"collection", to_string(m_kind)}, {"as_of", m_fleet_view.collection(m_kind).as_of()}});
      m_list_next = true;
      return;
    }
    handle_failure(changes.error());
    m_list_next = true;
    return;
  }
  handle_success();
  if (m_list_next) {
    return; // the store was away: what lapsed meanwhile needs the whole list
  }
  const bool changed = m_fleet_view.apply(m_kind, *changes, "store");
  m_fleet_view.confirm(m_kind, changes->m_as_of, monotonic_now());
  if (changed) {
    m_peer_callbacks.m_announce_change();
    boost::this_fiber::sleep_for(pause_after_change);
  }
}

void collection_watcher::handle_failure(const document_error& error) {
  ++m_counters.m_failures;
  const time_point now = monotonic_now();
  if (m_consecutive_failures == 0) {
    m_outage_began = now;
  }
  if (m_connected) {
    m_connected = false;
    log_event(log_level::warning, "store_lost",
              {{"collection", to_string(m_kind)},
               {"reason", to_string(error.m_kind)},
               {"message", error.m_message},
               {"as_of", m_fleet_view.collection(m_kind).as_of()}});
  }
  const auto doublings = std::min(m_consecutive_failures++, 5U);
  const auto backoff_limit = std::min(min_backoff * (1U << doublings), max_backoff);
  std::uniform_int_distribution<std::int64_t> backoff_ms(backoff_limit.count() / 2, backoff_limit.count());
  boost::this_fiber::sleep_for(milliseconds(backoff_ms(m_random)));
}

void collection_watcher::handle_success() {
  const time_point now = monotonic_now();
  if (m_consecutive_failures > 0 && now - m_outage_began >= min_outage_for_expiry &&
      m_fleet_view.collection(m_kind).loaded()) {
    m_entries_restored_at = now + entries_restore_time;
    m_list_next = true;
  }
  m_consecutive_failures = 0;
  if (!m_connected) {
    m_connected = true;
    log_event(log_level::info, "store_reached",
              {{"collection", to_string(m_kind)}, {"as_of", m_fleet_view.collection(m_kind).as_of()}});
  }
}

} // namespace cardamompond::gateway
