#pragma once

#include "cardamompond/declarations/codec.hpp"
#include "cardamompond/scheduler/scheduler.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

// The configuration revision of one daemon of a cell.
struct member_status {
  std::string m_name;
  std::uint64_t m_revision = 0;
  std::uint64_t m_revision_age_ms = 0; // time since the daemon reported m_revision, at the time of writing
  bool m_in_force = false;             // true if the daemon is alive and has a configuration
  friend bool operator==(const member_status&, const member_status&) = default;
};

// Content of the object `status/<cell>`, which the cell owner writes at most once in 2 s:
// {"cell", "written_unix_ms", "members": [{"name", "revision", "since_ms_ago", "in_force"}],
//  "moves": [{"service", "to", "state": "none|moving|done|taken_back", "percent", "reason"}],
//  "backend_servers": [{"name", "cold", "in_service", "limit", "outstanding"}]}
struct status_record {
  std::string m_cell;
  std::uint64_t m_written_unix_ms = 0; // wall-clock time of the cell owner
  std::vector<member_status> m_members;
  std::vector<scheduler::rollout_status> m_rollouts;
  std::vector<scheduler::backend_server_status> m_backend_servers;
};

// Prefix of the keys of all status records in the object API.
inline constexpr std::string_view status_prefix = "status/";

std::string encode(const status_record& record);

// Decodes a record as strictly as the functions in codec.hpp do.
decode_result<status_record> decode_status(std::string_view text);

} // namespace cardamompond::declarations
