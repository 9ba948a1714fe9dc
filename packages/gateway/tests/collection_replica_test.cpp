#include "cardamompond/gateway/collection_replica.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(collection_replica){};

// Guards against a stale response of the store, or a peer with an older copy, undoing a change.
TEST(collection_replica, stale_input_is_ignored) {
  collection_replica replica;
  CHECK(replica.apply(collection_snapshot{10, {{"a", 9, "new"}}}));
  CHECK_FALSE(replica.apply(collection_snapshot{8, {{"a", 5, "old"}}}));
  CHECK_FALSE(replica.apply(collection_changes{9, {{{"a", 9, ""}, true}}}));
  STRCMP_EQUAL("new", replica.documents().at("a").m_content.c_str());
  UNSIGNED_LONGS_EQUAL(10, replica.as_of().m_revision);
}

// Guards against newer content being replaced by an old event that arrives within a newer response.
TEST(collection_replica, an_older_revision_of_a_document_is_skipped) {
  collection_replica replica;
  replica.apply(collection_snapshot{10, {{"a", 9, "new"}}});
  CHECK_FALSE(replica.apply(collection_changes{12, {{{"a", 7, "old"}, false}}}));
  STRCMP_EQUAL("new", replica.documents().at("a").m_content.c_str());
}

// Guards against lost removals, and against changes that apply() does not report to its caller.
TEST(collection_replica, apply_returns_true_only_for_changes) {
  collection_replica replica;
  CHECK(replica.apply(collection_snapshot{10, {{"a", 9, "x"}, {"b", 9, "y"}}}));
  CHECK_FALSE(replica.apply(collection_snapshot{11, {{"a", 9, "x"}, {"b", 9, "y"}}}));
  UNSIGNED_LONGS_EQUAL(10, replica.changed_at().m_revision);
  CHECK(replica.apply(collection_changes{12, {{{"b", 12, ""}, true}}}));
  UNSIGNED_LONGS_EQUAL(12, replica.changed_at().m_revision);
  CHECK(replica.documents().contains("a"));
  CHECK_FALSE(replica.documents().contains("b"));
}

// Guards against the confirmation in an older report changing the revision and the time of a later one.
TEST(collection_replica, confirmations_keep_the_latest_time) {
  collection_replica replica;
  replica.confirm(5, time_point{seconds(10)});
  replica.confirm(4, time_point{seconds(8)});
  UNSIGNED_LONGS_EQUAL(5, replica.as_of().m_revision);
  CHECK(replica.confirmed_at() == time_point{seconds(10)});
}

// Guards against a store that comes back from a copy and whose lists are discarded until its revisions have
// caught up, against objects that count as unchanged since their revision was given out again, and against
// answers of the earlier era that arrive late.
TEST(collection_replica, a_later_era_is_newer_whatever_its_revision) {
  collection_replica replica;
  replica.apply(collection_snapshot{{1, 10}, {{"a", {1, 9}, "lost"}}});
  CHECK(replica.apply(collection_snapshot{{2, 7}, {{"a", {2, 6}, "copy"}}}));
  CHECK(replica.as_of() == store_version(2, 7));
  CHECK(replica.changed_at() == store_version(2, 7));
  CHECK(replica.apply(collection_changes{{2, 9}, {{{"a", {2, 9}, "again"}, false}}}));
  CHECK_FALSE(replica.apply(collection_snapshot{{1, 30}, {{"a", {1, 9}, "lost"}}}));
  CHECK_FALSE(replica.apply(collection_changes{{1, 30}, {{{"a", {1, 9}, ""}, true}}}));
  replica.confirm({1, 30}, time_point{seconds(9)});
  CHECK(replica.as_of() == store_version(2, 9));
  CHECK(replica.confirmed_at() == time_point{});
  STRCMP_EQUAL("again", replica.documents().at("a").m_content.c_str());
}

// Guards against changes that are lost when the store accepts the revision of an earlier era.
TEST(collection_replica, changes_of_a_later_era_do_not_continue_the_content) {
  collection_replica replica;
  replica.apply(collection_snapshot{{1, 10}, {{"a", {1, 9}, "x"}}});
  CHECK_FALSE(replica.apply(collection_changes{{2, 12}, {{{"b", {2, 12}, "y"}, false}}}));
  CHECK(replica.as_of() == store_version(1, 10));
}

// Guards against a peer that makes a daemon ignore the store by stating an era that the store never had.
TEST(collection_replica, the_store_replaces_an_era_that_only_a_peer_stated) {
  collection_replica replica;
  replica.apply(collection_snapshot{{900, 10}, {{"a", {900, 9}, "forged"}}},
                collection_replica::origin::peer);
  CHECK(replica.apply(collection_snapshot{{2, 7}, {{"a", {2, 6}, "x"}}}));
  CHECK(replica.as_of() == store_version(2, 7));
  CHECK_FALSE(replica.apply(collection_snapshot{{1, 20}, {{"a", {1, 6}, "old"}}}));
}
