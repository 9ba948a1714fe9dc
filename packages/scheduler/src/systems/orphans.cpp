#include "systems/orphans.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// A member that was considered lost may still be running and can start dispatches until its permits expire.
// Only load reports measured after that are used.
constexpr milliseconds permit_lifetime{500};

struct orphan {
  time_point m_release_at;
  request_key m_key;
};

std::vector<orphan> find_orphans(const scheduler_state& state, row_index server, time_point lost_before) {
  std::vector<orphan> found;
  for (const auto& [release_at, keys] : state.m_orphans) {
    for (const request_key key : keys) {
      const auto request = state.m_requests.find(key);
      if (release_at - lost_member_slot_timeout <= lost_before && request != state.m_requests.end() &&
          request->second.m_server == server && request->second.m_release_at == release_at) {
        found.push_back({release_at, key});
      }
    }
  }
  return found;
}

} // namespace

void release_finished_orphans(scheduler_state& state, row_index server, time_point measured) {
  if (state.m_orphans.empty()) {
    return;
  }
  const std::vector<orphan> orphans = find_orphans(state, server, measured - permit_lifetime);
  const std::size_t reported_requests =
      std::size_t{state.m_servers[server].m_reported_running} + state.m_servers[server].m_reported_waiting;
  if (orphans.size() <= reported_requests) {
    return;
  }
  // It is not known which of the requests have ended, but only their number matters.
  for (std::size_t i = 0; i < orphans.size() - reported_requests; ++i) {
    std::erase(state.m_orphans[orphans[i].m_release_at], orphans[i].m_key);
    state.m_requests.at(orphans[i].m_key).m_release_at = state.m_now;
    state.m_orphans[state.m_now].push_back(orphans[i].m_key);
  }
}

} // namespace cardamompond::scheduler
