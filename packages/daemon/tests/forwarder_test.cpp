#include "forwarder_fixture.hpp"

#include <string>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::daemon;
using namespace cardamompond::daemon::testing;

TEST_GROUP(forwarder_group){};

// Guards against a stream that looks complete to its caller although the backend server broke it off inside
// an event: its response ends with its connection, or its last chunk ends inside an event.
TEST(forwarder_group, a_stream_that_ends_inside_an_event_is_broken) {
  for (const std::string& response :
       {unframed_head + "data: a\n\ndata: b", head + "Content-Length: 16\r\n\r\ndata: a\n\ndata: b",
        head + "Transfer-Encoding: chunked\r\n\r\n10\r\ndata: a\n\ndata: b\r\n0\r\n\r\n"}) {
    const raw_backend backend({response, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"});
    const auto received = forward(backend);
    CHECK_FALSE(received.m_complete);
    CHECK(received.m_outcome == scheduler::outcome::connection_broken);
  }
}

// Guards against a stream that is given up although its backend server still has the rest.
TEST(forwarder_group, a_stream_that_ends_inside_an_event_is_resumed_at_its_offset) {
  const raw_backend backend(
      {unframed_head + "data: a\n\ndata: b", unframed_head + "b\n\n", head + "Content-Length: 0\r\n\r\n"});
  const auto received = forward(backend);
  CHECK(received.m_complete);
  STRCMP_EQUAL("data: a\n\ndata: bb\n\n", received.m_body.c_str());
  CHECK(received.m_outcome == scheduler::outcome::succeeded);
  CHECK(backend.requests().at(1).starts_with("GET /streams/s1?offset=16 "));
}

// Guards against the rest of an event that is taken for a comment because it begins with a colon.
TEST(forwarder_group, a_stream_is_resumed_inside_a_line) {
  const raw_backend backend({unframed_head + "data: a\n\ndata", unframed_head + ": b\n\ndata: [DONE]\n\n"});
  const auto received = forward(backend);
  CHECK(received.m_complete);
  STRCMP_EQUAL("data: a\n\ndata: b\n\ndata: [DONE]\n\n", received.m_body.c_str());
  UNSIGNED_LONGS_EQUAL(2, backend.requests().size());
}

// Guards against a request that may run at most once whose response is lost, to its caller and to all
// retries, although its backend server still has the rest of it.
TEST(forwarder_group, a_response_that_is_recorded_is_resumed) {
  const raw_backend backend(
      {head + "Content-Length: 18\r\n\r\ndata: a\n\n", head + "Content-Length: 9\r\n\r\ndata: b\n\n"});
  const auto received = forward_recorded(backend);
  CHECK(received.m_complete);
  STRCMP_EQUAL("data: a\n\ndata: b\n\n", received.m_body.c_str());
  UNSIGNED_LONGS_EQUAL(1, received.m_recorded.size());
  CHECK(received.m_recorded.at(0).m_complete);
  STRCMP_EQUAL(received.m_body.c_str(), received.m_recorded.at(0).m_response.m_body.c_str());
}

// Guards against endless resumption of a stream that ends at the same offset each time.
TEST(forwarder_group, a_stream_without_progress_is_resumed_once) {
  const raw_backend backend({unframed_head + "data: a\n\ndata: b", unframed_head});
  CHECK_FALSE(forward(backend).m_complete);
  UNSIGNED_LONGS_EQUAL(2, backend.requests().size());
}

// Guards against a stream that looks complete because its backend server crashed after the head of its
// response, or of that to the resumption of a stream that was cut off: without a length or chunks, nothing
// else tells the crash from the end of the stream.
TEST(forwarder_group, a_stream_is_not_complete_because_a_response_ends_without_an_event) {
  const std::string gone = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  const std::string cut_chunks = head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n";
  for (const std::vector<std::string>& responses :
       {std::vector{unframed_head, gone}, std::vector{cut_chunks, unframed_head, gone},
        std::vector{cut_chunks, unframed_head + ": alive\n\n", gone}}) {
    const raw_backend backend(responses);
    const auto received = forward(backend);
    CHECK_FALSE(received.m_complete);
    CHECK(received.m_outcome == scheduler::outcome::connection_broken);
  }
}

// Guards against a whole stream that is broken off since nothing follows its last event when it is resumed,
// and against one that is given up although its backend server has the rest.
TEST(forwarder_group, a_stream_without_an_event_at_first_is_resumed) {
  const std::string cut_chunks = head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n";
  const std::string empty = head + "Content-Length: 0\r\n\r\n";
  for (const std::vector<std::string>& responses :
       {std::vector{cut_chunks, empty}, std::vector{unframed_head, unframed_head + "data: a\n\n", empty}}) {
    const raw_backend backend(responses);
    const auto received = forward(backend);
    CHECK(received.m_complete);
    STRCMP_EQUAL("data: a\n\n", received.m_body.c_str());
    UNSIGNED_LONGS_EQUAL(responses.size(), backend.requests().size());
  }
}

// Guards against a stream that is resumed or broken off although its last event has come.
TEST(forwarder_group, a_stream_is_complete_with_its_last_event) {
  const std::string events = "data: a\n\ndata: [DONE]\n\n";
  const std::string cut_chunks = head + "Transfer-Encoding: chunked\r\n\r\n17\r\n" + events + "\r\n";
  const std::string cut_body = head + "Content-Length: 99\r\n\r\n" + events;
  for (const std::string& response : {cut_chunks, cut_body}) {
    const raw_backend backend({response, unframed_head});
    const auto received = forward(backend);
    CHECK(received.m_complete);
    STRCMP_EQUAL(events.c_str(), received.m_body.c_str());
    UNSIGNED_LONGS_EQUAL(1, backend.requests().size());
  }
}

// Guards against complete responses without a length or chunks that are taken for broken ones: their servers
// gave no stream id, so that they can't be asked whether the body is whole.
TEST(forwarder_group, an_unframed_response_is_complete_at_the_end_of_its_connection) {
  for (const std::string& response :
       {std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"),
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ndata: a")}) {
    const raw_backend backend({response});
    const auto received = forward(backend);
    CHECK(received.m_complete);
    CHECK(received.m_outcome == scheduler::outcome::succeeded);
  }
}

// Guards against a stream that is forwarded beyond its deadline because its backend server always has bytes
// ready.
TEST(forwarder_group, endless_events_end_at_the_deadline) {
  const raw_backend backend({unframed_head}, "data: a\n\n");
  const time_point start = monotonic_now();
  const auto received = forward(backend, milliseconds(500));
  CHECK(monotonic_now() - start < seconds(2));
  CHECK_FALSE(received.m_complete);
  CHECK(received.m_outcome == scheduler::outcome::timed_out);
}

// Guards against a late copy of a response, also of a refusal, that is taken for the answer to the next
// request on its connection: a request that runs would count as refused, or its caller would get another
// answer.
TEST(forwarder_group, late_copy_does_not_answer_the_next_request) {
  const std::string refusal = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n";
  const std::string success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
  const std::string id = "Cardamompond-Request-Id: ";
  const std::string second_id = id + "r2\r\n\r\nr2";
  struct copied_response {
    std::string m_first;
    std::string m_second;
    std::string_view m_second_id = "r2";
    int m_connections = 2;
  };
  for (const auto& copied : {copied_response{success + id + "r1\r\n\r\nr1", success + second_id, "r2", 1},
                             {success + "\r\nr1", success + "\r\nr2"},
                             {refusal + id + "r1\r\n\r\n", success + second_id},
                             {refusal + id + "r1\r\n\r\n", success + id + "r1\r\n\r\nr2", "r1"},
                             {refusal + "\r\n", success + "\r\nr2"}}) {
    const raw_backend backend({copied.m_first, copied.m_second}, {}, true);
    test_forwarder target;
    forward(target, backend, seconds(3), "r1");
    STRCMP_EQUAL("r2", forward(target, backend, seconds(3), copied.m_second_id).m_body.c_str());
    LONGS_EQUAL(copied.m_connections, backend.connections());
  }
}

// Guards against a refusal of another request that passes for a statement about this one.
TEST(forwarder_group, request_without_an_answer_of_its_own_may_have_run) {
  const std::string other =
      "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nCardamompond-Request-Id: r0\r\nContent-Length: 0\r\n\r\n";
  const auto received = forward(raw_backend({other + other + other + other}, {}, true));
  CHECK(received.m_verdict == verdict::may_have_run);
  CHECK(received.m_outcome == scheduler::outcome::connection_broken);
}

// Guards against a late copy of the answer to a cancellation that is taken for the answer to the next
// request.
TEST(forwarder_group, late_copy_does_not_follow_a_cancellation) {
  const std::string id = "Cardamompond-Request-Id: ";
  const raw_backend backend({head + id + "r1\r\nContent-Length: 99\r\n\r\ndata: a\n\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                             "HTTP/1.1 200 OK\r\n" + id + "r2\r\nContent-Length: 2\r\n\r\nr2"},
                            {}, true);
  test_forwarder target;
  CHECK_FALSE(forward(target, backend, milliseconds(200), "r1").m_complete);
  STRCMP_EQUAL("r2", forward(target, backend, seconds(3), "r2").m_body.c_str());
  CHECK(backend.requests().at(1).starts_with("DELETE /streams/s1 "));
}
