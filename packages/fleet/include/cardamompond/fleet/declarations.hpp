#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::fleet {

// How often a request of a route may be executed.
enum class execution_semantics {
  idempotent,  // any number of times, so that it may be retried
  at_most_once // a request that may have been executed is never sent again
};

// One destination of a route. The requests of the route are split over its destinations by weight.
struct weighted_service {
  std::string m_service;
  double m_weight = 1.0;
};

// Applies to requests whose host matches and whose path begins with the prefix. The longest prefix wins.
struct route {
  std::string m_name;
  std::string m_host;
  std::string m_path_prefix; // begins and ends with a slash
  std::vector<weighted_service> m_services;
  execution_semantics m_execution_semantics = execution_semantics::at_most_once;
  bool m_streamed = false;              // the response is a stream of events
  bool m_resumable = false;             // a broken stream may continue on another server
  bool m_allows_anonymous = false;      // served without an API key
  std::uint32_t m_rank = 0;             // tier of the request; 0 is the highest
  std::uint32_t m_max_attempts = 1;     // number of backend servers that may run one request
  milliseconds m_timeout{0};            // from the arrival to the end of the response; 0: no limit
  milliseconds m_event_gap_target{0};   // target for the longest pause between two events of a stream
  milliseconds m_first_token_target{0}; // target for the time from arrival to the first part of the response
};

// Bounds of the number of engines of a service in each availability zone.
struct engine_bounds {
  std::uint32_t m_min = 0;
  std::uint32_t m_max = 0;
  duration m_boot_time{}; // from an order until a new engine serves
};

// A group of interchangeable backend servers.
struct service {
  std::string m_name;
  double m_cold_requests_per_s = 0;     // limit for one backend server while it is cold; 0: no limit
  std::uint32_t m_tokens_per_event = 1; // number of output tokens in one event of a stream
  bool m_uses_batching = false;         // its servers are model engines with batching and prompt caches
  milliseconds m_max_reservation{0};    // longest slot reservation of a server; 0: none
  std::optional<engine_bounds> m_engine_bounds; // nothing: the number of engines is not ordered
};

// An organisation of callers, identified by its API keys.
struct client_account {
  std::string m_name;
  std::vector<std::string> m_keys;
  bool m_has_rank = false; // m_rank applies instead of the rank of the route
  std::uint32_t m_rank = 0;
  double m_units_per_s = 0; // quota for all daemons together; 0: unlimited
  double m_burst_units = 0;
  bool m_counts_tokens = false;       // quota units are tokens instead of requests
  std::uint32_t m_default_tokens = 1; // charged for a request that does not state its tokens
};

// Limits for the size of a request and for the time that a caller may take to send it.
struct caller_limits {
  std::uint32_t m_max_header_bytes = 16U << 10U;
  std::uint64_t m_max_body_bytes = 4U << 20U;
  milliseconds m_header_timeout{3'000};
  milliseconds m_idle_timeout{15'000};
};

// A complete version of the declared objects.
struct declarations {
  std::uint64_t m_version = 0; // set by the operators; increases, but not always by one
  std::vector<route> m_routes;
  std::vector<service> m_services;
  std::vector<client_account> m_client_accounts;
  caller_limits m_limits;
};

} // namespace cardamompond::fleet
