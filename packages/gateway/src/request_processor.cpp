#include "request_processor.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace cardamompond::gateway {
namespace {

// The timeout on routes that set none. A caller can only shorten it.
constexpr milliseconds default_timeout{60'000};

// A stream is sent to another server, if one has room, after this share of the time without an event that its
// caller tolerates. A sound server may be silent for a second.
constexpr double stream_inactivity_share = 0.7;

// A retryable request that is not streamed is sent to another server, if one has room, after this share of
// its timeout without a response.
constexpr double inactivity_timeout_share = 0.4;

// A server that does not take a request says so within this time. A silent call is closed only after it, but
// early enough that two servers never work on a request for long.
constexpr milliseconds refusal_time{100};

// A request with a body up to this size is sent without waiting for the server to read it.
constexpr std::size_t max_offered_body_bytes = 64U << 10U;

// The end of a response without a length or chunks waits at most this long for the answer to whether its
// server still runs.
constexpr milliseconds survival_timeout{100};

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

void request_handler::request_processor::end() {
  if (m_relay.m_head_sent) {
    return;
  }
  if (m_waiting_ticket != 0) {
    m_handler.m_admission.cancel(m_waiting_ticket);
  }
  for (auto* call : {m_current_call, m_prepared_call}) {
    if (call != nullptr) {
      call->cancel();
    }
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
  m_abandon_time = abandon_time(*m_route);
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
  if (auto refusal = refuse_crashing_part()) {
    return refusal;
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

// Refuses the request if a part of its prompt crashes backend servers.
std::optional<request_error> request_handler::request_processor::refuse_crashing_part() {
  // A stream that lost its server goes on unless its part is refused or a test of it is under way. It need
  // not be the one request that tests the part.
  auto& admission = m_handler.m_admission;
  const auto judgement = m_relay.m_head_sent
                             ? admission.part_crashes().judge(m_request.m_shared_parts, monotonic_now())
                             : admission.judge_parts(m_request.m_shared_parts, monotonic_now());
  if (judgement.m_verdict != fleet::part_crash_register::verdict::refused) {
    return std::nullopt;
  }
  m_retry_after = max_retry_after;
  constexpr std::string_view message = "a part of this prompt has crashed backend servers and is refused";
  if (m_may_have_run) {
    return request_error{error_code::backend_failed, verdict::may_have_run, std::string(message), 0};
  }
  return make_not_run_error(error_code::crashing_request, std::string(message));
}

// Records that this request tests a part of its prompt, if that is due.
void request_handler::request_processor::begin_part_test() {
  auto& admission = m_handler.m_admission;
  const time_point now = monotonic_now();
  if (const auto judgement = admission.judge_parts(m_request.m_shared_parts, now);
      judgement.m_verdict == fleet::part_crash_register::verdict::test_only) {
    admission.begin_part_test(judgement.m_part, now);
  }
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
    submission.m_abandoned_at = std::min(m_deadline, m_arrived_at + m_abandon_time);
  }
  if (m_may_have_run) {
    // It cannot be refused as not run any more, so it waits for as long as a new request would.
    submission.m_waiting_since = monotonic_now();
    submission.m_first_token_due = submission.m_waiting_since + m_route->m_first_token_target;
    submission.m_abandoned_at =
        m_route->m_streamed ? std::min(m_deadline, submission.m_waiting_since + m_abandon_time) : m_deadline;
  }
  submission.m_age = m_request_age;
  submission.m_account_hash = m_account.empty() ? 0 : fleet::account_quotas::account_hash(m_account);
  submission.m_resubmitted = m_dispatches > 0 || m_current_call != nullptr;
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
  const std::uint32_t earlier_runs = m_possible_runs + (m_current_call != nullptr ? 1 : 0);
  if (retryable() && earlier_runs + 1 < m_route->m_max_attempts) {
    options.m_inactivity_timeout = std::chrono::duration_cast<duration>(
        m_route->m_streamed ? m_abandon_time * stream_inactivity_share
                            : (m_deadline - m_arrived_at) * inactivity_timeout_share);
    options.m_give_up = [this, &grant] { return handle_silence(grant); };
  }
  options.m_on_first_token = [this, ticket = grant.m_ticket] {
    m_first_token_at = monotonic_now();
    m_handler.m_admission.dispatcher().record_first_token(ticket, m_first_token_at);
    if (m_relay.m_head_sent) {
      record_run(); // a stream has begun; answers without events are not counted
    }
  };
  options.m_on_progress = [this, ticket = grant.m_ticket](std::uint64_t events, duration took) {
    m_handler.m_admission.dispatcher().record_events(ticket, events, took);
    m_handler.m_admission.part_crashes().record_progress(m_request.m_shared_parts,
                                                         m_current_call->events_relayed(), monotonic_now());
  };
  options.m_on_response_metadata = [this, &grant,
                                    created_at = monotonic_now()](const response_metadata& metadata) {
    const time_point now = monotonic_now();
    auto& dispatcher = m_handler.m_admission.dispatcher();
    if (metadata.m_load) {
      dispatcher.record_reported_load(grant.m_server.m_id, *metadata.m_load, now);
    }
    if (!m_route->m_streamed && metadata.m_has_server_stamp && !metadata.m_not_run &&
        !metadata.m_misdirected) {
      record_run(); // the server has run it, also if the response is a failure
    }
    if (metadata.m_cold_remaining) {
      dispatcher.extend_cold_period(grant.m_server.m_id, *metadata.m_cold_remaining, now);
    }
    m_handler.m_admission.record_limit(grant.m_server, metadata, created_at);
    m_handler.m_admission.record_brittle(grant.m_server, metadata, created_at);
  };
  options.m_on_server_notices = [this, &grant](const response_metadata& metadata, std::string_view proxy) {
    m_handler.m_admission.record_notices(grant.m_server, metadata);
    if (!proxy.empty() && !metadata.m_misdirected && (metadata.m_leaving || metadata.m_pause)) {
      m_handler.m_options.m_on_passed_statement(proxy, grant.m_server, metadata);
    }
    if (metadata.m_load && metadata.m_load->m_work_time_percent) {
      m_handler.m_admission.dispatcher().record_work_time(
          grant.m_server.m_id, *metadata.m_load->m_work_time_percent, monotonic_now());
    }
  };
  options.m_may_send = [this, &grant] {
    return m_handler.m_admission.dispatcher().may_send(grant.m_server, monotonic_now());
  };
  options.m_server_is_gone = [this, &grant](const run_end& end) { return is_gone(grant.m_server, end); };
  return options;
}

// Whether the server is known to leave, or must not be sent anything now.
bool request_handler::request_processor::is_leaving(const fleet::backend_server& server) const {
  auto& admission = m_handler.m_admission;
  const auto& listed = admission.known_fleet().backend_servers();
  const auto entry =
      std::find_if(listed.begin(), listed.end(), [&](const auto& each) { return each.m_id == server.m_id; });
  return entry == listed.end() || entry->m_draining ||
         !admission.dispatcher().may_send(server, monotonic_now());
}

// Finds out whether the process of the server ended with the connection of its stream. A server that leaves
// may end right after its last stream, so that its absence would say nothing.
bool request_handler::request_processor::is_gone(const fleet::backend_server& server, const run_end& end) {
  const time_point asked_at = monotonic_now();
  const time_point until = std::min<time_point>(asked_at + survival_timeout, m_deadline);
  if (until <= asked_at || is_leaving(server)) {
    return false;
  }
  auto& survival = m_handler.m_survival;
  const survival_verdict verdict = survival.find_out(server, until);
  m_handler.m_metrics.set_counter("cardamompond_stream_end_verdicts_total", "verdict", to_string(verdict),
                                  static_cast<double>(survival.count(verdict)));
  if (verdict != survival_verdict::answered) {
    log_event(log_level::info, "stream_end_doubted",
              {{"request_id", m_request.m_id},
               {"backend_server", server.m_id},
               {"framing", net::to_string(net::body_framing::connection)},
               {"events", end.m_events},
               {"verdict", to_string(verdict)},
               {"ms", std::chrono::duration_cast<milliseconds>(monotonic_now() - asked_at).count()}});
  }
  return verdict == survival_verdict::gone;
}

// A request counts once, however many servers run it.
void request_handler::request_processor::record_run() {
  if (!std::exchange(m_run_recorded, true)) {
    m_handler.m_options.m_on_run(m_account);
  }
}

std::unique_ptr<request_handler::request_processor::attempt>
request_handler::request_processor::make_attempt(fleet::dispatch_grant grant) {
  auto next = std::make_unique<attempt>(attempt{std::move(grant), nullptr});
  next->m_call = std::make_unique<backend_call>(m_handler.m_client, m_handler.m_protocol,
                                                make_call_options(next->m_grant));
  return next;
}

// Called while the current call is silent. Returns whether another server takes over.
bool request_handler::request_processor::handle_silence(const fleet::dispatch_grant& grant) {
  m_handler.m_admission.dispatcher().record_silence(grant.m_ticket, monotonic_now());
  // A response that is not streamed may just be late; its end tells.
  if (m_route->m_streamed && !std::exchange(m_silence_recorded, true)) {
    record_version_outcome(grant, false, *m_current_call, m_granted_at);
  }
  return prepare_replacement();
}

// Secures another server that can take over at once. The silent call must not be given up before that,
// because its server may be sound and go on. Returns whether to give it up now; serve() uses the replacement
// also if the silent call ends by itself.
bool request_handler::request_processor::prepare_replacement() {
  if (m_replacement) {
    return true;
  }
  auto& admission = m_handler.m_admission;
  if (m_caller_disconnected || m_deadline - monotonic_now() < refusal_time + min_time_for_retry ||
      m_possible_runs + 1 >= m_route->m_max_attempts ||
      (m_relay.m_head_sent && !m_relay.m_splitter.can_resume()) || !admission.has_retry(m_service)) {
    return false;
  }
  if (admission.part_crashes().is_suspected(m_request.m_shared_parts)) {
    return false; // the server may be silent because the request crashed it
  }
  auto submission = make_submission(admission.next_ticket());
  submission.m_excluded_servers.push_back(m_server_id);
  auto grant = admission.try_acquire(std::move(submission));
  if (!grant) {
    return false;
  }
  auto next = make_attempt(std::move(*grant));
  m_prepared_call = next->m_call.get();
  const auto failure = next->m_call->prepare();
  m_prepared_call = nullptr;
  if (failure) {
    log_dispatch_failure(next->m_grant, *failure, *next->m_call, {});
    admission.dispatcher().finish(next->m_grant.m_ticket, to_server_outcome(*failure, 0), monotonic_now());
    return false;
  }
  if (m_caller_disconnected || m_current_call->has_unread_data() || !admission.take_retry(m_service)) {
    admission.dispatcher().release(next->m_grant.m_ticket);
    return false;
  }
  if (!offer_to_replacement(*next)) {
    return false;
  }
  m_replacement = std::move(next);
  return !m_current_call->has_ended(); // the end of the silent call may be that of a complete response
}

// Sends the request to the server that should take over. Returns false if that server does not take it, or if
// the silent one has gone on in the meantime.
bool request_handler::request_processor::offer_to_replacement(attempt& next) {
  if (m_exchange.request().m_body.size() > max_offered_body_bytes) {
    return true; // sent after the silent call has been closed
  }
  const time_point offered_at = monotonic_now();
  auto outcome = next.m_call->offer(refusal_time);
  const bool goes_on = m_current_call->has_unread_data() && !m_current_call->has_ended();
  if (!outcome && (m_caller_disconnected || goes_on)) {
    next.m_call->cancel();
    outcome = call_outcome::caller_gone;
  }
  if (!outcome) {
    return true;
  }
  const bool silence_recorded = std::exchange(m_silence_recorded, false);
  record_prompt_outcome(next.m_grant, *outcome, *next.m_call);
  record_call_outcome(next.m_grant, *outcome, *next.m_call, offered_at);
  m_silence_recorded = silence_recorded;
  return false;
}

// Ends the call to the server that should take over, since the silent one has answered after all or the
// caller has gone.
void request_handler::request_processor::release_replacement(call_outcome outcome) {
  const auto released = std::exchange(m_replacement, nullptr);
  log_event(log_level::info, "replacement_released",
            {{"request_id", m_request.m_id},
             {"backend_server", released->m_grant.m_server.m_id},
             {"end", to_string(outcome)}});
  m_handler.m_admission.dispatcher().release(released->m_grant.m_ticket);
}

std::optional<request_error> request_handler::request_processor::serve() {
  auto& admission = m_handler.m_admission;
  while (true) {
    auto current = std::exchange(m_replacement, nullptr);
    if (!current) {
      const fleet::ticket ticket = admission.next_ticket();
      m_waiting_ticket = ticket;
      const time_point queued_since = monotonic_now();
      admission_result decision = m_caller_disconnected || m_handler.m_ending
                                      ? admission_result{}
                                      : admission.acquire(make_submission(ticket));
      m_waiting_ticket = 0;
      m_queued += monotonic_now() - queued_since;
      if (auto* grant = std::get_if<fleet::dispatch_grant>(&decision)) {
        // The part may have been found to crash servers while the request waited or ran.
        if (auto refusal = refuse_crashing_part()) {
          admission.dispatcher().release(grant->m_ticket);
          if (!m_may_have_run && m_quota_units > 0) {
            admission.quotas().refund(m_account, m_quota_units);
          }
          admission.deliver_decisions();
          return refusal;
        }
        begin_part_test();
        current = make_attempt(std::move(*grant));
      } else {
        handle_refusal(decision);
        return finish_after_failure();
      }
    }
    m_granted_at = monotonic_now();
    const call_outcome outcome = dispatch(*current);
    const bool answered = outcome == call_outcome::answered || outcome == call_outcome::relayed;
    if (m_replacement && !answered && outcome != call_outcome::caller_gone) {
      continue; // the replacement may have the request already
    }
    if (m_replacement) {
      release_replacement(outcome);
    }
    if (answered) {
      return std::nullopt;
    }
    if (!may_retry(outcome, *current->m_call)) {
      return finish_after_failure();
    }
  }
}

void request_handler::request_processor::handle_refusal(const admission_result& decision) {
  const auto* refusal = std::get_if<fleet::dispatch_refusal>(&decision);
  if (refusal == nullptr) {
    m_last_outcome = call_outcome::caller_gone;
    return;
  }
  const bool planned = m_handler.m_admission.dispatcher().overload_control_enabled(m_service);
  m_retry_after = std::clamp(std::chrono::duration_cast<milliseconds>(refusal->m_retry_after),
                             min_retry_after, planned ? max_planned_retry_after : max_retry_after);
  m_failure_reason =
      refusal->m_reason == fleet::refusal_reason::no_backend_server ? "no backend server in service"
      : refusal->m_reason == fleet::refusal_reason::paused          ? "all backend servers asked for a pause"
                                                                    : "no room on any backend server";
}

call_outcome request_handler::request_processor::dispatch(attempt& current) {
  const time_point dispatched_at = monotonic_now();
  const auto& grant = current.m_grant;
  backend_call& call = *current.m_call;
  m_server_id = grant.m_server.m_id;
  m_current_call = &call;
  call_outcome outcome = call.run();
  m_current_call = nullptr;
  m_reserving = call.reservation_time();
  record_prompt_outcome(grant, outcome, call);
  m_last_outcome = outcome;
  const int status = call.response().m_status;
  if (outcome == call_outcome::answered && status_implies_not_run(status)) {
    outcome = call_outcome::broken; // the status implies not run, but the server does not state this
    m_last_outcome = outcome;
  }
  if (outcome == call_outcome::answered && m_relay.m_head_sent) {
    outcome = call_outcome::broken; // a failure response cannot continue a stream
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
