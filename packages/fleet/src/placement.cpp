#include "dispatch_tables.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamompond::fleet {
namespace {

// Part of a cold server's declared rate that the daemons use together; the rest covers seconds that begin at
// different times in each daemon.
constexpr double cold_rate_share = 0.8;

// Load, in parts of a server's slots, by which the server that probably holds the shared part of the prompt
// may exceed others. The part is short, so that reading it again costs little.
constexpr double affinity_allowance = 0.04;

// What a request to another availability zone costs: load that the near server may have more than the far
// one, and more for a body of this size.
constexpr double far_allowance = 0.06;
constexpr double far_allowance_large = 0.15;
constexpr double large_body_bytes = 12'000;

// A plain service queues a few requests itself; answers take some 20 ms, so that waiting here for a report
// would cost more than waiting there.
constexpr std::uint32_t plain_queue_allowance = 2;

// Predictions are kept under these parts of the time that a request has, since output lengths are estimates
// that are often far off and servers slow down.
constexpr double first_answer_share = 0.8;
constexpr double whole_answer_share = 0.6;

// Reading a long prompt stalls the streams beside it; a server that needs longer than this for it is spared.
constexpr double max_stall_s = 0.3;

// Servers up to this many times slower than the fastest one count as fast.
constexpr double fast_enough = 1.3;

// Prefers, among servers that are fast enough, the slower ones, which cannot serve the longer requests.
constexpr double slow_preference = 0.1;

// In a large group, slots that must seem free before one of another daemon's is used, in the own zone, whose
// daemons report ten times a second, and in others, whose daemons report about once.
constexpr std::uint32_t near_doubt = 1;
constexpr std::uint32_t far_doubt = 2;

// By how much a server may be over its slots when this daemon uses one of its own, because others borrowed
// it.
constexpr std::uint32_t contested_slots = 1;

// Peers that keep away from a server before this daemon does too: one may be wrong, or the link between them.
constexpr std::uint32_t enough_accusers = 2;

// Load that a server may have more than another one because this daemon has free slots of its own there.
constexpr double own_slots_allowance = 0.35;

std::uint64_t rendezvous(std::uint64_t key, std::uint64_t server) {
  const std::uint64_t pair[2] = {key, server};
  return hash64(std::string_view(reinterpret_cast<const char*>(pair), sizeof pair));
}

// Requests that this daemon may send to a cold server in the current second.
std::uint32_t cold_allowance(const dispatch_tables& tables, const server_row& server, double declared) {
  const double shared = declared * cold_rate_share;
  const auto members = std::max<std::size_t>(1, tables.m_members.size());
  const double own = shared / static_cast<double>(members);
  if (own >= 1) {
    return static_cast<std::uint32_t>(own);
  }
  // Fewer permits than daemons: those that rank first for this server have one each.
  const std::uint64_t mine = rendezvous(hash64(tables.m_self.m_name), server.m_key);
  const auto ahead = std::count_if(tables.m_members.begin(), tables.m_members.end(), [&](const auto& each) {
    return each.m_name != tables.m_self.m_name && rendezvous(hash64(each.m_name), server.m_key) > mine;
  });
  return static_cast<double>(ahead) < std::floor(shared) ? 1 : 0;
}

bool cold_room(dispatch_tables& tables, server_row& server, double declared, time_point now) {
  if (declared <= 0 || now >= server.m_cold_until) {
    return true;
  }
  if (now - server.m_cold_second >= seconds(1)) {
    server.m_cold_second = now;
    server.m_cold_sent = 0;
  }
  return server.m_cold_sent < cold_allowance(tables, server, declared);
}

// Running requests up to which this daemon may send another one. Slots of other daemons are used only where
// the reports, by their age, leave little doubt that they are free.
std::uint32_t limit_of(const dispatch_tables& tables, const server_row& server) {
  if (!server.m_uses_batching) {
    return server.m_entry.m_slots + plain_queue_allowance;
  }
  if (tables.m_close) {
    return server.m_entry.m_slots;
  }
  if (server.m_own < server.m_share) {
    return server.m_entry.m_slots + contested_slots;
  }
  const bool near = server.m_entry.m_availability_zone == tables.m_self.m_availability_zone;
  const std::uint32_t doubt = near ? near_doubt : far_doubt;
  return server.m_entry.m_slots > doubt ? server.m_entry.m_slots - doubt : 0;
}

// How well a server suits a request; higher is better.
enum class fit {
  none, // the answer would not be complete in time
  late, // it would begin late
  good
};

struct candidate {
  server_row* m_server;
  fit m_fit;
};

fit fit_of(const server_row& server, const submission& request, double events, time_point now) {
  if (!server.m_uses_batching) {
    return fit::good;
  }
  const auto seconds_until = [&](time_point when) {
    return std::chrono::duration<double>(when - now).count();
  };
  const speed_estimate& speed = server.m_speed;
  const double reading = speed.m_prompt_s_per_token * request.m_prompt_tokens;
  const double first = speed.m_base_s + reading;
  if (first + events * speed.m_event_interval_s > whole_answer_share * seconds_until(request.m_deadline)) {
    return fit::none;
  }
  const bool late =
      first > first_answer_share * seconds_until(request.m_first_answer_due) || reading > max_stall_s;
  return late ? fit::late : fit::good;
}

} // namespace

void deal_slots(dispatch_tables& tables) {
  for (auto& [name, servers] : tables.m_servers) {
    for (auto& [id, server] : servers) {
      std::size_t neighbours = 0; // daemons of the server's zone
      std::size_t ahead = 0;
      const bool near = server.m_entry.m_availability_zone == tables.m_self.m_availability_zone;
      const std::uint64_t mine = rendezvous(hash64(tables.m_self.m_name), server.m_key);
      for (const auto& each : tables.m_members) {
        if (near && each.m_availability_zone == server.m_entry.m_availability_zone) {
          ++neighbours;
          ahead += each.m_name != tables.m_self.m_name && rendezvous(hash64(each.m_name), server.m_key) > mine
                       ? 1
                       : 0;
        }
      }
      server.m_share = 0;
      if (neighbours > 0) {
        const std::uint32_t slots = server.m_entry.m_slots;
        server.m_share =
            slots / static_cast<std::uint32_t>(neighbours) + (ahead < slots % neighbours ? 1 : 0);
      }
    }
  }
}

bool eligible(const dispatch_tables& tables, const server_row& server, time_point now) {
  const bool accused = server.m_accusers >= enough_accusers;
  return server.m_listed && !accused && !(server.m_on_probation && server.m_own > 0) &&
         !server.m_entry.m_draining && now >= server.m_excluded_until &&
         !tables.m_evacuated.contains(server.m_entry.m_availability_zone) &&
         (tables.m_judge == nullptr ||
          tables.m_judge->allows(server.m_entry.m_service, server.m_entry.m_version));
}

server_row* place(dispatch_tables& tables, const submission& request, time_point now) {
  const auto of_service = tables.m_servers.find(request.m_service);
  if (of_service == tables.m_servers.end()) {
    return nullptr;
  }
  const auto declared = tables.m_services.find(request.m_service);
  const double cold_rate = declared == tables.m_services.end() ? 0 : declared->second.m_cold_requests_per_s;

  const std::uint32_t tokens_per_event =
      declared == tables.m_services.end() ? 1 : declared->second.m_tokens_per_event;
  const double events = static_cast<double>(request.m_output_tokens) / tokens_per_event;

  std::vector<candidate> candidates;
  server_row* home =
      nullptr; // of the shared part, by rendezvous among all that are eligible, with room or not
  std::uint64_t home_weight = 0;
  double slowest_event_s = 0;
  double fastest_event_s = std::numeric_limits<double>::max();
  fit possible = fit::none; // of the servers that have room and those that have none
  for (auto& [id, server] : of_service->second) {
    if (!eligible(tables, server, now) ||
        std::find(request.m_excluded_servers.begin(), request.m_excluded_servers.end(), id) !=
            request.m_excluded_servers.end()) {
      continue;
    }
    if (request.m_affinity != 0) {
      if (const auto weight = rendezvous(request.m_affinity, server.m_key); weight >= home_weight) {
        home_weight = weight;
        home = &server;
      }
    }
    slowest_event_s = std::max(slowest_event_s, server.m_speed.m_event_interval_s);
    fastest_event_s = std::min(fastest_event_s, server.m_speed.m_event_interval_s);
    const fit suits = fit_of(server, request, events, now);
    possible = std::max(possible, suits);
    if (now >= server.m_full_until && server.m_own + server.m_peers < limit_of(tables, server) &&
        cold_room(tables, server, cold_rate, now)) {
      candidates.push_back({&server, suits});
    }
  }
  const double far =
      far_allowance + far_allowance_large * std::min(1.0, request.m_body_bytes / large_body_bytes);

  server_row* best = nullptr;
  fit best_fit = fit::none;
  double best_score = std::numeric_limits<double>::max();
  for (const auto& [server, suits] : candidates) {
    // An answer that seems too long for every server may be shorter than estimated: the fast ones try.
    const bool hopeless = suits == fit::none && (possible != fit::none || server->m_speed.m_event_interval_s >
                                                                              fast_enough * fastest_event_s);
    if (hopeless || suits < best_fit) {
      continue;
    }
    const double chance = std::generate_canonical<double, 16>(tables.m_random) * 0.02; // breaks ties
    const bool is_far = server->m_entry.m_availability_zone != tables.m_self.m_availability_zone;
    const double slowness = slowest_event_s > 0 ? server->m_speed.m_event_interval_s / slowest_event_s : 0;
    const double score = static_cast<double>(server->m_own + server->m_peers) / server->m_entry.m_slots +
                         (is_far ? far : 0) - (server == home ? affinity_allowance : 0) -
                         (server->m_own < server->m_share ? own_slots_allowance : 0) -
                         (server->m_uses_batching ? slow_preference * slowness : 0) + chance;
    if (suits > best_fit || score < best_score) {
      best_fit = suits;
      best_score = score;
      best = server;
    }
  }
  return best;
}

} // namespace cardamompond::fleet
