#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::scheduler {

// These structures hold the part of the declarations that the scheduler of one cell needs, with all
// references between objects resolved. See docs/design.md, section 11.
struct tier_configuration {
  std::string m_name;
  std::uint32_t m_rank = 0; // 0 is the highest priority
  // Fraction of a service's queue limit that this tier and all lower tiers may use together.
  double m_queue_share = 1.0;
};

struct client_account_configuration {
  std::string m_name;
  std::uint32_t m_tier_rank = 0;
  double m_share = 1.0;                // weight in the deficit round robin of the tier
  std::uint32_t m_max_outstanding = 0; // 0: unlimited
};

struct version_configuration {
  std::string m_name;
  std::string m_service;
  std::uint64_t m_attempt = 1; // a higher number resets the circuit breakers of the version
};

// The rollout of another version of a service, which a declaration calls a move. It shifts the traffic from
// the active version to the target version in steps.
struct rollout_configuration {
  std::string m_target_version;
  time_point m_started; // monotonic time at which this daemon adopted the rollout
  time_point m_due;     // monotonic time by which the rollout should be complete
  std::vector<double> m_steps_percent = {1, 5, 25, 50, 100};
};

struct service_configuration {
  std::string m_name;
  std::string m_active_version;
  std::optional<rollout_configuration> m_rollout;
  std::uint32_t m_queue_limit = 1000;         // maximum number of waiting requests
  std::uint32_t m_long_request_tokens = 2000; // requests with more estimated tokens count as long
  // Fraction of the slots of a backend server that long requests may occupy while short ones wait.
  double m_long_share = 0.5;
};

struct backend_server_configuration {
  std::string m_name;
  std::string m_service;
  std::string m_version;
  std::string m_availability_zone;
  std::string m_address;
  std::uint32_t m_slots = 1;      // maximum number of concurrent requests
  std::uint32_t m_cold_limit = 1; // maximum number of concurrent requests at the beginning of a cold start
  // False while the backend server or its availability zone is declared leaving or out.
  bool m_in_service = true;
};

struct configuration {
  std::uint64_t m_revision = 0;
  std::vector<tier_configuration> m_tiers;
  std::vector<client_account_configuration> m_client_accounts;
  std::vector<service_configuration> m_services;
  std::vector<version_configuration> m_versions;
  std::vector<backend_server_configuration> m_backend_servers;
};

} // namespace cardamompond::scheduler
