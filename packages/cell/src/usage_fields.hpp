#pragma once

#include "cardamompond/cell/usage_report.hpp"

#include <boost/json.hpp>

namespace cardamompond::cell {

// A usage_counters is encoded as this many numbers at the end of a JSON array: prompt tokens, output tokens,
// requests and engine microseconds.
constexpr std::size_t counter_field_count = 4;

inline void append_counters(boost::json::array& row, const usage_counters& counters) {
  for (const auto number :
       {counters.m_prompt_tokens, counters.m_output_tokens, counters.m_requests, counters.m_engine_us}) {
    row.emplace_back(static_cast<std::int64_t>(number));
  }
}

// Reads the counters from the last four items. Returns null unless each is an integer from 0 to 2^63 - 1.
inline std::optional<usage_counters> read_counters(const boost::json::array& row) {
  usage_counters counters;
  std::size_t index = row.size() - counter_field_count;
  for (auto* number :
       {&counters.m_prompt_tokens, &counters.m_output_tokens, &counters.m_requests, &counters.m_engine_us}) {
    const auto& item = row[index++];
    if (!item.is_int64() || item.get_int64() < 0) {
      return std::nullopt;
    }
    *number = static_cast<std::uint64_t>(item.get_int64());
  }
  return counters;
}

// Reads the key from the first three items. Returns null unless they are strings.
inline std::optional<usage_key> read_key(const boost::json::array& row) {
  if (row.size() < 3 || !row[0].is_string() || !row[1].is_string() || !row[2].is_string()) {
    return std::nullopt;
  }
  const auto text = [](const boost::json::value& item) { return boost::json::value_to<std::string>(item); };
  return usage_key{text(row[0]), text(row[1]), text(row[2])};
}

} // namespace cardamompond::cell
