#pragma once

#include "dispatch_tables.hpp"

#include <cstddef>
#include <deque>
#include <string_view>

namespace cardamompond::fleet {

// Answers bursts over capacity at services for which overload control is on: decides who waits, who is
// refused at once, and when a refused caller should return. A request waits if it will probably begin on
// time, or late with a useful answer. The caller of a refused one returns once and is lost if it is refused
// again. Returned callers therefore come before late first attempts and wait for as long as an answer is
// useful; first attempts that can be on time come before both.

// Returns the state of the service, or null if overload control is off for it.
controlled_service* find_controlled(dispatch_tables& tables, std::string_view service);
const controlled_service* find_controlled(const dispatch_tables& tables, std::string_view service);

// Returns the class in which the request waits.
std::size_t request_class(const dispatch_tables& tables, const waiting_request& waiting);

// Decides how long a request that has just come may wait.
void admit_to_queue(dispatch_tables& tables, controlled_service& state, waiting_request& waiting,
                    const speed_estimate& typical_speed, time_point now);

// Decides whether a request waits on whose response can no longer begin on time.
void handle_lateness(const controlled_service& state, waiting_request& waiting, time_point now);

// Returns the level of urgency of a request. It differs from urgency_level() where the rank of the route is
// the tier of most requests: each rank then has a level of its own.
std::size_t controlled_level(const dispatch_tables& tables, const submission& request);

// Updates what the order of the queue depends on: the virtual times of the accounts, and which cheap requests
// go before more urgent ones because a smaller share of them is served.
void update_order(const dispatch_tables& tables, const controlled_service& state,
                  std::deque<waiting_request>& queue, time_point now);

// Returns the number of requests that were blocked lately and go before this one.
double blocked_before(const dispatch_tables& tables, const controlled_service& state,
                      const waiting_request& waiting, time_point now);

// Returns the number of slots that the request leaves free in addition to those for more urgent ones.
double additional_free_slots(const dispatch_tables& tables, const controlled_service& state,
                             const waiting_request& waiting, time_point now);

// Records that the request was granted.
void record_controlled_grant(dispatch_tables& tables, controlled_service& state,
                             const waiting_request& waiting, time_point now);

// Records that the server did not take a granted request.
void withdraw_controlled_grant(dispatch_tables& tables, const running_request& request, time_point now);

// Keeps a server out for longer after it has refused a request of this daemon for lack of capacity.
void extend_full_pause(const dispatch_tables& tables, server_row& server, time_point now);

// Returns the time after which the caller of a request that is refused now should return.
duration plan_return(dispatch_tables& tables, controlled_service& state, const waiting_request& waiting,
                     const speed_estimate& typical_speed, time_point now);

// Updates the sums of the requests that wait in this daemon.
void update_waiting_work(const dispatch_tables& tables, controlled_service& state,
                         const std::deque<waiting_request>& queue, time_point now);

} // namespace cardamompond::fleet
