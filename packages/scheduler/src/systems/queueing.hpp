#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// The queue: by tier; within a tier deficit round robin over client accounts by share; within an account by
// deadline.

queue_entry make_queue_entry(request_row& request);

// Puts a request at its place. Its tables must exist.
void enqueue(scheduler_state& state, request_row& request);

// Takes a request out, whatever place it has.
void dequeue(scheduler_state& state, request_row& request);

// Takes a request out that is granted and charges its account.
void dequeue_granted(scheduler_state& state, request_row& request);

// Moves a request from the round robin to the suspects of its tier.
void isolate_request(scheduler_state& state, request_row& request);

// How far placement looks past requests that wait for the holder of their prompt.
inline constexpr std::size_t max_next_requests = 48;

// The next requests of a tier: accounts in the order of the round robin, a few requests of each. With
// `skip_long`, only short ones.
std::vector<request_row*> next_requests(tier_queue& queue, bool skip_long);

// Admission: sheds requests of the lowest tier, the latest deadline first, until `service` is within its
// bounds.
void shed_excess(scheduler_state& state, row_index service);

// Estimated time until a slot takes up `request`, from the work of equal and higher tiers ahead of it.
double estimated_wait_us(const scheduler_state& state, const request_row& request);

// Refuses waiting requests whose deadline has passed or can no longer be met.
void expire_requests(scheduler_state& state);

// Estimated time in a slot, from the speeds seen in the service.
double estimate_work_us(const service_row& service, const request_row& request);

} // namespace cardamompond::scheduler
