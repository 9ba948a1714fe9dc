#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/admission_controller.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::gateway {

// Settings of a duty that one daemon of the group holds at a time.
struct duty_settings {
  std::string m_name;       // as the platform names it
  std::string m_address;    // of the API that gets the calls
  double m_calls_per_s = 0; // limit for the calls of all daemons together; 0: none
  bool m_fencing = false;   // the API rejects calls with an outdated token
  milliseconds m_lease{3'000};
  milliseconds m_window{5'000};      // length of a window of usage
  milliseconds m_late_after{10'000}; // from the end of a window until its report counts as late
};

// Settings of a daemon that schedules its requests itself (scheduling = "local"). docs/OPERATIONS.md lists
// the keys.
struct gateway_settings {
  std::string m_name;
  std::string m_availability_zone;
  std::string m_callers_address;  // for the requests of callers
  std::string m_admin_address;    // for /readyz and /livez
  std::string m_metrics_address;  // for /metrics
  std::string m_exchange_address; // for reports and collections between daemons
  std::string m_store_address;
  std::vector<std::string> m_seeds; // exchange addresses of daemons to contact before the members are known
  shared_retry_limits m_retry_limits;
  milliseconds m_drain_time{8'000};    // time from SIGTERM to the end of the process
  std::vector<duty_settings> m_duties; // empty: this daemon takes part in no duty
  std::uint64_t m_memory_bytes = 0;    // memory of the host; 0: not stated, input is not limited by memory
  std::uint32_t m_max_descriptors = 0; // of the process; 0: not stated
  std::string m_log_level = "info";
  fleet::learned_limits_mode m_learned_limits = fleet::learned_limits_mode::automatic;
};

// An error in the settings; the message is one line that names file, line and key.
struct gateway_settings_error {
  std::string m_message;
};

// Whether the file contains scheduling = "local". Returns false for a file that cannot be read; the reader of
// the settings of the other mode reports that error.
bool selects_local_scheduling(const std::string& file);

result<gateway_settings, gateway_settings_error> read_gateway_settings(const std::string& file);

// Parses the text of a settings file. `file` is the name used in error messages. Public for tests.
result<gateway_settings, gateway_settings_error> parse_gateway_settings(std::string_view text,
                                                                        std::string_view file);

} // namespace cardamompond::gateway
