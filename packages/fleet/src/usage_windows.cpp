#include "cardamompond/fleet/usage_windows.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Bounds of what statements can make a daemon store: twice the daemons of the expected size, and more
// accounts than one daemon serves in a window.
constexpr std::size_t max_sources = 4'800;
constexpr std::size_t max_accounts_per_source = 1'024;

} // namespace

std::int64_t window_at(duration true_time, duration window_length) {
  return true_time / window_length;
}

void usage_windows::set_range(std::int64_t first, std::int64_t last) {
  m_first = first;
  m_last = last;
  const auto outside = [&](const auto& each) { return each.first < first || each.first > last; };
  std::erase_if(m_own, outside);
  std::erase_if(m_stated, outside);
}

void usage_windows::record(std::int64_t window, std::uint32_t account, time_point now) {
  auto& own = m_own[window][account];
  ++own.m_count;
  own.m_changed_at = now;
}

void usage_windows::merge(const usage_statement& statement) {
  if (statement.m_source == m_self) {
    return;
  }
  for (const auto& [window, account, value] : statement.m_counts) {
    if (window < m_first || window > m_last) {
      continue;
    }
    auto& sources = m_stated[window];
    if (sources.size() >= max_sources && !sources.contains(statement.m_source)) {
      continue;
    }
    auto& accounts = sources[statement.m_source];
    if (accounts.size() < max_accounts_per_source || accounts.contains(account)) {
      auto& known = accounts[account];
      known = std::max(known, value);
    }
  }
}

std::vector<usage_count> usage_windows::own_counts(time_point since, std::int64_t from) const {
  std::vector<usage_count> counts;
  for (const auto& [window, accounts] : m_own) {
    for (const auto& [account, own] : accounts) {
      if (window >= from || own.m_changed_at > since) {
        counts.push_back({window, account, own.m_count});
      }
    }
  }
  return counts;
}

std::vector<usage_statement> usage_windows::statements(std::int64_t window) const {
  std::vector<usage_statement> known;
  if (const auto own = m_own.find(window); own != m_own.end()) {
    usage_statement& statement = known.emplace_back(usage_statement{m_self, {}});
    for (const auto& [account, each] : own->second) {
      statement.m_counts.push_back({window, account, each.m_count});
    }
  }
  if (const auto stated = m_stated.find(window); stated != m_stated.end()) {
    for (const auto& [source, accounts] : stated->second) {
      usage_statement& statement = known.emplace_back(usage_statement{source, {}});
      for (const auto& [account, value] : accounts) {
        statement.m_counts.push_back({window, account, value});
      }
    }
  }
  return known;
}

std::map<std::uint32_t, std::uint64_t> usage_windows::sums(std::int64_t window) const {
  std::map<std::uint32_t, std::uint64_t> totals;
  for (const auto& statement : statements(window)) {
    for (const auto& each : statement.m_counts) {
      totals[each.m_account] += each.m_count;
    }
  }
  return totals;
}

std::optional<std::int64_t> usage_windows::first_window() const {
  std::optional<std::int64_t> first;
  if (!m_own.empty()) {
    first = m_own.begin()->first;
  }
  if (!m_stated.empty()) {
    first = std::min(first.value_or(m_stated.begin()->first), m_stated.begin()->first);
  }
  return first;
}

} // namespace cardamompond::fleet
