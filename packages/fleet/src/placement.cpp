#include "placement_rules.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace cardamompond::fleet {
namespace {

// Part of a cold server's declared rate that all daemons together use. The rest is a margin, because each
// daemon counts in seconds that begin at a different time.
constexpr double cold_rate_share = 0.8;

// Score bonus, as a share of a server's slots, for the server that probably has the shared prompt prefix in
// its cache. It is small because the prefix is short and cheap to process again.
constexpr double affinity_bonus = 0.04;

// Score penalty, as a share of a server's slots, for a server in another availability zone. The second value
// is added in proportion to the body size, up to the given size.
constexpr double remote_zone_penalty = 0.06;
constexpr double remote_zone_body_penalty = 0.15;

// The same in a large group with enough servers in the own zone, see prefers_own_zone.
constexpr double remote_zone_penalty_own_zone_first = 0.4;
constexpr double large_body_bytes = 12'000;

// Requests that a plain server (one without batching) may queue beyond its slots. Its responses take about 20
// ms, so that a request waits less in the queue of the server than it would here for the next report.
constexpr std::uint32_t plain_queue_depth = 2;

// Shares of the available time that the predicted times to the first token and to the end of the response may
// take. The rest is a margin, because estimated output lengths are often far off and servers slow down.
constexpr double max_first_token_share = 0.8;
constexpr double max_total_share = 0.6;

// While a server processes a long prompt, its other streams stall. A server that would need longer than this
// for the prompt is used only if no better one is available.
constexpr double max_stall_s = 0.3;

// A server counts as fast if its time per event is at most this multiple of the fastest server's.
constexpr double fast_server_ratio = 1.3;

// Score penalty, as a share of a server's slots, for each second for which the prompt stalls the other
// streams of the server.
constexpr double stall_penalty = 2.0;

// Score bonus for slow servers among those that are fast enough for the request. It keeps the faster servers
// free for longer requests.
constexpr double slow_server_bonus = 0.1;

// Slots of a server that this daemon leaves free when it uses slots assigned to other daemons in a large
// group, because the reports may be outdated. Daemons of the same zone report ten times a second, those of
// other zones about once a second.
constexpr std::uint32_t same_zone_slot_margin = 1;
constexpr std::uint32_t remote_zone_slot_margin = 2;

// Number of running requests beyond a server's slots that this daemon accepts in order to use its assigned
// slots, because other daemons may occupy them.
constexpr std::uint32_t assigned_slot_overcommit = 1;

// Number of peers that must report a server as failing before this daemon excludes it too. A single report
// may be wrong or be caused by the link between that peer and the server.
constexpr std::uint32_t min_failure_reports = 2;

// Servers that a zone needs for its daemons to try them before those of other zones.
constexpr std::size_t min_servers_of_own_zone = 8;

// Score bonus, as a share of a server's slots, for a limited server to which a request may be sent now. What
// it does not get now is lost, because unused time is not saved up.
constexpr double limited_server_bonus = 0.5;

// Score bonus, as a share of a server's slots, for a server on which this daemon has free assigned slots.
constexpr double assigned_slots_bonus = 0.35;

// Returns how many requests this daemon may send to a cold server per second.
std::uint32_t max_cold_requests(const dispatch_tables& tables, const server_row& server, double cold_rate) {
  const double shared_rate = cold_rate * cold_rate_share;
  const auto members = std::max<std::size_t>(1, tables.m_members.size());
  const double own_rate = shared_rate / static_cast<double>(members);
  if (own_rate >= 1) {
    return static_cast<std::uint32_t>(own_rate);
  }
  // There are fewer requests per second than daemons. The daemons that rank highest for this server by
  // rendezvous hashing may send one each.
  const auto senders = static_cast<std::size_t>(std::max(0.0, std::floor(shared_rate)));
  return count_higher_ranked(tables.m_other_members, hash64(tables.m_self.m_name), server.m_id_hash,
                             senders) < senders
             ? 1
             : 0;
}

bool has_cold_capacity(dispatch_tables& tables, server_row& server, double cold_rate, time_point now) {
  if (cold_rate <= 0 || now >= server.m_cold_until) {
    return true;
  }
  if (now - server.m_cold_window_start >= seconds(1)) {
    server.m_cold_window_start = now;
    server.m_cold_sent = 0;
  }
  return server.m_cold_sent < max_cold_requests(tables, server, cold_rate);
}

} // namespace

std::uint32_t running_limit(const dispatch_tables& tables, const server_row& server) {
  if (server.m_learned_limit > 0 && server.m_learned_limit < server.m_entry.m_slots &&
      uses_learned_limits(tables, server.m_entry.m_service)) {
    return server.m_learned_limit;
  }
  if (server.m_max_rejections) {
    return server.m_entry.m_slots; // it may reject what would have to wait
  }
  if (!server.m_uses_batching) {
    return server.m_entry.m_slots + plain_queue_depth;
  }
  if (tables.m_frequent_reports) {
    return server.m_entry.m_slots;
  }
  if (server.m_own_running < server.m_assigned_slots) {
    return server.m_entry.m_slots + assigned_slot_overcommit;
  }
  const bool same_zone = server.m_entry.m_availability_zone == tables.m_self.m_availability_zone;
  const std::uint32_t margin = same_zone ? same_zone_slot_margin : remote_zone_slot_margin;
  return server.m_entry.m_slots > margin ? server.m_entry.m_slots - margin : 0;
}

namespace {

// How well a server suits a request; higher is better.
enum class fit {
  none, // the response would not be complete by the deadline
  late, // the response would begin late, or processing the prompt would stall other streams
  good
};

struct candidate {
  server_row* m_server;
  fit m_fit;
};

fit evaluate_fit(const server_row& server, const submission& request, double events, time_point now) {
  if (!server.m_uses_batching) {
    return fit::good;
  }
  const auto seconds_until = [&](time_point when) {
    return std::chrono::duration<double>(when - now).count();
  };
  const speed_estimate& speed = server.m_combined_speed;
  const double prompt_s = speed.m_prompt_s_per_token * request.m_prompt_tokens;
  const double first_token_s = speed.m_base_s + prompt_s;
  if (first_token_s + events * speed.m_event_interval_s >
      max_total_share * seconds_until(request.m_deadline)) {
    return fit::none;
  }
  const bool late = first_token_s > max_first_token_share * seconds_until(request.m_first_token_due) ||
                    prompt_s > max_stall_s;
  return late ? fit::late : fit::good;
}

} // namespace

void assign_slots(dispatch_tables& tables) {
  tables.m_brittle_shares_valid = false;
  const std::uint64_t own_hash = hash64(tables.m_self.m_name);
  std::vector<std::uint64_t> zone_members; // hashes of the other daemons in the zone of this one
  bool self_is_member = false;
  for (const auto& each : tables.m_members) {
    if (each.m_name == tables.m_self.m_name) {
      self_is_member = true;
    } else if (each.m_availability_zone == tables.m_self.m_availability_zone) {
      zone_members.push_back(hash64(each.m_name));
    }
  }
  const std::size_t member_count = zone_members.size() + (self_is_member ? 1 : 0);
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      server.m_assigned_slots = 0;
      if (member_count == 0 || server.m_entry.m_availability_zone != tables.m_self.m_availability_zone) {
        continue;
      }
      const std::size_t higher_ranked = count_higher_ranked(zone_members, own_hash, server.m_id_hash);
      const std::uint32_t slots = server.m_entry.m_slots;
      server.m_assigned_slots =
          slots / static_cast<std::uint32_t>(member_count) + (higher_ranked < slots % member_count ? 1 : 0);
    }
  }
}

bool is_in_service(const dispatch_tables& tables, const server_row& server) {
  return server.m_listed && !server.m_entry.m_draining && !is_leaving(server) &&
         !tables.m_evacuated_zones.contains(server.m_entry.m_availability_zone) &&
         (tables.m_rollout_controller == nullptr ||
          tables.m_rollout_controller->allows(server.m_entry.m_service, server.m_entry.m_version));
}

bool is_eligible(const dispatch_tables& tables, const server_row& server, time_point now) {
  const bool reported_failing =
      !server.m_failure_reports_ignored && server.m_failure_reports >= min_failure_reports;
  return !reported_failing && !(server.m_on_probation && server.m_own_running > 0) &&
         now >= server.m_excluded_until && is_in_service(tables, server);
}

// Whether servers of other zones are used only when those of the own zone are full. In a large group, the
// load of the own zone's servers is known best, their traffic is not charged, and the cost does not grow with
// the servers of all zones. A zone of few servers is often full while others are not.
bool prefers_own_zone(const dispatch_tables& tables, std::string_view service) {
  const auto lists = tables.m_lists.find(service);
  return !tables.m_frequent_reports && lists != tables.m_lists.end() &&
         lists->second.m_own_zone.size() >= min_servers_of_own_zone;
}

double remote_zone_penalty_for(const dispatch_tables& tables, const submission& request) {
  return (prefers_own_zone(tables, request.m_service) ? remote_zone_penalty_own_zone_first
                                                      : remote_zone_penalty) +
         remote_zone_body_penalty * std::min(1.0, request.m_body_bytes / large_body_bytes);
}

double assigned_slots_bonus_for(const server_row& server) {
  return server.m_own_running < server.m_assigned_slots ? assigned_slots_bonus : 0;
}

double shared_prefix_bonus() {
  return affinity_bonus;
}

std::string_view to_string(exclusion reason) {
  constexpr std::string_view names[] = {"none",   "tried",     "not_in_service", "failing",
                                        "paused", "returning", "limited",        "recently_full",
                                        "full",   "reserved",  "cold",           "brittle"};
  return names[static_cast<std::size_t>(reason)];
}

exclusion find_ineligibility(const dispatch_tables& tables, const server_row& server,
                             const submission& request, time_point now) {
  if (!is_eligible(tables, server, now)) {
    return is_in_service(tables, server) ? exclusion::failing : exclusion::not_in_service;
  }
  if (is_paused(server, now)) {
    return exclusion::paused;
  }
  const bool tried = std::find(request.m_excluded_servers.begin(), request.m_excluded_servers.end(),
                               server.m_entry.m_id) != request.m_excluded_servers.end();
  return tried                                                      ? exclusion::tried
         : is_left_to_larger_requests(tables, server, request, now) ? exclusion::limited
                                                                    : exclusion::none;
}

exclusion find_lack_of_capacity(dispatch_tables& tables, server_row& server, spare_capacity& spare,
                                double required_free, double cold_rate, time_point now) {
  if (now < server.m_full_until) {
    return exclusion::recently_full;
  }
  if (server.m_notice != nullptr && !server.m_notice->allows_request(now)) {
    return server.m_notice->is_limited() ? exclusion::limited : exclusion::returning;
  }
  if (server.m_own_running + server.m_peer_running >= running_limit(tables, server)) {
    return exclusion::full;
  }
  if (is_held_as_brittle(tables, server, now)) {
    return exclusion::brittle;
  }
  if (!spare.allows(server, required_free)) {
    return exclusion::reserved;
  }
  return has_cold_capacity(tables, server, cold_rate, now) ? exclusion::none : exclusion::cold;
}

namespace {

// Returns the best server with capacity among the given ones, or null.
candidate select_best(dispatch_tables& tables, std::span<server_row* const> servers,
                      const submission& request, spare_capacity& spare, double required_free,
                      time_point now) {
  const auto declared_service = tables.m_services.find(request.m_service);
  const double cold_rate =
      declared_service == tables.m_services.end() ? 0 : declared_service->second.m_cold_requests_per_s;

  const std::uint32_t tokens_per_event =
      declared_service == tables.m_services.end() ? 1 : declared_service->second.m_tokens_per_event;
  const double events = static_cast<double>(request.m_output_tokens) / tokens_per_event;

  std::vector<candidate> candidates;
  // The server that probably caches the shared prompt prefix. It is chosen by rendezvous hashing among all
  // eligible servers, whether or not they have capacity.
  server_row* affinity_server = nullptr;
  std::uint64_t affinity_weight = 0;
  double slowest_event_s = 0;
  double fastest_event_s = std::numeric_limits<double>::max();
  fit best_possible_fit = fit::none; // of all eligible servers, with or without capacity
  for (server_row* each : servers) {
    server_row& server = *each;
    if (find_ineligibility(tables, server, request, now) != exclusion::none) {
      continue;
    }
    if (request.m_shared_prefix_hash != 0) {
      if (const auto weight = rendezvous_weight(request.m_shared_prefix_hash, server.m_id_hash);
          weight >= affinity_weight) {
        affinity_weight = weight;
        affinity_server = &server;
      }
    }
    slowest_event_s = std::max(slowest_event_s, server.m_combined_speed.m_event_interval_s);
    fastest_event_s = std::min(fastest_event_s, server.m_combined_speed.m_event_interval_s);
    const fit server_fit = evaluate_fit(server, request, events, now);
    best_possible_fit = std::max(best_possible_fit, server_fit);
    if (find_lack_of_capacity(tables, server, spare, required_free, cold_rate, now) == exclusion::none) {
      candidates.push_back({&server, server_fit});
    }
  }
  const double zone_penalty = remote_zone_penalty_for(tables, request);

  // A report that a server leaves may be outdated or wrong, so it only makes the other servers go first.
  if (std::any_of(candidates.begin(), candidates.end(),
                  [](const candidate& each) { return each.m_server->m_leaving_reports == 0; })) {
    std::erase_if(candidates, [](const candidate& each) { return each.m_server->m_leaving_reports > 0; });
  }

  server_row* best = nullptr;
  fit best_fit = fit::none;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [server, server_fit] : candidates) {
    // If no server is predicted to complete the response in time, the fast ones may try, because the response
    // may be shorter than estimated.
    const bool too_slow = server_fit == fit::none &&
                          (best_possible_fit != fit::none ||
                           server->m_combined_speed.m_event_interval_s > fast_server_ratio * fastest_event_s);
    if (too_slow || server_fit < best_fit) {
      continue;
    }
    const double tie_breaker = std::generate_canonical<double, 16>(tables.m_random) * 0.02;
    const bool remote_zone = server->m_entry.m_availability_zone != tables.m_self.m_availability_zone;
    const double slowness =
        slowest_event_s > 0 ? server->m_combined_speed.m_event_interval_s / slowest_event_s : 0;
    const double score =
        static_cast<double>(server->m_own_running + server->m_peer_running) / server->m_entry.m_slots +
        (remote_zone ? zone_penalty : 0) - (server == affinity_server ? affinity_bonus : 0) -
        (server->m_own_running < server->m_assigned_slots ? assigned_slots_bonus : 0) -
        (server->m_uses_batching ? slow_server_bonus * slowness : 0) +
        (server->m_uses_batching
             ? stall_penalty * server->m_combined_speed.m_prompt_s_per_token * request.m_prompt_tokens
             : 0) -
        (server->m_notice != nullptr && server->m_notice->is_limited() ? limited_server_bonus : 0) +
        tie_breaker;
    if (server_fit > best_fit || score < best_score) {
      best_fit = server_fit;
      best_score = score;
      best = server;
    }
  }
  return {best, best_fit};
}

} // namespace

server_row* select_server(dispatch_tables& tables, const submission& request, spare_capacity& spare,
                          double required_free, bool may_wait, time_point now) {
  if (uses_learned_limits(tables, request.m_service)) {
    return select_server_by_time(tables, request, spare, required_free, may_wait, now);
  }
  const auto lists = tables.m_lists.find(request.m_service);
  if (lists == tables.m_lists.end()) {
    return nullptr;
  }
  if (prefers_own_zone(tables, request.m_service)) {
    if (const auto [server, server_fit] =
            select_best(tables, lists->second.m_own_zone, request, spare, required_free, now);
        server != nullptr && server_fit == fit::good) {
      return server;
    }
  }
  return select_best(tables, lists->second.m_all, request, spare, required_free, now).m_server;
}

} // namespace cardamompond::fleet
