#include "systems/queueing.hpp"

#include "systems/observations.hpp"
#include <algorithm>
#include <cmath>

namespace cardamompond::scheduler {

namespace {

// Tokens that a client account with share 1 gains per round. The quantum is smaller than most requests, so
// that accounts alternate.
constexpr double quantum_tokens = 256;
// Bounds the number of requests with earlier deadlines that are counted when the wait in a client account's
// queue is estimated. Further ones are ignored.
constexpr std::size_t max_requests_counted_ahead = 64;
constexpr std::size_t max_next_per_account = 16;

tier_queue& queue_for(scheduler_state& state, const request_row& request) {
  return state.m_services[request.m_service].m_tiers[request.m_rank];
}

const deadline_queue* find_queue_with_earliest_deadline(const account_queue& account, bool skip_long) {
  if (skip_long || account.m_long_requests.empty()) {
    return account.m_short_requests.empty() ? nullptr : &account.m_short_requests;
  }
  if (account.m_short_requests.empty() ||
      *account.m_long_requests.begin() < *account.m_short_requests.begin()) {
    return &account.m_long_requests;
  }
  return &account.m_short_requests;
}

// Recomputes the round in which the deficit of the client account covers its next request. If `to_back` is
// true, the account is placed behind the other accounts of that round.
void update_round_robin_position(tier_queue& queue, row_index account_index, account_queue& account,
                                 bool to_back) {
  queue.m_round_robin.erase(account.m_position);
  const deadline_queue* head = find_queue_with_earliest_deadline(account, false);
  const double missing_tokens = head->begin()->m_request->m_cost_tokens - account.m_deficit;
  const double rounds = std::ceil(std::max(0.0, missing_tokens) / (quantum_tokens * account.m_share));
  account.m_position.m_round = account.m_deficit_round + static_cast<std::uint64_t>(rounds);
  account.m_position.m_account = account_index;
  if (to_back) {
    account.m_position.m_sequence = queue.m_next_sequence++;
  }
  queue.m_round_robin.insert(account.m_position);
}

void insert_in_account(scheduler_state& state, tier_queue& queue, request_row& request) {
  const auto [found, is_new] = queue.m_accounts.try_emplace(request.m_account);
  account_queue& account = found->second;
  if (is_new) {
    account.m_deficit_round = queue.m_round;
    account.m_share = state.m_accounts[request.m_account].m_share;
    queue.m_total_share += account.m_share;
  }
  (request.m_long ? account.m_long_requests : account.m_short_requests).insert(make_queue_entry(request));
  queue.m_short_waiting += request.m_long ? 0 : 1;
  account.m_work_us += request.m_work_us;
  update_round_robin_position(queue, request.m_account, account, is_new);
}

void erase_from_account(tier_queue& queue, request_row& request, bool granted) {
  const auto found = queue.m_accounts.find(request.m_account);
  account_queue& account = found->second;
  if (granted) {
    const std::uint64_t round = std::max(account.m_position.m_round, account.m_deficit_round);
    account.m_deficit +=
        static_cast<double>(round - account.m_deficit_round) * quantum_tokens * account.m_share;
    account.m_deficit -= request.m_cost_tokens;
    account.m_deficit_round = round;
    queue.m_round = std::max(queue.m_round, round);
  }
  (request.m_long ? account.m_long_requests : account.m_short_requests).erase(make_queue_entry(request));
  queue.m_short_waiting -= request.m_long ? 0 : 1;
  account.m_work_us -= request.m_work_us;
  if (account.m_short_requests.empty() && account.m_long_requests.empty()) {
    queue.m_round_robin.erase(account.m_position);
    queue.m_total_share -= account.m_share;
    queue.m_accounts.erase(found);
    return;
  }
  const double next_cost =
      find_queue_with_earliest_deadline(account, false)->begin()->m_request->m_cost_tokens;
  update_round_robin_position(queue, request.m_account, account, granted && next_cost > account.m_deficit);
}

void remove_from_queue(scheduler_state& state, request_row& request, bool granted) {
  tier_queue& queue = queue_for(state, request);
  const queue_entry entry = make_queue_entry(request);
  queue.m_by_deadline.erase(entry);
  queue.m_work_us -= request.m_work_us;
  if (request.m_isolated) {
    queue.m_isolated_requests.erase(entry);
    request.m_isolated = false;
  } else {
    erase_from_account(queue, request, granted);
  }
  --state.m_services[request.m_service].m_waiting;
  --state.m_waiting;
}

std::size_t max_waiting(const scheduler_state& state, const service_row& service, std::size_t rank) {
  const double share = state.m_tiers[rank].m_queue_share;
  return static_cast<std::size_t>(std::floor(share * service.m_queue_limit));
}

// Returns true if a tier and the tiers below it together exceed their share of the queue limit.
bool exceeds_queue_limits(const scheduler_state& state, const service_row& service) {
  std::size_t waiting = 0;
  for (std::size_t rank = service.m_tiers.size(); rank-- > 0;) {
    waiting += service.m_tiers[rank].m_by_deadline.size();
    if (waiting > max_waiting(state, service, rank)) {
      return true;
    }
  }
  return false;
}

request_row* find_request_to_shed(service_row& service) {
  for (std::size_t rank = service.m_tiers.size(); rank-- > 0;) {
    if (deadline_queue& waiting = service.m_tiers[rank].m_by_deadline; !waiting.empty()) {
      return std::prev(waiting.end())->m_request;
    }
  }
  return nullptr;
}

double work_ahead_in_account(const account_queue& account, const request_row& request) {
  double ahead = 0;
  std::size_t counted = 0;
  const queue_entry request_entry{request.m_deadline, request.m_arrived, request.m_key, nullptr};
  for (const deadline_queue* waiting : {&account.m_short_requests, &account.m_long_requests}) {
    for (const queue_entry& entry : *waiting) {
      if (!(entry < request_entry) || ++counted > max_requests_counted_ahead) {
        break;
      }
      ahead += entry.m_request->m_work_us;
    }
  }
  return ahead;
}

double work_ahead_in_tier(const tier_queue& queue, const request_row& request) {
  const auto found = queue.m_accounts.find(request.m_account);
  if (found == queue.m_accounts.end()) {
    return 0;
  }
  const double ahead_in_account = work_ahead_in_account(found->second, request);
  return std::min(queue.m_work_us,
                  ahead_in_account * std::max(1.0, queue.m_total_share / found->second.m_share));
}

void expire_tier(scheduler_state& state, row_index service, std::size_t rank) {
  deadline_queue& waiting = state.m_services[service].m_tiers[rank].m_by_deadline;
  while (!waiting.empty()) {
    request_row& request = *waiting.begin()->m_request;
    const auto work = duration(static_cast<std::int64_t>(request.m_work_us / 2));
    if (request.m_deadline - work > state.m_now) {
      return;
    }
    const bool passed = request.m_deadline <= state.m_now;
    const request_key key = request.m_key;
    dequeue(state, request);
    refuse_request(state, key, passed ? error_code::deadline_exceeded : error_code::deadline_unmeetable,
                   passed ? "the deadline passed while the request was waiting"
                          : "the request can no longer finish before its deadline");
  }
}

} // namespace

queue_entry make_queue_entry(request_row& request) {
  return {request.m_deadline, request.m_arrived, request.m_key, &request};
}

void enqueue(scheduler_state& state, request_row& request) {
  tier_queue& queue = queue_for(state, request);
  queue.m_by_deadline.insert(make_queue_entry(request));
  queue.m_work_us += request.m_work_us;
  insert_in_account(state, queue, request);
  ++state.m_services[request.m_service].m_waiting;
  ++state.m_waiting;
}

void dequeue(scheduler_state& state, request_row& request) {
  remove_from_queue(state, request, false);
}

void dequeue_granted(scheduler_state& state, request_row& request) {
  remove_from_queue(state, request, true);
}

void isolate_request(scheduler_state& state, request_row& request) {
  tier_queue& queue = queue_for(state, request);
  erase_from_account(queue, request, false);
  queue.m_isolated_requests.insert(make_queue_entry(request));
  request.m_isolated = true;
  request.m_isolated_since = state.m_now;
}

std::vector<request_row*> find_next_requests(tier_queue& queue, bool skip_long) {
  std::vector<request_row*> next;
  for (const round_robin_position& position : queue.m_round_robin) {
    const account_queue& account = queue.m_accounts.at(position.m_account);
    auto next_short = account.m_short_requests.begin();
    auto next_long = skip_long ? account.m_long_requests.end() : account.m_long_requests.begin();
    for (std::size_t count = 0; count < max_next_per_account && next.size() < max_next_requests; ++count) {
      const bool short_left = next_short != account.m_short_requests.end();
      const bool long_left = next_long != account.m_long_requests.end();
      if (!short_left && !long_left) {
        break;
      }
      const bool short_is_first = short_left && (!long_left || *next_short < *next_long);
      next.push_back(short_is_first ? (next_short++)->m_request : (next_long++)->m_request);
    }
    if (next.size() >= max_next_requests) {
      break;
    }
  }
  return next;
}

void shed_excess(scheduler_state& state, row_index service_index) {
  service_row& service = state.m_services[service_index];
  while (exceeds_queue_limits(state, service)) {
    request_row* victim = find_request_to_shed(service);
    if (victim == nullptr) {
      return;
    }
    const request_key key = victim->m_key;
    const bool is_new = victim->m_arrived >= state.m_now;
    service.m_tiers[victim->m_rank].m_has_shed = true;
    dequeue(state, *victim);
    refuse_request(state, key, is_new ? error_code::queue_full : error_code::overloaded,
                   is_new ? "the queue of the service is full" : "shed in favour of other requests");
  }
}

double estimate_work_us(const service_row& service, const request_row& request) {
  return request.m_prompt_tokens * service.m_prefill_us_per_token.value_or(default_prefill_us_per_token) +
         request.m_estimated_output_tokens *
             service.m_decode_us_per_token.value_or(default_decode_us_per_token);
}

double estimate_wait_us(const scheduler_state& state, const request_row& request) {
  const service_row& service = state.m_services[request.m_service];
  double ahead = 0;
  for (std::uint32_t rank = 0; rank < request.m_rank; ++rank) {
    ahead += service.m_tiers[rank].m_work_us;
  }
  ahead += work_ahead_in_tier(service.m_tiers[request.m_rank], request);
  std::uint64_t slots = 0;
  for (const row_index version : service.m_versions) {
    slots += state.m_versions[version].m_total_limit;
  }
  return ahead / static_cast<double>(std::max<std::uint64_t>(1, slots));
}

void expire_requests(scheduler_state& state) {
  for (row_index service = 0; service < state.m_services.size(); ++service) {
    for (std::size_t rank = 0; rank < state.m_services[service].m_tiers.size(); ++rank) {
      expire_tier(state, service, rank);
    }
  }
}

} // namespace cardamompond::scheduler
