#include "dispatch_tables.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamompond::fleet {
namespace {

// Part of a cold server's declared rate that the daemons use together; the rest covers seconds that begin at
// different times in each daemon.
constexpr double cold_rate_share = 0.8;

// Load, in parts of a server's slots, by which the server that probably holds the prompt may exceed others.
constexpr double affinity_allowance = 0.5;

// A plain service queues a few requests itself; answers take some 20 ms, so that waiting here for a report
// would cost more than waiting there.
constexpr std::uint32_t plain_queue_allowance = 2;

// What a slow server costs: load added for each time by which its answers begin later than the best one's.
constexpr double slowness_weight = 0.1;
constexpr double max_slowness = 4;

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
  const std::uint64_t mine = rendezvous(hash64(tables.m_own_name), server.m_hash);
  std::size_t ahead = 0;
  for (const auto& name : tables.m_members) {
    if (name != tables.m_own_name && rendezvous(hash64(name), server.m_hash) > mine) {
      ++ahead;
    }
  }
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

std::uint32_t limit_of(const server_row& server) {
  return server.m_entry.m_slots + (server.m_batches ? 0 : plain_queue_allowance);
}

} // namespace

bool eligible(const dispatch_tables& tables, const server_row& server, time_point now) {
  return server.m_listed && !server.m_entry.m_leaving && now >= server.m_excluded_until &&
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

  std::vector<server_row*> candidates;
  server_row* home = nullptr; // of the prompt, by rendezvous among all that are eligible, with room or not
  std::uint64_t home_weight = 0;
  double fastest = std::numeric_limits<double>::max();
  for (auto& [id, server] : of_service->second) {
    if (!eligible(tables, server, now) ||
        std::find(request.m_avoid.begin(), request.m_avoid.end(), id) != request.m_avoid.end()) {
      continue;
    }
    if (request.m_affinity != 0) {
      if (const auto weight = rendezvous(request.m_affinity, server.m_hash); weight >= home_weight) {
        home_weight = weight;
        home = &server;
      }
    }
    if (now < server.m_full_until || server.m_own + server.m_peers >= limit_of(server) ||
        !cold_room(tables, server, cold_rate, now)) {
      continue;
    }
    if (server.m_first_answer_s > 0) {
      fastest = std::min(fastest, server.m_first_answer_s);
    }
    candidates.push_back(&server);
  }

  server_row* best = nullptr;
  double best_score = std::numeric_limits<double>::max();
  for (server_row* server : candidates) {
    const double slowness =
        server->m_first_answer_s > 0 ? std::min(server->m_first_answer_s / fastest - 1, max_slowness) : 0;
    const double chance = std::generate_canonical<double, 16>(tables.m_random) * 0.02; // breaks ties
    const double score = static_cast<double>(server->m_own + server->m_peers) / server->m_entry.m_slots +
                         slowness_weight * slowness - (server == home ? affinity_allowance : 0) + chance;
    if (score < best_score) {
      best_score = score;
      best = server;
    }
  }
  return best;
}

} // namespace cardamompond::fleet
