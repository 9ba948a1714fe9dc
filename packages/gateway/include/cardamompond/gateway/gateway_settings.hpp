#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/admission_controller.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::gateway {

// Settings of a daemon that schedules its own requests; docs/OPERATIONS.md lists the keys.
struct gateway_settings {
  std::string m_name;
  std::string m_availability_zone;
  std::string m_callers_address;  // requests
  std::string m_admin_address;    // /readyz, /livez
  std::string m_metrics_address;  // /metrics
  std::string m_exchange_address; // reports and collections between daemons
  std::string m_store_address;
  std::vector<std::string> m_seeds; // exchange addresses of some other daemons
  shared_retry_limits m_retry_limits;
  milliseconds m_drain_time{8'000}; // from SIGTERM to the end of the process
  std::string m_log_level = "info";
};

// One line that names file, line and key.
struct gateway_settings_error {
  std::string m_message;
};

// Whether the file asks for scheduling = "local". False also for a file that cannot be read, which the reader
// of the other mode reports.
bool selects_local_scheduling(const std::string& file);

result<gateway_settings, gateway_settings_error> read_gateway_settings(const std::string& file);

// For tests: reads the text of a file of that name.
result<gateway_settings, gateway_settings_error> parse_gateway_settings(std::string_view text,
                                                                        std::string_view file);

} // namespace cardamompond::gateway
