#include "cardamompond/fleet/account_shares.hpp"

#include "cardamompond/fleet/account_quotas.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Time constant of the recent use. It is as long as a burst.
constexpr double use_window_s = 3.0;

// An account is over its share if it uses this multiple of it. Below, the difference is chance.
constexpr double over_share_ratio = 1.3;

// An account competes if it uses more than this part of its share; the shares of the others are lent.
constexpr double min_competing_part = 0.1;

// Number of undeclared accounts above which nothing more is recorded. Accounts are declared, so this is
// reached only by a fault.
constexpr std::size_t max_accounts = 4'096;

} // namespace

void account_shares::apply(const declarations& source) {
  std::map<std::uint32_t, account> next;
  double sum = 0;
  double count = 0;
  for (const auto& each : source.m_client_accounts) {
    if (each.m_counts_tokens && each.m_units_per_s > 0) {
      sum += each.m_units_per_s;
      ++count;
    }
  }
  m_mean_weight = count > 0 ? sum / count : 1;
  for (const auto& each : source.m_client_accounts) {
    const std::uint32_t hash = account_quotas::account_hash(each.m_name);
    const auto known = m_accounts.find(hash);
    account added = known == m_accounts.end() ? account{decaying_rate(use_window_s)} : known->second;
    added.m_weight = each.m_counts_tokens && each.m_units_per_s > 0 ? each.m_units_per_s : m_mean_weight;
    added.m_counts_tokens = each.m_counts_tokens;
    next.emplace(hash, added);
  }
  m_accounts = std::move(next);
}

account_shares::account& account_shares::find_or_add(std::uint32_t account_hash) {
  return m_accounts.try_emplace(account_hash, account{decaying_rate(use_window_s), m_mean_weight})
      .first->second;
}

void account_shares::record_use(std::uint32_t account_hash, double tokens, time_point now) {
  if (m_accounts.size() >= max_accounts && !m_accounts.contains(account_hash)) {
    return;
  }
  find_or_add(account_hash).m_use.record(tokens, now);
}

bool account_shares::counts_tokens(std::uint32_t account_hash) const {
  const auto found = m_accounts.find(account_hash);
  return found != m_accounts.end() && found->second.m_counts_tokens;
}

double account_shares::virtual_time(std::uint32_t account_hash, time_point now) const {
  const auto found = m_accounts.find(account_hash);
  return found == m_accounts.end()
             ? 0
             : std::max(0.0, found->second.m_use.per_second(now)) / found->second.m_weight;
}

bool account_shares::is_over_share(std::uint32_t account_hash, time_point now) const {
  const auto found = m_accounts.find(account_hash);
  if (found == m_accounts.end()) {
    return false;
  }
  double use = 0;
  double weight = 0;
  for (const auto& [hash, each] : m_accounts) {
    use += std::max(0.0, each.m_use.per_second(now));
    weight += each.m_weight;
  }
  // Shares of accounts that use little are lent to the others.
  double competing_use = 0;
  double competing_weight = 0;
  for (const auto& [hash, each] : m_accounts) {
    const double own = std::max(0.0, each.m_use.per_second(now));
    if (own > min_competing_part * use * each.m_weight / weight) {
      competing_use += own;
      competing_weight += each.m_weight;
    }
  }
  return competing_weight > 0 && found->second.m_use.per_second(now) > over_share_ratio * competing_use *
                                                                           found->second.m_weight /
                                                                           competing_weight;
}

} // namespace cardamompond::fleet
