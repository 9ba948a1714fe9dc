#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// The queue of a service. Tiers are served in order of rank. Within a tier, deficit round robin divides the
// capacity among client accounts in proportion to their shares. Within an account, the request with the
// earliest deadline is served first.

queue_entry make_queue_entry(request_row& request);

// Inserts a request into the queue of its service and tier. The service, tier and client account must exist.
void enqueue(scheduler_state& state, request_row& request);

// Removes a request from the queue, isolated or not.
void dequeue(scheduler_state& state, request_row& request);

// Removes a granted request from the queue and charges its cost to the deficit of its client account.
void dequeue_granted(scheduler_state& state, request_row& request);

// Moves a request from the round robin to the isolated requests of its tier.
void isolate_request(scheduler_state& state, request_row& request);

// Maximum number of requests of a tier that placement examines if it defers the first ones for servers that
// cache their prefixes.
inline constexpr std::size_t max_next_requests = 48;

// Returns the next requests of a tier: a few requests of each client account, in the order of the round
// robin. If `skip_long` is true, only short requests are returned.
std::vector<request_row*> find_next_requests(tier_queue& queue, bool skip_long);

// Sheds requests until the queue of the service is within its limits. Requests of the lowest tier are shed
// first, and within a tier those with the latest deadline.
void shed_excess(scheduler_state& state, row_index service);

// Estimates the time until the request gets a slot, from the work ahead of it in the same and in higher
// tiers.
double estimate_wait_us(const scheduler_state& state, const request_row& request);

// Refuses waiting requests whose deadline has passed or can no longer be met.
void expire_requests(scheduler_state& state);

// Estimates how long the request occupies a slot, from the speeds measured in the service.
double estimate_work_us(const service_row& service, const request_row& request);

} // namespace cardamompond::scheduler
