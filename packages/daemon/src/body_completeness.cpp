#include "cardamompond/daemon/body_completeness.hpp"

#include <algorithm>

namespace cardamompond::daemon {

void body_completeness::record_cut(const body_part& part, std::uint64_t body_bytes, bool bytes_due) {
  if (!bytes_due) {
    return;
  }
  if (part.m_framing == net::body_framing::length && part.m_length && !m_bytes) {
    m_bytes = part.m_offset + *part.m_length;
  }
  m_min_bytes = std::max(m_min_bytes, body_bytes + 1);
}

// The end of a connection that brought nothing is that of a server that crashed, unless a length or chunks
// show that nothing was to come. A stream that has its last event is whole, whatever else was announced.
std::string_view body_completeness::find_contradiction(const body_part& part,
                                                       const response_meter& body) const {
  if (m_event_stream && body.has_last_event()) {
    return {};
  }
  if (m_bytes && body.bytes() != *m_bytes) {
    return "the body does not have the length that was stated";
  }
  if (body.bytes() < m_min_bytes) {
    return "the body ended before bytes of a chunk that was announced";
  }
  if (m_event_stream && body.is_inside_event()) {
    return "the stream ended inside an event";
  }
  const bool has_event = part.m_begins_inside_event || body.has_event_in_last(body.bytes() - part.m_offset);
  if (m_event_stream && part.m_framing == net::body_framing::connection && !has_event) {
    return "the connection ended before an event";
  }
  return {};
}

} // namespace cardamompond::daemon
