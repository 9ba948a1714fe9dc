#pragma once

#include "dispatch_tables.hpp"
#include "expected_times.hpp"
#include "rendezvous.hpp"
#include "spare_capacity.hpp"

#include <cstdint>
#include <string_view>

namespace cardamompond::fleet {

// What keeps a server from receiving a request now.
enum class exclusion {
  none,
  tried,          // it received the request before
  not_in_service, // not listed, leaving, or excluded by its zone or by a rollout
  failing,        // excluded for its failures, silence, or by reports of peers
  paused,         // it asked for a pause
  returning,      // requests return to it one by one after its pause
  limited,        // it states a limit, and this daemon may not send this request now
  recently_full,  // it refused a request or stated a queue a moment ago
  full,           // it runs as many requests as it may
  reserved,       // its free slots are left to more urgent requests
  cold,           // its rate of requests after a start is used up
  brittle         // it falls over if it has to reject requests, and its free slots are not this daemon's
};

// Returns the exclusion as it appears in the explanation of a decision, e.g. "recently_full".
std::string_view to_string(exclusion reason);

// Returns what keeps the server from being used for the request even if it had capacity, or `none`.
exclusion find_ineligibility(const dispatch_tables& tables, const server_row& server,
                             const submission& request, time_point now);

// Returns the lack of capacity that keeps the server from receiving the request, or `none`. The request
// leaves `required_free` slots free. `cold_rate` is the declared rate of a cold server.
exclusion find_lack_of_capacity(dispatch_tables& tables, server_row& server, spare_capacity& spare,
                                double required_free, double cold_rate, time_point now);

// Returns the number of running requests below which this daemon may send another one. In a large group, a
// daemon that has filled its assigned slots keeps a margin that depends on the age of the reports.
std::uint32_t running_limit(const dispatch_tables& tables, const server_row& server);

// Returns how many slots the request has to leave free if it is sent to this server. Slots are not kept for
// more urgent requests that would typically stall the streams of the server.
double required_free_for(const dispatch_tables& tables, const server_row& server, const request_needs& needs,
                         double required_free);

// Returns the score penalty for servers of other zones, as a share of a server's slots.
double remote_zone_penalty_for(const dispatch_tables& tables, const submission& request);

// Whether servers of other zones are used only when those of the own zone are full.
bool prefers_own_zone(const dispatch_tables& tables, std::string_view service);

// Score bonuses of a server, as shares of its slots.
double assigned_slots_bonus_for(const server_row& server);
double shared_prefix_bonus();

// Returns the best server by expected times, or null; see select_server, which calls it where learned limits
// are on.
server_row* select_server_by_time(dispatch_tables& tables, const submission& request, spare_capacity& spare,
                                  double required_free, bool may_wait, time_point now);

// Counts the prompt of a request in the typical prompt of its urgency level.
void record_prompt(dispatch_tables& tables, const submission& request);

} // namespace cardamompond::fleet
