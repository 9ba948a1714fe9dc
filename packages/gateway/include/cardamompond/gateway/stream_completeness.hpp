#pragma once

#include <cstdint>
#include <string_view>

namespace cardamompond::gateway {

// What the connection to a server shows of the end of one run of a stream.
struct run_end {
  std::uint64_t m_events = 0;          // that the run brought
  bool m_inside_event = false;         // it stopped after a part of an event
  bool m_body_bytes_due = false;       // it stopped before bytes that its length or a chunk had announced
  bool m_ends_with_connection = false; // it has neither a length nor chunks, so that it cannot state its end
  bool m_ended_at_deadline = false;    // it went on at the deadline that the server was given
  bool m_has_no_body = false;          // because of the method or the status, whatever the stream holds
};

// Decides whether the end of a run can be that of the stream, which several runs may make up. A server that
// ends its response in an orderly way, even with a last chunk, is not believed if something that any run has
// shown contradicts it: then the stream is not whole, and another server may continue it.
class stream_completeness {
public:
  stream_completeness() = default;

  // With `resumed_by_caller`, the caller has the beginning of the stream, and may lack nothing but its end.
  explicit stream_completeness(bool resumed_by_caller)
      : m_has_events(resumed_by_caller) {}

  // Records a run that was cut off or given up, also one whose response had not begun.
  void record_cut(const run_end& end);

  // Records an event, with which a run goes on where an earlier one was cut.
  void record_event() {
    m_has_events = true;
    m_event_due = false;
  }

  // Returns why the stream is not whole although the run ended in an orderly way, or an empty text if it may
  // be whole.
  std::string_view find_contradiction(const run_end& end) const;

private:
  bool m_cut = false;        // a run was cut
  bool m_has_events = false; // the stream has events, from any run or from an earlier request of the caller
  bool m_event_due = false;  // a run was cut while at least one more event was to come
};

} // namespace cardamompond::gateway
