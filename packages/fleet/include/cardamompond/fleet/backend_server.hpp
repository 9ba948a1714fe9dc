#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>

namespace cardamompond::fleet {

// One entry of the list of backend servers.
struct backend_server {
  std::string m_id; // identifies one process; a restart usually gives a new id
  std::string m_service;
  std::string m_address; // such as "10.0.0.1:8080"; another service may reuse it later
  std::string m_availability_zone;
  std::string m_version;
  std::uint32_t m_slots = 1;          // number of requests that it runs concurrently
  bool m_draining = false;            // accepts no new requests
  milliseconds m_cold_remaining{0};   // remaining cold period at the time the entry was written
  std::int64_t m_started_unix_ms = 0; // start time, which distinguishes two processes with the same id

  friend bool operator==(const backend_server&, const backend_server&) = default;
};

// An operator's order to move the traffic of a service to another version.
struct rollout_order {
  std::string m_service;
  std::string m_target_version;
  milliseconds m_period{0};             // time allowed from the order to its completion
  std::uint64_t m_created_revision = 0; // store revision at which the order was created
  std::uint64_t m_revision = 0;         // current revision of the order's object, for conditional updates
  std::uint64_t m_era = 0;              // era of the store in which m_revision was read
  enum class state { ordered, running, completed, rolled_back };
  state m_state = state::ordered;
};

} // namespace cardamompond::fleet
