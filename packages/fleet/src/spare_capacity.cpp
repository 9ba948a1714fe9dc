#include "spare_capacity.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Share of the slots of another zone that a request leaves free in addition, because the reports of that zone
// are older.
constexpr double other_zone_margin = 0.03;

std::size_t count_smaller(const std::set<std::uint32_t>& ranks, std::uint32_t rank) {
  return static_cast<std::size_t>(std::distance(ranks.begin(), ranks.lower_bound(rank)));
}

} // namespace

std::size_t urgency_level(const dispatch_tables& tables, const submission& request) {
  const std::size_t level = count_smaller(tables.m_tier_ranks, request.m_rank) *
                                std::max<std::size_t>(1, tables.m_route_ranks.size()) +
                            count_smaller(tables.m_route_ranks, request.m_route_rank);
  return std::min(level, urgency_levels - 1);
}

double required_free_slots(const dispatch_tables& tables, const waiting_request& waiting, time_point now) {
  if (waiting.m_request.m_may_have_run) {
    return 0; // it can no longer be refused
  }
  return tables.m_blocked.more_urgent_than(
      waiting.m_late ? urgency_levels : urgency_level(tables, waiting.m_request), now);
}

spare_capacity::spare_capacity(const dispatch_tables& tables, std::string_view service, time_point now)
    : m_one_pool(tables.m_frequent_reports)
    , m_own_zone(tables.m_self.m_availability_zone) {
  const auto servers = tables.m_servers.find(service);
  if (servers == tables.m_servers.end()) {
    return;
  }
  for (const auto& [id, server] : servers->second) {
    if (!server.m_uses_batching || !is_eligible(tables, server, now) || is_paused(server, now)) {
      continue;
    }
    pool& counted = m_pools[pool_name(server)];
    const std::uint32_t running = server.m_own_running + server.m_peer_running;
    counted.m_slots += server.m_entry.m_slots;
    if (now >= server.m_full_until && running < server.m_entry.m_slots) {
      counted.m_free += server.m_entry.m_slots - running;
    }
  }
}

std::string_view spare_capacity::pool_name(const server_row& server) const {
  return m_one_pool ? std::string_view() : std::string_view(server.m_entry.m_availability_zone);
}

bool spare_capacity::allows(const server_row& server, double required_free) const {
  const auto found = m_pools.find(pool_name(server));
  if (found == m_pools.end()) {
    return true; // not a batching server
  }
  const bool crosses_zones = !m_one_pool && found->first != m_own_zone && m_pools.contains(m_own_zone);
  const double required = required_free + (crosses_zones ? other_zone_margin * found->second.m_slots : 0);
  return required <= 0 || found->second.m_free - 1 >= required;
}

void spare_capacity::take(const server_row& server) {
  if (const auto found = m_pools.find(pool_name(server)); found != m_pools.end()) {
    found->second.m_free = std::max(0.0, found->second.m_free - 1);
  }
}

} // namespace cardamompond::fleet
