#include "forwarder_fixture.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::daemon;
using namespace cardamompond::daemon::testing;

namespace {

const std::vector<std::string> events = {"data: a\n\n", ": alive\n\n", "data: b\ndata: c\n\n",
                                         "data: [DONE]\n\n"};

enum class framing { chunks, length, connection };
constexpr std::array framings = {framing::chunks, framing::length, framing::connection};

std::string join_events() {
  std::string body;
  for (const auto& event : events) {
    body += event;
  }
  return body;
}

// Returns the part of the stream that begins at an offset, with a chunk for each event.
std::string make_chunks(std::size_t offset) {
  std::string chunks;
  for (const std::string& event : events) {
    const auto skipped = std::min(offset, event.size());
    offset -= skipped;
    if (skipped < event.size()) {
      std::array<char, 24> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", event.size() - skipped);
      chunks += size.data() + event.substr(skipped) + "\r\n";
    }
  }
  return chunks + "0\r\n\r\n";
}

// The headers that state the framing, and the body that they belong to.
struct framed_body {
  std::string m_headers;
  std::string m_bytes;
};

framed_body make_body(framing chosen, std::size_t offset) {
  const std::string rest = join_events().substr(offset);
  if (chosen == framing::chunks) {
    return {"Transfer-Encoding: chunked\r\n\r\n", make_chunks(offset)};
  }
  if (chosen == framing::length) {
    return {"Content-Length: " + std::to_string(rest.size()) + "\r\n\r\n", rest};
  }
  return {"\r\n", rest};
}

// Returns the response that begins at an offset of the stream and is cut off after some bytes of its body.
std::string make_response(framing chosen, std::size_t offset, std::size_t body_bytes = std::string::npos) {
  const auto body = make_body(chosen, offset);
  return head + body.m_headers + body.m_bytes.substr(0, body_bytes);
}

// Calls `check` with the response that is cut off at each of its bytes, in each framing.
template <typename Check> void for_each_cut(Check check) {
  for (const framing chosen : framings) {
    for (std::size_t cut = 0; cut < make_body(chosen, 0).m_bytes.size(); ++cut) {
      check(chosen, make_response(chosen, 0, cut));
    }
  }
}

// Returns the offset from which the stream was to be resumed.
std::size_t resumed_offset(const raw_backend& backend) {
  const std::string& request = backend.requests().at(1);
  return std::stoul(request.substr(request.find("offset=") + std::string_view("offset=").size()));
}

const std::string gone = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP(forwarder_cut_streams_group){};

// Guards against a stream that looks complete without its last event after its backend server has crashed, at
// whatever byte of its response.
TEST(forwarder_cut_streams_group, a_stream_of_a_crashed_server_is_complete_with_its_last_event_only) {
  for_each_cut([](framing, const std::string& cut) {
    const raw_backend backend({cut, gone});
    const auto received = forward(backend);
    CHECK_EQUAL(received.m_body == join_events(), received.m_complete);
    CHECK(join_events().starts_with(received.m_body));
  });
}

// Guards against a stream of which a part is missing, comes twice or is joined to another one after its
// connection was cut off, at whatever byte, and against one that is given up.
TEST(forwarder_cut_streams_group, a_stream_is_resumed_whatever_the_byte_at_which_it_was_cut) {
  for_each_cut([](framing, const std::string& cut) {
    const raw_backend trial({cut, gone});
    forward(trial);
    if (trial.requests().size() < 2) {
      return; // the last event has come
    }
    for (const framing rest : framings) {
      const raw_backend backend({cut, make_response(rest, resumed_offset(trial))});
      const auto received = forward(backend);
      CHECK(received.m_complete);
      STRCMP_EQUAL(join_events().c_str(), received.m_body.c_str());
    }
  });
}

// Guards against a stream that looks complete because its resumption was cut off as well.
TEST(forwarder_cut_streams_group, a_stream_whose_resumption_is_cut_is_complete_with_its_last_event_only) {
  const std::size_t offset = events[0].size();
  const std::string first = head + "\r\n" + events[0];
  for (const framing rest : framings) {
    for (std::size_t cut = 0; cut < make_body(rest, offset).m_bytes.size(); ++cut) {
      const raw_backend backend({first, make_response(rest, offset, cut), gone});
      const auto received = forward(backend);
      CHECK_EQUAL(received.m_body == join_events(), received.m_complete);
      CHECK(join_events().starts_with(received.m_body));
    }
  }
}

// Guards against a stated end that is believed after a cut short of a length, or inside an event.
TEST(forwarder_cut_streams_group, a_wrong_end_is_not_believed_where_the_cut_contradicts_it) {
  for_each_cut([](framing chosen, const std::string& cut) {
    for (const std::string end :
         {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
      const raw_backend backend({cut, head + end});
      const auto received = forward(backend);
      // A comment belongs to no event, so that nothing is due after its line unless a chunk announced it.
      const bool after_comment = chosen == framing::connection && received.m_body.ends_with(": alive\n");
      const bool between_events =
          received.m_body.empty() || received.m_body.ends_with("\n\n") || after_comment;
      if (chosen == framing::length || !between_events) {
        CHECK_EQUAL(received.m_body == join_events(), received.m_complete);
      }
    }
  });
}
