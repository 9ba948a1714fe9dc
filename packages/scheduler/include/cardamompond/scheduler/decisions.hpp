#pragma once

#include "cardamompond/core/request_key.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace cardamompond::scheduler {

// A single-use permit to dispatch one request to one backend server.
struct grant {
  request_key m_key;
  std::string m_backend_server;
  std::string m_address;
  std::string m_version;
  time_point m_expires;
};

// The scheduler rejects the request; it was not dispatched.
struct refusal {
  request_key m_key;
  error_code m_code = error_code::queue_full;
  std::uint32_t m_retry_after_s = 1;
  std::string m_message;
};

using decision = std::variant<grant, refusal>;

} // namespace cardamompond::scheduler
