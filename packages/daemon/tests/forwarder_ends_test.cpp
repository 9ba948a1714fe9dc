#include "forwarder_fixture.hpp"

#include <string>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::daemon;
using namespace cardamompond::daemon::testing;

namespace {

const std::string whole_event = "data: a\n\n";
const std::string next_event = "data: b\n\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string empty_length = head + "Content-Length: 0\r\n\r\n";
const std::string empty_chunks = chunked_head + "0\r\n\r\n";
const std::string gone = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

// A response of another kind, which may be resumed too.
const std::string json_head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Stream-Id: s1\r\n";

// Responses that stop behind a whole event, nine bytes short of what a length or a chunk announced.
const std::vector<std::string> short_responses = {head + "Content-Length: 18\r\n\r\n" + whole_event,
                                                  chunked_head + "9\r\n" + whole_event + "\r\n9\r\n",
                                                  chunked_head + "12\r\n" + whole_event};

} // namespace

TEST_GROUP(forwarder_ends_group){};

// Guards against a stream that looks complete because its resumption states the end, although the first
// response was cut off while bytes of it were due.
TEST(forwarder_ends_group, a_stated_end_is_not_believed_while_bytes_are_due) {
  for (const std::string& cut : short_responses) {
    for (const std::string& end : {empty_length, empty_chunks}) {
      const raw_backend backend({cut, end});
      const auto received = forward(backend);
      CHECK_FALSE(received.m_complete);
      CHECK(received.m_outcome == scheduler::outcome::connection_broken);
      STRCMP_EQUAL(whole_event.c_str(), received.m_body.c_str());
      UNSIGNED_LONGS_EQUAL(2, backend.requests().size());
    }
  }
}

// Guards against a stream that looks complete because its resumption ends after some of the bytes that the
// length of the first response announced, or after more.
TEST(forwarder_ends_group, a_stream_has_the_length_that_its_first_response_stated) {
  const std::string cut = head + "Content-Length: 27\r\n\r\n" + whole_event;
  for (const std::string& rest : {next_event, next_event + next_event + next_event}) {
    const raw_backend backend(
        {cut, head + "Content-Length: " + std::to_string(rest.size()) + "\r\n\r\n" + rest, empty_length});
    CHECK_FALSE(forward(backend).m_complete);
  }
}

// Guards against a response in chunks that is no stream of events, and that looks complete because its
// resumption ends before a byte of the rest.
TEST(forwarder_ends_group, another_response_is_not_complete_while_bytes_are_due) {
  const std::string cut = json_head + "Transfer-Encoding: chunked\r\n\r\n12\r\n{\"a\":";
  for (const std::string& end :
       {json_head + "Content-Length: 0\r\n\r\n", json_head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        json_head + "\r\n"}) {
    const raw_backend backend({cut, end});
    CHECK_FALSE(forward(backend).m_complete);
  }
}

// Guards against a whole stream that is broken off although its resumption brought the bytes that were due.
TEST(forwarder_ends_group, a_stream_is_complete_with_the_bytes_that_were_due) {
  for (const std::string& cut : short_responses) {
    for (const std::string& rest : {head + "Content-Length: 9\r\n\r\n" + next_event,
                                    chunked_head + "9\r\n" + next_event + "\r\n0\r\n\r\n"}) {
      const raw_backend backend({cut, rest});
      const auto received = forward(backend);
      CHECK(received.m_complete);
      STRCMP_EQUAL((whole_event + next_event).c_str(), received.m_body.c_str());
      UNSIGNED_LONGS_EQUAL(2, backend.requests().size());
    }
  }
}

// Guards against a stream that is given up because its first response, which ended inside an event, stated
// its own end as if it were that of the stream.
TEST(forwarder_ends_group, the_rest_of_an_event_may_follow_a_stated_end) {
  for (const std::string& first : {head + "Content-Length: 16\r\n\r\ndata: a\n\ndata: b",
                                   chunked_head + "10\r\ndata: a\n\ndata: b\r\n0\r\n\r\n"}) {
    const raw_backend backend({first, head + "Content-Length: 2\r\n\r\n\n\n"});
    const auto received = forward(backend);
    CHECK(received.m_complete);
    STRCMP_EQUAL((whole_event + next_event).c_str(), received.m_body.c_str());
  }
}

// Guards against a stream that looks complete because its backend server crashed between two events: the end
// of its connections, which the kernel closes in the orderly way, is also that of a response without a length
// or chunks.
TEST(forwarder_ends_group, a_server_that_no_longer_answers_has_not_ended_its_stream) {
  const std::string no_answer;
  const std::string unavailable = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& after :
       {gone, no_answer, unavailable, unframed_head, unframed_head + ": alive\n\n"}) {
    const raw_backend backend({unframed_head + whole_event, after});
    const auto received = forward(backend);
    CHECK_FALSE(received.m_complete);
    CHECK(received.m_outcome == scheduler::outcome::connection_broken);
    STRCMP_EQUAL(whole_event.c_str(), received.m_body.substr(0, whole_event.size()).c_str());
    CHECK(backend.requests().at(1).starts_with("GET /streams/s1?offset=9 "));
  }
}

// Guards against a whole stream without a last event that is broken off although its backend server confirms
// its end.
TEST(forwarder_ends_group, a_server_confirms_the_end_of_its_stream) {
  for (const std::string& end : {empty_length, empty_chunks}) {
    const raw_backend backend({unframed_head + whole_event, end});
    const auto received = forward(backend);
    CHECK(received.m_complete);
    STRCMP_EQUAL(whole_event.c_str(), received.m_body.c_str());
    CHECK(received.m_outcome == scheduler::outcome::succeeded);
    UNSIGNED_LONGS_EQUAL(2, backend.requests().size());
  }
}

// Guards against events that are lost although the backend server, which only lost its connections, still has
// them, also where several connections end.
TEST(forwarder_ends_group, a_stream_goes_on_after_the_end_of_its_connection) {
  const std::string last_event = "data: [DONE]\n\n";
  const std::string all = whole_event + next_event;
  for (const auto& [responses, body] :
       {std::pair{std::vector{unframed_head + whole_event, unframed_head + next_event, empty_length}, all},
        {{unframed_head + whole_event, chunked_head + "9\r\n" + next_event + "\r\n0\r\n\r\n"}, all},
        {{unframed_head + whole_event, unframed_head + next_event + last_event}, all + last_event}}) {
    const raw_backend backend(responses);
    const auto received = forward(backend);
    CHECK(received.m_complete);
    STRCMP_EQUAL(body.c_str(), received.m_body.c_str());
    UNSIGNED_LONGS_EQUAL(responses.size(), backend.requests().size());
  }
}

// Guards against a question about the end of each stream: one with its last event, a length or chunks needs
// none.
TEST(forwarder_ends_group, no_server_is_asked_about_a_stream_that_is_whole) {
  for (const std::string& response :
       {unframed_head + whole_event + "data: [DONE]\n\n", unframed_head + whole_event + "data:[DONE]\n\n",
        head + "Content-Length: 9\r\n\r\n" + whole_event,
        chunked_head + "9\r\n" + whole_event + "\r\n0\r\n\r\n"}) {
    const raw_backend backend({response});
    CHECK(forward(backend).m_complete);
    UNSIGNED_LONGS_EQUAL(1, backend.requests().size());
  }
}

// Guards against a response of another kind that looks complete because its resumption, which has neither a
// length nor chunks, ends before its first byte.
TEST(forwarder_ends_group, another_response_is_not_complete_because_its_resumption_ends_at_once) {
  const std::string cut = json_head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n";
  const raw_backend backend({cut, json_head + "\r\n"});
  CHECK_FALSE(forward(backend).m_complete);
  const raw_backend sound({cut, json_head + "\r\n1}"});
  CHECK(forward(sound).m_complete);
}

// Guards against a response that is joined to a body which it does not belong to, e.g. that of another
// process at the address of the backend server.
TEST(forwarder_ends_group, another_kind_of_response_does_not_continue_a_body) {
  const std::string cut = "Transfer-Encoding: chunked\r\n\r\n9\r\n" + whole_event + "\r\n";
  const std::string rest = "Content-Length: 9\r\n\r\n" + next_event;
  const std::string type = "Content-Type: text/event-stream\r\n";
  struct other_response {
    std::string m_first;
    std::string m_second;
  };
  for (const auto& [first, second] :
       {other_response{head, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + rest},
        {head, "HTTP/1.1 200 OK\r\n" + rest},
        {head, "HTTP/1.1 200 OK\r\n" + type + "Content-Encoding: gzip\r\n" + rest},
        {head, "HTTP/1.1 200 OK\r\n" + type + "X-Stream-Id: s2\r\n" + rest},
        {head, "HTTP/1.1 206 OK\r\n" + type + rest},
        {head, "HTTP/1.1 204 OK\r\n" + type + "\r\n"},
        {json_head, head + rest},
        {"HTTP/1.1 500 No\r\n" + type + "X-Stream-Id: s1\r\n", head + rest}}) {
    const raw_backend backend({first + cut, second});
    const auto received = forward(backend);
    CHECK_FALSE(received.m_complete);
    STRCMP_EQUAL(whole_event.c_str(), received.m_body.c_str());
    const auto recorded = forward_recorded(raw_backend({first + cut, second}));
    CHECK(recorded.m_recorded.empty());
  }
}

// Guards against a response that is recorded as complete, and replayed to all retries, although its end is in
// doubt.
TEST(forwarder_ends_group, a_response_whose_end_is_in_doubt_is_not_recorded) {
  std::vector<std::vector<std::string>> runs = {{unframed_head + whole_event, gone},
                                                {unframed_head + whole_event, unframed_head},
                                                {unframed_head + whole_event, ""}};
  for (const std::string& cut : short_responses) {
    runs.push_back({cut, empty_length});
    runs.push_back({cut, empty_chunks});
  }
  for (const auto& responses : runs) {
    const auto received = forward_recorded(raw_backend(responses));
    CHECK(received.m_recorded.empty());
    CHECK(received.m_verdict == verdict::may_have_run);
    CHECK(received.m_outcome == scheduler::outcome::connection_broken);
  }
  const auto confirmed = forward_recorded(raw_backend({unframed_head + whole_event, empty_length}));
  UNSIGNED_LONGS_EQUAL(1, confirmed.m_recorded.size());
  STRCMP_EQUAL(whole_event.c_str(), confirmed.m_recorded.at(0).m_response.m_body.c_str());
}

// Guards against a server that is asked for the rest of a body in a tight loop because each response is cut
// off before it brings any of it.
TEST(forwarder_ends_group, resumptions_without_content_become_rarer) {
  for (const std::string& cut : {chunked_head, chunked_head + "9\r\n: alive\n\n"}) {
    const raw_backend backend({chunked_head + "9\r\n" + whole_event + "\r\n", cut});
    const auto received = forward(backend, milliseconds(800));
    CHECK_FALSE(received.m_complete);
    CHECK(received.m_outcome == scheduler::outcome::timed_out);
    CHECK(backend.requests().size() >= 4);
    CHECK(backend.requests().size() <= 8);
  }
}

// Guards against a stream that is given up because its server needs some time for the next event.
TEST(forwarder_ends_group, a_stream_goes_on_after_resumptions_without_content) {
  const raw_backend backend({chunked_head + "9\r\n" + whole_event + "\r\n", chunked_head, chunked_head,
                             chunked_head, chunked_head,
                             chunked_head + "9\r\n" + next_event + "\r\n0\r\n\r\n"});
  const auto received = forward(backend);
  CHECK(received.m_complete);
  STRCMP_EQUAL((whole_event + next_event).c_str(), received.m_body.c_str());
}

// Guards against a whole stream that is broken off because a comment follows its last event, and against a
// body that is broken off because its first response had another success status than its rest.
TEST(forwarder_ends_group, comments_and_other_successes_leave_a_body_whole) {
  const raw_backend with_comment({head + "\r\n" + whole_event + "data: [DONE]\n\n: end\n\n"});
  CHECK(forward(with_comment).m_complete);
  UNSIGNED_LONGS_EQUAL(1, with_comment.requests().size());
  const std::string type = "Content-Type: text/event-stream\r\n";
  const raw_backend created({"HTTP/1.1 201 Created\r\n" + type +
                                 "X-Stream-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + whole_event +
                                 "\r\n",
                             head + "Content-Length: 9\r\n\r\n" + next_event});
  CHECK(forward(created).m_complete);
}

// Guards against a backend server that ignores the offset of each resumption, and is asked in a tight loop.
TEST(forwarder_ends_group, resumptions_that_bring_content_again_are_paced) {
  std::vector<std::string> responses;
  for (int i = 0; i < 400; ++i) {
    responses.push_back(head + "\r\n" + whole_event);
  }
  const raw_backend backend(responses);
  forward(backend);
  CHECK_COMPARE(backend.requests().size(), <, 100U);
}

// Guards against a backend server that works on for a caller who left while an interrupted response was being
// resumed: the calls that were opened after that were not interrupted.
TEST(forwarder_ends_group, a_response_is_not_resumed_for_a_caller_who_has_left) {
  const std::string invalid_chunk = chunked_head + "9\r\n" + whole_event + "\r\nx\r\n";
  const std::string silence;
  // The caller leaves while the first resumption waits for its response, or in the pause after it has failed.
  for (const auto& responses :
       {std::vector{invalid_chunk, silence}, std::vector{invalid_chunk, std::string("x\r\n\r\n"), silence}}) {
    const raw_backend backend(responses, {}, true);
    test_forwarder target;
    const time_point began = monotonic_now();
    const auto received = forward(target, backend, seconds(5), "r1", false, 2);
    CHECK(monotonic_now() - began < milliseconds(2'500));
    CHECK(received.m_outcome == scheduler::outcome::cancelled);
    CHECK(backend.requests().at(1).starts_with("GET /streams/s1?offset=9 "));
    CHECK(backend.requests().back().starts_with("DELETE /streams/s1 "));
  }
}
