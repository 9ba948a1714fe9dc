#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

// The settings file of a daemon; docs/OPERATIONS.md describes each key.
struct settings {
  std::string m_name;
  std::string m_owner;
  std::string m_cell;
  std::string m_availability_zone;
  std::string m_region;

  // Section [listen].
  std::string m_callers_address;
  std::string m_admin_address;
  std::string m_peer_address;

  // Section [platform].
  std::string m_platform_address;
  std::string m_host_list_address; // empty: no host list is polled
  double m_max_reads_per_s = 50;
  double m_max_writes_per_s = 20;

  // Section [peer].
  std::string m_peer_secret; // at least 16 characters

  // Section [limits].
  std::uint64_t m_max_body_bytes = 16U << 20U;
  std::uint32_t m_max_header_bytes = 32U << 10U;
  std::uint32_t m_max_connections = 20'000;
  std::uint32_t m_memory_mb = 0;       // memory of the host; 0: not stated, input is not limited by memory
  std::uint32_t m_max_descriptors = 0; // of the process; 0: not stated
  milliseconds m_default_timeout{60'000};
  seconds m_drain_timeout{120};

  // Section [log].
  std::string m_log_level = "info";
};

// Error in a settings file, as a one-line message of the form "FILE:LINE: KEY: REASON".
struct settings_error {
  std::string m_message;
};

// Reads and validates a settings file. Errors are unknown, missing and duplicate keys, wrong types, values
// out of bounds, and listen addresses that are used twice or are not of the form IP:PORT.
result<settings, settings_error> read_settings(const std::string& path);

// Parses and validates settings given as text. `name` is used as the file name in error messages.
result<settings, settings_error> parse_settings(std::string_view text, std::string_view name);

} // namespace cardamompond::daemon
