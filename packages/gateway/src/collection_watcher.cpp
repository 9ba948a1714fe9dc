#include "cardamompond/gateway/collection_watcher.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace cardamompond::gateway {
namespace {

// The longest duration of one watch. A watch whose connection died silently is noticed after this time, so it
// must be within the time in which a change of the collection must be in force. Each daemon makes one call to
// the store per collection in this time.
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

// The least part of that time which the first watch after a list or a change takes.
constexpr double min_first_watch_share = 0.4;

// The store normally responds within a few milliseconds, and within half a second when it is slow.
constexpr milliseconds list_timeout{1'500};

// Pause between a change and the next watch, so that changes in quick succession cost a single call.
constexpr milliseconds pause_after_change{200};

// The longest wait after the first list for peers that read the collection for this daemon. When all daemons
// start together, they register, learn of one another by a watch and report within about 0.6 s. Changes must
// be in force within two seconds. Without the wait, each start of a daemon costs a watch of every collection.
constexpr milliseconds peer_readers_wait{1'000};

// Interval at which a daemon checks whether peers still read the collection for it.
constexpr milliseconds peer_readers_poll_interval{100};

constexpr milliseconds min_backoff{50};
constexpr milliseconds max_backoff{600};

// The same for collections that change rarely and whose changes need not be in force at once. Calls that fail
// are charged like others.
constexpr milliseconds max_backoff_of_rare_changes{1'500};

milliseconds max_backoff_for(collection_kind kind) {
  return kind == collection_kind::declarations || kind == collection_kind::backend_servers
             ? max_backoff
             : max_backoff_of_rare_changes;
}

// In an outage of the store of at least this length, the entries of live backend servers can expire. The
// servers register again within about two seconds after the store has recovered.
constexpr duration min_outage_for_expiry = milliseconds(1'500);
constexpr duration entries_restore_time = milliseconds(2'200);

// A list that does not show the era that a peer states is not repeated for that reason within this time. A
// report with an invented era must not make the daemons use up the store's rate.
constexpr duration era_check_interval = seconds(5);

// An event that repeats without a change is logged once in this time.
constexpr duration repeated_event_interval = seconds(5);

} // namespace

std::optional<std::uint64_t> repeated_event_filter::admit(event_key key, time_point now) {
  if (m_key == key && now - m_admitted_at < repeated_event_interval) {
    ++m_suppressed;
    return std::nullopt;
  }
  m_key = key;
  m_admitted_at = now;
  return std::exchange(m_suppressed, 0);
}

bool store_failure_filter::admit(document_error_kind kind) {
  const bool malformed = kind == document_error_kind::malformed;
  const bool first = !m_failed || (malformed && !m_malformed);
  m_failed = true;
  m_malformed = m_malformed || malformed;
  return first;
}

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

// Whether peers in touch with the store pass on every change, so that neither a list nor a watch brings
// anything new. After an outage in which entries of servers can have expired, that holds only if a peer read
// the store all the time.
bool collection_watcher::is_current_through_peers() const {
  const time_point now = monotonic_now();
  if (!m_fleet_view.collection(m_kind).loaded() || now < m_entries_restored_at ||
      !m_peer_callbacks.m_updated_by_peers(m_kind)) {
    return false;
  }
  const bool may_have_expired = m_kind == collection_kind::backend_servers && m_consecutive_failures > 0 &&
                                now - m_outage_began >= min_outage_for_expiry;
  return !may_have_expired || m_peer_callbacks.m_read_by_peers_since(m_kind, m_outage_began, m_outage_as_of);
}

// Whether an answer of the store for any collection, or a peer, stated a later era than that of the content.
bool collection_watcher::may_be_of_earlier_era() const {
  const auto& known = m_fleet_view.collection(m_kind);
  const std::uint64_t era = known.as_of().m_era;
  return known.loaded() && (m_store.era() > era || (monotonic_now() >= m_next_era_check &&
                                                    m_peer_callbacks.m_latest_peer_era(m_kind) > era));
}

// Whether the store stated the era of the content in error and has gone back to a lower one.
bool collection_watcher::is_of_withdrawn_era() const {
  const auto& known = m_fleet_view.collection(m_kind);
  return known.loaded() && known.has_era_of_store() && m_store.era() < known.as_of().m_era;
}

void collection_watcher::interrupt_outdated_watch() {
  if (m_watching && (is_of_withdrawn_era() || may_be_of_earlier_era())) {
    m_store.interrupt_watch(m_kind);
  }
}

void collection_watcher::step() {
  m_fleet_view.expire_earlier_era(m_kind, monotonic_now());
  if (is_of_withdrawn_era()) {
    m_fleet_view.withdraw_era(m_kind);
    m_list_next = true;
  } else if (may_be_of_earlier_era()) {
    m_list_next = true;
  } else if (is_current_through_peers()) {
    m_list_next = false;
    m_consecutive_failures = 0;
    m_fleet_view.set_read_since(m_kind, {});
    m_fleet_view.set_store_out_of_reach(m_kind,
                                        false); // not known, and asked for before anything is believed
    boost::this_fiber::sleep_for(peer_readers_poll_interval);
    return;
  }
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
      wait_for_restored_entries();
    }
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
  m_shorten_watch = true;
  apply_snapshot(*listed);
  m_fleet_view.confirm(m_kind, listed->m_as_of, monotonic_now());
  if (may_be_of_earlier_era()) {
    m_next_era_check = monotonic_now() + era_check_interval;
    back_off(3);
  }
  return true;
}

void collection_watcher::wait_for_peer_readers() {
  const time_point until = monotonic_now() + peer_readers_wait;
  while (monotonic_now() < until && !m_peer_callbacks.m_updated_by_peers(m_kind)) {
    boost::this_fiber::sleep_for(peer_readers_poll_interval);
  }
}

// For some time after an outage of the store, keeps known backend servers that the list lacks: their entries
// may have expired during the outage although the servers are alive. If peers read the store meanwhile, the
// outage was one of this daemon alone, and what the list lacks has left.
void collection_watcher::apply_snapshot(const collection_snapshot& snapshot) {
  report_discarded_list(snapshot);
  if (m_fleet_view.begins_era(m_kind, snapshot, collection_replica::origin::store) ||
      m_fleet_view.keeps_earlier_era(m_kind, monotonic_now())) {
    // Entries that expired in an outage before are kept for the same time, without further lists.
    m_entries_restored_at = {};
    m_fleet_view.apply(m_kind, snapshot, "store");
    return;
  }
  if (m_kind != collection_kind::backend_servers || monotonic_now() >= m_entries_restored_at ||
      m_peer_callbacks.m_read_by_peers_since(m_kind, m_keeping_since, m_keeping_as_of)) {
    m_entries_restored_at = {};
    m_fleet_view.apply(m_kind, snapshot, "store");
    m_fleet_view.drop_kept(m_kind, "store");
    return;
  }
  m_fleet_view.apply_keeping(m_kind, snapshot, "store_after_outage");
}

// The revision of the list beside that of the replica tells a store whose revisions went back from one that
// does not answer.
void collection_watcher::report_discarded_list(const collection_snapshot& snapshot) {
  const auto known = m_fleet_view.collection(m_kind).as_of();
  if (!m_fleet_view.collection(m_kind).is_older(snapshot, collection_replica::origin::store)) {
    return;
  }
  ++m_counters.m_discarded_lists;
  if (const auto suppressed = m_discarded_lists.admit({snapshot.m_as_of, known}, monotonic_now())) {
    log_event(log_level::warning, "list_discarded",
              {{"collection", to_string(m_kind)},
               {"era", known.m_era},
               {"as_of", known.m_revision},
               {"list_era", snapshot.m_as_of.m_era},
               {"list_as_of", snapshot.m_as_of.m_revision},
               {"suppressed", *suppressed}});
  }
}

void collection_watcher::report_history_gone() {
  const auto known = m_fleet_view.collection(m_kind).as_of();
  if (const auto suppressed = m_history_gone.admit({known, {}}, monotonic_now())) {
    log_event(log_level::info, "watch_history_gone",
              {{"collection", to_string(m_kind)},
               {"era", known.m_era},
               {"as_of", known.m_revision},
               {"suppressed", *suppressed}});
  }
}

// Entries that are kept in a new era are dropped in time also if nothing changes. All daemons begin a watch
// at the time of a change. They end at different times, so that some daemon soon hears of a new era of a
// store that cut off none of them.
milliseconds collection_watcher::watch_wait() {
  milliseconds wait = watch_timeout(m_kind);
  if (std::exchange(m_shorten_watch, false)) {
    std::uniform_int_distribution<std::int64_t> first_wait_ms(
        static_cast<std::int64_t>(min_first_watch_share * static_cast<double>(wait.count())), wait.count());
    wait = milliseconds(first_wait_ms(m_random));
  }
  const auto expiry = m_fleet_view.next_earlier_era_expiry(m_kind);
  if (!expiry) {
    return wait;
  }
  return std::clamp(std::chrono::ceil<milliseconds>(*expiry - monotonic_now()), milliseconds(1), wait);
}

// Waits before the next list after an outage. Forgets what was kept as soon as a peer shows that it read the
// store during the outage; a daemon that was cut off hears of its peers only after it has read the store.
void collection_watcher::wait_for_restored_entries() {
  constexpr milliseconds relist_interval{1'000}; // each list of each daemon is charged
  constexpr milliseconds peers_poll_interval{20};
  const time_point until = std::min<time_point>(monotonic_now() + relist_interval, m_entries_restored_at);
  while (monotonic_now() < until) {
    boost::this_fiber::sleep_for(peers_poll_interval);
    if (m_peer_callbacks.m_read_by_peers_since(m_kind, m_keeping_since, m_keeping_as_of)) {
      m_entries_restored_at = {};
      m_fleet_view.drop_kept(m_kind, "peers");
      return;
    }
  }
}

void collection_watcher::watch() {
  ++m_counters.m_watches;
  m_watching = true;
  const auto changes = m_store.watch(m_kind, m_fleet_view.collection(m_kind).as_of(), watch_wait());
  m_watching = false;
  if (!changes) {
    if (changes.error().m_kind == document_error_kind::history_gone) {
      report_history_gone();
      m_list_next = true;
      if (m_consecutive_history_gone++ > 0) {
        back_off(m_consecutive_history_gone - 2); // the list in between did not help
      }
      return;
    }
    handle_failure(changes.error());
    m_list_next = true;
    return;
  }
  handle_success();
  m_consecutive_history_gone = 0;
  if (m_list_next) {
    return; // after an outage only a full list shows which entries expired meanwhile
  }
  const bool changed = m_fleet_view.apply(m_kind, *changes, "store");
  m_fleet_view.confirm(m_kind, changes->m_as_of, monotonic_now());
  if (changed) {
    m_shorten_watch = true;
    m_peer_callbacks.m_announce_change();
    boost::this_fiber::sleep_for(pause_after_change);
  }
}

void collection_watcher::handle_failure(const document_error& error) {
  ++m_counters.m_failures;
  const time_point now = monotonic_now();
  m_fleet_view.set_read_since(m_kind, {});
  m_fleet_view.set_store_out_of_reach(m_kind, true);
  if (m_consecutive_failures == 0) {
    m_outage_began = now;
    m_outage_as_of = m_fleet_view.collection(m_kind).as_of();
  }
  m_connected = false;
  if (m_failures.admit(error.m_kind)) {
    log_event(log_level::warning, "store_lost",
              {{"collection", to_string(m_kind)},
               {"reason", to_string(error.m_kind)},
               {"message", error.m_message},
               {"era", m_fleet_view.collection(m_kind).as_of().m_era},
               {"as_of", m_fleet_view.collection(m_kind).as_of().m_revision}});
  }
  back_off(m_consecutive_failures++);
}

// Sleeps for a random time that doubles with each attempt.
void collection_watcher::back_off(std::uint32_t earlier_attempts) {
  const auto doublings = std::min(earlier_attempts, 5U);
  const auto backoff_limit = std::min(min_backoff * (1U << doublings), max_backoff_for(m_kind));
  std::uniform_int_distribution<std::int64_t> backoff_ms(backoff_limit.count() / 2, backoff_limit.count());
  boost::this_fiber::sleep_for(milliseconds(backoff_ms(m_random)));
}

void collection_watcher::handle_success() {
  const time_point now = monotonic_now();
  if (m_consecutive_failures > 0 && now - m_outage_began >= min_outage_for_expiry &&
      m_fleet_view.collection(m_kind).loaded()) {
    m_keeping_since = m_outage_began;
    m_keeping_as_of = m_outage_as_of;
    m_entries_restored_at = now + entries_restore_time;
    m_list_next = true;
  }
  if (m_fleet_view.collection(m_kind).read_since() == time_point{}) {
    m_fleet_view.set_read_since(m_kind, now);
  }
  m_failures.handle_success();
  m_consecutive_failures = 0;
  m_fleet_view.set_store_out_of_reach(m_kind, false);
  if (!m_connected) {
    m_connected = true;
    log_event(log_level::info, "store_reached",
              {{"collection", to_string(m_kind)},
               {"era", m_fleet_view.collection(m_kind).as_of().m_era},
               {"as_of", m_fleet_view.collection(m_kind).as_of().m_revision}});
  }
}

} // namespace cardamompond::gateway
