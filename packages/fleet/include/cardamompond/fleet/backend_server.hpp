#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>

namespace cardamompond::fleet {

// One entry of the list of backend servers.
struct backend_server {
  std::string m_id; // of one process; mostly new with each start
  std::string m_service;
  std::string m_address; // "10.0.0.1:8080"; may be used again by another service later
  std::string m_availability_zone;
  std::string m_version;
  std::uint32_t m_slots = 1;          // requests that it runs at a time
  bool m_draining = false;            // takes no new requests
  milliseconds m_cold_remaining{0};   // when the entry was written
  std::int64_t m_started_unix_ms = 0; // distinguishes two starts under one id
};

// An order to move the traffic of a service to another version.
struct rollout_order {
  std::string m_service;
  std::string m_target_version;
  milliseconds m_period{0};             // from the order to the time by which it should be done
  std::uint64_t m_created_revision = 0; // revision of the store at which the order was given
  std::uint64_t m_revision = 0;         // of the order's object, for conditional updates
  enum class state { ordered, running, completed, rolled_back };
  state m_state = state::ordered;
};

} // namespace cardamompond::fleet
