#pragma once

#include "cardamompond/core/result.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cardamompond::cell {

using utc_day = std::chrono::sys_days;

// Returns the date in the format "2026-12-04".
std::string to_string(utc_day day);
std::optional<utc_day> parse_day(std::string_view text);

// Returns the UTC day of a wall clock time in milliseconds since 1970.
utc_day day_of(std::int64_t wall_clock_ms);

// The key by which usage is counted. "*" stands for several names; see usage_meter_options::m_max_keys.
struct usage_key {
  std::string m_client_account;
  std::string m_service;
  std::string m_owner; // owner of the backend server
  friend bool operator==(const usage_key&, const usage_key&) = default;
  friend bool operator<(const usage_key& left, const usage_key& right) {
    return std::tie(left.m_client_account, left.m_service, left.m_owner) <
           std::tie(right.m_client_account, right.m_service, right.m_owner);
  }
};

// Cumulative counters, each at most 2^63 - 1.
struct usage_counters {
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_engine_us = 0;

  void add(const usage_counters& other); // saturates at 2^63 - 1
  // Raises each counter to that of `other` if it is lower: of two readings of the same counters the later one
  // remains. Returns whether any counter grew.
  bool merge_max(const usage_counters& other);
  friend bool operator==(const usage_counters&, const usage_counters&) = default;
};

using usage_table = std::map<usage_key, usage_counters>;

// The counters of one daemon incarnation. Each day has its own counters, so that the usage of a day is known
// without subtracting counter readings, also if a message arrives after midnight or a daemon runs for weeks.
struct usage_report {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  std::map<utc_day, usage_table> m_days;
};

// Encodes the message from a member to the cell owner, as JSON.
std::string encode(const usage_report& report);

// Decodes the text strictly. The error is one line that names the field.
result<usage_report, std::string> decode_usage_report(std::string_view text);

} // namespace cardamompond::cell
