#include "event_handlers.hpp"

#include "servers.hpp"
#include "systems/breakers.hpp"
#include "systems/cold_start.hpp"
#include "systems/crashes.hpp"
#include "systems/health.hpp"
#include "systems/observations.hpp"
#include "systems/orphans.hpp"
#include "systems/prefixes.hpp"
#include "systems/queueing.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cardamompond::scheduler {

namespace {

// Route names come from requests, so their number is bounded. All further routes share the first entry.
constexpr std::size_t max_routes = 1024;
// Prefix affinity uses at most this many leading blocks of a prompt.
constexpr std::size_t max_prefix_blocks = 1024;
constexpr double default_output_tokens = 256;
// Larger token counts are mistakes or stand for "no limit". They are reduced to these values so that one
// request cannot make the queue look full.
constexpr std::uint32_t max_prompt_tokens = 10'000'000;
constexpr std::uint32_t max_output_tokens = 1'000'000;
// Callers often declare output limits far above what they use, so the estimate is capped at this multiple of
// the average output length.
constexpr double max_estimate_to_average_ratio = 8;

row_index find_or_add_route(scheduler_state& state, const std::string& route) {
  if (const row_index known = find_row(state.m_route_names, route); known != no_row) {
    return known;
  }
  if (state.m_routes.size() >= max_routes) {
    count_rejected(state, "too_many_routes");
    return 0;
  }
  state.m_routes.push_back(route);
  state.m_route_names.emplace(route, static_cast<row_index>(state.m_routes.size() - 1));
  return static_cast<row_index>(state.m_routes.size() - 1);
}

void estimate_request_cost(const service_row& service, request_row& request) {
  const double average = service.m_output_tokens.value_or(default_output_tokens);
  request.m_estimated_output_tokens = average;
  if (request.m_max_output_tokens > 0) {
    const double expected = request.m_max_output_tokens * service.m_output_ratio.value_or(1.0);
    request.m_estimated_output_tokens =
        std::clamp(expected, 1.0, std::max(1.0, max_estimate_to_average_ratio * average));
  }
  request.m_cost_tokens = std::max(1.0, request.m_prompt_tokens + request.m_estimated_output_tokens);
  request.m_long = request.m_cost_tokens > service.m_long_request_tokens;
  request.m_work_us = estimate_work_us(service, request);
}

// Creates the row of a submitted request. Does not enqueue it.
request_row make_request(scheduler_state& state, const submit_event& submitted, row_index service,
                         row_index account) {
  request_row request;
  request.m_key = submitted.m_key;
  request.m_service = service;
  request.m_account = account;
  request.m_route = find_or_add_route(state, submitted.m_route);
  request.m_rank = state.m_accounts[account].m_rank;
  if (submitted.m_prompt_tokens > max_prompt_tokens || submitted.m_max_output_tokens > max_output_tokens) {
    count_rejected(state, "huge_token_count");
  }
  request.m_prompt_tokens = std::min(submitted.m_prompt_tokens, max_prompt_tokens);
  request.m_max_output_tokens = std::min(submitted.m_max_output_tokens, max_output_tokens);
  const auto blocks = std::min(submitted.m_prefix_blocks.size(), max_prefix_blocks);
  request.m_prefix_blocks.assign(submitted.m_prefix_blocks.begin(),
                                 submitted.m_prefix_blocks.begin() + static_cast<std::ptrdiff_t>(blocks));
  request.m_fingerprint = submitted.m_fingerprint;
  request.m_arrived = std::min(submitted.m_arrived, state.m_now);
  request.m_deadline = submitted.m_deadline;
  estimate_request_cost(state.m_services[service], request);
  return request;
}

bool has_server_in_service(const scheduler_state& state, const service_row& service) {
  return std::any_of(service.m_versions.begin(), service.m_versions.end(),
                     [&](row_index version) { return state.m_versions[version].m_in_service_count > 0; });
}

// Returns the error for a submission that must not enter the queue, or nothing if the submission is accepted.
std::optional<std::pair<error_code, std::string_view>>
check_submission(scheduler_state& state, const submit_event& event, row_index service, row_index account) {
  if (service == no_row || !state.m_services[service].m_declared) {
    count_rejected(state, "unknown_service");
    return {{error_code::not_found, "unknown service"}};
  }
  if (account == no_row || !state.m_accounts[account].m_declared) {
    count_rejected(state, "unknown_client_account");
    return {{error_code::forbidden, "unknown client account"}};
  }
  if (event.m_deadline <= state.m_now) {
    return {{error_code::deadline_exceeded, "the deadline passed before the request was submitted"}};
  }
  const crash_row* crash = find_crash(state, event.m_fingerprint);
  if (crash != nullptr && crash->m_quarantined) {
    return {{error_code::crashing_request, "the content crashed two backend servers"}};
  }
  const account_row& entry = state.m_accounts[account];
  if (entry.m_max_outstanding > 0 && entry.m_outstanding >= entry.m_max_outstanding) {
    return {{error_code::account_limit, "too many outstanding requests of the client account"}};
  }
  if (!has_server_in_service(state, state.m_services[service])) {
    return {{error_code::no_backend_server, "no backend server of the service is in service"}};
  }
  return std::nullopt;
}

void handle_event(scheduler_state& state, const submit_event& event) {
  if (state.m_requests.contains(event.m_key) || state.m_finished.contains(event.m_key)) {
    count_rejected(state, "duplicate_submit");
    return;
  }
  const row_index service = find_row(state.m_service_names, event.m_service);
  const row_index account = find_row(state.m_account_names, event.m_client_account);
  if (const auto refused = check_submission(state, event, service, account)) {
    refuse_request(state, event.m_key, refused->first, refused->second);
    return;
  }
  request_row candidate = make_request(state, event, service, account);
  // Only half of the estimated work counts, as in expire_requests(): estimates are uncertain, and a refusal
  // is final.
  const double needed_us = estimate_wait_us(state, candidate) + candidate.m_work_us / 2;
  const auto needed = duration(static_cast<std::int64_t>(needed_us));
  if (state.m_now + needed > candidate.m_deadline) {
    refuse_request(state, event.m_key, error_code::deadline_unmeetable,
                   "the work ahead of the request does not leave enough time before its deadline");
    return;
  }
  request_row& request = state.m_requests.emplace(event.m_key, std::move(candidate)).first->second;
  ++state.m_accounts[account].m_outstanding;
  enqueue(state, request);
  if (const crash_row* crash = find_crash(state, request.m_fingerprint);
      crash != nullptr && is_suspicious(*crash)) {
    isolate_request(state, request);
  }
  shed_excess(state, service);
}

// Returns the row of a request. If the key is not known, counts a rejected input and returns null.
request_row* find_known_request(scheduler_state& state, request_key key) {
  if (const auto found = state.m_requests.find(key); found != state.m_requests.end()) {
    return &found->second;
  }
  count_rejected(state, state.m_finished.contains(key) ? "late_event" : "unknown_request");
  return nullptr;
}

// Removes a request that holds a slot. If `finished` is true, its key is remembered and never granted again.
void end_dispatch(scheduler_state& state, request_row& request, bool finished) {
  release_slot(state, request);
  --state.m_accounts[request.m_account].m_outstanding;
  const request_key key = request.m_key;
  if (finished) {
    finish_request(state, key);
  } else {
    state.m_requests.erase(key);
  }
}

void handle_event(scheduler_state& state, const cancel_event& event) {
  request_row* request = find_known_request(state, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state != request_state::waiting) {
    // The grant was decided before the cancellation arrived. The member will decline or complete the request.
    count_rejected(state, "cancel_after_grant");
    return;
  }
  dequeue(state, *request);
  --state.m_accounts[request->m_account].m_outstanding;
  finish_request(state, event.m_key);
}

void handle_event(scheduler_state& state, const started_event& event) {
  request_row* request = find_known_request(state, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state == request_state::waiting) {
    count_rejected(state, "started_without_grant");
    return;
  }
  request->m_state = request_state::started;
}

void handle_event(scheduler_state& state, const declined_event& event) {
  request_row* request = find_known_request(state, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state != request_state::granted) {
    count_rejected(state, request->m_state == request_state::started ? "declined_after_start"
                                                                     : "declined_without_grant");
    return;
  }
  const row_index server = request->m_server;
  end_dispatch(state, *request, event.m_reason == decline_reason::abandoned);
  if (event.m_reason == decline_reason::connect_failed) {
    record_connect_failure(state, server);
  }
}

void record_completion(scheduler_state& state, const request_row& request, completed_event completed) {
  if (!is_plausible(completed)) {
    count_rejected(state, "implausible_completion");
    const completed_event empty;
    completed = {completed.m_key,   completed.m_outcome, 0, 0, 0, empty.m_time_to_first_token,
                 empty.m_total_time};
  } else if (completed.m_outcome == outcome::succeeded) {
    observe_completion(state, request, completed);
    record_time_to_first_token(state, request.m_server, request, completed.m_time_to_first_token);
  }
  if (completed.m_outcome == outcome::succeeded) {
    count_ramp_success(state.m_servers[request.m_server], request);
    clear_suspicion(state, request);
  } else if (completed.m_outcome == outcome::connection_broken) {
    suspect_content(state, request);
  }
  record_outcome(state, request, completed);
}

void handle_event(scheduler_state& state, const completed_event& event) {
  request_row* request = find_known_request(state, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state == request_state::waiting) {
    count_rejected(state, "completed_without_grant");
    return;
  }
  const row_index server = request->m_server;
  record_completion(state, *request, event);
  end_dispatch(state, *request, true);
  if (event.m_outcome == outcome::connection_broken) {
    record_broken_connection(state, server);
  }
}

void handle_event(scheduler_state& state, const load_report_event& event) {
  handle_load_report(state, event);
}
void handle_event(scheduler_state& state, const unreachable_event& event) {
  handle_unreachable(state, event);
}
void handle_event(scheduler_state& state, const cache_event& event) {
  handle_cache_event(state, event);
}
void handle_event(scheduler_state& state, const host_state_event& event) {
  handle_host_state(state, event);
}

void handle_event(scheduler_state& state, const member_lost_event& event) {
  std::vector<request_key> waiting;
  for (auto& [key, request] : state.m_requests) {
    if (key.m_daemon != event.m_daemon || request.m_release_at != time_point::max()) {
      continue;
    }
    if (request.m_state == request_state::waiting) {
      waiting.push_back(key);
      continue;
    }
    request.m_release_at = state.m_now + lost_member_slot_timeout;
    state.m_orphans[request.m_release_at].push_back(key);
  }
  for (const request_key key : waiting) {
    handle_event(state, cancel_event{key});
  }
}

// Raises the limit of a backend server that is new to this daemon to the load that the previous owner had
// granted it. Without this, each change of owner would put the whole cell through a cold start.
void accept_restored_load(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  if (server.m_cold_epoch == 1 && !server.m_reported_cold && server.m_outstanding > server.m_limit) {
    server.m_limit = std::min(server.m_outstanding, server.m_slots);
    update_server_indexes(state, server_index);
  }
}

void handle_event(scheduler_state& state, const restore_event& event) {
  const submit_event& submitted = event.m_request;
  const auto known = state.m_requests.find(submitted.m_key);
  if (known != state.m_requests.end() && known->second.m_state == request_state::waiting) {
    // The request is already running, so it must not be granted again.
    handle_event(state, cancel_event{submitted.m_key});
  } else if (known != state.m_requests.end()) {
    count_rejected(state, "duplicate_restore");
    return;
  }
  const row_index service = find_row(state.m_service_names, submitted.m_service);
  const row_index account = find_row(state.m_account_names, submitted.m_client_account);
  const row_index server = find_row(state.m_server_names, event.m_backend_server);
  if (service == no_row || account == no_row || server == no_row) {
    count_rejected(state, "unknown_name_in_restore");
    finish_request(state, submitted.m_key);
    return;
  }
  request_row& request =
      state.m_requests.emplace(submitted.m_key, make_request(state, submitted, service, account))
          .first->second;
  ++state.m_accounts[account].m_outstanding;
  request.m_state = request_state::started;
  const crash_row* crash = find_crash(state, request.m_fingerprint);
  request.m_suspect = crash != nullptr && is_suspicious(*crash);
  assign_slot(state, request, server);
  accept_restored_load(state, server);
}

} // namespace

void handle_event(scheduler_state& state, const event& input) {
  std::visit([&state](const auto& alternative) { handle_event(state, alternative); }, input);
}

} // namespace cardamompond::scheduler
