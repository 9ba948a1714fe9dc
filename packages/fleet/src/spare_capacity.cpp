#include "spare_capacity.hpp"

#include "overload_control.hpp"

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
  if (const auto* controlled = find_controlled(tables, waiting.m_request.m_service); controlled != nullptr) {
    return blocked_before(tables, *controlled, waiting, now) +
           additional_free_slots(tables, *controlled, waiting, now);
  }
  return tables.m_blocked.more_urgent_than(
      waiting.m_late ? urgency_levels : urgency_level(tables, waiting.m_request), now);
}

spare_capacity::spare_capacity(const dispatch_tables& tables, std::string_view service, time_point now)
    : m_tables(tables)
    , m_now(now) {
  if (const auto lists = tables.m_lists.find(service); lists != tables.m_lists.end()) {
    m_servers = &lists->second;
  }
}

const slot_pool& spare_capacity::own_pool() {
  if (!m_own_pool) {
    m_own_pool.emplace();
    if (m_servers == nullptr) {
      return *m_own_pool;
    }
    for (const server_row* each : m_tables.m_frequent_reports ? m_servers->m_all : m_servers->m_own_zone) {
      add(*each, *m_own_pool);
    }
  }
  return *m_own_pool;
}

const slot_pool& spare_capacity::other_pool(std::string_view zone) {
  if (m_other_pools.empty()) {
    for (const server_row* each : m_servers->m_all) {
      add(*each, m_other_pools[each->m_entry.m_availability_zone]);
    }
  }
  return m_other_pools[zone];
}

void spare_capacity::add(const server_row& server, slot_pool& to) const {
  if (!is_eligible(m_tables, server, m_now) || is_paused(server, m_now)) {
    return;
  }
  const std::uint32_t running = server.m_own_running + server.m_peer_running;
  to.m_slots += server.m_entry.m_slots;
  if (m_now >= server.m_full_until && running < server.m_entry.m_slots && !is_held_by_limit(server, m_now)) {
    const bool limited = server.m_notice != nullptr && server.m_notice->is_limited();
    to.m_free += limited ? 1 : server.m_entry.m_slots - running;
  }
}

bool spare_capacity::is_in_own_pool(const server_row& server) const {
  return m_tables.m_frequent_reports ||
         server.m_entry.m_availability_zone == m_tables.m_self.m_availability_zone;
}

bool spare_capacity::allows(const server_row& server, double required_free) {
  if (!server.m_uses_batching) {
    return true;
  }
  if (is_in_own_pool(server)) {
    return required_free <= 0 || own_pool().m_free - 1 >= required_free;
  }
  // A daemon of a zone without servers may use those of other zones like their own daemons.
  const slot_pool& counted = other_pool(server.m_entry.m_availability_zone);
  const double margin = own_pool().m_slots > 0 ? other_zone_margin * counted.m_slots : 0;
  return counted.m_free - 1 >= required_free + margin;
}

void spare_capacity::take(const server_row& server) {
  slot_pool* const counted = is_in_own_pool(server)  ? (m_own_pool ? &*m_own_pool : nullptr)
                             : m_other_pools.empty() ? nullptr
                                                     : &m_other_pools[server.m_entry.m_availability_zone];
  if (counted != nullptr) {
    counted->m_free = std::max(0.0, counted->m_free - 1);
  }
}

} // namespace cardamompond::fleet
