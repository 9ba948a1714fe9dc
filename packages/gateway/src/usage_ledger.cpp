#include "cardamompond/gateway/usage_ledger.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/fleet/account_quotas.hpp"

#include <algorithm>

namespace cardamompond::gateway {
namespace {

// A daemon that has just started does not know the clocks of its peers yet. After this time it uses its own.
constexpr duration clock_settling_time = milliseconds(1'500);

constexpr std::size_t collectors_per_zone = 3;

// Requests of a daemon that is killed are lost from its last statement on. In a large zone, a daemon makes
// fewer statements, so that a collector gets about 1,000 a second at most.
constexpr duration min_statement_interval = milliseconds(100);
constexpr duration statement_interval_per_daemon = milliseconds(1);

// Totals are repeated for this long after they changed, since datagrams get lost.
constexpr duration repetition_time = milliseconds(400);

// All totals of the last two windows are stated this often, for daemons that have become collectors.
constexpr duration full_statement_interval = seconds(1);

// Windows are kept until they are recorded, which the store may delay.
constexpr std::int64_t kept_windows = 24;

// Counts in one datagram; larger statements are split.
constexpr std::size_t max_counts_per_statement = 200;

} // namespace

usage_ledger::usage_ledger(peer_group& group, duty_peers& peers, const member& self,
                           std::uint64_t incarnation, duration window_length)
    : m_group(group)
    , m_peers(peers)
    , m_self(self)
    , m_source{hash64(self.m_name), incarnation}
    , m_window_length(window_length)
    , m_started(boot_now())
    , m_windows(m_source) {
  tick();
}

void usage_ledger::record_request(std::string_view account) {
  if (account.empty()) {
    return;
  }
  const std::uint32_t key = fleet::account_quotas::account_hash(account);
  m_account_names.try_emplace(key, account);
  m_unassigned.emplace_back(boot_now(), key);
}

void usage_ledger::tick() {
  const time_point now = boot_now();
  if (m_peers.clocks().peer_count() > 0 || now - m_started >= clock_settling_time) {
    const duration true_now = m_peers.true_now();
    for (const auto& [begun, account] : m_unassigned) {
      m_windows.record(fleet::window_at(true_now - (now - begun), m_window_length), account, now);
    }
    m_unassigned.clear();
  }
  const std::int64_t current = current_window();
  m_windows.set_range(current - kept_windows, current + 1);
}

std::vector<fleet::usage_statement> usage_ledger::take_statements(time_point now, bool all) {
  const auto zone_size = m_group.daemons_of_zone(m_self.m_availability_zone, collector_key).size();
  const duration interval =
      std::max(min_statement_interval, statement_interval_per_daemon * static_cast<std::int64_t>(zone_size));
  if (!all && now - m_stated_at < interval) {
    return {};
  }
  m_stated_at = now;
  all = all || now - m_all_stated_at >= std::max(full_statement_interval, interval);
  if (all) {
    m_all_stated_at = now;
  }
  const std::int64_t current = current_window();
  const auto counts =
      m_windows.own_counts(now - std::max(repetition_time, interval * 2), all ? current - 1 : current + 2);
  std::vector<fleet::usage_statement> statements;
  for (std::size_t first = 0; first < counts.size(); first += max_counts_per_statement) {
    const std::size_t last = std::min(first + max_counts_per_statement, counts.size());
    statements.push_back({m_source,
                          {counts.begin() + static_cast<std::ptrdiff_t>(first),
                           counts.begin() + static_cast<std::ptrdiff_t>(last)}});
  }
  return statements;
}

std::vector<std::string> usage_ledger::collector_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& each : m_group.daemons_of_zone(m_self.m_availability_zone, collector_key)) {
    if (addresses.size() < collectors_per_zone && each.m_name != m_self.m_name) {
      addresses.push_back(each.m_exchange_address);
    }
  }
  return addresses;
}

std::map<std::string, std::uint64_t> usage_ledger::counts(std::int64_t window) const {
  std::map<std::uint32_t, std::string> names = m_account_names;
  if (const auto routes = m_group.known_fleet().routes()) {
    for (const auto& account : routes->source().m_client_accounts) {
      names.try_emplace(fleet::account_quotas::account_hash(account.m_name), account.m_name);
    }
  }
  std::map<std::string, std::uint64_t> counts;
  for (const auto& [account, count] : m_windows.sums(window)) {
    // A hash without a name is of an account that was removed from the declarations.
    if (const auto name = names.find(account); name != names.end()) {
      counts[name->second] += count;
    }
  }
  return counts;
}

std::int64_t usage_ledger::current_window() const {
  return fleet::window_at(m_peers.true_now(), m_window_length);
}

duration usage_ledger::time_since_end(std::int64_t window) const {
  return m_peers.true_now() - m_window_length * (window + 1);
}

} // namespace cardamompond::gateway
