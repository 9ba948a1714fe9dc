#include "cardamompond/gateway/collection_watcher.hpp"

#include <boost/fiber/all.hpp>

#include <CppUTest/TestHarness.h>

#include <set>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

// Reads documents as backend servers that differ in their names only.
class name_reader final : public document_reader {
public:
  read_result<fleet::declarations> read_declarations(const document&) const override {
    return unreadable_document{"none"};
  }
  read_result<fleet::backend_server> read_backend_server(const document& source) const override {
    fleet::backend_server server;
    server.m_id = source.m_name;
    return server;
  }
  read_result<fleet::rollout_order> read_rollout(const document&) const override {
    return unreadable_document{"none"};
  }
  read_result<member> read_member(const document&) const override { return unreadable_document{"none"}; }
  std::string write_member(const member&) const override { return {}; }
};

struct end_of_test {};

// A store that can be made unavailable.
class switchable_store final : public document_store {
public:
  std::uint64_t era() const override { return m_content.m_as_of.m_era; }
  document_result<collection_snapshot> list(collection_kind, milliseconds) override {
    m_lists_of_era += m_content.m_as_of.m_era > 0 ? 1 : 0;
    return check() ? document_result<collection_snapshot>(m_content) : unavailable();
  }
  document_result<collection_changes> watch(collection_kind, store_version after,
                                            milliseconds wait) override {
    m_waits.push_back(wait);
    const time_point until = monotonic_now() + (m_watches_last ? wait : milliseconds(20));
    m_interrupted = false;
    while (monotonic_now() < until && !m_interrupted) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    if (m_interrupted) {
      return document_error{document_error_kind::history_gone, "interrupted"};
    }
    if (m_history_gone && check()) {
      return document_error{document_error_kind::history_gone, "gone"};
    }
    return check() ? document_result<collection_changes>(collection_changes{after, {}, 0}) : unavailable();
  }
  void interrupt_watch(collection_kind) override { m_interrupted = true; }
  document_result<success> create(collection_kind, std::string_view, std::string_view,
                                  milliseconds) override {
    return unavailable();
  }
  document_result<success> remove(collection_kind, std::string_view, milliseconds) override {
    return unavailable();
  }
  document_result<success> write_rollout_state(std::string_view, store_version, std::string_view,
                                               std::string_view, milliseconds) override {
    return unavailable();
  }

  collection_snapshot m_content;
  bool m_available = true;
  document_error_kind m_failure = document_error_kind::unavailable; // while it is not available
  bool m_history_gone = false;                                      // watches fail
  bool m_watches_last = false; // watches without a change last until their time has passed
  bool m_ended = false;
  int m_calls = 0;
  unsigned m_lists_of_era = 0;       // lists that stated an era
  std::vector<milliseconds> m_waits; // of the watches

private:
  bool m_interrupted = false;

  bool check() {
    ++m_calls;
    if (m_ended) {
      throw end_of_test(); // ends the fiber of the watcher
    }
    return m_available;
  }
  document_error unavailable() const { return {m_failure, "off"}; }
};

constexpr auto kind = collection_kind::backend_servers;

// A daemon that reads the servers, in an outage of the store.
struct watcher_fixture {
  explicit watcher_fixture(std::uint64_t seed = 7)
      : m_view(m_reader)
      , m_watcher(m_store, m_view, kind,
                  {[this](collection_kind) { return m_updated_by_peers; }, [] {},
                   [this](collection_kind, time_point since, store_version as_of) {
                     m_asked_since = since;
                     m_asked_as_of = as_of;
                     return m_read_by_peers;
                   },
                   [this](collection_kind) { return m_peer_era; }},
                  seed) {
    m_store.m_content = {10, {{"i-1", 3, ""}, {"i-2", 4, ""}}, 0};
    m_fiber = boost::fibers::fiber([this] {
      try {
        m_watcher.run();
      } catch (const end_of_test&) {
      }
    });
  }
  ~watcher_fixture() {
    m_updated_by_peers = false; // the watcher ends with its next call to the store
    m_store.m_ended = true;
    m_fiber.join();
  }

  // The store is away for longer than entries live. Meanwhile the entry of i-2 is removed or expires.
  void pass_outage() {
    boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
    UNSIGNED_LONGS_EQUAL(2, m_view.backend_servers().size());
    m_store.m_available = false;
    m_outage_began = monotonic_now();
    boost::this_fiber::sleep_for(milliseconds(1'700));
    m_store.m_content = {12, {{"i-1", 3, ""}}, 0};
    m_store.m_available = true;
    const time_point until = monotonic_now() + seconds(2);
    while (m_view.collection(kind).as_of() != store_version(12) && monotonic_now() < until) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    UNSIGNED_LONGS_EQUAL(12, m_view.collection(kind).as_of().m_revision);
  }

  name_reader m_reader;
  switchable_store m_store;
  bool m_read_by_peers = false;
  bool m_updated_by_peers = false;
  time_point m_asked_since;
  std::uint64_t m_peer_era = 0;
  store_version m_asked_as_of;
  time_point m_outage_began;
  fleet_view m_view;
  collection_watcher m_watcher;
  boost::fibers::fiber m_fiber;
};

} // namespace

TEST_GROUP(collection_watcher){};

// Guards against peers that take what a daemon kept after an outage for the list of the store, and against a
// server that has left and stays listed.
TEST(collection_watcher, what_is_kept_after_an_outage_is_local_and_expires) {
  watcher_fixture daemon;
  daemon.pass_outage();
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.backend_servers().size());
  const auto told = daemon.m_view.collection(kind).snapshot();
  UNSIGNED_LONGS_EQUAL(12, told.m_as_of.m_revision);
  UNSIGNED_LONGS_EQUAL(1, told.m_documents.size());
  STRCMP_EQUAL("i-1", told.m_documents.front().m_name.c_str());
  CHECK(daemon.m_asked_since >= daemon.m_outage_began);
  UNSIGNED_LONGS_EQUAL(10, daemon.m_asked_as_of.m_revision);
  boost::this_fiber::sleep_for(milliseconds(3'000));
  UNSIGNED_LONGS_EQUAL(1, daemon.m_view.backend_servers().size());
}

// Guards against a host that returns from a cut of its own and uses servers that its peers saw leave.
TEST(collection_watcher, nothing_is_kept_after_an_outage_that_peers_did_not_have) {
  watcher_fixture daemon;
  daemon.m_read_by_peers = true;
  daemon.pass_outage();
  UNSIGNED_LONGS_EQUAL(1, daemon.m_view.backend_servers().size());
}

// Guards against the same if the host hears of its peers only after it has read the store.
TEST(collection_watcher, what_is_kept_is_dropped_when_a_peer_shows_that_it_read_the_store) {
  watcher_fixture daemon;
  daemon.pass_outage();
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.backend_servers().size());
  daemon.m_read_by_peers = true;
  boost::this_fiber::sleep_for(milliseconds(200));
  UNSIGNED_LONGS_EQUAL(1, daemon.m_view.backend_servers().size());
}

// Guards against a list by every daemon of a large group after an outage that only some of them had.
TEST(collection_watcher, no_list_after_an_outage_while_peers_pass_on_the_changes) {
  watcher_fixture daemon;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_store.m_available = false;
  boost::this_fiber::sleep_for(milliseconds(1'700));
  daemon.m_updated_by_peers = true;
  daemon.m_read_by_peers = true;
  boost::this_fiber::sleep_for(milliseconds(700)); // a call that had begun and the longest backoff
  const int calls = daemon.m_store.m_calls;
  daemon.m_store.m_available = true;
  boost::this_fiber::sleep_for(milliseconds(700));
  LONGS_EQUAL(calls, daemon.m_store.m_calls);
}

// Guards against servers that stay unlisted: peers that did not read the store in the outage either cannot
// tell which entries expired.
TEST(collection_watcher, a_list_follows_an_outage_of_all_daemons) {
  watcher_fixture daemon;
  daemon.m_updated_by_peers = false;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_store.m_available = false;
  boost::this_fiber::sleep_for(milliseconds(1'700));
  daemon.m_updated_by_peers = true;
  const int calls = daemon.m_store.m_calls;
  daemon.m_store.m_available = true;
  boost::this_fiber::sleep_for(milliseconds(700));
  CHECK(daemon.m_store.m_calls > calls);
}

// Guards against a loop of lists and watches without a pause, which uses up the rate of the whole group: a
// store whose revisions went back, or that drops its history at once, answers 410 to each watch.
TEST(collection_watcher, lists_that_do_not_help_a_watch_are_bounded) {
  watcher_fixture daemon;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_store.m_content = {5, {{"i-1", 3, ""}}, 0};
  daemon.m_store.m_history_gone = true;
  const int calls = daemon.m_store.m_calls;
  boost::this_fiber::sleep_for(milliseconds(1'000));
  CHECK(daemon.m_store.m_calls - calls <= 20);
}

// Guards against servers that are dropped because the list cannot be read, and against changes that come into
// force late once it can be read again.
TEST(collection_watcher, an_unreadable_list_leaves_the_copy_and_delays_no_later_change) {
  watcher_fixture daemon;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_store.m_failure = document_error_kind::malformed;
  daemon.m_store.m_available = false;
  const int calls = daemon.m_store.m_calls;
  boost::this_fiber::sleep_for(milliseconds(3'000));
  CHECK_COMPARE(daemon.m_store.m_calls, >, calls);
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.backend_servers().size());
  daemon.m_store.m_content = {12, {{"i-1", 3, ""}, {"i-2", 4, ""}, {"i-3", 11, ""}}, 0};
  daemon.m_store.m_available = true;
  const time_point until = monotonic_now() + milliseconds(2'000);
  while (daemon.m_view.backend_servers().size() < 3 && monotonic_now() < until) {
    boost::this_fiber::sleep_for(milliseconds(20));
  }
  UNSIGNED_LONGS_EQUAL(3, daemon.m_view.backend_servers().size());
}

// Guards against a daemon that never reaches the store, or that cannot read its answers after an outage, and
// does not say so, and against a line for each failure.
TEST(collection_watcher, the_first_failure_and_the_first_unreadable_answer_are_logged) {
  using enum document_error_kind;
  store_failure_filter failures;
  CHECK(failures.admit(unavailable)); // at the start
  CHECK_FALSE(failures.admit(rate_limited));
  CHECK(failures.admit(malformed));
  CHECK_FALSE(failures.admit(unavailable));
  CHECK_FALSE(failures.admit(malformed));
  failures.handle_success();
  CHECK(failures.admit(malformed));
  CHECK_FALSE(failures.admit(unavailable));
}

// Guards against a log that a repeated event fills, and against changes that it hides.
TEST(collection_watcher, a_repeated_event_is_logged_again_when_it_changes_and_after_the_interval) {
  repeated_event_filter filter;
  const time_point begin{seconds(100)};
  CHECK(filter.admit({7, 9}, begin) == std::optional<std::uint64_t>(0));
  CHECK_FALSE(filter.admit({7, 9}, begin + seconds(1)).has_value());
  CHECK_FALSE(filter.admit({7, 9}, begin + seconds(2)).has_value());
  CHECK(filter.admit({8, 9}, begin + seconds(2)) == std::optional<std::uint64_t>(2));
  CHECK(filter.admit({8, 9}, begin + seconds(8)) == std::optional<std::uint64_t>(0));
}

// Guards against a daemon whose peers read the store for it and that keeps the state of an earlier era, and
// against a report with an invented era that makes it list the store without end or ignore it.
TEST(collection_watcher, the_era_that_a_peer_states_leads_to_one_list) {
  watcher_fixture daemon;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_updated_by_peers = true;
  boost::this_fiber::sleep_for(milliseconds(200));
  daemon.m_store.m_content = {{1, 7}, {{"i-1", {1, 3}, ""}}, 0};
  daemon.m_store.m_calls = 0;
  daemon.m_peer_era = 900;
  boost::this_fiber::sleep_for(milliseconds(800));
  CHECK(daemon.m_view.collection(kind).as_of() == store_version(1, 7));
  CHECK(daemon.m_store.m_calls <= 2);
  daemon.m_store.m_content = {{2, 6}, {{"i-1", {2, 3}, ""}}, 0}; // any answer to a call of another collection
  boost::this_fiber::sleep_for(milliseconds(800));
  CHECK(daemon.m_view.collection(kind).as_of() == store_version(2, 6));
}

// Guards against a watch that goes on in the store's new era until its time has passed, so that a change of
// the configuration is in force too late.
TEST(collection_watcher, a_watch_ends_when_another_answer_or_a_peer_states_a_later_era) {
  watcher_fixture fixture;
  fixture.m_store.m_content = {{2, 10}, {{"i-1", {2, 3}, ""}}, 0};
  fixture.m_store.m_watches_last = true;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  fixture.m_store.m_content = {
      {3, 9}, {{"i-1", {3, 3}, ""}}, 0}; // any answer to a call of another collection
  fixture.m_watcher.interrupt_outdated_watch();
  boost::this_fiber::sleep_for(milliseconds(100));
  CHECK(fixture.m_view.collection(kind).as_of() == store_version(3, 9));
  fixture.m_peer_era = 900; // which the store does not state
  fixture.m_store.m_calls = 0;
  for (int i = 0; i < 10; ++i) {
    fixture.m_watcher.interrupt_outdated_watch();
    boost::this_fiber::sleep_for(milliseconds(100));
  }
  LONGS_EQUAL(1, fixture.m_store.m_calls);
  fixture.m_store.m_watches_last = false;
  fixture.m_store.m_content = {{4, 9}, {{"i-1", {4, 3}, ""}}, 0};
  fixture.m_watcher.interrupt_outdated_watch();
}

// Guards against watches of all daemons that begin with a change and end together, so that none of them hears
// of a new era in between, and against watches that are short for ever and cost calls.
TEST(collection_watcher, the_first_watch_after_a_list_ends_at_a_time_of_its_own) {
  std::set<milliseconds> first_waits;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    watcher_fixture fixture(seed);
    boost::this_fiber::sleep_for(
        milliseconds(1'150)); // the first list, the wait for readers, and some watches
    const auto& waits = fixture.m_store.m_waits;
    CHECK(waits.size() > 2);
    CHECK(waits[0] < milliseconds(2'500));
    CHECK(waits[1] == milliseconds(2'500));
    CHECK(waits[2] == milliseconds(2'500));
    first_waits.insert(waits[0]);
  }
  CHECK(first_waits.size() > 4);
}

// Guards against a daemon that ignores the store until a restart because one answer stated a wrong era.
TEST(collection_watcher, the_content_follows_the_store_after_an_era_that_it_withdrew) {
  watcher_fixture fixture;
  fixture.m_store.m_content = {{2, 10}, {{"i-1", {2, 3}, ""}}, 0};
  boost::this_fiber::sleep_for(milliseconds(1'200));
  fixture.m_store.m_content = {{9'000, 10}, {{"i-1", {9'000, 3}, ""}}, 0};
  boost::this_fiber::sleep_for(milliseconds(300));
  CHECK(fixture.m_view.collection(kind).as_of() == store_version(9'000, 10));
  fixture.m_store.m_content = {{2, 12}, {{"i-1", {2, 3}, ""}, {"i-3", {2, 12}, ""}}, 0};
  boost::this_fiber::sleep_for(milliseconds(300));
  CHECK(fixture.m_view.collection(kind).as_of() == store_version(2, 12));
  UNSIGNED_LONGS_EQUAL(2, fixture.m_view.backend_servers().size());
}

// Guards against servers and their state that are lost with the copy of the store, before they have been
// written again, and against lists that are repeated for them.
TEST(collection_watcher, what_was_known_holds_for_some_time_in_a_new_era) {
  watcher_fixture daemon;
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_store.m_content = {{1, 8}, {{"i-1", {1, 3}, ""}, {"i-3", {1, 8}, ""}}, 0};
  daemon.m_store.m_calls = 0;
  boost::this_fiber::sleep_for(milliseconds(400));
  CHECK(daemon.m_view.collection(kind).as_of() == store_version(1, 8));
  UNSIGNED_LONGS_EQUAL(3, daemon.m_view.backend_servers().size());
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.collection(kind).snapshot().m_documents.size());
  boost::this_fiber::sleep_for(milliseconds(2'200));
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.backend_servers().size());
  UNSIGNED_LONGS_EQUAL(1, daemon.m_store.m_lists_of_era);
}

// Guards against requests to a server that was removed and that the copy of the store shows as ready. Nobody
// writes its entry again, so that the store removes it only after three heartbeat intervals of silence.
TEST(collection_watcher, a_removed_server_stays_away_until_its_entry_in_the_copy_expires) {
  watcher_fixture daemon;
  daemon.m_store.m_content = {{1, 10}, {{"i-1", {1, 3}, ""}, {"i-2", {1, 4}, ""}}, 0};
  boost::this_fiber::sleep_for(milliseconds(1'200)); // the first list and the wait for readers
  daemon.m_view.apply(kind, collection_changes{{1, 11}, {{{"i-2", {1, 11}, ""}, true}}, 0}, "test");
  UNSIGNED_LONGS_EQUAL(1, daemon.m_view.backend_servers().size());
  daemon.m_store.m_content = {{2, 10}, {{"i-1", {2, 3}, ""}, {"i-2", {2, 4}, ""}}, 0};
  boost::this_fiber::sleep_for(milliseconds(3'500));
  UNSIGNED_LONGS_EQUAL(2, daemon.m_view.collection(kind).as_of().m_era);
  UNSIGNED_LONGS_EQUAL(1, daemon.m_view.backend_servers().size());
}
