#include "request_run.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <tuple>
#include <utility>

namespace cardamompond::gateway {
namespace {

// A repetition needs at least this much time to be worth a dispatch.
constexpr milliseconds min_time_for_repeat{60};

std::int64_t to_ms(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

fleet::server_outcome to_server_outcome(call_outcome end, int status) {
  switch (end) {
  case call_outcome::answered:
    return status >= first_server_failure ? fleet::server_outcome::failed : fleet::server_outcome::answered;
  case call_outcome::relayed:
  case call_outcome::caller_gone:
    return fleet::server_outcome::answered;
  case call_outcome::refused:
  case call_outcome::no_room:
    return fleet::server_outcome::refused;
  case call_outcome::misdirected:
    return fleet::server_outcome::misdirected;
  case call_outcome::unreachable:
    return fleet::server_outcome::unreachable;
  case call_outcome::broken:
    return fleet::server_outcome::broken;
  case call_outcome::silent:
  case call_outcome::out_of_time:
    break;
  }
  return fleet::server_outcome::silent;
}

// Whether the server may have run a request that was sent to it.
bool may_have_run_after(call_outcome end) {
  return end != call_outcome::refused && end != call_outcome::no_room && end != call_outcome::misdirected &&
         end != call_outcome::unreachable;
}

} // namespace

void request_handler::request_run::note_end_of_call(const fleet::dispatch_grant& grant, call_outcome end,
                                                    const backend_call& call, time_point begun) {
  auto& admission = m_owner.m_admission;
  const time_point now = monotonic_now();
  const int status = call.answer().m_status;
  m_failure = call.failure();
  ++m_dispatches;
  if (end != call_outcome::no_room) {
    m_tried.push_back(grant.m_server.m_id); // one without room now may have some soon
  }
  const bool may_run = may_have_run_after(end);
  if (may_run) {
    ++m_runs;
    m_may_have_run = true;
  }
  admission.dispatcher().finish(grant.m_ticket, to_server_outcome(end, status), now);
  const bool good =
      end == call_outcome::relayed || (end == call_outcome::answered && status < first_server_failure);
  const bool bad = end == call_outcome::broken || end == call_outcome::silent ||
                   (end == call_outcome::answered && status >= first_server_failure);
  if (good) {
    admission.crashes().note_answer(m_content, now);
  } else if (end == call_outcome::broken) {
    admission.crashes().note_break(m_content, hash64(grant.m_server.m_id), now);
  }
  if (good || bad) {
    const duration total = now - begun;
    const duration first = m_first_answer > begun ? m_first_answer - begun : total;
    admission.judge().note_outcome(m_service, grant.m_server.m_version, m_route->m_name, good, first, first,
                                   now);
  }
  if (!good && end != call_outcome::no_room) {
    log_event(log_level::info, "dispatch_failed",
              {{"request_id", m_request.m_id},
               {"backend_server", grant.m_server.m_id},
               {"end", to_string(end)},
               {"status", end == call_outcome::answered ? status : 0},
               {"reason", m_failure},
               {"ms", to_ms(now - begun)},
               {"may_have_run", may_run}});
  }
  admission.deliver_decisions(); // a place is free
}

// Decides whether the request is sent again after a dispatch that ended without an answer for the caller.
bool request_handler::request_run::may_repeat(call_outcome end) {
  if (m_caller_gone || end == call_outcome::caller_gone || end == call_outcome::out_of_time ||
      m_deadline - monotonic_now() < min_time_for_repeat) {
    return false;
  }
  if (may_have_run_after(end)) {
    if (!repeatable() || m_runs >= m_route->m_max_attempts) {
      return false;
    }
    if (m_relay.m_head_sent && (!m_route->m_resumable || m_relay.m_splitter.last_event_id().empty())) {
      return false;
    }
  }
  if (end == call_outcome::unreachable || end == call_outcome::no_room) {
    return true; // nothing arrived anywhere
  }
  return m_owner.m_admission.take_retry(m_service);
}

// What the caller is told when nothing more is tried; nothing if it has had its answer.
std::optional<request_error> request_handler::request_run::error_of_end() {
  if (m_held) {
    pass_answer();
    return std::nullopt;
  }
  if (!m_may_have_run) {
    // Never ran, so that the units go back to the account.
    if (m_units > 0) {
      m_owner.m_admission.quota().give_back(m_account, m_units);
    }
    if (!m_retry_after) {
      m_retry_after = min_retry_after;
    }
    return not_run(error_code::queue_full, m_failure.empty() ? "no capacity" : m_failure);
  }
  if (m_last_end == call_outcome::out_of_time) {
    return request_error{error_code::deadline_exceeded, verdict::may_have_run,
                         "the deadline passed before the answer was complete", 0};
  }
  return request_error{error_code::backend_failed, verdict::may_have_run,
                       m_failure.empty() ? "the backend server failed" : m_failure, 0};
}

void request_handler::request_run::pass_answer() {
  net::http_response answer;
  answer.m_status = m_held->m_status;
  answer.m_headers = m_owner.m_protocol.make_caller_headers(*m_held);
  answer.m_body = std::move(m_held->m_body);
  const bool passed = static_cast<bool>(m_exchange.respond(answer));
  report(passed ? "answered" : "caller_gone", answer.m_status);
}

void request_handler::request_run::answer_error(const request_error& error) {
  if (m_relay.m_head_sent) {
    m_exchange
        .close_after(); // without the final chunk, so that the caller sees that the answer is incomplete
    report("broken", 0);
    return;
  }
  if (m_caller_gone) {
    m_exchange.close_after();
    report("caller_gone", 0);
    return;
  }
  const auto answer = m_owner.m_protocol.make_error_answer(error, m_request.m_id, m_retry_after);
  std::ignore = m_exchange.respond(answer);
  if (m_route == nullptr || (m_account.empty() && !m_route->m_anonymous)) {
    m_owner.m_metrics.count_rejected(error.m_code);
  }
  m_failure = error.m_message;
  report(to_string(error.m_code), answer.m_status);
}

void request_handler::request_run::report(std::string_view result, int status) {
  const time_point now = monotonic_now();
  auto& metrics = m_owner.m_metrics;
  const std::string_view route = m_route == nullptr ? std::string_view() : std::string_view(m_route->m_name);
  if (m_route != nullptr) {
    metrics.count_request(m_account, route, result);
    if (m_granted != time_point{}) {
      metrics.observe_queue_wait(m_account, route, m_granted - m_arrived);
    }
    if (m_first_answer != time_point{}) {
      metrics.observe_first_token(m_account, route, m_first_answer - m_arrived);
    }
    if (result == "answered") {
      metrics.observe_whole_answer(m_account, route, now - m_arrived);
    }
  }
  const auto& known_fleet = m_owner.m_admission.known_fleet();
  log_event(log_level::info, "request_ended",
            {{"request_id", m_request.m_id},
             {"result", result},
             {"status", status},
             {"verdict", m_may_have_run ? "may-have-run" : "not-run"},
             {"route", route},
             {"account", m_account},
             {"rank", m_rank},
             {"backend_server", m_server},
             {"dispatches", m_dispatches},
             {"last_end", m_dispatches == 0 ? std::string_view("none") : to_string(m_last_end)},
             {"reason", m_failure},
             {"prompt_tokens", m_request.m_prompt_tokens},
             {"max_output_tokens", m_request.m_max_output_tokens},
             {"expected_output_tokens", m_request.m_expected_output_tokens},
             {"events", m_relay.m_events_relayed},
             {"age_ms", to_ms(m_age)},
             {"wait_ms", m_granted == time_point{} ? -1 : to_ms(m_granted - m_arrived)},
             {"first_ms", m_first_answer == time_point{} ? -1 : to_ms(m_first_answer - m_arrived)},
             {"total_ms", to_ms(now - m_arrived)},
             {"declarations", m_routes ? m_routes->source().m_version : 0},
             {"servers_age_ms",
              to_ms(now - known_fleet.collection(collection_kind::backend_servers).confirmed_at())}});
}

} // namespace cardamompond::gateway
