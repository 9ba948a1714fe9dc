#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamompond::fleet {

// How often a request of a route may run.
enum class execution_semantics {
  idempotent,  // any number of times
  at_most_once // a request that may have run is never sent again
};

// One destination of a route; requests are split over all of them by weight.
struct weighted_service {
  std::string m_service;
  double m_weight = 1.0;
};

// Requests whose host matches and whose path begins with the prefix; the longest prefix wins.
struct route {
  std::string m_name;
  std::string m_host;
  std::string m_path_prefix; // begins and ends with a slash
  std::vector<weighted_service> m_services;
  execution_semantics m_execution_semantics = execution_semantics::at_most_once;
  bool m_streamed = false;               // the answer is a series of events
  bool m_resumable = false;              // a stream may go on at another backend server after its last event
  bool m_allows_anonymous = false;       // served without a key
  std::uint32_t m_rank = 0;              // 0 is the highest tier
  std::uint32_t m_max_attempts = 1;      // backend servers that may run one request
  milliseconds m_timeout{0};             // from the arrival to the end of the answer; 0: none
  milliseconds m_event_gap_target{0};    // longest pause between events of a stream for full credit
  milliseconds m_first_answer_target{0}; // from the arrival; full credit within it
};

// A group of interchangeable backend servers.
struct service {
  std::string m_name;
  double m_cold_requests_per_s = 0;     // that one backend server bears while cold; 0: no limit
  std::uint32_t m_tokens_per_event = 1; // of a stream
  bool m_uses_batching = false;         // model engines, which serve requests in batches and cache prompts
  milliseconds m_max_reservation{0};    // for which a server keeps a place when asked; 0: it keeps none
};

// A caller's organisation, known by its keys.
struct client_account {
  std::string m_name;
  std::vector<std::string> m_keys;
  bool m_has_rank = false; // its rank replaces that of the route
  std::uint32_t m_rank = 0;
  double m_units_per_s = 0; // quota over all daemons; 0: unlimited
  double m_burst_units = 0;
  bool m_counts_tokens = false;       // units are tokens instead of requests
  std::uint32_t m_default_tokens = 1; // of a request that states none
};

// What a caller may send, and how long it may take.
struct caller_limits {
  std::uint32_t m_max_header_bytes = 16U << 10U;
  std::uint64_t m_max_body_bytes = 4U << 20U;
  milliseconds m_header_timeout{3'000};
  milliseconds m_idle_timeout{15'000};
};

// One version of the declared objects, whole.
struct declarations {
  std::uint64_t m_version = 0; // given by the operators; increases in uneven steps
  std::vector<route> m_routes;
  std::vector<service> m_services;
  std::vector<client_account> m_client_accounts;
  caller_limits m_limits;
};

} // namespace cardamompond::fleet
