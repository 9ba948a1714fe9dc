#include "overload_control.hpp"

#include "spare_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Share of the time left after which a refused caller still returns.
constexpr int time_left_divisor = 3;

// Shortest time after which a caller of a plain service returns.
constexpr duration min_plain_return = milliseconds(50);

// A late request of a first attempt waits only if it is predicted to begin within this share of the time that
// it may wait. Predictions are not exact, and a refusal after a long wait leaves little time for the return.
constexpr double max_late_wait_share = 0.7;

// A server that has refused a request of this daemon stays out for this long if all servers of the zone have
// lately, and for a part of it if a part of them has. Daemons would otherwise ask full servers again and
// again.
constexpr duration max_full_pause = milliseconds(500);

// Time for which blocked requests are counted, see blocked_requests.
constexpr double blocked_window_ms = 700;

// Most slots that are kept free for cheap requests that catch up, as a part of the work that the servers take
// per second.
constexpr double max_catch_up_reserve_s = 0.03;

// Late requests leave free slots for the requests that will come on time during this time. A late answer is
// worth half of an answer on time at most, and a late request that takes the last slot makes another one
// late.
constexpr double late_reserve_s = 0.2;

// Time that the request and the first part of the response take on the network.
constexpr duration network_time = milliseconds(10);

duration to_duration(double value_s) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value_s));
}

bool uses_batching(const dispatch_tables& tables, const std::string& service) {
  const auto declared = tables.m_services.find(service);
  return declared != tables.m_services.end() && declared->second.m_uses_batching;
}

double first_token_s(const submission& request, const speed_estimate& speed) {
  return speed.m_base_s + speed.m_prompt_s_per_token * request.m_prompt_tokens;
}

double estimate_work_ms(const dispatch_tables& tables, const submission& request,
                        const speed_estimate& speed) {
  const auto declared = tables.m_services.find(request.m_service);
  double work_s = first_token_s(request, speed);
  if (declared != tables.m_services.end() && declared->second.m_uses_batching) {
    work_s += speed.m_event_interval_s * request.m_output_tokens / declared->second.m_tokens_per_event;
  }
  return work_s * 1'000;
}

// Returns the latest time at which a response is still useful to the caller if the request is sent then.
time_point latest_useful_dispatch(const submission& request, const speed_estimate& speed, double work_ms) {
  constexpr double min_work_share = 0.5; // answers are often shorter than estimated
  return std::min(request.m_abandoned_at - network_time - to_duration(first_token_s(request, speed)),
                  request.m_deadline - network_time - to_duration(work_ms * min_work_share / 1'000));
}

bool begins_by(const zone_load& load, std::size_t in_class, time_point latest, time_point now) {
  const auto wait = load.predict_wait(in_class, now);
  return wait && now + *wait <= latest;
}

bool has_late_prospect(const controlled_service& state, const waiting_request& waiting, time_point now) {
  const auto may_wait =
      std::chrono::duration_cast<duration>((waiting.m_refuse_at - now) * max_late_wait_share);
  return begins_by(state.m_load, late_class, now + may_wait, now);
}

// Returns the number of daemons that share the room of the zone.
std::size_t count_sharing_daemons(const dispatch_tables& tables) {
  if (tables.m_frequent_reports) {
    return tables.m_members.size();
  }
  return static_cast<std::size_t>(
      std::count_if(tables.m_members.begin(), tables.m_members.end(), [&](const daemon_location& each) {
        return each.m_availability_zone == tables.m_self.m_availability_zone;
      }));
}

// A request whose account has a tier of its own keeps the place of the tier.
bool may_catch_up(const dispatch_tables& tables, const submission& request) {
  return tables.m_route_ranks_are_tiers && request.m_rank == request.m_route_rank;
}

} // namespace

controlled_service* find_controlled(dispatch_tables& tables, std::string_view service) {
  const auto found = tables.m_controlled.find(service);
  return found == tables.m_controlled.end() ? nullptr : &found->second;
}

const controlled_service* find_controlled(const dispatch_tables& tables, std::string_view service) {
  const auto found = tables.m_controlled.find(service);
  return found == tables.m_controlled.end() ? nullptr : &found->second;
}

std::size_t controlled_level(const dispatch_tables& tables, const submission& request) {
  if (!tables.m_route_ranks_are_tiers) {
    return urgency_level(tables, request);
  }
  const auto more_urgent =
      std::distance(tables.m_tier_ranks.begin(), tables.m_tier_ranks.lower_bound(request.m_rank));
  return std::min(static_cast<std::size_t>(more_urgent), urgency_levels - 1);
}

std::size_t request_class(const dispatch_tables& tables, const waiting_request& waiting) {
  if (waiting.m_late) {
    return waiting.m_returned ? returned_class : late_class;
  }
  // The routes of plain services have no levels of urgency.
  return uses_batching(tables, waiting.m_request.m_service) ? controlled_level(tables, waiting.m_request) : 0;
}

void admit_to_queue(dispatch_tables& tables, controlled_service& state, waiting_request& waiting,
                    const speed_estimate& typical_speed, time_point now) {
  const submission& request = waiting.m_request;
  waiting.m_work_ms = estimate_work_ms(tables, request, typical_speed);
  waiting.m_returned = request.m_age > duration::zero();
  const time_point latest_on_time = latest_dispatch_time(request, typical_speed);
  waiting.m_late = now > latest_on_time;
  const std::size_t own_class = request_class(tables, waiting);
  if (!request.m_resubmitted) {
    if (!waiting.m_late) {
      state.m_load.record_arrival(own_class, waiting.m_work_ms, now);
    }
  }
  if (request.m_may_have_run) {
    return;
  }
  waiting.m_refuse_at =
      std::min(waiting.m_refuse_at, latest_useful_dispatch(request, typical_speed, waiting.m_work_ms));
  if (waiting.m_returned) {
    return; // a refusal is its last, so that an early one gains nothing
  }
  const bool on_time = !waiting.m_late && begins_by(state.m_load, own_class, latest_on_time, now);
  if (!on_time && !has_late_prospect(state, waiting, now)) {
    waiting.m_refuse_at = now;
    waiting.m_refusal_cause = refusal_cause::on_arrival;
  }
}

void handle_lateness(const controlled_service& state, waiting_request& waiting, time_point now) {
  waiting.m_late = true;
  if (waiting.m_returned || waiting.m_request.m_may_have_run) {
    return;
  }
  if (!has_late_prospect(state, waiting, now)) {
    waiting.m_refuse_at = now;
    waiting.m_refusal_cause = refusal_cause::late;
  }
}

void update_order(const dispatch_tables& tables, const controlled_service& state,
                  std::deque<waiting_request>& queue, time_point now) {
  for (auto& each : queue) {
    const submission& request = each.m_request;
    each.m_virtual_time = tables.m_account_shares.virtual_time(request.m_account_hash, now);
    each.m_effective_rank = request.m_rank;
    each.m_catching_up = false;
    if (!may_catch_up(tables, request)) {
      continue;
    }
    const std::size_t level = controlled_level(tables, request);
    std::size_t more_urgent = 0;
    for (const std::uint32_t rank : tables.m_tier_ranks) {
      if (more_urgent >= level) {
        break;
      }
      if (state.m_load.catches_up(level, more_urgent, now)) {
        each.m_effective_rank = rank;
        each.m_catching_up = true;
        break;
      }
      ++more_urgent;
    }
  }
}

double blocked_before(const dispatch_tables& tables, const controlled_service& state,
                      const waiting_request& waiting, time_point now) {
  const submission& request = waiting.m_request;
  if (request.m_may_have_run) {
    return 0; // it can no longer be refused
  }
  // Blocked requests are reported by urgency_level(), where several ranks may share the last level.
  const std::size_t own_urgency = urgency_level(tables, request);
  const std::size_t own_level = controlled_level(tables, request);
  double sum = 0;
  for (std::size_t urgency = 0; urgency < urgency_levels; ++urgency) {
    const bool passed =
        urgency == 0 && may_catch_up(tables, request) && state.m_load.catches_up(own_level, urgency, now);
    if (waiting.m_late || (urgency < own_urgency && !passed)) {
      sum += tables.m_blocked.at(urgency, now);
    }
  }
  for (std::size_t level = own_level + 1;
       !waiting.m_late && tables.m_route_ranks_are_tiers && level < urgency_levels; ++level) {
    if (state.m_load.catches_up(level, own_level, now)) {
      // Several cheap requests need one slot, and what is kept for them stays idle until they come.
      sum += std::min(tables.m_blocked.at(urgency_levels - 1, now) *
                          std::min(1.0, state.m_load.mean_work_ms(level, now) / blocked_window_ms),
                      max_catch_up_reserve_s * state.m_load.capacity() / 1'000);
      break;
    }
  }
  return sum;
}

double additional_free_slots(const dispatch_tables& tables, const controlled_service& state,
                             const waiting_request& waiting, time_point now) {
  if (waiting.m_request.m_may_have_run) {
    return 0;
  }
  if (waiting.m_late) {
    const double mean_work_ms = state.m_load.mean_work_ms(now);
    if (mean_work_ms <= 0) {
      return 0;
    }
    const double returned =
        waiting.m_returned ? 0 : state.m_load.waiting_work(returned_class, returned_class, now);
    const double work = state.m_load.arriving_work_per_second(now) * late_reserve_s + returned;
    return std::floor(work / mean_work_ms); // at a low load nothing is kept free
  }
  return tables.m_account_shares.is_over_share(waiting.m_request.m_account_hash, now)
             ? state.m_load.blocked_within_share(request_class(tables, waiting), now)
             : 0;
}

void record_controlled_grant(dispatch_tables& tables, controlled_service& state,
                             const waiting_request& waiting, time_point now) {
  const submission& request = waiting.m_request;
  state.m_load.record_grant(controlled_level(tables, request), waiting.m_work_ms, now);
  if (request.m_account_hash != 0 && !request.m_resubmitted) {
    tables.m_account_shares.record_use(
        request.m_account_hash, static_cast<double>(request.m_prompt_tokens) + request.m_output_tokens, now);
  }
  tables.m_overload_counts.m_returned_granted += waiting.m_late && waiting.m_returned ? 1 : 0;
}

void withdraw_controlled_grant(dispatch_tables& tables, const running_request& request, time_point now) {
  if (auto* state = find_controlled(tables, request.m_service); state != nullptr) {
    state->m_load.record_grant(request.m_level, -request.m_work_ms, now);
  }
}

void extend_full_pause(const dispatch_tables& tables, server_row& server, time_point now) {
  const auto lists = tables.m_lists.find(server.m_entry.m_service);
  if (!server.m_uses_batching || lists == tables.m_lists.end()) {
    return;
  }
  const auto& servers = tables.m_frequent_reports ? lists->second.m_all : lists->second.m_own_zone;
  if (servers.empty()) {
    return;
  }
  const auto full = std::count_if(servers.begin(), servers.end(),
                                  [&](const server_row* each) { return now < each->m_full_until; });
  const double share = static_cast<double>(full) / static_cast<double>(servers.size());
  server.m_full_until = std::max(
      server.m_full_until, now + std::chrono::duration_cast<duration>(max_full_pause * std::min(1.0, share)));
}

duration plan_return(dispatch_tables& tables, controlled_service& state, const waiting_request& waiting,
                     const speed_estimate& typical_speed, time_point now) {
  const submission& request = waiting.m_request;
  duration limit = std::max(duration::zero(), (request.m_deadline - now) / time_left_divisor);
  if (!uses_batching(tables, request.m_service)) {
    // A plain request is short: its caller may return and still be answered on time.
    const duration until_late = latest_dispatch_time(request, typical_speed) - now;
    if (until_late >= min_plain_return) {
      limit = std::min(limit, until_late);
    }
  }
  const duration planned = state.m_planner.plan({waiting.m_work_ms, limit}, state.m_load,
                                                count_sharing_daemons(tables), tables.m_random, now);
  overload_counts& counts = tables.m_overload_counts;
  ++(waiting.m_refusal_cause == refusal_cause::on_arrival ? counts.m_refused_on_arrival
     : waiting.m_refusal_cause == refusal_cause::late     ? counts.m_refused_when_late
                                                          : counts.m_refused_after_wait);
  counts.m_returns_in_room += planned < limit ? 1 : 0;
  counts.m_returned_refused += waiting.m_returned ? 1 : 0;
  return planned;
}

void update_waiting_work(const dispatch_tables& tables, controlled_service& state,
                         const std::deque<waiting_request>& queue, time_point now) {
  work_by_class sums{};
  for (const auto& each : queue) {
    sums[request_class(tables, each)] += static_cast<std::uint32_t>(each.m_work_ms);
  }
  state.m_load.set_own_waiting(sums, now);
}

} // namespace cardamompond::fleet
