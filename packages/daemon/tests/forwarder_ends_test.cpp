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
