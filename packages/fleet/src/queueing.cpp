#include "overload_control.hpp"
#include "placement_rules.hpp"
#include "spare_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cardamompond::fleet {
namespace {

// A request may wait here for this share of the time until its caller gives up; the rest is left for the
// server. The wait may exceed the target for the first token, because a late response still has some value.
constexpr double max_wait_share = 0.55;

// Time that the request and the first part of the response take on the network, in addition to the time that
// the server needs.
constexpr duration network_time = milliseconds(10);

// Longest wait while the service has no eligible backend server. A new list of servers may arrive in this
// time.
constexpr duration max_wait_without_server = milliseconds(500);

// Time after which a refused caller should retry. It is this long because bursts last some seconds and the
// target for the first token is missed in any case.
constexpr duration retry_after = milliseconds(4'000);

// Time constant of the moving average of the grant rate. It covers some seconds of a burst and several
// successive responses of a server.
constexpr double rate_window_s = 1.5;

// Number of requests of one kind that may always wait, whatever the grant rate is: their grants show when
// capacity becomes free again. The number is lower for late requests, which have little value and cost more
// the longer they wait in vain.
constexpr std::size_t min_queue_length = 2;
constexpr std::size_t min_late_queue_length = 1;

// A request that occupies a server for at most this time goes ahead of longer ones, because it delays them
// only a little and many short requests can be served in the time of a long one. With 0.15 s, requests of the
// routes of the lowest rank displace those of the highest under overload. Without a preference for short
// requests, over half of the requests are refused.
constexpr double max_short_request_s = 0.06;

// Upper bound of a reservation. The request follows on the same connection at once; the bound leaves time for
// the retransmission of a lost packet.
constexpr milliseconds reservation_time{500};

time_point waiting_since(const submission& request) {
  return std::max(request.m_arrived, request.m_waiting_since);
}

bool has_eligible_server(const dispatch_tables& tables, const std::string& service, time_point now) {
  const auto servers = tables.m_servers.find(service);
  return servers != tables.m_servers.end() &&
         std::any_of(servers->second.begin(), servers->second.end(),
                     [&](const auto& each) { return is_eligible(tables, each.second, now); });
}

dispatch_grant grant(dispatch_tables& tables, const waiting_request& waiting, server_row& server,
                     time_point now) {
  const submission& request = waiting.m_request;
  if (server.m_max_rejections) {
    server.m_brittle.record_sending(server.m_brittle_share, find_brittle_load(server), now);
  }
  ++server.m_own_running;
  server.m_own_reading += request.m_prompt_tokens;
  if (now < server.m_cold_until) {
    ++server.m_cold_sent;
  }
  record_sending(tables, server, now);
  if (tables.m_rollout_controller != nullptr) {
    tables.m_rollout_controller->record_grant(request.m_service, server.m_entry.m_version);
  }
  tables.m_grant_rates[{request.m_service, request.m_route_rank, waiting.m_late}].record_grant(now);
  tables.m_running[request.m_ticket] = {.m_service = request.m_service,
                                        .m_server_id = server.m_entry.m_id,
                                        .m_prompt_tokens = request.m_prompt_tokens,
                                        .m_granted = now,
                                        .m_level = controlled_level(tables, request),
                                        .m_work_ms = waiting.m_work_ms};
  if (auto* controlled = find_controlled(tables, request.m_service); controlled != nullptr) {
    record_controlled_grant(tables, *controlled, waiting, now);
  }
  return {request.m_ticket,
          server.m_entry,
          std::min(server.m_max_reservation, reservation_time),
          server.m_listed_since,
          {server.m_own_running + server.m_peer_running, now < server.m_cold_until}};
}

// Sorts the queue by tier. Within a tier, requests that can still be answered on time come before late ones,
// then short requests before long ones; the rest is ordered by the rank of the route and by arrival. With
// overload control, late requests of returned callers come before other late ones, and the virtual time of
// the account counts before the arrival.
void sort_queue(std::deque<waiting_request>& queue) {
  const auto key = [&](const waiting_request& each) {
    const submission& request = each.m_request;
    return std::make_tuple(each.m_effective_rank, each.m_late, each.m_late && !each.m_returned,
                           !each.m_catching_up, !each.m_short, request.m_route_rank, each.m_virtual_time,
                           request.m_arrived);
  };
  std::sort(queue.begin(), queue.end(),
            [&](const waiting_request& a, const waiting_request& b) { return key(a) < key(b); });
}

// Whether the requests of the same kind that are already waiting will probably take longer than this one may
// wait, judged by the grant rate. A request that may have run is never refused for that, because its caller
// cannot be told to come back.
bool exceeds_wait_limit(dispatch_tables& tables, const std::deque<waiting_request>& queue,
                        const waiting_request& waiting, time_point now) {
  const submission& request = waiting.m_request;
  if (request.m_may_have_run) {
    return false;
  }
  const auto ahead =
      static_cast<std::size_t>(std::count_if(queue.begin(), queue.end(), [&](const waiting_request& each) {
        return &each != &waiting && each.m_request.m_rank <= request.m_rank &&
               each.m_request.m_route_rank == request.m_route_rank && each.m_late == waiting.m_late;
      }));
  if (ahead < (waiting.m_late ? min_late_queue_length : min_queue_length)) {
    return false;
  }
  const double rate =
      tables.m_grant_rates[{request.m_service, request.m_route_rank, waiting.m_late}].per_second(now);
  const std::chrono::duration<double> max_wait = waiting.m_refuse_at - now;
  return static_cast<double>(ahead) > rate * max_wait.count();
}

// Marks the request as late when its response can no longer begin on time. A late request that exceeds its
// wait limit is refused by this or the next call of process_queues unless a server can take it immediately.
void update_lateness(dispatch_tables& tables, const std::deque<waiting_request>& queue,
                     waiting_request& waiting, const speed_estimate& typical_speed, time_point now) {
  if (waiting.m_late || now <= latest_dispatch_time(waiting.m_request, typical_speed)) {
    return;
  }
  if (auto* controlled = find_controlled(tables, waiting.m_request.m_service); controlled != nullptr) {
    handle_lateness(*controlled, waiting, now);
    return;
  }
  waiting.m_late = true;
  if (exceeds_wait_limit(tables, queue, waiting, now)) {
    waiting.m_refuse_at = now;
  }
}

// Whether the request will be tried again before it is refused.
bool may_wait(const waiting_request& waiting, time_point now) {
  constexpr duration longest_time_between_ticks = milliseconds(20);
  return now + longest_time_between_ticks < waiting.m_refuse_at;
}

// Counts a request that finds no free slot, once.
void record_blocked(dispatch_tables& tables, waiting_request& waiting, time_point now) {
  const auto declared = tables.m_services.find(waiting.m_request.m_service);
  if (waiting.m_late || waiting.m_blocked || declared == tables.m_services.end() ||
      !declared->second.m_uses_batching) {
    return;
  }
  waiting.m_blocked = true;
  const std::size_t level = urgency_level(tables, waiting.m_request);
  ++tables.m_own_blocked[level];
  tables.m_blocked.record(level, 1, now);
  if (auto* controlled = find_controlled(tables, waiting.m_request.m_service);
      controlled != nullptr &&
      !tables.m_account_shares.is_over_share(waiting.m_request.m_account_hash, now)) {
    controlled->m_load.record_blocked_within_share(controlled_level(tables, waiting.m_request), now);
  }
}

} // namespace

speed_estimate find_typical_speed(const dispatch_tables& tables, const std::string& service) {
  const auto servers = tables.m_servers.find(service);
  if (servers == tables.m_servers.end()) {
    return assumed_speed();
  }
  speed_estimate sum{};
  double count = 0;
  for (const auto& [id, server] : servers->second) {
    if (server.m_listed) {
      ++count;
      sum.m_base_s += server.m_combined_speed.m_base_s;
      sum.m_prompt_s_per_token += server.m_combined_speed.m_prompt_s_per_token;
      sum.m_event_interval_s += server.m_combined_speed.m_event_interval_s;
    }
  }
  if (count == 0) {
    return assumed_speed();
  }
  return {sum.m_base_s / count, sum.m_prompt_s_per_token / count, sum.m_event_interval_s / count, 0};
}

time_point latest_dispatch_time(const submission& request, const speed_estimate& typical_speed) {
  const std::chrono::duration<double> time_to_first_token(
      typical_speed.m_base_s + typical_speed.m_prompt_s_per_token * request.m_prompt_tokens);
  return request.m_first_token_due - network_time - std::chrono::duration_cast<duration>(time_to_first_token);
}

void grant_rate::record_grant(time_point now) {
  m_rate = per_second(now) + 1 / rate_window_s;
  m_updated = now;
}

double grant_rate::per_second(time_point now) const {
  return m_rate * std::exp(-std::chrono::duration<double>(now - m_updated).count() / rate_window_s);
}

void enqueue(dispatch_tables& tables, submission request, time_point now) {
  const auto max_wait = std::chrono::duration_cast<duration>(
      (request.m_abandoned_at - waiting_since(request)) * max_wait_share);
  const time_point refuse_at = waiting_since(request) + max_wait;
  const bool is_short = expected_work_s(tables, request) <= max_short_request_s;
  record_prompt(tables, request);
  if (!request.m_resubmitted) {
    tables.m_demands[request.m_service].record_request(now);
    record_work_demand(tables, request);
  }
  auto& queue = tables.m_waiting[request.m_service];
  waiting_request waiting{std::move(request), refuse_at, is_short, false};
  waiting.m_effective_rank = waiting.m_request.m_rank;
  const speed_estimate typical_speed = find_typical_speed(tables, waiting.m_request.m_service);
  if (auto* controlled = find_controlled(tables, waiting.m_request.m_service); controlled != nullptr) {
    admit_to_queue(tables, *controlled, waiting, typical_speed, now);
    queue.push_back(std::move(waiting));
    return;
  }
  update_lateness(tables, queue, waiting, typical_speed, now);
  if (!waiting.m_late && exceeds_wait_limit(tables, queue, waiting, now)) {
    waiting.m_refuse_at = now;
  }
  queue.push_back(std::move(waiting));
}

void process_queues(dispatch_tables& tables, time_point now, std::vector<dispatch_decision>& decisions) {
  for (auto& [name, queue] : tables.m_waiting) {
    controlled_service* const controlled = find_controlled(tables, name);
    if (queue.empty()) {
      if (controlled != nullptr) {
        update_waiting_work(tables, *controlled, queue, now);
      }
      continue;
    }
    const speed_estimate typical_speed = find_typical_speed(tables, name);
    for (auto& waiting : queue) {
      update_lateness(tables, queue, waiting, typical_speed, now);
    }
    if (controlled != nullptr) {
      update_order(tables, *controlled, queue, now);
    }
    sort_queue(queue);
    spare_capacity spare(tables, name, now);
    std::deque<waiting_request> remaining;
    for (auto& waiting : queue) {
      const submission& request = waiting.m_request;
      if (server_row* server =
              select_server(tables, request, spare, required_free_slots(tables, waiting, now),
                            may_wait(waiting, now), now)) {
        spare.take(*server);
        decisions.emplace_back(grant(tables, waiting, *server, now));
        continue;
      }
      record_blocked(tables, waiting, now);
      // A request that may have run waits, because its caller cannot be told that it was not run.
      if (const auto delay = request.m_may_have_run
                                 ? std::nullopt
                                 : retry_delay_for_pauses(tables, name, request.m_excluded_servers, now)) {
        decisions.emplace_back(dispatch_refusal{request.m_ticket, refusal_reason::paused, *delay});
        continue;
      }
      const bool has_server = has_eligible_server(tables, name, now);
      const time_point refuse_at =
          has_server || request.m_may_have_run
              ? waiting.m_refuse_at
              : std::min(waiting.m_refuse_at, waiting_since(request) + max_wait_without_server);
      if (now >= refuse_at) {
        const duration delay = controlled != nullptr && has_server
                                   ? plan_return(tables, *controlled, waiting, typical_speed, now)
                                   : retry_after;
        decisions.emplace_back(dispatch_refusal{
            request.m_ticket, has_server ? refusal_reason::no_capacity : refusal_reason::no_backend_server,
            has_server ? retry_delay_for_limits(tables, name, remaining.size(), now).value_or(delay)
                       : delay});
        continue;
      }
      remaining.push_back(std::move(waiting));
    }
    queue = std::move(remaining);
    if (controlled != nullptr) {
      update_waiting_work(tables, *controlled, queue, now);
    }
  }
}

} // namespace cardamompond::fleet
