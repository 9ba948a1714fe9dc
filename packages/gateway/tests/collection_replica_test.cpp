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
  UNSIGNED_LONGS_EQUAL(10, replica.as_of());
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
  UNSIGNED_LONGS_EQUAL(10, replica.changed_at());
  CHECK(replica.apply(collection_changes{12, {{{"b", 12, ""}, true}}}));
  UNSIGNED_LONGS_EQUAL(12, replica.changed_at());
  CHECK(replica.documents().contains("a"));
  CHECK_FALSE(replica.documents().contains("b"));
}

// Guards against the confirmation in an older report changing the revision and the time of a later one.
TEST(collection_replica, confirmations_keep_the_latest_time) {
  collection_replica replica;
  replica.confirm(5, time_point{seconds(10)});
  replica.confirm(4, time_point{seconds(8)});
  UNSIGNED_LONGS_EQUAL(5, replica.as_of());
  CHECK(replica.confirmed_at() == time_point{seconds(10)});
}
