#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamompond::gateway {

// Cuts a stream of server-sent events into whole events, so that a break in the middle of one reaches the
// caller as a break between two, and the stream can go on behind the last whole one.
class event_splitter {
public:
  // Takes in bytes; returns the whole events that are complete now, separators included. The view is valid
  // until the next call.
  std::string_view feed(std::string_view bytes);

  // Number of whole events in the view that the last feed() returned.
  std::size_t event_count() const { return m_event_count; }

  // The id of the last whole event; empty if none had one.
  const std::string& last_event_id() const { return m_last_event_id; }

  // Bytes after the last whole event, for an answer that has ended.
  std::string_view remaining_bytes() const { return std::string_view(m_buffer).substr(m_complete_bytes); }

  // Forgets an incomplete event, before the stream goes on from another server.
  void drop_incomplete_event();

private:
  void update_last_event_id(std::string_view events);
  void count_events(std::string_view events);

  std::string m_buffer;
  std::size_t m_complete_bytes = 0; // bytes of m_buffer that were returned
  std::size_t m_event_count = 0;
  std::string m_last_event_id;
};

} // namespace cardamompond::gateway
