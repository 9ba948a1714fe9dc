#include "expected_times.hpp"
#include "placement_rules.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <random>
#include <span>
#include <vector>

namespace cardamompond::fleet {
namespace {

// Score penalty, as a share of a server's slots, for the time in which the prompt stalls the other streams of
// the server, relative to the pause that callers accept. The square of this ratio counts, since short stalls
// do not matter. It keeps long prompts off slow servers.
constexpr double stall_penalty = 2.0;

// Score bonus for slow servers. It keeps the faster ones free for requests that need them. It decreases with
// the length of the response: a stream that runs for longer than the given time probably meets a disturbance
// or a long prompt there.
constexpr double slow_server_bonus = 0.8;
constexpr double max_response_s_for_bonus = 2.0;

// Score penalty for each response that probably becomes late.
constexpr double late_response_penalty = 1.0;

// Servers of a plain service are compared by their expected time relative to the time that is available,
// which is at least this, so that a request that is late already still goes to the fastest one.
constexpr double min_available_s = 0.05;

// Expected times below this are taken for this, so that no server draws all requests.
constexpr double min_expected_s = 0.001;

// A server of another zone costs this much of the available time of a plain request.
constexpr double plain_remote_zone_penalty = 0.06;

// Among this many servers that fit, all are compared; of more, a random half. Daemons with the same
// information then do not all choose the same server.
constexpr std::size_t max_compared_without_draw = 2;

constexpr double tie_breaker_range = 0.02;

// A server that can take the request now.
struct timed_candidate {
  server_row* m_server = nullptr;
  expected_times m_times;
  time_fit m_fit = time_fit::none;
};

struct choice {
  server_row* m_server = nullptr;
  time_fit m_fit = time_fit::none;
};

// What the scores of the candidates of one request have in common.
struct comparison {
  request_needs m_needs;
  server_row* m_affinity_server = nullptr; // probably has the shared prompt prefix in its cache
  double m_slowest_event_s = 0;
  double m_remote_zone_penalty = 0;
};

double score(const dispatch_tables& tables, const timed_candidate& each, const comparison& shared) {
  const server_row& server = *each.m_server;
  const bool remote_zone = server.m_entry.m_availability_zone != tables.m_self.m_availability_zone;
  if (!server.m_uses_batching) {
    const double available_s = std::max(min_available_s, shared.m_needs.m_until_due_s);
    return each.m_times.m_end_s / available_s + (remote_zone ? plain_remote_zone_penalty : 0);
  }
  const double stall = each.m_times.m_prompt_s / shared.m_needs.m_accepted_pause_s;
  const double shortness =
      std::max(0.0, 1 - (each.m_times.m_end_s - each.m_times.m_first_s) / max_response_s_for_bonus);
  const double slowness =
      lasting_speed(server, shared.m_needs.m_now).m_event_interval_s / shared.m_slowest_event_s;
  return static_cast<double>(server.m_own_running + server.m_peer_running) / server.m_entry.m_slots +
         (remote_zone ? shared.m_remote_zone_penalty : 0) -
         (&server == shared.m_affinity_server ? shared_prefix_bonus() : 0) -
         assigned_slots_bonus_for(server) - slow_server_bonus * slowness * shortness +
         stall_penalty * stall * stall +
         late_response_penalty * expected_late_responses(server, each.m_times, shared.m_needs);
}

// Removes a random half of the candidates.
void draw_half(dispatch_tables& tables, std::vector<timed_candidate>& candidates) {
  const std::size_t kept = std::max(max_compared_without_draw, (candidates.size() + 1) / 2);
  for (std::size_t i = 0; i < kept && candidates.size() > kept; ++i) {
    const auto other = std::uniform_int_distribution<std::size_t>(i, candidates.size() - 1)(tables.m_random);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.resize(std::min(kept, candidates.size()));
}

// Returns how many requests of the levels below `end` were blocked lately that the server typically suits.
double count_blocked_for(const dispatch_tables& tables, const server_row& server, std::size_t end,
                         const request_needs& needs) {
  double count = 0;
  for (std::size_t level = 0; level < end; ++level) {
    if (needs.m_blocked[level] > 0 &&
        reads_without_stalling(server, tables.m_typical_prompts[level], needs) &&
        tables.m_typical_events[level] * lasting_speed(server, needs.m_now).m_event_interval_s <=
            max_response_s_for_bonus) {
      count += needs.m_blocked[level];
    }
  }
  return count;
}

} // namespace

double required_free_for(const dispatch_tables& tables, const server_row& server, const request_needs& needs,
                         double required_free) {
  if (required_free <= 0 || !server.m_uses_batching) {
    return required_free;
  }
  const std::size_t level = needs.m_urgency_level;
  const double more_urgent = std::accumulate(
      needs.m_blocked.begin(), needs.m_blocked.begin() + static_cast<std::ptrdiff_t>(level), 0.0);
  return std::max(0.0, required_free - more_urgent + count_blocked_for(tables, server, level, needs));
}

namespace {

// Draws a server of a plain service with a probability in proportion to the requests that it serves in a
// second. In a large group, the load that other zones reported is older than a request lasts, so that the
// daemons would all choose the server that was fastest a second ago.
server_row* draw_plain_server(dispatch_tables& tables, std::span<const timed_candidate> candidates) {
  std::vector<double> weights;
  for (const auto& each : candidates) {
    weights.push_back(each.m_server->m_entry.m_slots / std::max(min_expected_s, each.m_times.m_end_s));
  }
  return candidates[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(tables.m_random)]
      .m_server;
}

// Returns the best server with capacity among the given ones, or null.
choice select_best(dispatch_tables& tables, std::span<server_row* const> servers, const submission& request,
                   spare_capacity& spare, double required_free, bool may_wait, time_point now) {
  const auto declared = tables.m_services.find(request.m_service);
  const double cold_rate = declared == tables.m_services.end() ? 0 : declared->second.m_cold_requests_per_s;
  comparison shared{find_needs(tables, request, now), nullptr, 0, remote_zone_penalty_for(tables, request)};
  const request_needs& needs = shared.m_needs;
  std::vector<timed_candidate> candidates;
  std::uint64_t affinity_weight = 0;
  time_fit best_possible_fit = time_fit::none; // of all eligible servers, with or without capacity
  double fastest_s = std::numeric_limits<double>::max();
  double fastest_first_s = std::numeric_limits<double>::max();
  for (server_row* each : servers) {
    if (find_ineligibility(tables, *each, request, now) != exclusion::none) {
      continue;
    }
    if (request.m_shared_prefix_hash != 0) {
      if (const auto weight = rendezvous_weight(request.m_shared_prefix_hash, each->m_id_hash);
          weight >= affinity_weight) {
        affinity_weight = weight;
        shared.m_affinity_server = each;
      }
    }
    const expected_times times = predict_times(*each, needs);
    const time_fit server_fit = evaluate_times(times, needs);
    shared.m_slowest_event_s =
        std::max(shared.m_slowest_event_s, lasting_speed(*each, now).m_event_interval_s);
    fastest_s = std::min(fastest_s, times.m_end_s);
    fastest_first_s = std::min(fastest_first_s, predict_undisturbed_times(*each, needs).m_first_s);
    best_possible_fit = std::max(
        {best_possible_fit, server_fit, evaluate_times(predict_undisturbed_times(*each, needs), needs)});
    if (find_lack_of_capacity(tables, *each, spare, required_free_for(tables, *each, needs, required_free),
                              cold_rate, now) == exclusion::none) {
      candidates.push_back({each, times, server_fit});
    }
  }
  // A report that a server leaves may be outdated or wrong, so it only makes the other servers go first.
  if (std::any_of(candidates.begin(), candidates.end(),
                  [](const timed_candidate& each) { return each.m_server->m_leaving_reports == 0; })) {
    std::erase_if(candidates,
                  [](const timed_candidate& each) { return each.m_server->m_leaving_reports > 0; });
  }
  // If no server is expected to complete the response in time, the fast ones may try, because the response
  // may be shorter than estimated.
  constexpr double fast_server_ratio = 1.3;
  std::erase_if(candidates, [&](const timed_candidate& each) {
    return each.m_fit == time_fit::none &&
           (best_possible_fit != time_fit::none || each.m_times.m_end_s > fast_server_ratio * fastest_s);
  });
  choice best;
  for (const auto& each : candidates) {
    best.m_fit = std::max(best.m_fit, each.m_fit);
  }
  const bool less_suited = best.m_fit < best_possible_fit;
  std::erase_if(candidates, [&](const timed_candidate& each) {
    if (each.m_fit < best.m_fit) {
      return true;
    }
    if (each.m_fit == time_fit::good || request.m_may_have_run) {
      return false;
    }
    // Servers that do not suit the request are left to others that they suit. A request that is late on all
    // servers may use the fast ones, but must not keep the slow ones busy for long. It takes another one only
    // when it would be refused otherwise, if more slots are free than requests that suit the server were
    // blocked lately, and if it does not make another response late.
    const bool slow =
        each.m_server->m_uses_batching && each.m_times.m_first_s > fast_server_ratio * fastest_first_s;
    if (!less_suited && best.m_fit > time_fit::late && !slow) {
      return false;
    }
    return ((less_suited || slow) && may_wait) ||
           expected_stalled_streams(*each.m_server, each.m_times, needs) >= 1 ||
           !spare.allows(*each.m_server, count_blocked_for(tables, *each.m_server, urgency_levels, needs));
  });
  if (!tables.m_frequent_reports && !candidates.empty() && !candidates.front().m_server->m_uses_batching) {
    best.m_server = draw_plain_server(tables, candidates);
    return best;
  }
  draw_half(tables, candidates);
  double best_score = std::numeric_limits<double>::max();
  for (const auto& each : candidates) {
    const double tie_breaker = std::generate_canonical<double, 16>(tables.m_random) * tie_breaker_range;
    if (const double candidate_score = score(tables, each, shared) + tie_breaker;
        candidate_score < best_score) {
      best_score = candidate_score;
      best.m_server = each.m_server;
    }
  }
  if (best.m_server != nullptr && best.m_fit < best_possible_fit) {
    ++tables.m_last_resorts;
  }
  return best;
}

} // namespace

void record_prompt(dispatch_tables& tables, const submission& request) {
  const auto declared = tables.m_services.find(request.m_service);
  if (declared == tables.m_services.end() || !declared->second.m_uses_batching) {
    return;
  }
  const std::size_t level = urgency_level(tables, request);
  const double events =
      static_cast<double>(request.m_output_tokens) / std::max(1U, declared->second.m_tokens_per_event);
  constexpr double new_weight = 0.1;
  const auto add = [](double& mean, double value) {
    mean = mean == 0 ? value : mean + new_weight * (value - mean);
  };
  add(tables.m_typical_prompts[level], request.m_prompt_tokens);
  add(tables.m_typical_events[level], events);
}

server_row* select_server_by_time(dispatch_tables& tables, const submission& request, spare_capacity& spare,
                                  double required_free, bool may_wait, time_point now) {
  const auto lists = tables.m_lists.find(request.m_service);
  if (lists == tables.m_lists.end()) {
    return nullptr;
  }
  if (prefers_own_zone(tables, request.m_service)) {
    if (const auto own =
            select_best(tables, lists->second.m_own_zone, request, spare, required_free, may_wait, now);
        own.m_server != nullptr && own.m_fit == time_fit::good) {
      return own.m_server;
    }
  }
  return select_best(tables, lists->second.m_all, request, spare, required_free, may_wait, now).m_server;
}

} // namespace cardamompond::fleet
