#include "request_processor.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamompond::gateway {
namespace {

std::int64_t to_ms(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

// Whether the server may have run the request of a call with that outcome.
bool may_have_run_after(call_outcome outcome, const backend_call& call) {
  return (outcome != call_outcome::caller_gone || call.sent()) && outcome != call_outcome::refused &&
         outcome != call_outcome::no_room && outcome != call_outcome::misdirected &&
         outcome != call_outcome::unreachable && outcome != call_outcome::withheld;
}

} // namespace

fleet::server_outcome to_server_outcome(call_outcome outcome, int status) {
  switch (outcome) {
  case call_outcome::answered:
    return status >= first_server_failure_status ? fleet::server_outcome::failed
                                                 : fleet::server_outcome::answered;
  case call_outcome::relayed:
  case call_outcome::caller_gone:
    return fleet::server_outcome::answered;
  case call_outcome::refused:
  case call_outcome::no_room:
    return fleet::server_outcome::refused;
  case call_outcome::misdirected:
    return fleet::server_outcome::misdirected;
  case call_outcome::withheld:
    return fleet::server_outcome::not_sent;
  case call_outcome::unreachable:
    return fleet::server_outcome::unreachable;
  case call_outcome::broken:
    return fleet::server_outcome::broken;
  case call_outcome::silent:
  case call_outcome::out_of_time:
    break;
  }
  return fleet::server_outcome::timed_out;
}

// Records what the end of a call says about the parts of the prompt. A server that crashes closes its
// connections, however much of the answer has come; a call that the daemon ends, or one whose link is lost,
// says nothing.
void request_handler::request_processor::record_prompt_outcome(const fleet::dispatch_grant& grant,
                                                               call_outcome outcome,
                                                               const backend_call& call) {
  if (m_request.m_shared_parts.empty()) {
    return;
  }
  constexpr int first_non_success_status = 300;
  auto& admission = m_handler.m_admission;
  const time_point now = monotonic_now();
  if (outcome == call_outcome::broken && call.closed_by_server()) {
    admission.part_crashes().record_crash(
        m_request.m_shared_parts, fleet::server_id_hash(grant.m_server.m_id), call.events_relayed(), now);
    admission.update_part_verdicts(now);
  } else if (outcome == call_outcome::relayed ||
             (outcome == call_outcome::answered && call.response().m_status < first_non_success_status)) {
    admission.part_crashes().record_answer(m_request.m_shared_parts, now);
  }
}

void request_handler::request_processor::record_call_outcome(const fleet::dispatch_grant& grant,
                                                             call_outcome outcome, const backend_call& call,
                                                             time_point dispatched_at) {
  auto& admission = m_handler.m_admission;
  const time_point now = monotonic_now();
  const int status = call.response().m_status;
  m_failure_reason = call.failure();
  m_last_framing = call.framing();
  ++m_dispatches;
  // A server without room may have room soon, and a silent one may go on.
  if (outcome != call_outcome::no_room && outcome != call_outcome::silent) {
    m_tried_servers.push_back(grant.m_server.m_id);
  }
  const bool may_have_run = may_have_run_after(outcome, call);
  if (may_have_run) {
    ++m_possible_runs;
    m_may_have_run = true;
  }
  admission.dispatcher().finish(grant.m_ticket, to_server_outcome(outcome, status), now);
  const bool good = outcome == call_outcome::relayed ||
                    (outcome == call_outcome::answered && status < first_server_failure_status);
  const bool bad = outcome == call_outcome::broken || outcome == call_outcome::silent ||
                   (outcome == call_outcome::answered && status >= first_server_failure_status);
  if (good) {
    admission.crashes().record_response(m_content_hash, now);
  } else if (outcome == call_outcome::broken && call.closed_by_server()) {
    admission.crashes().record_broken_connection(m_content_hash, hash64(grant.m_server.m_id), now);
  }
  const bool recorded = std::exchange(m_silence_recorded, false);
  if ((good || bad) && !recorded) {
    record_version_outcome(grant, good, call, dispatched_at);
  }
  if (!good && outcome != call_outcome::no_room) {
    log_dispatch_failure(grant, outcome, call, now - dispatched_at);
  }
  admission.deliver_decisions(); // the server has room for another request now
}

void request_handler::request_processor::log_dispatch_failure(const fleet::dispatch_grant& grant,
                                                              call_outcome outcome, const backend_call& call,
                                                              duration took) const {
  log_event(log_level::info, "dispatch_failed",
            {{"request_id", m_request.m_id},
             {"backend_server", grant.m_server.m_id},
             {"end", to_string(outcome)},
             {"status", outcome == call_outcome::answered ? call.response().m_status : 0},
             {"reason", call.failure()},
             {"ms", to_ms(took)},
             {"connection_reused", call.connection_reused()},
             {"framing", net::to_string(call.framing())},
             {"body_bytes_due", call.body_bytes_due()},
             {"events", call.events_relayed()},
             {"last_event_id", logged_event_id()},
             {"may_have_run", may_have_run_after(outcome, call)}});
}

void request_handler::request_processor::record_version_outcome(const fleet::dispatch_grant& grant, bool good,
                                                                const backend_call& call,
                                                                time_point dispatched_at) {
  auto& rollouts = m_handler.m_admission.rollout_controller();
  if (!rollouts.is_evaluating(m_service)) {
    return;
  }
  const fleet::request_sample sample{
      .m_service = m_service,
      .m_version = grant.m_server.m_version,
      .m_route = m_route->m_name,
      .m_server_id = grant.m_server.m_id,
      .m_good = good,
      .m_cold = grant.m_condition.m_cold,
      .m_running = grant.m_condition.m_running,
      .m_prompt_tokens = m_request.m_prompt_tokens,
      .m_time_to_first_token =
          (m_first_token_at > dispatched_at ? m_first_token_at : monotonic_now()) - dispatched_at,
      .m_event_gap = call.median_event_gap()};
  rollouts.record_outcome(sample);
  log_event(
      log_level::info, "rollout_observation",
      {{"request_id", m_request.m_id},
       {"backend_server", sample.m_server_id},
       {"version", sample.m_version},
       {"route", sample.m_route},
       {"good", good},
       {"running", sample.m_running},
       {"cold", sample.m_cold},
       {"prompt_tokens", sample.m_prompt_tokens},
       {"first_ms", to_ms(sample.m_time_to_first_token)},
       {"event_gap_us", std::chrono::duration_cast<std::chrono::microseconds>(sample.m_event_gap).count()}});
}

// Decides whether the request is sent again after a dispatch that ended without a response for the caller.
bool request_handler::request_processor::may_retry(call_outcome outcome, const backend_call& call) {
  if (m_caller_disconnected || outcome == call_outcome::caller_gone || outcome == call_outcome::out_of_time ||
      m_deadline - monotonic_now() < min_time_for_retry) {
    return false;
  }
  if (may_have_run_after(outcome, call)) {
    if (!retryable() || m_possible_runs >= m_route->m_max_attempts) {
      return false;
    }
    if (m_relay.m_head_sent && (!m_route->m_resumable || !m_relay.m_splitter.can_resume())) {
      return false;
    }
    if (!m_relay.m_head_sent && m_handler.m_admission.part_crashes().is_suspected(m_request.m_shared_parts)) {
      return false;
    }
  }
  if (outcome == call_outcome::unreachable || outcome == call_outcome::no_room ||
      outcome == call_outcome::withheld) {
    return true; // no server received the request
  }
  if (!m_may_have_run) {
    // Without a server to send the request to, it is refused instead of taking a retry.
    if (const auto delay = m_handler.m_admission.dispatcher().retry_delay_for_pauses(
            m_service, m_tried_servers, monotonic_now())) {
      m_retry_after =
          std::clamp(std::chrono::duration_cast<milliseconds>(*delay), min_retry_after, max_retry_after);
      return false;
    }
  }
  return m_handler.m_admission.take_retry(m_service);
}

// Ends a request that gets no further dispatch. Returns the error for the caller, or nothing if the held
// response of a server was sent.
std::optional<request_error> request_handler::request_processor::finish_after_failure() {
  if (m_held_response && !m_relay.m_head_sent) {
    send_response();
    return std::nullopt;
  }
  if (!m_may_have_run) {
    // The request never ran, so the units go back to the account.
    if (m_quota_units > 0) {
      m_handler.m_admission.quotas().refund(m_account, m_quota_units);
    }
    if (!m_retry_after) {
      m_retry_after = min_retry_after;
    }
    if (m_handler.m_ending) {
      return make_not_run_error(error_code::shutting_down, "this daemon stops; try another one");
    }
    return make_not_run_error(error_code::queue_full,
                              m_failure_reason.empty() ? "no capacity" : m_failure_reason);
  }
  if (m_handler.m_ending) {
    m_failure_reason = "this daemon stops before the answer is complete";
  }
  if (m_last_outcome == call_outcome::out_of_time) {
    return request_error{error_code::deadline_exceeded, verdict::may_have_run,
                         "the deadline passed before the answer was complete", 0};
  }
  return request_error{error_code::backend_failed, verdict::may_have_run,
                       m_failure_reason.empty() ? "the backend server failed" : m_failure_reason, 0};
}

void request_handler::request_processor::send_response() {
  net::http_response response;
  response.m_status = m_held_response->m_status;
  response.m_headers = m_handler.m_protocol.make_caller_headers(*m_held_response);
  response.m_body = std::move(m_held_response->m_body);
  const bool sent = static_cast<bool>(m_exchange.respond(response));
  record_result(sent ? "answered" : "caller_gone", response.m_status);
}

void request_handler::request_processor::send_error(const request_error& error) {
  if (m_relay.m_head_sent) {
    // Closes without the final chunk, so that the caller sees that the response is incomplete.
    m_exchange.close_after_response();
    record_result("broken", 0);
    return;
  }
  if (m_caller_disconnected) {
    m_exchange.close_after_response();
    record_result("caller_gone", 0);
    return;
  }
  const auto response = m_handler.m_protocol.make_error_response(error, m_request.m_id, m_retry_after);
  std::ignore = m_exchange.respond(response);
  if (m_route == nullptr || (m_account.empty() && !m_route->m_allows_anonymous)) {
    m_handler.m_metrics.count_rejected(error.m_code);
  }
  m_failure_reason = error.m_message;
  record_result(to_string(error.m_code), response.m_status);
}

void request_handler::request_processor::record_result(std::string_view result, int status) {
  const time_point now = monotonic_now();
  auto& metrics = m_handler.m_metrics;
  const std::string_view route = m_route == nullptr ? std::string_view() : std::string_view(m_route->m_name);
  if (m_route != nullptr) {
    metrics.count_request(m_account, route, result);
    if (m_granted_at != time_point{}) {
      metrics.observe_queue_wait(m_account, route, m_granted_at - m_arrived_at);
    }
    if (m_first_token_at != time_point{}) {
      metrics.observe_first_token(m_account, route, m_first_token_at - m_arrived_at);
    }
    if (result == "answered") {
      metrics.observe_response_time(m_account, route, now - m_arrived_at);
    }
  }
  const auto& known_fleet = m_handler.m_admission.known_fleet();
  log_event(log_level::info, "request_ended",
            {{"request_id", m_request.m_id},
             {"result", result},
             {"status", status},
             {"verdict", m_may_have_run ? "may-have-run" : "not-run"},
             {"route", route},
             {"account", m_account},
             {"rank", m_rank},
             {"backend_server", m_server_id},
             {"dispatches", m_dispatches},
             {"last_end", m_dispatches == 0 ? std::string_view("none") : to_string(m_last_outcome)},
             {"framing", net::to_string(m_last_framing)},
             {"reason", m_failure_reason},
             {"prompt_tokens", m_request.m_prompt_tokens},
             {"max_output_tokens", m_request.m_max_output_tokens},
             {"expected_output_tokens", m_request.m_expected_output_tokens},
             {"events", m_relay.m_events_relayed},
             {"last_event_id", logged_event_id()},
             {"age_ms", to_ms(m_request_age)},
             {"retry_after_ms", m_retry_after ? m_retry_after->count() : -1},
             {"wait_ms", m_granted_at == time_point{} ? -1 : to_ms(m_granted_at - m_arrived_at)},
             {"queued_ms", to_ms(m_queued)},
             {"reserving_ms", to_ms(m_reserving)},
             {"first_ms", m_first_token_at == time_point{} ? -1 : to_ms(m_first_token_at - m_arrived_at)},
             {"first_target_ms", m_route == nullptr ? 0 : to_ms(m_route->m_first_token_target)},
             {"longest_pause_ms", to_ms(m_relay.m_longest_pause)},
             {"pause_target_ms", m_route == nullptr ? 0 : to_ms(m_route->m_event_gap_target)},
             {"total_ms", to_ms(now - m_arrived_at)},
             {"declarations", m_routes ? m_routes->source().m_version : 0},
             {"servers_age_ms",
              to_ms(now - known_fleet.collection(collection_kind::backend_servers).confirmed_at())}});
}

} // namespace cardamompond::gateway
