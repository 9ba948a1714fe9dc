#include "request_processor.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace cardamompond::gateway {
namespace {

// The timeout on routes that set none. A caller can only shorten it.
constexpr milliseconds default_timeout{60'000};

// A caller abandons a stream when no event arrives for two seconds, for four times the target of the first
// event or for eight times the target of the gap between events, whichever is longest.
constexpr milliseconds min_abandon_time{2'000};
constexpr int first_token_target_factor = 4;
constexpr int event_gap_target_factor = 8;

// Time without an event after which a stream is continued by another server. Callers abandon a stream after
// two seconds or more.
constexpr milliseconds stream_inactivity_timeout{1'300};

// Time without a first event after which a stream is sent to another server.
constexpr milliseconds first_event_timeout{2'200};

// A retryable request that is not streamed is sent to another server after this share of its timeout without
// a response.
constexpr double inactivity_timeout_share = 0.4;

// Whether the status tells a caller that its request has not run. A response with such a status counts as
// broken unless the server itself states that it did not run the request.
bool status_implies_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

double uniform_random() {
  thread_local std::minstd_rand random{std::random_device{}()};
  return std::generate_canonical<double, 16>(random);
}

} // namespace

void request_handler::request_processor::run() {
  m_exchange.notify_on_disconnect([this] { handle_disconnect(); });
  auto error = parse_and_route();
  if (!error) {
    error = admit();
  }
  if (!error) {
    error = serve();
  }
  if (error) {
    send_error(*error);
  }
}

void request_handler::request_processor::handle_disconnect() {
  m_caller_disconnected = true;
  if (m_waiting_ticket != 0) {
    m_handler.m_admission.cancel(m_waiting_ticket);
  }
  // A request that must not be retried is left to complete: its effect is wanted even if nobody receives the
  // response.
  if (m_current_call != nullptr && (m_route->m_streamed || retryable())) {
    m_current_call->cancel();
  }
}

std::optional<request_error> request_handler::request_processor::parse_and_route() {
  auto parsed = m_handler.m_protocol.read_request(m_exchange.request());
  if (!parsed) {
    return parsed.error();
  }
  m_request = std::move(*parsed);
  m_routes = m_handler.m_admission.known_fleet().routes();
  if (!m_routes) {
    m_retry_after = min_retry_after;
    return make_not_run_error(error_code::isolated, "this daemon has no declarations yet");
  }
  m_route = m_routes->find_route(m_request.m_host, m_exchange.request().path());
  if (m_route == nullptr) {
    return make_not_run_error(error_code::not_found, "no route for this host and path");
  }
  if (!m_handler.m_options.m_accepts_requests(m_route->m_streamed)) {
    m_exchange.close_after_response();
    m_retry_after = min_retry_after;
    return make_not_run_error(error_code::shutting_down, "this daemon stops; try another one");
  }
  m_rank = m_route->m_rank;
  if (!m_route->m_allows_anonymous && !m_routes->source().m_client_accounts.empty()) {
    const auto* account = m_request.m_api_key ? m_routes->find_account(*m_request.m_api_key) : nullptr;
    if (account == nullptr) {
      return make_not_run_error(error_code::unauthorized, "the key is missing or unknown");
    }
    m_account = account->m_name;
    if (account->m_has_rank) {
      m_rank = account->m_rank;
    }
    m_quota_units = !account->m_counts_tokens ? 1
                    : m_request.m_has_token_counts
                        ? static_cast<double>(m_request.m_prompt_tokens) + m_request.m_max_output_tokens
                        : account->m_default_tokens;
  }
  return std::nullopt;
}

std::optional<request_error> request_handler::request_processor::admit() {
  auto& admission = m_handler.m_admission;
  milliseconds timeout = m_route->m_timeout.count() > 0 ? m_route->m_timeout : default_timeout;
  if (m_request.m_caller_timeout) {
    timeout = std::min(timeout, *m_request.m_caller_timeout);
  }
  m_deadline = m_arrived_at + timeout;
  if (m_request.m_caller_timeout) {
    m_request_age =
        admission.retry_ages().record_attempt(m_route->m_name, *m_request.m_caller_timeout, m_arrived_at);
  }
  m_service = fleet::route_table::pick_service(*m_route, uniform_random());
  const auto& request = m_exchange.request();
  m_content_hash = hash_content(request.m_target + '\n' + m_account + '\n' + request.m_body);
  if (admission.crashes().is_refused(m_content_hash, m_arrived_at)) {
    m_retry_after = max_retry_after;
    return make_not_run_error(error_code::crashing_request,
                              "this request has crashed backend servers and is refused");
  }
  if (!m_account.empty() && !admission.quotas().admit(m_account, m_quota_units, m_arrived_at)) {
    m_retry_after = std::clamp(admission.quotas().time_to_refill(m_account, m_arrived_at), min_retry_after,
                               max_retry_after);
    m_quota_units = 0;
    return make_not_run_error(error_code::account_limit, "the account is over its quota");
  }
  admission.record_request(m_service);
  m_relay.m_exchange = &m_exchange;
  return std::nullopt;
}

fleet::submission request_handler::request_processor::make_submission(fleet::ticket ticket) const {
  fleet::submission submission;
  submission.m_ticket = ticket;
  submission.m_service = m_service;
  submission.m_rank = m_rank;
  submission.m_route_rank = m_route->m_rank;
  submission.m_shared_prefix_hash = m_request.m_shared_prefix_hash;
  submission.m_prompt_tokens = m_request.m_prompt_tokens;
  submission.m_output_tokens = expected_output_tokens();
  submission.m_body_bytes = static_cast<std::uint32_t>(m_exchange.request().m_body.size());
  submission.m_arrived = m_arrived_at;
  submission.m_first_token_due = m_arrived_at + m_route->m_first_token_target - m_request_age;
  submission.m_deadline = m_deadline;
  submission.m_abandoned_at = m_deadline;
  if (m_route->m_streamed) {
    const auto abandon_time =
        std::max({min_abandon_time, m_route->m_first_token_target * first_token_target_factor,
                  m_route->m_event_gap_target * event_gap_target_factor});
    submission.m_abandoned_at = std::min(m_deadline, m_arrived_at + abandon_time);
  }
  submission.m_excluded_servers = m_tried_servers;
  submission.m_may_have_run = m_may_have_run;
  return submission;
}

call_options request_handler::request_processor::make_call_options(const fleet::dispatch_grant& grant) {
  call_options options;
  options.m_caller_request = &m_exchange.request();
  options.m_parameters.m_server = &grant.m_server;
  options.m_parameters.m_client_account = m_account;
  if (m_relay.m_head_sent && !m_relay.m_splitter.last_event_id().empty()) {
    options.m_parameters.m_resume_after_event_id = m_relay.m_splitter.last_event_id();
  }
  options.m_request_id = m_request.m_id;
  options.m_deadline = m_deadline;
  options.m_streamed = m_route->m_streamed;
  options.m_idempotent = retryable();
  options.m_relay = &m_relay;
  options.m_connected_after = grant.m_listed_since;
  options.m_reservation_lifetime = grant.m_reservation;
  options.m_reserved_tokens = m_request.m_prompt_tokens + expected_output_tokens();
  const bool last_attempt = m_possible_runs + 1 >= m_route->m_max_attempts;
  if (m_route->m_resumable && !last_attempt) {
    // Before its first event, a stream may be waiting in the server's queue and would lose its place there,
    // so the timeout is longer then.
    options.m_inactivity_timeout = m_relay.m_head_sent ? stream_inactivity_timeout : first_event_timeout;
  } else if (!m_route->m_streamed && retryable() && !last_attempt) {
    options.m_inactivity_timeout =
        std::chrono::duration_cast<duration>((m_deadline - m_arrived_at) * inactivity_timeout_share);
  }
  options.m_on_first_token = [this, ticket = grant.m_ticket] {
    m_first_token_at = monotonic_now();
    m_handler.m_admission.dispatcher().record_first_token(ticket, m_first_token_at);
  };
  options.m_on_progress = [this, ticket = grant.m_ticket](std::uint64_t events, duration took) {
    m_handler.m_admission.dispatcher().record_events(ticket, events, took);
  };
  options.m_on_response_metadata = [this, &grant](const response_metadata& metadata) {
    const time_point now = monotonic_now();
    auto& dispatcher = m_handler.m_admission.dispatcher();
    if (metadata.m_load) {
      dispatcher.record_reported_load(grant.m_server.m_id, *metadata.m_load, now);
    }
    if (metadata.m_cold_remaining) {
      dispatcher.extend_cold_period(grant.m_server.m_id, *metadata.m_cold_remaining, now);
    }
  };
  options.m_on_server_notices = [this, &grant](const response_metadata& metadata) {
    m_handler.m_admission.record_notices(grant.m_server, metadata);
  };
  options.m_may_send = [this, &grant] {
    return m_handler.m_admission.dispatcher().may_send(grant.m_server, monotonic_now());
  };
  return options;
}

std::optional<request_error> request_handler::request_processor::serve() {
  auto& admission = m_handler.m_admission;
  while (true) {
    const fleet::ticket ticket = admission.next_ticket();
    m_waiting_ticket = ticket;
    const admission_result decision =
        m_caller_disconnected ? admission_result{} : admission.acquire(make_submission(ticket));
    m_waiting_ticket = 0;
    if (const auto* grant = std::get_if<fleet::dispatch_grant>(&decision)) {
      m_granted_at = monotonic_now();
      const call_outcome outcome = dispatch(*grant);
      if (outcome == call_outcome::answered || outcome == call_outcome::relayed) {
        return std::nullopt;
      }
      if (!may_retry(outcome)) {
        return finish_after_failure();
      }
      continue;
    }
    if (const auto* refusal = std::get_if<fleet::dispatch_refusal>(&decision)) {
      m_retry_after = std::clamp(std::chrono::duration_cast<milliseconds>(refusal->m_retry_after),
                                 min_retry_after, max_retry_after);
      m_failure_reason =
          refusal->m_reason == fleet::refusal_reason::no_backend_server ? "no backend server in service"
          : refusal->m_reason == fleet::refusal_reason::paused ? "all backend servers asked for a pause"
                                                               : "no room on any backend server";
    } else {
      m_last_outcome = call_outcome::caller_gone;
    }
    return finish_after_failure();
  }
}

call_outcome request_handler::request_processor::dispatch(const fleet::dispatch_grant& grant) {
  const time_point dispatched_at = monotonic_now();
  m_server_id = grant.m_server.m_id;
  backend_call call(m_handler.m_client, m_handler.m_protocol, make_call_options(grant));
  m_current_call = &call;
  call_outcome outcome = call.run();
  m_current_call = nullptr;
  m_last_outcome = outcome;
  const int status = call.response().m_status;
  if (outcome == call_outcome::answered && status_implies_not_run(status)) {
    outcome = call_outcome::broken; // the status implies not run, but the server does not state this
    m_last_outcome = outcome;
  }
  record_call_outcome(grant, outcome, call, dispatched_at);
  if (outcome == call_outcome::relayed) {
    const bool finished = static_cast<bool>(m_exchange.finish());
    record_result(finished ? "answered" : "caller_gone", status);
  } else if (outcome == call_outcome::answered) {
    m_held_response = call.response();
    if (status >= first_server_failure_status && retryable()) {
      return call_outcome::broken; // the response is sent only if no other server gives a better one
    }
    send_response();
  }
  return outcome;
}

} // namespace cardamompond::gateway
