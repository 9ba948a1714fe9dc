#pragma once

#include "cardamompond/cell/usage_report.hpp"

#include <cstddef>

namespace cardamompond::cell {

struct usage_meter_options {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  // Number of keys counted separately per day. The limit bounds memory, messages and the platform object. For
  // further keys the service is counted as "*", and beyond one and a half times this number the client
  // account as well. The totals stay exact.
  std::size_t m_max_keys = 1024;
  // Days before the current one that are kept in case the cell owner changes.
  std::chrono::days m_retention{2};
};

// Counts the usage of this daemon incarnation. Counters are kept after they were acknowledged, because a cell
// owner may die between its acknowledgement and its next write to the platform.
class usage_meter {
public:
  explicit usage_meter(usage_meter_options options);

  void add(utc_day day, const usage_key& key, const usage_counters& used);

  // Returns the counters that the cell owner has not acknowledged. If the report has no days, there is
  // nothing to send.
  usage_report unacknowledged() const;

  // Records that the cell owner of this epoch has merged the report. Ignored unless `epoch` is the current
  // one.
  void acknowledge(const usage_report& report, std::uint64_t epoch);

  // Sets the current epoch. With a new epoch all counters become unacknowledged, so that they are sent to the
  // new owner.
  void set_epoch(std::uint64_t epoch);

  // Drops days older than usage_meter_options::m_retention.
  void expire(utc_day today);

private:
  usage_meter_options m_options;
  std::map<utc_day, usage_table> m_days;
  std::map<utc_day, usage_table> m_acknowledged;
  std::uint64_t m_epoch = 0;
};

} // namespace cardamompond::cell
