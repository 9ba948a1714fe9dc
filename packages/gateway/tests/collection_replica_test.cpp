#include "cardamompond/gateway/collection_replica.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(collection_replica){};

// Guards against a stale answer or a peer that is behind undoing a change.
TEST(collection_replica, stale_input_is_ignored) {
  collection_replica replica;
  CHECK(replica.apply(collection_snapshot{10, {{"a", 9, "new"}}}));
  CHECK_FALSE(replica.apply(collection_snapshot{8, {{"a", 5, "old"}}}));
  CHECK_FALSE(replica.apply(collection_changes{9, {{{"a", 9, ""}, true}}}));
  STRCMP_EQUAL("new", replica.documents().at("a").m_content.c_str());
  UNSIGNED_LONGS_EQUAL(10, replica.as_of());
}

// Guards against an old event within a newer answer that replaces newer content.
TEST(collection_replica, an_older_revision_of_a_document_is_skipped) {
  collection_replica replica;
  replica.apply(collection_snapshot{10, {{"a", 9, "new"}}});
  CHECK_FALSE(replica.apply(collection_changes{12, {{{"a", 7, "old"}, false}}}));
  STRCMP_EQUAL("new", replica.documents().at("a").m_content.c_str());
}

// Guards against removals that are lost, and against changes that nobody is told of.
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

// Guards against a confirmation by an older report that makes the content look fresher than it is.
TEST(collection_replica, confirmations_keep_the_latest_time) {
  collection_replica replica;
  replica.confirm(5, time_point{seconds(10)});
  replica.confirm(4, time_point{seconds(8)});
  UNSIGNED_LONGS_EQUAL(5, replica.as_of());
  CHECK(replica.confirmed_at() == time_point{seconds(10)});
}
