#include "cardamompond/daemon/body_completeness.hpp"

#include <algorithm>

namespace cardamompond::daemon {

void body_completeness::record_cut(const body_part& part, std::uint64_t body_bytes, bool bytes_due,
                                   bool ended) {
  m_cut = true;
  m_broken = m_broken || !ended;
  if (!bytes_due) {
    return;
  }
  if (part.m_framing == net::body_framing::length && part.m_length && !m_bytes) {
    m_bytes = part.m_offset + *part.m_length;
  }
  m_min_bytes = std::max(m_min_bytes, body_bytes + 1);
}

bool body_completeness::has_content(const body_part& part, const response_meter& body) const {
  const std::uint64_t part_bytes = body.bytes() - part.m_offset;
  return m_event_stream && !part.m_begins_inside_event ? body.has_event_in_last(part_bytes) : part_bytes > 0;
}

// If the process of a server crashes, the kernel closes its connections in the orderly way. That is also the
// end of a response without a length or chunks. Only the server can tell them apart; if it can't be asked,
// such an end is believed unless the response brought nothing. A stream that has its last event is whole,
// whatever else was announced.
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
  // A server that resets its connection can take back bytes that it has sent. A response that broke off
  // without content may have had some.
  if (m_broken && (m_event_stream ? body.events() == 0 : body.bytes() == 0)) {
    return "the body ended without content behind a response that was cut off";
  }
  if (part.m_framing != net::body_framing::connection) {
    return {};
  }
  if (m_event_stream && m_resumable) {
    return "the connection ended before the last event";
  }
  if ((m_event_stream || m_cut) && !has_content(part, body)) {
    return "the connection ended before any content";
  }
  return {};
}

} // namespace cardamompond::daemon
