#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::scheduler {

// The part of the declarations that one cell's scheduler needs, with names resolved. See docs/design.md,
// section 11.
struct tier_configuration {
  std::string m_name;
  std::uint32_t m_rank = 0;   // 0 is the highest
  double m_queue_share = 1.0; // part of a service's queue that this tier and the lower ones may fill together
};

struct client_account_configuration {
  std::string m_name;
  std::uint32_t m_tier_rank = 0;
  double m_share = 1.0;
  std::uint32_t m_max_outstanding = 0; // 0 is unlimited
};

struct version_configuration {
  std::string m_name;
  std::string m_service;
  std::uint64_t m_attempt = 1; // raising it resets the circuit breakers of the version
};

struct rollout_configuration {
  std::string m_target_version;
  time_point m_started; // monotonic time at which this daemon adopted the move
  time_point m_due;     // monotonic time by which the move should be done
  std::vector<double> m_steps_percent = {1, 5, 25, 50, 100};
};

struct service_configuration {
  std::string m_name;
  std::string m_active_version;
  std::optional<rollout_configuration> m_rollout;
  std::uint32_t m_queue_limit = 1000;
  std::uint32_t m_long_request_tokens = 2000;
  double m_long_share = 0.5;
};

struct backend_server_configuration {
  std::string m_name;
  std::string m_service;
  std::string m_version;
  std::string m_availability_zone;
  std::string m_address;
  std::uint32_t m_slots = 1;
  std::uint32_t m_cold_limit = 1;
  bool m_in_service = true; // false while it or its availability zone is declared leaving or out
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
