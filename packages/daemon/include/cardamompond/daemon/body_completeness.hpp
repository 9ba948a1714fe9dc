#pragma once

#include "cardamompond/daemon/response_meter.hpp"
#include "cardamompond/net/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamompond::daemon {

// One response that brings a body, or a part of it that begins at an offset.
struct body_part {
  std::uint64_t m_offset = 0;
  bool m_begins_inside_event = false;
  net::body_framing m_framing = net::body_framing::none;
  std::optional<std::uint64_t> m_length; // that the response states
};

// Decides whether the end of a response is the end of a body, which several responses may make up: if one is
// cut off, another one continues at the offset reached. An orderly end, even a stated one, is not believed if
// anything that a response has shown contradicts it.
class body_completeness {
public:
  // With `event_stream`, the body consists of server-sent events. With `resumable`, its server can be asked
  // for the rest.
  body_completeness(bool event_stream, bool resumable)
      : m_event_stream(event_stream)
      , m_resumable(resumable) {}

  // Records that a response was cut off after `body_bytes` bytes of the body. `bytes_due`: its length, or the
  // size of a chunk, announced more. `ended`: it ended in an orderly way, which was not believed.
  void record_cut(const body_part& part, std::uint64_t body_bytes, bool bytes_due, bool ended);

  // Returns whether the response has brought more than comments and blank lines of a stream, or any byte of
  // another body.
  bool has_content(const body_part& part, const response_meter& body) const;

  // Returns why the body is not whole although the response that brought `part` ended in an orderly way, or
  // an empty text if it may be whole.
  std::string_view find_contradiction(const body_part& part, const response_meter& body) const;

private:
  bool m_event_stream;
  bool m_resumable;
  bool m_cut = false;                   // a response was cut off, or its end was not believed
  bool m_broken = false;                // a response broke off without an end
  std::uint64_t m_min_bytes = 0;        // of the whole body
  std::optional<std::uint64_t> m_bytes; // of the whole body, if a response stated it
};

} // namespace cardamompond::daemon
