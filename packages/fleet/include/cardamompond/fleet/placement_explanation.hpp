#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::fleet {

// One server of the service, as the decision about a request sees it.
struct server_explanation {
  std::string m_server;
  std::string m_availability_zone;
  std::uint32_t m_running = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_limit = 0;               // running requests below which it may receive another one
  double m_first_s = 0;                    // expected time to the first event
  double m_end_s = 0;                      // expected time to the end of the response
  double m_pause_s = 0;                    // expected pause of the other streams
  std::optional<duration> m_statement_age; // of its last work time; nothing: none was stated
  std::string_view m_exclusion;            // what rules it out, e.g. "full"; "none" if nothing does
  std::string_view m_fit;                  // e.g. "good" or "late", by expected times
};

enum class expected_decision {
  granted,
  waits, // it would wait for a server
  refused
};

// Where a request would go now, and why.
struct placement_explanation {
  bool m_learned_limits = false; // whether the service is served by expected times and learned limits
  expected_decision m_decision = expected_decision::waits;
  std::string m_server;     // if granted
  duration m_retry_after{}; // if refused
  std::vector<server_explanation> m_servers;
};

} // namespace cardamompond::fleet
