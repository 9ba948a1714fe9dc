#include "server_notices.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Time after which the statements of an unlisted server are forgotten. Entries that the store lost during an
// outage are back within a few seconds of its return.
constexpr duration unlisted_retention = seconds(60);

} // namespace

const server_notice* server_notices::find(const backend_server& server) const {
  const auto by_start = m_records.find(server.m_id);
  if (by_start == m_records.end()) {
    return nullptr;
  }
  const auto found = by_start->second.find(server.m_started_unix_ms);
  return found == by_start->second.end() ? nullptr : &found->second;
}

server_notice& server_notices::find_or_add(const backend_server& server) {
  return m_records[server.m_id][server.m_started_unix_ms];
}

bool server_notices::record_leaving(const backend_server& server, time_point now) {
  server_notice& notice = find_or_add(server);
  if (notice.m_leaving) {
    return false;
  }
  notice.m_leaving = true;
  notice.m_leaving_since = now;
  return true;
}

bool server_notices::record_pause(const backend_server& server, time_point end, time_point first_return,
                                  time_point return_end, time_point now) {
  server_notice& notice = find_or_add(server);
  const bool already_paused = notice.is_paused(now);
  if (end > notice.m_paused_until) {
    notice.m_paused_until = end;
    notice.m_next_request = first_return;
    notice.m_return_end = return_end;
    m_last_pause_end = std::max(m_last_pause_end, end);
  }
  return !already_paused;
}

void server_notices::record_request(const backend_server& server, duration interval, time_point now) {
  if (find(server) != nullptr) {
    find_or_add(server).m_next_request = now + interval;
  }
}

void server_notices::update_listed(std::span<const backend_server> servers, time_point now) {
  if (m_records.empty()) {
    return;
  }
  for (auto& [id, by_start] : m_records) {
    for (auto& [started, notice] : by_start) {
      notice.m_missing_since = notice.m_missing_since.value_or(now);
    }
  }
  for (const auto& server : servers) {
    if (find(server) != nullptr) {
      find_or_add(server).m_missing_since.reset();
    }
  }
  for (auto& [id, by_start] : m_records) {
    std::erase_if(by_start, [&](const auto& each) {
      const auto& missing_since = each.second.m_missing_since;
      return missing_since && now - *missing_since > unlisted_retention;
    });
  }
  std::erase_if(m_records, [](const auto& each) { return each.second.empty(); });
}

} // namespace cardamompond::fleet
