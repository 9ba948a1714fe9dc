#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/event_splitter.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(event_splitter){};

// Guards against a caller receiving half an event when the bytes of an event arrive in several reads.
TEST(event_splitter, returns_complete_events_only) {
  event_splitter splitter;
  CHECK(splitter.feed("id: 1\ndata: a\n") == "");
  CHECK(splitter.feed("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  STRCMP_EQUAL("1", splitter.last_event_id().c_str());
  UNSIGNED_LONGS_EQUAL(1, splitter.event_count());
  CHECK(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
  STRCMP_EQUAL("2", splitter.last_event_id().c_str());
}

// Guards against bytes being lost or duplicated, whatever the sizes of the reads.
TEST(event_splitter, output_is_independent_of_chunk_sizes) {
  std::string stream;
  for (int i = 1; i <= 20; ++i) {
    stream += "id: " + std::to_string(i) + (i % 3 == 0 ? "\r\ndata: x\r\n\r\n" : "\ndata: x\n\n");
  }
  for (std::size_t chunk_size = 1; chunk_size < 40; ++chunk_size) {
    event_splitter splitter;
    std::string output;
    std::size_t event_count = 0;
    for (std::size_t at = 0; at < stream.size(); at += chunk_size) {
      output += splitter.feed(std::string_view(stream).substr(at, chunk_size));
      event_count += splitter.event_count();
    }
    output += splitter.remaining_bytes();
    STRCMP_EQUAL(stream.c_str(), output.c_str());
    UNSIGNED_LONGS_EQUAL(20, event_count);
    STRCMP_EQUAL("20", splitter.last_event_id().c_str());
  }
}

// Guards against comments that keep a connection alive and count as events, so that a server which sent
// nothing else before it crashed seems to have ended its stream.
TEST(event_splitter, comments_are_no_events) {
  UNSIGNED_LONGS_EQUAL(0, count_events(": alive\n\n:\r\n\r\n\n"));
  UNSIGNED_LONGS_EQUAL(2,
                       count_events(": alive\n\nid: 1\n: c\ndata: a\n\n\n: alive\n\ndata: b\r\n\r\ndata: c"));
  CHECK_FALSE(has_field(": alive\n\n"));
  CHECK_TRUE(has_field(": alive\n\ndata: a\n"));
}

// Guards against the incomplete last event of a broken stream being joined with the first event of the next
// server.
TEST(event_splitter, an_incomplete_event_is_dropped_before_the_next_server) {
  event_splitter splitter;
  splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  splitter.drop_incomplete_event();
  CHECK(splitter.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

// Guards against a daemon that spends all its processor time on an engine that sends a long event in small
// pieces, because each read searches all bytes of the event again.
TEST(event_splitter, endless_event_is_searched_once) {
  event_splitter splitter;
  const time_point start = monotonic_now();
  for (int i = 0; i < 25'000; ++i) {
    CHECK(splitter.feed("xxxxxxxx").empty());
  }
  CHECK(monotonic_now() - start < seconds(1));
  CHECK(splitter.feed("\n\n").size() == 200'002);
}

// Guards against losing the last id when a later event has no id or an event begins with another field.
TEST(event_splitter, the_last_id_is_kept_over_events_without_one) {
  event_splitter splitter;
  splitter.feed("x-versions: 3\nid: 7\ndata: a\n\n: comment\n\n");
  STRCMP_EQUAL("7", splitter.last_event_id().c_str());
}

// Guards against a broken stream that is taken for a complete one, and the reverse.
TEST(event_splitter, only_whole_events_blank_lines_and_comments_end_a_stream) {
  for (const std::string_view complete : {"", "data: a\n\n", "data: a\r\n\r\n", "data: a\n\n\n",
                                          "data: a\n\n: end\n", ": begin\r\n\r\n: end\r\n"}) {
    CHECK_FALSE(is_inside_event(complete));
  }
  for (const std::string_view broken : {"d", "data: a", "data: a\n", "data: a\r\n\r", "data: a\n\nid: 2\n",
                                        "data: a\n\n: comm", "data: a\n\n: end\ndata: b\n"}) {
    CHECK(is_inside_event(broken));
  }
}

// Guards against repeated events that are taken for new ones, and against events whose ids are no numbers or
// are left out and that are taken for repeated ones.
TEST(event_splitter, notices_ids_that_do_not_increase) {
  CHECK_TRUE(ids_increase("id: 3\ndata: id: 1\n\nid: 7\r\ndata: a\r\n\r\ndata: b\n\nid: 8\n\n", "2"));
  CHECK_TRUE(ids_increase("id: b\n\nid: a\n\nid: 4\n\n", "3"));
  CHECK_TRUE(ids_increase("id: 1\n\n", ""));
  CHECK_FALSE(ids_increase("id: 2\n\n", "2"));
  CHECK_FALSE(ids_increase("id: 3\n\nid:3\n\n", "2"));
  CHECK_FALSE(ids_increase("id: 10\n\nid: 9\n\n", "2"));
  event_splitter splitter;
  splitter.feed("id: 1\n\nid: 2\n\n");
  splitter.feed("id: 2\n\nid: 3\n\n");
  CHECK_FALSE(splitter.ids_increase());
  STRCMP_EQUAL("2", splitter.last_event_id().c_str());
}
