#include "cardamompond/daemon/body_completeness.hpp"

#include <CppUTest/TestHarness.h>

#include <string_view>

using namespace cardamompond;
using namespace cardamompond::daemon;

namespace {

constexpr auto chunks = net::body_framing::chunks;
constexpr auto length = net::body_framing::length;
constexpr auto connection = net::body_framing::connection;

response_meter measure(std::string_view body) {
  response_meter meter;
  meter.add(body);
  return meter;
}

} // namespace

TEST_GROUP(body_completeness_group){};

// Guards against a length of which only the response that stated it knows.
TEST(body_completeness_group, a_length_counts_from_the_offset_of_its_response) {
  body_completeness body(false, true);
  body.record_cut({4, false, length, 6}, 7, true, false);
  const body_part rest{7, false, chunks, {}};
  CHECK_FALSE(body.find_contradiction(rest, measure("123456789")).empty());
  CHECK(body.find_contradiction(rest, measure("1234567890")).empty());
  CHECK_FALSE(body.find_contradiction(rest, measure("12345678901")).empty());
}

// Guards against a byte that is due according to one response and forgotten after the next one.
TEST(body_completeness_group, bytes_due_are_remembered_over_several_responses) {
  body_completeness body(false, true);
  body.record_cut({0, false, chunks, {}}, 4, true, false);
  body.record_cut({4, false, chunks, {}}, 4, false, false);
  CHECK_FALSE(body.find_contradiction({4, false, length, 0}, measure("1234")).empty());
  CHECK(body.find_contradiction({4, false, length, 1}, measure("12345")).empty());
}

// Guards against a stream that is asked for more although its last event has come.
TEST(body_completeness_group, a_stream_with_its_last_event_is_whole) {
  body_completeness body(true, true);
  body.record_cut({0, false, length, 99}, 9, true, false);
  CHECK(body.find_contradiction({9, false, connection, {}}, measure("data: a\n\ndata: [DONE]\n\n")).empty());
  CHECK_FALSE(body.find_contradiction({9, false, connection, {}}, measure("data: a\n\ndata: b\n\n")).empty());
}

// Guards against an empty body that looks whole although its first response broke off: its server may have
// taken back what the daemon had not read. A server that ended it in an orderly way confirms that it is
// empty.
TEST(body_completeness_group, a_body_without_content_is_not_whole_behind_a_response_that_broke_off) {
  const body_part rest{0, false, chunks, {}};
  for (const bool event_stream : {true, false}) {
    body_completeness body(event_stream, true);
    CHECK(body.find_contradiction(rest, measure("")).empty());
    body.record_cut({0, false, connection, {}}, 0, false, true);
    CHECK(body.find_contradiction(rest, measure("")).empty());
    body.record_cut(rest, 0, false, false);
    CHECK_FALSE(body.find_contradiction(rest, measure("")).empty());
    CHECK_EQUAL(event_stream, !body.find_contradiction(rest, measure(": alive\n\n")).empty());
    CHECK(body.find_contradiction(rest, measure("data: a\n\n")).empty());
  }
}

// Guards against the end of a connection that passes for that of a stream although its server can be asked,
// and against a server that can't be asked whose streams are never whole.
TEST(body_completeness_group, the_end_of_a_connection_is_believed_if_the_server_cannot_be_asked) {
  const body_part first{0, false, connection, {}};
  const auto event = measure("data: a\n\n");
  CHECK_FALSE(body_completeness(true, true).find_contradiction(first, event).empty());
  CHECK(body_completeness(true, false).find_contradiction(first, event).empty());
  CHECK_FALSE(body_completeness(true, false).find_contradiction(first, measure(": alive\n\n")).empty());
  CHECK(body_completeness(false, true).find_contradiction(first, measure("")).empty());
}
