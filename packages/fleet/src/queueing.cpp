#include "dispatch_tables.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// A request waits this many times its goal for a place before it is refused, so that it can still begin a
// little late, and not longer, so that callers learn early.
constexpr double patience_in_goals = 1.0;

// Longest wait while the service has no backend server at all: a list may be about to arrive.
constexpr duration patience_without_server = milliseconds(500);

// When to come back after a refusal for lack of room: about the time in which a place becomes free.
constexpr duration retry_pause = milliseconds(300);

bool ahead_of(const submission& a, const submission& b) {
  return a.m_rank != b.m_rank ? a.m_rank < b.m_rank : a.m_arrived < b.m_arrived;
}

bool any_eligible(const dispatch_tables& tables, const std::string& service, time_point now) {
  const auto servers = tables.m_servers.find(service);
  return servers != tables.m_servers.end() &&
         std::any_of(servers->second.begin(), servers->second.end(),
                     [&](const auto& each) { return eligible(tables, each.second, now); });
}

dispatch_grant grant(dispatch_tables& tables, const submission& request, server_row& server, time_point now) {
  ++server.m_own;
  if (now < server.m_cold_until) {
    ++server.m_cold_sent;
  }
  if (tables.m_judge != nullptr) {
    tables.m_judge->note_grant(request.m_service, server.m_entry.m_version);
  }
  tables.m_running[request.m_ticket] = {request.m_service, server.m_entry.m_id, request.m_prompt_tokens, now};
  return {request.m_ticket, server.m_entry};
}

} // namespace

void enqueue(dispatch_tables& tables, submission request) {
  auto& queue = tables.m_waiting[request.m_service];
  const auto patience = std::chrono::duration_cast<duration>((request.m_goal - request.m_arrived) * patience_in_goals);
  waiting_request added{std::move(request), {}};
  added.m_refuse_at = std::min(added.m_request.m_arrived + patience, added.m_request.m_deadline);
  const auto place = std::upper_bound(
      queue.begin(), queue.end(), added,
      [](const waiting_request& a, const waiting_request& b) { return ahead_of(a.m_request, b.m_request); });
  queue.insert(place, std::move(added));
}

void run_queue(dispatch_tables& tables, time_point now, std::vector<dispatch_decision>& decisions) {
  for (auto& [name, queue] : tables.m_waiting) {
    std::deque<waiting_request> left;
    bool full = false; // a request that avoids no server found no room
    for (auto& waiting : queue) {
      const submission& request = waiting.m_request;
      server_row* server = full ? nullptr : place(tables, request, now);
      if (server != nullptr) {
        decisions.emplace_back(grant(tables, request, *server, now));
        continue;
      }
      full = full || request.m_avoid.empty();
      const bool served = any_eligible(tables, name, now);
      const time_point until =
          served ? waiting.m_refuse_at
                 : std::min(waiting.m_refuse_at, request.m_arrived + patience_without_server);
      if (now >= until) {
        decisions.emplace_back(dispatch_refusal{
            request.m_ticket, served ? refusal_reason::no_capacity : refusal_reason::no_backend_server,
            retry_pause});
        continue;
      }
      left.push_back(std::move(waiting));
    }
    queue = std::move(left);
  }
}

} // namespace cardamompond::fleet
