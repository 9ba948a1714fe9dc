#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/request_key.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cardamompond::scheduler {

// A request enters the queue. A repeated submission of a known key has no effect.
struct submit_event {
  request_key m_key;
  std::string m_service;
  std::string m_client_account;
  std::string m_route;                        // declared route path, e.g. "/v1/chat/completions"
  std::uint32_t m_prompt_tokens = 0;          // estimated number of tokens
  std::uint32_t m_max_output_tokens = 0;      // 0 if unknown
  std::vector<std::uint64_t> m_prefix_blocks; // chained hashes of the prompt's blocks, first block first
  hash128 m_fingerprint;                      // hash of the request body
  time_point m_arrived;
  time_point m_deadline;
};

// The caller disconnected or gave up before the request was dispatched.
struct cancel_event {
  request_key m_key;
};

// The entry daemon is about to write the first byte of the request to the backend server.
struct started_event {
  request_key m_key;
};

enum class decline_reason {
  expired,        // the permit expired before dispatch; the entry daemon submits the request again
  connect_failed, // the connection failed and nothing was written; the entry daemon submits the request again
  abandoned,      // the request ended without having been dispatched
};

// The entry daemon returns a permit unused.
struct declined_event {
  request_key m_key;
  decline_reason m_reason = decline_reason::abandoned;
};

enum class outcome {
  succeeded,
  failed,  // the backend server responded with a server error (5xx) or aborted the response with an error
  refused, // the backend server explicitly refused the request and did not run it
  // The caller disconnected, and the backend server confirmed the cancellation or the connection was closed.
  cancelled,
  connection_broken, // the connection broke before the response was complete
  timed_out,         // the deadline passed or the connection timed out before the response was complete
};

// A dispatched request has ended and no longer occupies its slot.
struct completed_event {
  request_key m_key;
  outcome m_outcome = outcome::succeeded;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  duration m_time_to_first_token{}; // measured from dispatch; zero if no token was received
  duration m_total_time{};          // measured from dispatch
};

enum class reported_state { cold, warm, leaving };

// A load report that the backend server publishes about itself. It lags behind the actual load. Values that
// are out of bounds are counted and ignored.
struct load_report_event {
  std::string m_backend_server;
  std::string m_boot_id;
  reported_state m_state = reported_state::warm;
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  std::int64_t m_slots = 0;
  double m_tokens_per_s = 0;
  time_point m_measured;
};

// A backend server did not answer a load poll.
struct unreachable_event {
  std::string m_backend_server;
};

// A backend server added a block to its prefix cache or removed one. After a gap in the sequence numbers the
// scheduler discards what it knows about that cache.
struct cache_event {
  std::string m_backend_server;
  std::uint64_t m_sequence = 0;
  bool m_added = true;
  std::uint64_t m_block = 0;
};

// The host list reports the host of this backend server as leaving, or as live again.
struct host_state_event {
  std::string m_backend_server;
  bool m_leaving = false;
};

// A member of the cell was lost. Its waiting requests leave the queue. Its dispatched requests may still run
// and keep their slots for another 10 s.
struct member_lost_event {
  std::uint64_t m_daemon = 0; // the value of request_key::m_daemon for that incarnation of the member
};

// A member had this dispatch outstanding when the daemon became the cell owner.
struct restore_event {
  submit_event m_request;
  std::string m_backend_server;
};

using event = std::variant<submit_event, cancel_event, started_event, declined_event, completed_event,
                           load_report_event, unreachable_event, cache_event, host_state_event,
                           member_lost_event, restore_event>;

} // namespace cardamompond::scheduler
