#include "cardamompond/cell/usage_meter.hpp"

#include <utility>

namespace cardamompond::cell {

usage_meter::usage_meter(usage_meter_options options)
    : m_options(std::move(options)) {}

void usage_meter::add(utc_day day, const usage_key& key, const usage_counters& used) {
  auto& table = m_days[day];
  usage_key counted = key;
  if (!table.contains(counted) && table.size() >= m_options.m_max_keys) {
    counted.m_service = "*";
    if (!table.contains(counted) && table.size() >= m_options.m_max_keys * 3 / 2) {
      counted.m_client_account = "*";
    }
  }
  table[counted].add(used);
}

usage_report usage_meter::unacknowledged() const {
  usage_report report{m_options.m_name, m_options.m_incarnation, {}};
  for (const auto& [day, table] : m_days) {
    const auto known = m_acknowledged.find(day);
    for (const auto& [key, counters] : table) {
      if (known != m_acknowledged.end()) {
        if (const auto it = known->second.find(key); it != known->second.end() && it->second == counters) {
          continue;
        }
      }
      report.m_days[day].emplace(key, counters);
    }
  }
  return report;
}

void usage_meter::acknowledge(const usage_report& report, std::uint64_t epoch) {
  if (epoch != m_epoch) {
    return;
  }
  for (const auto& [day, table] : report.m_days) {
    if (m_days.contains(day)) {
      for (const auto& [key, counters] : table) {
        m_acknowledged[day][key].merge_max(counters);
      }
    }
  }
}

void usage_meter::set_epoch(std::uint64_t epoch) {
  if (epoch != m_epoch) {
    m_epoch = epoch;
    m_acknowledged.clear();
  }
}

void usage_meter::expire(utc_day today) {
  const auto first = today - m_options.m_retention;
  std::erase_if(m_days, [&](const auto& entry) { return entry.first < first; });
  std::erase_if(m_acknowledged, [&](const auto& entry) { return entry.first < first; });
}

} // namespace cardamompond::cell
