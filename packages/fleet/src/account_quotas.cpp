#include "cardamompond/fleet/account_quotas.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Part of the burst in a new bucket. It is below 1 because the past use is lost when all daemons restart.
constexpr double initial_burst_share = 0.5;

// Of the units that other zones are assumed to have admitted, so many are not held against the account: its
// rate for this time, or this many requests. The number of requests in a zone fluctuates by itself, and from
// few of them no proportion between zones can be told.
constexpr double unheld_rate_s = 0.6;
constexpr double unheld_requests = 15;

// Factor by which the size of the largest request lately shrinks with each request.
constexpr double request_units_decay = 0.98;

// A daemon of another zone is assumed to admit at most this multiple of what the daemons of the own zone
// admit on average.
constexpr double max_relative_use = 3;

double seconds_between(time_point from, time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void account_quotas::refill(bucket& account_bucket, time_point now) const {
  const double ceiling = account_bucket.m_burst * reachable_share();
  account_bucket.m_level =
      std::min(ceiling, account_bucket.m_level + account_bucket.m_rate * reachable_share() *
                                                     seconds_between(account_bucket.m_refilled_at, now));
  account_bucket.m_refilled_at = std::max(account_bucket.m_refilled_at, now);
}

void account_quotas::apply(const declarations& source, time_point now) {
  std::map<std::uint32_t, bucket> next;
  for (const auto& account : source.m_client_accounts) {
    if (account.m_units_per_s <= 0) {
      continue;
    }
    bucket added;
    if (const auto known = m_buckets.find(account_hash(account.m_name)); known != m_buckets.end()) {
      added = known->second;
      refill(added, now);
    } else {
      added.m_level = account.m_burst_units * initial_burst_share * reachable_share();
      added.m_refilled_at = now;
    }
    added.m_rate = account.m_units_per_s;
    added.m_burst = std::max(account.m_burst_units, account.m_units_per_s);
    next.emplace(account_hash(account.m_name), added);
  }
  m_buckets = std::move(next);
}

void account_quotas::set_member_counts(std::uint32_t registered, std::uint32_t reachable, time_point now) {
  registered = std::max(1U, registered);
  reachable = std::clamp(reachable, 1U, registered);
  if (registered == m_registered && reachable == m_reachable) {
    return;
  }
  for (auto& [key, each] : m_buckets) {
    refill(each, now);
  }
  m_registered = registered;
  m_reachable = reachable;
}

bool account_quotas::admit(std::string_view account, double units, time_point now) {
  const std::uint32_t key = account_hash(account);
  if (const auto found = m_buckets.find(key); found != m_buckets.end()) {
    bucket& account_bucket = found->second;
    refill(account_bucket, now);
    account_bucket.m_request_units = std::max(units, account_bucket.m_request_units * request_units_decay);
    if (available_units(account_bucket) <= 0) {
      return false;
    }
    charge(account_bucket, units, now);
    m_admitted[key] += units;
  }
  return true;
}

void account_quotas::refund(std::string_view account, double units) {
  const std::uint32_t key = account_hash(account);
  if (const auto found = m_buckets.find(key); found != m_buckets.end()) {
    charge(found->second, -units, found->second.m_refilled_at);
    m_admitted[key] -= units;
  }
}

std::uint32_t account_quotas::account_hash(std::string_view account) {
  return static_cast<std::uint32_t>(hash64(account));
}

void account_quotas::record_peer_use(std::uint32_t account_hash, double units, time_point now) {
  if (const auto found = m_buckets.find(account_hash); found != m_buckets.end()) {
    refill(found->second, now);
    charge(found->second, units, now);
  }
}

void account_quotas::record_remote_use(std::uint64_t daemon, std::uint32_t account_hash, double units,
                                       time_point covered_until, std::size_t zone_daemons, time_point now) {
  if (const auto found = m_buckets.find(account_hash); found != m_buckets.end()) {
    refill(found->second, now);
    const double max_proportion =
        max_relative_use / static_cast<double>(std::max<std::size_t>(1, zone_daemons));
    found->second.m_level -=
        found->second.m_unreported.record_report(daemon, units, covered_until, now, max_proportion);
  }
}

void account_quotas::remove_remote_daemon(std::uint64_t daemon) {
  for (auto& [key, each] : m_buckets) {
    each.m_unreported.remove_daemon(daemon);
  }
}

double account_quotas::available_units(const bucket& account_bucket) {
  const double unheld =
      std::max(account_bucket.m_rate * unheld_rate_s, account_bucket.m_request_units * unheld_requests);
  return account_bucket.m_level + std::clamp(account_bucket.m_unreported.assumed_units(), 0.0, unheld);
}

// Takes units that were admitted in the own zone, and those that other zones are assumed to admit meanwhile.
void account_quotas::charge(bucket& account_bucket, double units, time_point now) {
  account_bucket.m_level -= units + account_bucket.m_unreported.record_own_zone_use(units, now);
}

milliseconds account_quotas::time_to_refill(std::string_view account, time_point now) const {
  const auto found = m_buckets.find(account_hash(account));
  if (found == m_buckets.end()) {
    return milliseconds(0);
  }
  bucket copy = found->second;
  refill(copy, now);
  const double available = available_units(copy);
  if (available > 0) {
    return milliseconds(0);
  }
  return milliseconds(static_cast<std::int64_t>(1000.0 * -available / (copy.m_rate * reachable_share())) + 1);
}

} // namespace cardamompond::fleet
