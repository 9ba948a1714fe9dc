#include "cardamompond/gateway/stream_completeness.hpp"

namespace cardamompond::gateway {

void stream_completeness::record_cut(const run_end& end) {
  m_cut = true;
  m_event_due = m_event_due || end.m_inside_event || end.m_body_bytes_due;
}

std::string_view stream_completeness::find_contradiction(const run_end& end) const {
  if (end.m_inside_event) {
    return "the stream ended inside an event";
  }
  // A server stops work at its deadline, and may end the response then as if it were whole.
  if (end.m_ended_at_deadline) {
    return "the stream ended at the deadline of its server";
  }
  if (end.m_events > 0) {
    return {};
  }
  // The connection of a server that crashed ends like that of one that has nothing to send.
  if (end.m_ends_with_connection) {
    return "the connection ended before the first event";
  }
  if (m_event_due) {
    return "the stream ended before an event of which a part had been received";
  }
  // A server that resets its connection can take back bytes that it has sent. A cut run that shows no event
  // may have had some.
  if (m_cut && !m_has_events && !end.m_has_no_body) {
    return "the stream ended without an event behind a run that was cut";
  }
  return {};
}

} // namespace cardamompond::gateway
