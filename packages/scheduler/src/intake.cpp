#include "intake.hpp"

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

// Routes come from requests; more different ones than this are taken for one.
constexpr std::size_t max_routes = 1024;
// Blocks of a prompt beyond these are not used for affinity.
constexpr std::size_t max_blocks = 1024;
constexpr double default_output_tokens = 256;
// Counts above these are mistakes or stand for "no limit"; they must not make the queue look full.
constexpr std::uint32_t max_prompt_tokens = 10'000'000;
constexpr std::uint32_t max_output_tokens = 1'000'000;
// Callers declare limits far above what they use; no answer is expected to be this many times the average.
constexpr double max_output_to_average = 8;

row route_row_of(tables& t, const std::string& route) {
  if (const row known = find_row(t.m_route_names, route); known != no_row) {
    return known;
  }
  if (t.m_routes.size() >= max_routes) {
    reject(t, "too_many_routes");
    return 0;
  }
  t.m_routes.push_back(route);
  t.m_route_names.emplace(route, static_cast<row>(t.m_routes.size() - 1));
  return static_cast<row>(t.m_routes.size() - 1);
}

void estimate(const service_row& service, request_row& request) {
  const double average = service.m_output_tokens.value_or(default_output_tokens);
  request.m_output_estimate = average;
  if (request.m_max_output_tokens > 0) {
    const double expected = request.m_max_output_tokens * service.m_output_ratio.value_or(1.0);
    request.m_output_estimate = std::clamp(expected, 1.0, std::max(1.0, max_output_to_average * average));
  }
  request.m_cost = std::max(1.0, request.m_prompt_tokens + request.m_output_estimate);
  request.m_long = request.m_cost > service.m_long_request_tokens;
  request.m_work_us = estimate_work_us(service, request);
}

// The request row for a submission, without a place in the queue.
request_row make_request(tables& t, const submit_event& submitted, row service, row account) {
  request_row request;
  request.m_key = submitted.m_key;
  request.m_service = service;
  request.m_account = account;
  request.m_route = route_row_of(t, submitted.m_route);
  request.m_rank = t.m_accounts[account].m_rank;
  if (submitted.m_prompt_tokens > max_prompt_tokens || submitted.m_max_output_tokens > max_output_tokens) {
    reject(t, "huge_token_count");
  }
  request.m_prompt_tokens = std::min(submitted.m_prompt_tokens, max_prompt_tokens);
  request.m_max_output_tokens = std::min(submitted.m_max_output_tokens, max_output_tokens);
  const auto blocks = std::min(submitted.m_prefix_blocks.size(), max_blocks);
  request.m_blocks.assign(submitted.m_prefix_blocks.begin(),
                          submitted.m_prefix_blocks.begin() + static_cast<std::ptrdiff_t>(blocks));
  request.m_fingerprint = submitted.m_fingerprint;
  request.m_arrived = std::min(submitted.m_arrived, t.m_now);
  request.m_deadline = submitted.m_deadline;
  estimate(t.m_services[service], request);
  return request;
}

bool has_server_in_service(const tables& t, const service_row& service) {
  return std::any_of(service.m_versions.begin(), service.m_versions.end(),
                     [&](row version) { return t.m_versions[version].m_in_service > 0; });
}

// The refusal that a submission meets before it enters the queue, if any.
std::optional<std::pair<error_code, std::string_view>> check_submission(tables& t, const submit_event& event,
                                                                        row service, row account) {
  if (service == no_row || !t.m_services[service].m_declared) {
    reject(t, "unknown_service");
    return {{error_code::not_found, "unknown service"}};
  }
  if (account == no_row || !t.m_accounts[account].m_declared) {
    reject(t, "unknown_client_account");
    return {{error_code::forbidden, "unknown client account"}};
  }
  if (event.m_deadline <= t.m_now) {
    return {{error_code::deadline_exceeded, "the deadline passed before the request was submitted"}};
  }
  const crash_row* crash = find_crash(t, event.m_fingerprint);
  if (crash != nullptr && crash->m_quarantined) {
    return {{error_code::crashing_request, "the content crashed two backend servers"}};
  }
  const account_row& entry = t.m_accounts[account];
  if (entry.m_max_outstanding > 0 && entry.m_outstanding >= entry.m_max_outstanding) {
    return {{error_code::account_limit, "too many outstanding requests of the client account"}};
  }
  if (!has_server_in_service(t, t.m_services[service])) {
    return {{error_code::no_backend_server, "no backend server of the service is in service"}};
  }
  return std::nullopt;
}

void take_in(tables& t, const submit_event& event) {
  if (t.m_requests.contains(event.m_key) || t.m_finished.contains(event.m_key)) {
    reject(t, "duplicate_submit");
    return;
  }
  const row service = find_row(t.m_service_names, event.m_service);
  const row account = find_row(t.m_account_names, event.m_client_account);
  if (const auto refused = check_submission(t, event, service, account)) {
    refuse_request(t, event.m_key, refused->first, refused->second);
    return;
  }
  request_row candidate = make_request(t, event, service, account);
  // Half of the work, as in the expiry: estimates are uncertain, and a refusal cannot be taken back.
  const double needed_us = estimated_wait_us(t, candidate) + candidate.m_work_us / 2;
  const auto needed = duration(static_cast<std::int64_t>(needed_us));
  if (t.m_now + needed > candidate.m_deadline) {
    refuse_request(t, event.m_key, error_code::deadline_unmeetable,
                   "the work ahead of the request does not leave enough time before its deadline");
    return;
  }
  request_row& request = t.m_requests.emplace(event.m_key, std::move(candidate)).first->second;
  ++t.m_accounts[account].m_outstanding;
  enqueue(t, request);
  if (const crash_row* crash = find_crash(t, request.m_fingerprint);
      crash != nullptr && is_suspicious(*crash)) {
    set_apart(t, request);
  }
  shed_excess(t, service);
}

// The row of a known request, or null after counting the reason.
request_row* known_request(tables& t, request_key key) {
  if (const auto found = t.m_requests.find(key); found != t.m_requests.end()) {
    return &found->second;
  }
  reject(t, t.m_finished.contains(key) ? "late_event" : "unknown_request");
  return nullptr;
}

// Forgets a request that holds a slot. With `finished`, its key is not granted again.
void end_dispatch(tables& t, request_row& request, bool finished) {
  release_slot(t, request);
  --t.m_accounts[request.m_account].m_outstanding;
  const request_key key = request.m_key;
  if (finished) {
    finish_request(t, key);
  } else {
    t.m_requests.erase(key);
  }
}

void take_in(tables& t, const cancel_event& event) {
  request_row* request = known_request(t, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state != request_state::waiting) {
    reject(t, "cancel_after_grant"); // crossed the grant; the member declines or completes
    return;
  }
  dequeue(t, *request);
  --t.m_accounts[request->m_account].m_outstanding;
  finish_request(t, event.m_key);
}

void take_in(tables& t, const started_event& event) {
  request_row* request = known_request(t, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state == request_state::waiting) {
    reject(t, "started_without_grant");
    return;
  }
  request->m_state = request_state::started;
}

void take_in(tables& t, const declined_event& event) {
  request_row* request = known_request(t, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state != request_state::granted) {
    reject(t, request->m_state == request_state::started ? "declined_after_start" : "declined_without_grant");
    return;
  }
  const row server = request->m_server;
  end_dispatch(t, *request, event.m_reason == decline_reason::abandoned);
  if (event.m_reason == decline_reason::connect_failed) {
    note_connect_failure(t, server);
  }
}

void learn_from(tables& t, const request_row& request, completed_event completed) {
  if (!plausible(completed)) {
    reject(t, "implausible_completion");
    const completed_event empty;
    completed = {completed.m_key,   completed.m_outcome, 0, 0, 0, empty.m_time_to_first_token,
                 empty.m_total_time};
  } else if (completed.m_outcome == outcome::succeeded) {
    observe_completion(t, request, completed);
    note_first_token(t, request.m_server, request, completed.m_time_to_first_token);
  }
  if (completed.m_outcome == outcome::succeeded) {
    ramp_up(t.m_servers[request.m_server], request);
    clear_content(t, request);
  } else if (completed.m_outcome == outcome::connection_broken) {
    note_broken_content(t, request);
  }
  record_outcome(t, request, completed);
}

void take_in(tables& t, const completed_event& event) {
  request_row* request = known_request(t, event.m_key);
  if (request == nullptr) {
    return;
  }
  if (request->m_state == request_state::waiting) {
    reject(t, "completed_without_grant");
    return;
  }
  const row server = request->m_server;
  learn_from(t, *request, event);
  end_dispatch(t, *request, true);
  if (event.m_outcome == outcome::connection_broken) {
    note_break(t, server);
  }
}

void take_in(tables& t, const load_report_event& event) {
  take_load_report(t, event);
}
void take_in(tables& t, const unreachable_event& event) {
  take_unreachable(t, event);
}
void take_in(tables& t, const cache_event& event) {
  take_cache_event(t, event);
}
void take_in(tables& t, const host_state_event& event) {
  take_host_state(t, event);
}

void take_in(tables& t, const member_lost_event& event) {
  std::vector<request_key> waiting;
  for (auto& [key, request] : t.m_requests) {
    if (key.m_daemon != event.m_daemon || request.m_freed != time_point::max()) {
      continue;
    }
    if (request.m_state == request_state::waiting) {
      waiting.push_back(key);
      continue;
    }
    request.m_freed = t.m_now + lost_member_grace;
    t.m_orphans[request.m_freed].push_back(key);
  }
  for (const request_key key : waiting) {
    take_in(t, cancel_event{key});
  }
}

// A server that this daemon sees for the first time bears what the last owner had granted it. Without this,
// each change of owner would be a cold start of the whole cell.
void accept_restored_load(tables& t, row number) {
  server_row& server = t.m_servers[number];
  if (server.m_cold_epoch == 1 && !server.m_reported_cold && server.m_outstanding > server.m_limit) {
    server.m_limit = std::min(server.m_outstanding, server.m_slots);
    refresh_server(t, number);
  }
}

void take_in(tables& t, const restore_event& event) {
  const submit_event& submitted = event.m_request;
  const auto known = t.m_requests.find(submitted.m_key);
  if (known != t.m_requests.end() && known->second.m_state == request_state::waiting) {
    take_in(t, cancel_event{submitted.m_key}); // it is running already
  } else if (known != t.m_requests.end()) {
    reject(t, "duplicate_restore");
    return;
  }
  const row service = find_row(t.m_service_names, submitted.m_service);
  const row account = find_row(t.m_account_names, submitted.m_client_account);
  const row server = find_row(t.m_server_names, event.m_backend_server);
  if (service == no_row || account == no_row || server == no_row) {
    reject(t, "unknown_name_in_restore");
    finish_request(t, submitted.m_key);
    return;
  }
  request_row& request =
      t.m_requests.emplace(submitted.m_key, make_request(t, submitted, service, account)).first->second;
  ++t.m_accounts[account].m_outstanding;
  request.m_state = request_state::started;
  const crash_row* crash = find_crash(t, request.m_fingerprint);
  request.m_suspect = crash != nullptr && is_suspicious(*crash);
  take_slot(t, request, server);
  accept_restored_load(t, server);
}

} // namespace

void take_in(tables& t, const event& input) {
  std::visit([&t](const auto& alternative) { take_in(t, alternative); }, input);
}

} // namespace cardamompond::scheduler
