#include "dispatch_tables.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// The return of requests after a pause is spread over this time. Many daemons may have been asked to return
// at the same moment, and each has requests waiting.
constexpr duration return_period = seconds(2);

// Requests that all daemons together send to a returning server, per second and slot. A slot of a plain
// server is occupied only briefly.
constexpr double batch_return_rate = 1;
constexpr double plain_return_rate = 10;

// A request is not refused because of pauses that end within this time. A caller that comes back takes
// longer.
constexpr duration short_pause = milliseconds(100);

// Refused callers are told to return within this time after the end of the pause, not all at the same moment.
constexpr duration caller_return_period = milliseconds(500);

// Returns the time between two requests of this daemon to a server that returns from a pause.
duration return_interval(const dispatch_tables& tables, const backend_server& server) {
  const auto declared = tables.m_services.find(server.m_service);
  const bool batching = declared != tables.m_services.end() && declared->second.m_uses_batching;
  double rate = std::max(1U, server.m_slots) * (batching ? batch_return_rate : plain_return_rate);
  if (declared != tables.m_services.end() && declared->second.m_cold_requests_per_s > 0) {
    rate = std::min(rate, declared->second.m_cold_requests_per_s);
  }
  const double members = static_cast<double>(std::max<std::size_t>(1, tables.m_members.size()));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(members / rate));
}

// Returns the end of the first pause if all servers in service, except the excluded ones, are paused; nothing
// otherwise.
std::optional<time_point> find_first_pause_end(const dispatch_tables& tables, std::string_view service,
                                               std::span<const std::string> excluded_servers,
                                               time_point now) {
  const auto servers = tables.m_servers.find(service);
  if (servers == tables.m_servers.end() || !tables.m_notices.has_pauses(now)) {
    return std::nullopt;
  }
  std::optional<time_point> first_end;
  for (const auto& [id, server] : servers->second) {
    if (!is_in_service(tables, server)) {
      continue;
    }
    if (is_paused(server, now)) {
      const time_point end = server.m_notice->m_paused_until;
      first_end = first_end ? std::min(*first_end, end) : end;
    } else if (std::find(excluded_servers.begin(), excluded_servers.end(), id) == excluded_servers.end()) {
      return std::nullopt;
    }
  }
  return first_end;
}

} // namespace

void update_notices(dispatch_tables& tables) {
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      server.m_notice = tables.m_notices.find(server.m_entry);
    }
  }
}

bool record_pause(dispatch_tables& tables, const backend_server& server, duration pause, time_point now) {
  const duration spread = std::min(return_interval(tables, server), return_period);
  const double phase = std::generate_canonical<double, 16>(tables.m_random);
  const time_point end = now + pause;
  const auto delay = std::chrono::duration_cast<duration>(spread * phase);
  const bool is_new = tables.m_notices.record_pause(server, end, end + delay, end + return_period, now);
  update_notices(tables);
  return is_new;
}

void record_sending(dispatch_tables& tables, const server_row& server, time_point now) {
  if (server.m_notice != nullptr) {
    tables.m_notices.record_request(server.m_entry, return_interval(tables, server.m_entry), now);
  }
}

std::optional<duration> retry_delay_for_pauses(dispatch_tables& tables, std::string_view service,
                                               std::span<const std::string> excluded_servers,
                                               time_point now) {
  const auto end = find_first_pause_end(tables, service, excluded_servers, now);
  if (!end || *end - now <= short_pause) {
    return std::nullopt;
  }
  const double spread = std::generate_canonical<double, 16>(tables.m_random);
  return *end - now + std::chrono::duration_cast<duration>(caller_return_period * spread);
}

} // namespace cardamompond::fleet
