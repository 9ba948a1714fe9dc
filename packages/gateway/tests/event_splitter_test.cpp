#include "cardamompond/gateway/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond::gateway;

TEST_GROUP(event_splitter){};

// Guards against a cut in the middle of an event that reaches the caller as half an event.
TEST(event_splitter, passes_whole_events_only) {
  event_splitter events;
  CHECK(events.feed("id: 1\ndata: a\n") == "");
  CHECK(events.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  STRCMP_EQUAL("1", events.last_event_id().c_str());
  UNSIGNED_LONGS_EQUAL(1, events.event_count());
  CHECK(events.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  STRCMP_EQUAL("2", events.last_event_id().c_str());
}

// Guards against bytes lost or repeated, whatever the portions in which they arrive.
TEST(event_splitter, portions_do_not_matter) {
  std::string stream;
  for (int i = 1; i <= 20; ++i) {
    stream += "id: " + std::to_string(i) + (i % 3 == 0 ? "\r\ndata: x\r\n\r\n" : "\ndata: x\n\n");
  }
  for (std::size_t portion = 1; portion < 40; ++portion) {
    event_splitter events;
    std::string passed;
    std::size_t count = 0;
    for (std::size_t at = 0; at < stream.size(); at += portion) {
      passed += events.feed(std::string_view(stream).substr(at, portion));
      count += events.event_count();
    }
    passed += events.remaining_bytes();
    STRCMP_EQUAL(stream.c_str(), passed.c_str());
    UNSIGNED_LONGS_EQUAL(20, count);
    STRCMP_EQUAL("20", events.last_event_id().c_str());
  }
}

// Guards against the rest of a broken stream that is joined with the first event of the next server.
TEST(event_splitter, an_incomplete_event_is_dropped_before_the_next_server) {
  event_splitter events;
  events.feed("id: 1\ndata: a\n\nid: 2\nda");
  events.drop_incomplete_event();
  CHECK(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

// Guards against events without an id, or with a first line of another field, that lose the last id.
TEST(event_splitter, the_last_id_is_kept_over_events_without_one) {
  event_splitter events;
  events.feed("x-versions: 3\nid: 7\ndata: a\n\n: comment\n\n");
  STRCMP_EQUAL("7", events.last_event_id().c_str());
}
