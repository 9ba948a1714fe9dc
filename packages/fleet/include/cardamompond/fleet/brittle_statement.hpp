#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>

namespace cardamompond::fleet {

// What a backend server stated about the rejections for lack of room that it withstands, and the rejections
// that one daemon saw, as that daemon tells it to others.
struct brittle_statement {
  std::uint32_t m_server = 0;                    // server_id_hash of its id
  std::uint32_t m_instance = 0;                  // instance_hash of the process
  std::optional<std::uint32_t> m_max_rejections; // in a second; nothing: the server no longer states a number
  duration m_age{};                              // time since the server stated it
  std::uint32_t m_rejections = 0;                // of requests of this daemon, in the last second
};

} // namespace cardamompond::fleet
