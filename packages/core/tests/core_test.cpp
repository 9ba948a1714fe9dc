#include "cardamompond/core/memory_object_store.hpp"
#include "cardamompond/core/verdict.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;

TEST_GROUP(error_codes){};

// Guards against a name or HTTP status that belongs to another error code, because a code was inserted at
// different places of the enumeration and the table.
TEST(error_codes, codes_have_the_right_names_and_statuses) {
  STRCMP_EQUAL("queue_full", std::string(to_string(error_code::queue_full)).c_str());
  LONGS_EQUAL(503, http_status(error_code::queue_full));
  LONGS_EQUAL(422, http_status(error_code::crashing_request));
  LONGS_EQUAL(500, http_status(error_code::internal));
}

TEST_GROUP(memory_store){};

// The tests of claims rely on this: a write whose reply is lost has taken effect, and one whose request is
// lost has not.
TEST(memory_store, writes_take_effect_if_the_reply_is_lost_but_not_if_the_request_is) {
  memory_object_store store;
  store.inject(store_fault::lose_request);
  CHECK(store.put("a", "1", 0, milliseconds(10)).error().m_kind == store_error_kind::outcome_unknown);
  CHECK(store.get("a", milliseconds(10)).error().m_kind == store_error_kind::not_found);
  store.inject(store_fault::lose_reply);
  CHECK(store.put("a", "1", 0, milliseconds(10)).error().m_kind == store_error_kind::outcome_unknown);
  CHECK(store.get("a", milliseconds(10)).has_value());
  CHECK(store.put("a", "2", 0, milliseconds(10)).error().m_kind == store_error_kind::conflict);
}
