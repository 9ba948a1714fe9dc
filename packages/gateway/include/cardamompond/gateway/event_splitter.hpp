#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamompond::gateway {

// Returns whether a stream of server-sent events is inside an event, or inside a line, after these bytes.
// Blank lines and comments between events belong to no event. The beginning of a long stream may be left out.
bool is_inside_event(std::string_view stream);

// Returns whether a part of a stream which begins between two lines has more than comments and blank lines.
bool has_field(std::string_view stream);

// Returns the number of events that end in a part of a stream which begins between two lines. Comments and
// blank lines are no events.
std::size_t count_events(std::string_view stream);

// Returns whether the ids of the events in this part of a stream increase, and are larger than `last_id`.
// Compares only ids that are decimal numbers; the last one counts in an event with several.
bool ids_increase(std::string_view events, std::string_view last_id);

// Returns whether an event in this part of a stream, or one that has only begun, has a larger id than
// `last_id`. Compares only ids that are decimal numbers.
bool has_later_id(std::string_view events, std::string_view last_id);

// Splits a stream of server-sent events into complete events. If the stream of a backend server breaks within
// an event, the caller has received complete events only, and another server can continue after the last of
// them.
class event_splitter {
public:
  // Appends bytes and returns the events that are complete now, including their separators. The view is valid
  // until the next call.
  std::string_view feed(std::string_view bytes);

  // Number of events in the view that the last feed() returned.
  std::size_t event_count() const { return m_event_count; }

  // Whether the ids in the view that the last feed() returned increase, from the last id before it on, if a
  // server continues the stream. If they do not, last_event_id() stays the one before.
  bool ids_increase() const { return m_ids_increase; }

  // The id of the last complete event that had one; empty if none had.
  const std::string& last_event_id() const { return m_last_event_id; }

  // Whether another server can continue the stream after last_event_id(): the last complete event had an id.
  // An event without one would come again.
  bool can_resume() const { return m_can_resume; }

  // The bytes after the last complete event. At the end of a complete stream, they are at most blank lines
  // and comments.
  std::string_view remaining_bytes() const { return std::string_view(m_buffer).substr(m_complete_bytes); }

  // Discards an incomplete event. Must be called before another server continues the stream, whose events
  // then have to follow the last id.
  void continue_stream();

private:
  void update_last_event_id(std::string_view events);
  std::string m_buffer;
  std::size_t m_complete_bytes = 0; // length of the part of m_buffer that feed() has returned
  std::size_t m_event_count = 0;
  bool m_continues = false;
  bool m_ids_increase = true;
  bool m_can_resume = false;
  std::string m_last_event_id;
};

} // namespace cardamompond::gateway
