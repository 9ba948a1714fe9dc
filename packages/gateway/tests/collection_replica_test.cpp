#include "cardamompond/gateway/collection_replica.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(collection_replica){};

// Guards against a stale response of the store, or a peer with an older copy, undoing a change.
TEST(collection_replica, stale_input_is_ignored) {
  collection_replica known;
  CHECK(known.apply(collection_snapshot{10, {{"a", 9, "new"}}}));
  CHECK_FALSE(known.apply(collection_snapshot{8, {{"a", 5, "old"}}}));
  CHECK_FALSE(known.apply(collection_changes{9, {{{"a", 9, ""}, true}}}));
  STRCMP_EQUAL("new", known.documents().at("a").m_content.c_str());
  UNSIGNED_LONGS_EQUAL(10, known.as_of());
}

// Guards against newer content being replaced by an old event that arrives within a newer response.
TEST(collection_replica, an_older_revision_of_a_document_is_skipped) {
  collection_replica known;
  known.apply(collection_snapshot{10, {{"a", 9, "new"}}});
  CHECK_FALSE(known.apply(collection_changes{12, {{{"a", 7, "old"}, false}}}));
  STRCMP_EQUAL("new", known.documents().at("a").m_content.c_str());
}

// Guards against lost removals, and against changes that apply() does not report to its caller.
TEST(collection_replica, apply_returns_true_only_for_changes) {
  collection_replica known;
  CHECK(known.apply(collection_snapshot{10, {{"a", 9, "x"}, {"b", 9, "y"}}}));
  CHECK_FALSE(known.apply(collection_snapshot{11, {{"a", 9, "x"}, {"b", 9, "y"}}}));
  UNSIGNED_LONGS_EQUAL(10, known.changed_at());
  CHECK(known.apply(collection_changes{12, {{{"b", 12, ""}, true}}}));
  UNSIGNED_LONGS_EQUAL(12, known.changed_at());
  CHECK(known.documents().contains("a"));
  CHECK_FALSE(known.documents().contains("b"));
}

// Guards against the confirmation in an older report changing the revision and the time of a later one.
TEST(collection_replica, confirmations_keep_the_latest_time) {
  collection_replica known;
  known.confirm(5, time_point{seconds(10)});
  known.confirm(4, time_point{seconds(8)});
  UNSIGNED_LONGS_EQUAL(5, known.as_of());
  CHECK(known.confirmed_at() == time_point{seconds(10)});
}
