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

  std::string m_callers_address; // [listen]
  std::string m_admin_address;
  std::string m_peer_address;

  std::string m_platform_address;  // [platform]
  std::string m_host_list_address; // empty: none
  double m_max_reads_per_s = 50;
  double m_max_writes_per_s = 20;

  std::string m_peer_secret; // [peer], at least 16 characters

  std::uint64_t m_max_body_bytes = 16U << 20U; // [limits]
  std::uint32_t m_max_header_bytes = 32U << 10U;
  std::uint32_t m_max_connections = 20'000;
  milliseconds m_default_timeout{60'000};
  seconds m_drain_timeout{120};

  std::string m_log_level = "info"; // [log]
};

// Why settings cannot be used, as one line "FILE:LINE: KEY: REASON".
struct settings_error {
  std::string m_message;
};

// Reads and checks a settings file: unknown, missing and repeated keys, wrong types, values out of bounds,
// listen addresses used twice or not of the form IP:PORT.
result<settings, settings_error> read_settings(const std::string& path);

// The same for a text; `name` stands for the file in errors.
result<settings, settings_error> parse_settings(std::string_view text, std::string_view name);

} // namespace cardamompond::daemon
