#include "systems/placement.hpp"

#include "servers.hpp"
#include "systems/completion_time.hpp"
#include "systems/crashes.hpp"
#include "systems/prefixes.hpp"
#include "systems/queueing.hpp"
#include "systems/rollouts.hpp"
#include "systems/suspect_placement.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// Lifetime of a permit (section 5 of the design).
constexpr milliseconds permit_lifetime{500};
// The lifetime of the permit plus the time for which dispatches of lost members keep their slots.
constexpr milliseconds unanswered_grant_timeout{10'500};

// A request waits at most this long for a busy backend server that caches its prefix. A longer wait would
// save more prefill work but increase the time to first token.
constexpr milliseconds max_deferral{3'000};
// If there are at most this many free backend servers, all of them are compared; this covers a whole cell.
// Otherwise this many are compared, starting at a random position, together with the servers that cache the
// longest prefix.
constexpr std::size_t max_compared_servers = 64;

// Returns true if the request is long and the backend server already runs its maximum share of long requests.
// The maximum applies only while short requests of the same tier are waiting.
bool exceeds_long_share(const service_row& service, const request_row& request, const server_row& server) {
  if (!request.m_long || service.m_tiers[request.m_rank].m_short_waiting == 0) {
    return false;
  }
  const auto allowed = static_cast<std::uint32_t>(service.m_long_share * server.m_slots);
  return server.m_long_outstanding >= (service.m_long_share > 0 ? std::max(1U, allowed) : 0U);
}

struct candidate {
  row_index m_server = no_row;
  double m_cost_us = 0;
};

void consider_server(const scheduler_state& state, const request_row& request, row_index server_index,
                     candidate& best) {
  const server_row& server = state.m_servers[server_index];
  if (is_dedicated_to_suspect(state, server_index) ||
      exceeds_long_share(state.m_services[request.m_service], request, server)) {
    return;
  }
  const double cost_us = placement_cost_us(state, request, server_index);
  if (best.m_server == no_row || cost_us < best.m_cost_us) {
    best = {server_index, cost_us};
  }
}

candidate choose_server_in_version(scheduler_state& state, const request_row& request, row_index version) {
  const std::vector<row_index>& free = state.m_versions[version].m_free_servers;
  candidate best;
  if (free.size() <= max_compared_servers) {
    for (const row_index server_index : free) {
      consider_server(state, request, server_index, best);
    }
    return best;
  }
  for (const row_index server_index :
       find_longest_match_holders(state, request.m_service, request.m_prefix_blocks)) {
    if (state.m_servers[server_index].m_version == version &&
        state.m_servers[server_index].m_free_position != no_row) {
      consider_server(state, request, server_index, best);
    }
  }
  const std::size_t start = state.m_random() % free.size();
  for (std::size_t i = 0; i < max_compared_servers; ++i) {
    consider_server(state, request, free[(start + i) % free.size()], best);
  }
  return best;
}

candidate choose_server(scheduler_state& state, const request_row& request) {
  for (const row_index version : choose_versions(state, request)) {
    if (version == no_row) {
      break;
    }
    if (const candidate best = choose_server_in_version(state, request, version); best.m_server != no_row) {
      return best;
    }
  }
  return {};
}

// Returns true if the request may wait for a busy backend server while later requests are granted.
bool may_defer(const scheduler_state& state, const request_row& request) {
  const auto work = duration(static_cast<std::int64_t>(request.m_work_us));
  const bool in_time =
      request.m_deferred_since == time_point::max() || state.m_now < request.m_deferred_since + max_deferral;
  return !request.m_prefix_blocks.empty() && in_time &&
         state.m_now + max_deferral + work < request.m_deadline;
}

// Defers the request if waiting for a busy backend server that caches its prefix is expected to cost less
// than running it on `best_free`. Returns true if it was deferred.
bool defer_for_holder(scheduler_state& state, request_row& request, const candidate& best_free) {
  if (!may_defer(state, request)) {
    return false;
  }
  const row_index version = state.m_servers[best_free.m_server].m_version;
  candidate best_busy;
  for (const row_index server_index :
       find_longest_match_holders(state, request.m_service, request.m_prefix_blocks)) {
    const server_row& server = state.m_servers[server_index];
    if (server.m_version != version || server.m_counted_limit == 0 || server.m_free_position != no_row ||
        is_dedicated_to_suspect(state, server_index)) {
      continue;
    }
    const double cost_us =
        expected_slot_wait_us(state, server_index) + placement_cost_us(state, request, server_index);
    if (best_busy.m_server == no_row || cost_us < best_busy.m_cost_us) {
      best_busy = {server_index, cost_us};
    }
  }
  if (best_busy.m_server == no_row || best_busy.m_cost_us >= best_free.m_cost_us) {
    return false;
  }
  server_row& server = state.m_servers[best_busy.m_server];
  server.m_deferred_requests =
      server.m_deferred_requests_tick == state.m_tick ? server.m_deferred_requests + 1 : 1;
  server.m_deferred_requests_tick = state.m_tick;
  request.m_deferred_since = std::min(request.m_deferred_since, state.m_now);
  request.m_deferred_in_tick = state.m_tick;
  return true;
}

void grant_request(scheduler_state& state, request_row& request, row_index server_index) {
  dequeue_granted(state, request);
  request.m_state = request_state::granted;
  assign_slot(state, request, server_index);
  record_rollout_grant(state, request.m_service, request.m_version);
  add_cached_blocks(state, server_index, request.m_prefix_blocks);
  state.m_grants_by_time.emplace_back(state.m_now, request.m_key);
  const server_row& server = state.m_servers[server_index];
  state.m_decisions.emplace_back(grant{request.m_key, server.m_name, server.m_address,
                                       state.m_versions[server.m_version].m_name,
                                       state.m_now + permit_lifetime});
}

// Places the isolated requests of a tier. An isolated request that has to wait does not block other requests.
void place_isolated_requests(scheduler_state& state, row_index service, std::size_t rank) {
  const deadline_queue& isolated = state.m_services[service].m_tiers[rank].m_isolated_requests;
  for (auto next = isolated.begin(); next != isolated.end();) {
    request_row& request = *next->m_request;
    ++next; // a grant erases the queue entry
    const crash_row* crash = find_crash(state, request.m_fingerprint);
    request.m_suspect = crash != nullptr && is_suspicious(*crash);
    const row_index server =
        request.m_suspect ? choose_suspect_server(state, request) : choose_server(state, request).m_server;
    if (server != no_row) {
      grant_request(state, request, server);
    } else {
      request.m_suspect = false;
    }
  }
}

enum class placement_result { granted, all_deferred, no_slot };

// Grants the first of the next requests that can be placed and is not deferred.
placement_result place_next_request(scheduler_state& state, tier_queue& queue, bool skip_long) {
  for (request_row* request : find_next_requests(queue, skip_long)) {
    if (request->m_deferred_in_tick == state.m_tick) {
      continue;
    }
    const candidate best = choose_server(state, *request);
    if (best.m_server == no_row) {
      return placement_result::no_slot;
    }
    if (!defer_for_holder(state, *request, best)) {
      grant_request(state, *request, best.m_server);
      return placement_result::granted;
    }
  }
  return placement_result::all_deferred;
}

// Places requests of one tier. Returns true if lower tiers may be placed next, because no request of this
// tier is left that could use a free slot.
bool place_tier(scheduler_state& state, row_index service, std::size_t rank) {
  place_isolated_requests(state, service, rank);
  tier_queue& queue = state.m_services[service].m_tiers[rank];
  bool skip_long = false;
  while (!queue.m_round_robin.empty()) {
    const placement_result result = place_next_request(state, queue, skip_long);
    if (result == placement_result::granted) {
      // The cap on long requests applies only while short requests are waiting.
      skip_long = skip_long && queue.m_short_waiting > 0;
    } else if (result == placement_result::all_deferred) {
      // All examined requests are deferred. Lower tiers may use the free slots only if every waiting request
      // of this tier has been examined. Once a tier has shed requests, no lower tier may overtake its waiting
      // requests (section 5 of the design).
      return !queue.m_has_shed &&
             find_next_requests(queue, false).size() + queue.m_isolated_requests.size() >=
                 queue.m_by_deadline.size();
    } else if (!skip_long && queue.m_short_waiting > 0) {
      skip_long = true; // the long requests may have reached their cap; try the short ones
    } else {
      return false;
    }
  }
  return true;
}

} // namespace

void place_requests(scheduler_state& state) {
  ++state.m_tick;
  for (row_index service = 0; service < state.m_services.size(); ++service) {
    for (std::size_t rank = 0; rank < state.m_services[service].m_tiers.size(); ++rank) {
      if (!place_tier(state, service, rank)) {
        break;
      }
    }
  }
  release_reservations(state);
}

void release_unanswered_grants(scheduler_state& state) {
  while (!state.m_grants_by_time.empty() &&
         state.m_grants_by_time.front().first + unanswered_grant_timeout <= state.m_now) {
    const auto [granted, key] = state.m_grants_by_time.front();
    state.m_grants_by_time.pop_front();
    const auto found = state.m_requests.find(key);
    if (found == state.m_requests.end() || found->second.m_state != request_state::granted ||
        found->second.m_granted != granted) {
      continue;
    }
    count_rejected(state, "unanswered_grant");
    release_slot(state, found->second);
    --state.m_accounts[found->second.m_account].m_outstanding;
    finish_request(state, key);
  }
}

void release_expired_orphans(scheduler_state& state) {
  while (!state.m_orphans.empty() && state.m_orphans.begin()->first <= state.m_now) {
    const std::vector<request_key> keys = std::move(state.m_orphans.begin()->second);
    state.m_orphans.erase(state.m_orphans.begin());
    for (const request_key key : keys) {
      const auto found = state.m_requests.find(key);
      if (found == state.m_requests.end()) {
        continue; // the request completed before the timeout
      }
      release_slot(state, found->second);
      --state.m_accounts[found->second.m_account].m_outstanding;
      finish_request(state, key);
    }
  }
}

} // namespace cardamompond::scheduler
