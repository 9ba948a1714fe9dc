#pragma once

#include "cardamompond/core/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cardamompond::testing {

// How a response states where its body ends.
enum class body_framing { chunks, length, connection };

// Where a run of a stream stops.
enum class stop_stage {
  none, // after its last event, with the end that its framing has
  before_first_event,
  between_events,
  inside_event,
  behind_chunk_size,
  inside_chunk,
  before_chunk_end, // after the event in the chunk
  before_last_chunk,
  inside_last_chunk,
};

// How a run stops at its stage.
enum class stop_kind {
  fin,
  reset,
  silence,
  stated_end, // the end that the framing has for a whole response
};

// The event with which a run begins that a Last-Event-Id asks to continue a stream.
enum class run_start {
  next_event,
  first_event, // as a new process does that does not know the stream
  later_event, // skips some events
  named_event, // repeats the event that Last-Event-Id names
};

// What an engine does with one of the requests of a stream.
struct stream_run {
  body_framing m_framing = body_framing::chunks;
  stop_stage m_stage = stop_stage::none;
  stop_kind m_kind = stop_kind::fin;
  int m_events = 0; // that the run sends before it stops
  run_start m_start = run_start::next_event;
  bool m_split_writes = false; // each event in two writes
  // The run stops this long before the deadline that the daemon handed to the engine, whatever m_events.
  std::optional<milliseconds> m_before_deadline{};
  milliseconds m_pause{};          // of silence after m_pause_after events of the run
  int m_pause_after = 0;           // 0: before the head
  int m_status = 200;              // others come without events
  bool m_not_run = false;          // states that the request was not run
  bool m_signed = true;            // has the engine's stamp
  bool m_encoded = false;          // has a Content-Encoding
  bool m_repeats_response = false; // a refusal or failure is sent once more when the next one is due
};

// Which events have an id.
enum class id_scheme {
  numbers,    // 1, 2, 3, ...
  tens,       // 10, 20, 30, ...
  odd_events, // each second event has none
};

// A stream, and what the engines do with its requests, one after the other. Further runs are whole.
struct stream_plan {
  int m_events = 49;
  milliseconds m_interval{25};
  std::size_t m_padding = 0; // bytes that each event has in addition
  id_scheme m_ids = id_scheme::numbers;
  bool m_comments = false; // before each event
  std::vector<stream_run> m_runs{};
};

// A run as its engine saw it.
struct run_trace {
  std::string m_engine;
  std::string m_last_event_id;
  milliseconds m_deadline{}; // handed to the engine
  int m_first = 0;           // number of the first event
  int m_last = 0;            // number of the last event that was written whole
  std::string m_end;
  time_point m_began;
  time_point m_ended;
};

// Returns descriptions for logs.
std::string describe(const stream_run& run);
std::string describe(const run_trace& run);

// Returns the event with that number.
std::string make_event(const stream_plan& plan, const std::string& request_id, int number);

// Returns the number of the event with which a request with that Last-Event-Id, or none, asks to begin.
int next_event(const stream_plan& plan, const std::string& last_event_id);

} // namespace cardamompond::testing
