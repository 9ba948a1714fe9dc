#pragma once

#include "cardamompond/cell/usage_report.hpp"

#include <cstddef>

namespace cardamompond::cell {

struct usage_meter_options {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  // Keys counted apart per day; bounds memory, messages and the platform object. Beyond it the service is
  // counted as "*", and beyond one and a half times as many the client account too: the totals stay right.
  std::size_t m_max_keys = 1024;
  std::chrono::days m_retention{2}; // days before the current one that are kept for a new cell owner
};

// The counters of this daemon incarnation. They are kept after acknowledgement, because a cell owner may die
// between its acknowledgement and its next write to the platform.
class usage_meter {
public:
  explicit usage_meter(usage_meter_options options);

  void add(utc_day day, const usage_key& key, const usage_counters& used);

  // Readings that the cell owner has not acknowledged. No days: nothing to send.
  usage_report unacknowledged() const;

  // The cell owner of this epoch has merged the report. Ignored for any epoch but the current one.
  void acknowledge(const usage_report& report, std::uint64_t epoch);

  // With a new epoch everything kept is sent again.
  void set_epoch(std::uint64_t epoch);

  // Drops days that are older than the options say.
  void expire(utc_day today);

private:
  usage_meter_options m_options;
  std::map<utc_day, usage_table> m_days;
  std::map<utc_day, usage_table> m_acknowledged;
  std::uint64_t m_epoch = 0;
};

} // namespace cardamompond::cell
