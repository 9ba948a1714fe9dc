#include "cardamompond/cell/usage_ledger.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamompond::cell {
namespace {

using incarnation_tables = std::map<daemon_incarnation, usage_table>;

// Returns the rows of `held` that are missing from `stored` or have a lower counter there.
incarnation_tables find_missing_rows(const incarnation_tables& held, const incarnation_tables& stored) {
  incarnation_tables missing;
  for (const auto& [incarnation, table] : held) {
    const auto found = stored.find(incarnation);
    for (const auto& [key, counters] : table) {
      usage_counters known;
      if (found != stored.end()) {
        if (const auto it = found->second.find(key); it != found->second.end()) {
          known = it->second;
        }
      }
      if (known.merge_max(counters)) {
        missing[incarnation].emplace(key, counters);
      }
    }
  }
  return missing;
}

} // namespace

usage_ledger::usage_ledger(usage_ledger_options options)
    : m_options(options) {}

void usage_ledger::record_incarnation(const daemon_incarnation& incarnation, time_point now) {
  const auto [it, added] = m_newest_incarnations.try_emplace(incarnation.m_name);
  if (added || it->second.m_incarnation < incarnation.m_incarnation) {
    it->second = {incarnation.m_incarnation, now};
  }
}

bool usage_ledger::merge(const usage_report& report, utc_day today, time_point now) {
  const daemon_incarnation incarnation{report.m_name, report.m_incarnation};
  bool accepted = true;
  for (const auto& [day, table] : report.m_days) {
    if (day < today - m_options.m_max_report_age || day > today + std::chrono::days(1)) {
      accepted = false;
      continue;
    }
    auto& entry = m_days[day];
    const auto pending_fold = entry.m_pending_folds.find(report.m_name);
    if (entry.m_object.is_folded(incarnation) ||
        (pending_fold != entry.m_pending_folds.end() && report.m_incarnation <= pending_fold->second)) {
      accepted = false;
      continue;
    }
    record_incarnation(incarnation, now);
    for (const auto& [key, counters] : table) {
      auto& held = entry.m_object.m_incarnations[incarnation][key];
      if (held.merge_max(counters)) {
        entry.m_unwritten[incarnation][key] = held;
      }
    }
  }
  return accepted;
}

void usage_ledger::merge_stored(utc_day day, const usage_object& object, object_version version,
                                time_point now) {
  auto& entry = m_days[day];
  if (version < entry.m_version) {
    return;
  }
  entry.m_version = version;
  incarnation_tables held = std::exchange(entry.m_object, object).m_incarnations;
  std::erase_if(held, [&](const auto& item) { return object.is_folded(item.first); });
  entry.m_unwritten = find_missing_rows(held, object.m_incarnations);
  for (const auto& [incarnation, table] : entry.m_unwritten) {
    for (const auto& [key, counters] : table) {
      entry.m_object.m_incarnations[incarnation][key].merge_max(counters);
    }
  }
  for (const auto& [incarnation, table] : entry.m_object.m_incarnations) {
    record_incarnation(incarnation, now);
  }
}

std::vector<utc_day> usage_ledger::unwritten_days() const {
  std::vector<utc_day> days;
  for (const auto& [day, entry] : m_days) {
    if (!entry.m_unwritten.empty()) {
      days.push_back(day);
    }
  }
  return days;
}

result<std::string, usage_size_error> usage_ledger::prepare_write(utc_day day, time_point now) {
  auto& entry = m_days[day];
  usage_object next = entry.m_object;
  for (const auto& [incarnation, table] : entry.m_object.m_incarnations) {
    const auto newest = m_newest_incarnations.find(incarnation.m_name);
    if (newest != m_newest_incarnations.end() && newest->second.m_incarnation > incarnation.m_incarnation &&
        now - newest->second.m_since >= m_options.m_fold_after) {
      next.fold(incarnation);
      entry.m_pending_folds[incarnation.m_name] = incarnation.m_incarnation;
    }
  }
  std::string text = encode(next);
  if (text.size() > max_usage_object_bytes) {
    return usage_size_error{text.size()};
  }
  return text;
}

object_version usage_ledger::stored_version(utc_day day) const {
  const auto it = m_days.find(day);
  return it == m_days.end() ? 0 : it->second.m_version;
}

std::vector<usage_report> usage_ledger::unwritten_reports() const {
  std::map<daemon_incarnation, usage_report> reports;
  for (const auto& [day, entry] : m_days) {
    for (const auto& [incarnation, table] : entry.m_unwritten) {
      auto& report = reports[incarnation];
      report.m_name = incarnation.m_name;
      report.m_incarnation = incarnation.m_incarnation;
      report.m_days[day] = table;
    }
  }
  std::vector<usage_report> list;
  list.reserve(reports.size());
  for (auto& [incarnation, report] : reports) {
    list.push_back(std::move(report));
  }
  return list;
}

usage_table usage_ledger::totals(utc_day day) const {
  const auto it = m_days.find(day);
  return it == m_days.end() ? usage_table{} : it->second.m_object.totals();
}

void usage_ledger::expire(utc_day today) {
  std::erase_if(m_days, [&](const auto& item) {
    return item.first < today - (item.second.m_unwritten.empty() ? m_options.m_max_report_age
                                                                 : m_options.m_max_unwritten_age);
  });
  std::set<std::string> names;
  for (const auto& [day, entry] : m_days) {
    for (const auto& [incarnation, table] : entry.m_object.m_incarnations) {
      names.insert(incarnation.m_name);
    }
  }
  std::erase_if(m_newest_incarnations, [&](const auto& item) { return !names.contains(item.first); });
}

} // namespace cardamompond::cell
