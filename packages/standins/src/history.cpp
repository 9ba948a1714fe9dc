#include "cardamompond/standins/history.hpp"

#include "cardamompond/core/time.hpp"

#include <boost/json/object.hpp>

namespace cardamompond::standins {

std::int64_t unix_time_ms() {
  return wall_clock_ms();
}

history_entry& history::add(history_entry entry) {
  entry.m_received_ms = unix_time_ms();
  return m_entries.emplace_back(std::move(entry));
}

void history::record_outcome(history_entry& entry, std::string outcome) {
  entry.m_ended_ms = unix_time_ms();
  entry.m_outcome = std::move(outcome);
}

boost::json::array history::to_json() const {
  boost::json::array rows;
  rows.reserve(m_entries.size());
  for (const auto& entry : m_entries) {
    rows.push_back(boost::json::object{{"request_id", entry.m_request_id},
                                       {"key", entry.m_key},
                                       {"route", entry.m_route},
                                       {"outcome", entry.m_outcome},
                                       {"executed", entry.m_executed},
                                       {"boot_id", entry.m_boot_id},
                                       {"received_ms", entry.m_received_ms},
                                       {"ended_ms", entry.m_ended_ms},
                                       {"concurrent", entry.m_concurrent},
                                       {"limit", entry.m_limit},
                                       {"prompt_tokens", entry.m_prompt_tokens},
                                       {"cached_tokens", entry.m_cached_tokens},
                                       {"output_tokens", entry.m_output_tokens},
                                       {"version", entry.m_version}});
  }
  return rows;
}

} // namespace cardamompond::standins
