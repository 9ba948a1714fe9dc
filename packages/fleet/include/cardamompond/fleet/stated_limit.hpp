#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>

namespace cardamompond::fleet {

// What a backend server stated about the rate of requests that it takes from all daemons together, as one
// daemon tells it to others.
struct limit_statement {
  std::uint32_t m_server = 0;             // server_id_hash of its id
  std::uint32_t m_instance = 0;           // instance_hash of the process
  std::optional<double> m_requests_per_s; // nothing: the server no longer states a limit
  duration m_age{};                       // time since the server stated it
};

// Rate at which requests for a service reach one daemon. Daemons share the limit of a server in proportion to
// it.
struct service_demand {
  std::uint32_t m_service = 0; // service_hash of the service
  double m_requests_per_s = 0;
};

// What a statement of a server changed.
enum class limit_change {
  none,
  stated, // a limit, or another one than before
  ended   // the server no longer states one
};

} // namespace cardamompond::fleet
