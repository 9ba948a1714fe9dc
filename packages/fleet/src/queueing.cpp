#include "dispatch_tables.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cardamompond::fleet {
namespace {

// A request waits for a place for this part of the time in which its answer must begin: a late answer is
// worth something too, and the rest is left to the server.
constexpr double patience_share = 0.55;

// What a request needs beside the server's own time until its first answer, on the way there and back.
constexpr duration transfer_time = milliseconds(10);

// Longest wait while the service has no backend server at all: a list may be about to arrive.
constexpr duration patience_without_server = milliseconds(500);

// When to come back after a refusal for lack of room. The goal is missed by then, and bursts last some
// seconds.
constexpr duration retry_pause = milliseconds(4'000);

// Over which time the rate of grants is averaged: some seconds of a burst, and several generations.
constexpr double rate_window_s = 1.5;

// So many requests of one kind may always wait: they show whether places become free again. Late ones are
// worth little, and cost more the longer they are held for nothing.
constexpr std::size_t always_waiting = 2;
constexpr std::size_t always_waiting_late = 1;

// A request that takes a server at most this long goes ahead of longer ones: it delays them little, and many
// of its kind are served for one of theirs. At 0.15 s requests of the lowest routes took the places of those
// of the highest on days over capacity; without any, over half of the requests were refused.
constexpr double quick_s = 0.06;

// The request follows on the same connection; the rest covers a lost packet.
constexpr milliseconds reservation_time{500};

bool any_eligible(const dispatch_tables& tables, const std::string& service, time_point now) {
  const auto servers = tables.m_servers.find(service);
  return servers != tables.m_servers.end() &&
         std::any_of(servers->second.begin(), servers->second.end(),
                     [&](const auto& each) { return eligible(tables, each.second, now); });
}

dispatch_grant grant(dispatch_tables& tables, const waiting_request& waiting, server_row& server,
                     time_point now) {
  const submission& request = waiting.m_request;
  ++server.m_own;
  if (now < server.m_cold_until) {
    ++server.m_cold_sent;
  }
  if (tables.m_judge != nullptr) {
    tables.m_judge->record_grant(request.m_service, server.m_entry.m_version);
  }
  tables.m_grant_rates[{request.m_service, request.m_route_rank, waiting.m_late}].record_grant(now);
  tables.m_running[request.m_ticket] = {request.m_service, server.m_entry.m_id, request.m_prompt_tokens, now};
  return {request.m_ticket, server.m_entry, std::min(server.m_max_reservation, reservation_time)};
}

// Tiers first; within a tier those that can still be on time, then quick ones, then by the rank of the route
// and by arrival.
void order(std::deque<waiting_request>& queue) {
  const auto key = [&](const waiting_request& each) {
    const submission& request = each.m_request;
    return std::make_tuple(request.m_rank, each.m_late, !each.m_quick, request.m_route_rank,
                           request.m_arrived);
  };
  std::sort(queue.begin(), queue.end(),
            [&](const waiting_request& a, const waiting_request& b) { return key(a) < key(b); });
}

// The shortest time until a first answer that any server of the service was seen to need.
speed_estimate best_speed(const dispatch_tables& tables, const std::string& service) {
  speed_estimate best = assumed_speed();
  const auto servers = tables.m_servers.find(service);
  if (servers == tables.m_servers.end()) {
    return best;
  }
  for (const auto& [id, server] : servers->second) {
    best.m_base_s = std::min(best.m_base_s, server.m_speed.m_base_s);
    best.m_prompt_s_per_token = std::min(best.m_prompt_s_per_token, server.m_speed.m_prompt_s_per_token);
  }
  return best;
}

// The latest time at which the request can be sent for its answer to begin in time.
time_point latest_start(const submission& request, const speed_estimate& best) {
  const std::chrono::duration<double> first(best.m_base_s +
                                            best.m_prompt_s_per_token * request.m_prompt_tokens);
  return request.m_first_answer_due - transfer_time - std::chrono::duration_cast<duration>(first);
}

// Whether those of the same kind that wait already will take longer than this one can wait.
bool hopeless(dispatch_tables& tables, const std::deque<waiting_request>& queue,
              const waiting_request& waiting, time_point now) {
  const submission& request = waiting.m_request;
  const auto ahead =
      static_cast<std::size_t>(std::count_if(queue.begin(), queue.end(), [&](const waiting_request& each) {
        return &each != &waiting && each.m_request.m_rank <= request.m_rank &&
               each.m_request.m_route_rank == request.m_route_rank && each.m_late == waiting.m_late;
      }));
  if (ahead < (waiting.m_late ? always_waiting_late : always_waiting)) {
    return false;
  }
  const double rate =
      tables.m_grant_rates[{request.m_service, request.m_route_rank, waiting.m_late}].per_second(now);
  const std::chrono::duration<double> patience = waiting.m_refuse_at - now;
  return static_cast<double>(ahead) > rate * patience.count();
}

// Marks the request as late once its answer cannot begin in time any more; one without a chance then is
// refused by the next run of the queue unless a place is free at once.
void note_lateness(dispatch_tables& tables, const std::deque<waiting_request>& queue,
                   waiting_request& waiting, const speed_estimate& best, time_point now) {
  if (waiting.m_late || now <= latest_start(waiting.m_request, best)) {
    return;
  }
  waiting.m_late = true;
  if (hopeless(tables, queue, waiting, now)) {
    waiting.m_refuse_at = now;
  }
}

} // namespace

void grant_rate::record_grant(time_point now) {
  m_rate = per_second(now) + 1 / rate_window_s;
  m_updated = now;
}

double grant_rate::per_second(time_point now) const {
  return m_rate * std::exp(-std::chrono::duration<double>(now - m_updated).count() / rate_window_s);
}

void enqueue(dispatch_tables& tables, submission request, time_point now) {
  const auto patience =
      std::chrono::duration_cast<duration>((request.m_abandoned_at - request.m_arrived) * patience_share);
  const time_point refuse_at = request.m_arrived + patience;
  const auto declared = tables.m_services.find(request.m_service);
  const double tokens_per_event =
      declared == tables.m_services.end() ? 1 : declared->second.m_tokens_per_event;
  const speed_estimate speed = assumed_speed();
  const bool quick = speed.m_prompt_s_per_token * request.m_prompt_tokens +
                         speed.m_event_interval_s * request.m_output_tokens / tokens_per_event <=
                     quick_s;
  auto& queue = tables.m_waiting[request.m_service];
  waiting_request waiting{std::move(request), refuse_at, quick, false};
  note_lateness(tables, queue, waiting, best_speed(tables, waiting.m_request.m_service), now);
  if (!waiting.m_late && hopeless(tables, queue, waiting, now)) {
    waiting.m_refuse_at = now;
  }
  queue.push_back(std::move(waiting));
}

void run_queue(dispatch_tables& tables, time_point now, std::vector<dispatch_decision>& decisions) {
  for (auto& [name, queue] : tables.m_waiting) {
    const speed_estimate best = best_speed(tables, name);
    for (auto& waiting : queue) {
      note_lateness(tables, queue, waiting, best, now);
    }
    order(queue);
    std::deque<waiting_request> left;
    for (auto& waiting : queue) {
      const submission& request = waiting.m_request;
      if (server_row* server = place(tables, request, now)) {
        decisions.emplace_back(grant(tables, waiting, *server, now));
        continue;
      }
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
