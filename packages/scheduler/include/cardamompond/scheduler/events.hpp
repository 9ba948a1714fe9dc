#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/request_key.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cardamompond::scheduler {

// A request enters the queue. Submitting a known key again changes nothing.
struct submit_event {
  request_key m_key;
  std::string m_service;
  std::string m_client_account;
  std::string m_route;                        // declared route path, e.g. "/v1/chat/completions"
  std::uint32_t m_prompt_tokens = 0;          // estimated
  std::uint32_t m_max_output_tokens = 0;      // 0 if unknown
  std::vector<std::uint64_t> m_prefix_blocks; // hash chain of the prompt's blocks, from the start
  hash128 m_fingerprint;                      // of the body
  time_point m_arrived;
  time_point m_deadline;
};

// The caller went away or gave up before dispatch.
struct cancel_event {
  request_key m_key;
};

// The entry daemon is about to write the first byte to the backend server.
struct started_event {
  request_key m_key;
};

enum class decline_reason {
  expired,        // the permit expired before dispatch; the request is submitted again
  connect_failed, // nothing was written; the request is submitted again
  abandoned,      // the request is over without having been dispatched
};

// A permit is returned unused.
struct declined_event {
  request_key m_key;
  decline_reason m_reason = decline_reason::abandoned;
};

enum class outcome {
  succeeded,
  failed,            // the backend server answered with a fault of its own (5xx) or broke off with an error
  refused,           // explicit refusal; not run
  cancelled,         // the caller went away; the backend server confirmed or the connection is closed
  connection_broken, // the connection broke without a complete answer
  timed_out,         // no progress before the deadline
};

// A dispatched request is over and its slot is free.
struct completed_event {
  request_key m_key;
  outcome m_outcome = outcome::succeeded;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  duration m_time_to_first_token{}; // from dispatch; zero if none came
  duration m_total_time{};          // from dispatch
};

enum class reported_state { cold, warm, leaving };

// A backend server's own load report. Lags; values out of bounds are counted and ignored.
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

// A backend server did not answer its load poll.
struct unreachable_event {
  std::string m_backend_server;
};

// A change of a backend server's prefix cache. A gap in the sequence drops what is known about its cache.
struct cache_event {
  std::string m_backend_server;
  std::uint64_t m_sequence = 0;
  bool m_added = true;
  std::uint64_t m_block = 0;
};

// The host list names this backend server's host as leaving, or as live again.
struct host_state_event {
  std::string m_backend_server;
  bool m_leaving = false;
};

// A member of the cell died. Its waiting requests leave the queue; its dispatched ones count for another 10
// s.
struct member_lost_event {
  std::uint64_t m_daemon = 0; // request_key::m_daemon of that incarnation
};

// A dispatch that a member had outstanding when this daemon became the cell owner.
struct restore_event {
  submit_event m_request;
  std::string m_backend_server;
};

using event = std::variant<submit_event, cancel_event, started_event, declined_event, completed_event,
                           load_report_event, unreachable_event, cache_event, host_state_event,
                           member_lost_event, restore_event>;

} // namespace cardamompond::scheduler
