#include "cardamompond/gateway/request_handler.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/gateway/backend_call.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace cardamompond::gateway {
namespace {

// For callers that state no time of their own, on routes without one.
constexpr milliseconds default_timeout{60'000};

// Callers of streams leave when nothing comes for two seconds, four times the goal of the first event or
// eight times that of a pause, whichever is longest.
constexpr milliseconds min_caller_patience{2'000};
constexpr int caller_patience_in_goals = 4;
constexpr int caller_patience_in_gaps = 8;

// Silence after which a stream goes on at another server. Callers leave a stream after two seconds or more.
constexpr milliseconds stream_silence{1'300};

constexpr milliseconds first_event_silence{2'200};

// A repeatable call that has waited for this part of its time without an answer is sent to another server.
constexpr double silent_share = 0.4;

// Bounds of the time after which a refused caller should come back.
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{4'000};

// A repetition needs at least this much time to be worth a dispatch.
constexpr milliseconds min_time_for_repeat{60};

constexpr int first_server_failure = 500;

request_error not_run(error_code code, std::string message) {
  return {code, verdict::not_run, std::move(message), 0};
}

// Statuses that promise that a request has not run; never passed on without the server's own statement.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

double uniform_random() {
  thread_local std::minstd_rand random{std::random_device{}()};
  return std::generate_canonical<double, 16>(random);
}

std::int64_t to_ms(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

fleet::server_outcome to_server_outcome(call_end end, int status) {
  switch (end) {
  case call_end::answered:
    return status >= first_server_failure ? fleet::server_outcome::failed : fleet::server_outcome::answered;
  case call_end::relayed:
  case call_end::caller_gone:
    return fleet::server_outcome::answered;
  case call_end::refused:
    return fleet::server_outcome::refused;
  case call_end::misdirected:
    return fleet::server_outcome::misdirected;
  case call_end::unreachable:
    return fleet::server_outcome::unreachable;
  case call_end::broken:
    return fleet::server_outcome::broken;
  case call_end::silent:
  case call_end::out_of_time:
    break;
  }
  return fleet::server_outcome::silent;
}

} // namespace

// One request of a caller on its way.
class request_handler::request_run {
public:
  request_run(request_handler& owner, net::http_exchange& exchange)
      : m_owner(owner)
      , m_exchange(exchange)
      , m_arrived(monotonic_now()) {}

  void run();

private:
  std::optional<request_error> read();
  std::optional<request_error> admit();
  std::optional<request_error> serve();
  fleet::submission make_submission(fleet::ticket ticket) const;
  call_end dispatch(const fleet::dispatch_grant& grant);
  call_options make_call_options(const fleet::dispatch_grant& grant);
  bool may_repeat(call_end end);
  void note_end_of_call(const fleet::dispatch_grant& grant, call_end end, const backend_call& call,
                        time_point begun);
  std::optional<request_error> error_of_end();
  void on_caller_gone();
  void answer_error(const request_error& error);
  void pass_answer();
  void report(std::string_view result, int status);

  bool repeatable() const {
    return m_route->m_repetition == fleet::repetition::idempotent || m_route->m_resumable;
  }

  request_handler& m_owner;
  net::http_exchange& m_exchange;
  time_point m_arrived;
  time_point m_deadline;
  caller_request m_request;
  std::shared_ptr<const fleet::route_table> m_routes; // in force when the request arrived
  const fleet::route* m_route = nullptr;
  std::string m_account;
  std::uint32_t m_rank = 0;
  std::string m_service;
  double m_units = 0;
  hash128 m_content;
  std::optional<milliseconds> m_retry_after;

  bool m_caller_gone = false;
  fleet::ticket m_waiting_for = 0; // 0: not waiting
  backend_call* m_call = nullptr;

  stream_relay m_relay;
  std::vector<std::string> m_tried;
  std::uint32_t m_runs = 0; // dispatches that may have run
  call_end m_last_end = call_end::refused;
  bool m_may_have_run = false;
  std::optional<net::http_response> m_held; // a failure of a server's own, passed on if nothing better comes
  time_point m_granted;
  time_point m_first_answer;
  std::string m_server;
  std::string m_failure;
};

void request_handler::request_run::run() {
  m_exchange.watch_caller([this] { on_caller_gone(); });
  auto error = read();
  if (!error) {
    error = admit();
  }
  if (!error) {
    error = serve();
  }
  if (error) {
    answer_error(*error);
  }
}

void request_handler::request_run::on_caller_gone() {
  m_caller_gone = true;
  if (m_waiting_for != 0) {
    m_owner.m_admission.cancel(m_waiting_for);
  }
  // A request that must not be repeated is left to end: its effect is wanted even if nobody hears the answer.
  if (m_call != nullptr && (m_route->m_streamed || repeatable())) {
    m_call->abandon();
  }
}

std::optional<request_error> request_handler::request_run::read() {
  auto parsed = m_owner.m_protocol.read_request(m_exchange.request());
  if (!parsed) {
    return parsed.error();
  }
  m_request = std::move(*parsed);
  m_routes = m_owner.m_admission.knowledge().routes();
  if (!m_routes) {
    m_retry_after = min_retry_after;
    return not_run(error_code::isolated, "this daemon has no declarations yet");
  }
  m_route = m_routes->find_route(m_request.m_host, m_exchange.request().path());
  if (m_route == nullptr) {
    return not_run(error_code::not_found, "no route for this host and path");
  }
  if (!m_owner.m_options.m_accepts(m_route->m_streamed)) {
    m_exchange.close_after();
    m_retry_after = min_retry_after;
    return not_run(error_code::shutting_down, "this daemon stops; try another one");
  }
  m_rank = m_route->m_rank;
  if (!m_route->m_anonymous && !m_routes->source().m_client_accounts.empty()) {
    const auto* account = m_request.m_key ? m_routes->find_account(*m_request.m_key) : nullptr;
    if (account == nullptr) {
      return not_run(error_code::unauthorized, "the key is missing or unknown");
    }
    m_account = account->m_name;
    if (account->m_has_rank) {
      m_rank = account->m_rank;
    }
    m_units = !account->m_counts_tokens ? 1
              : m_request.m_states_tokens
                  ? static_cast<double>(m_request.m_prompt_tokens) + m_request.m_max_output_tokens
                  : account->m_default_tokens;
  }
  return std::nullopt;
}

std::optional<request_error> request_handler::request_run::admit() {
  auto& decisions = m_owner.m_admission;
  milliseconds time = m_route->m_timeout.count() > 0 ? m_route->m_timeout : default_timeout;
  if (m_request.m_patience) {
    time = std::min(time, *m_request.m_patience);
  }
  m_deadline = m_arrived + time;
  m_service = fleet::route_table::pick_service(*m_route, uniform_random());
  const auto& request = m_exchange.request();
  m_content = hash_content(request.m_target + '\n' + m_account + '\n' + request.m_body);
  if (decisions.crashes().refused(m_content, m_arrived)) {
    m_retry_after = max_retry_after;
    return not_run(error_code::crashing_request, "this request has crashed backend servers and is refused");
  }
  if (!m_account.empty() && !decisions.quota().admit(m_account, m_units, m_arrived)) {
    m_retry_after =
        std::clamp(decisions.quota().time_to_refill(m_account, m_arrived), min_retry_after, max_retry_after);
    m_units = 0;
    return not_run(error_code::account_limit, "the account is over its quota");
  }
  decisions.note_request(m_service);
  m_relay.m_exchange = &m_exchange;
  return std::nullopt;
}

fleet::submission request_handler::request_run::make_submission(fleet::ticket ticket) const {
  fleet::submission submitted;
  submitted.m_ticket = ticket;
  submitted.m_service = m_service;
  submitted.m_rank = m_rank;
  submitted.m_route_rank = m_route->m_rank;
  submitted.m_affinity = m_request.m_affinity;
  submitted.m_prompt_tokens = m_request.m_prompt_tokens;
  submitted.m_output_tokens = m_request.m_expected_output_tokens > 0 ? m_request.m_expected_output_tokens
                                                                     : m_request.m_max_output_tokens;
  submitted.m_body_bytes = static_cast<std::uint32_t>(m_exchange.request().m_body.size());
  submitted.m_arrived = m_arrived;
  submitted.m_goal = m_arrived + m_route->m_first_answer_goal;
  submitted.m_deadline = m_deadline;
  submitted.m_abandoned = m_deadline;
  if (m_route->m_streamed) {
    const auto patience =
        std::max({min_caller_patience, m_route->m_first_answer_goal * caller_patience_in_goals,
                  m_route->m_event_gap_goal * caller_patience_in_gaps});
    submitted.m_abandoned = std::min(m_deadline, m_arrived + patience);
  }
  submitted.m_avoid = m_tried;
  return submitted;
}

call_options request_handler::request_run::make_call_options(const fleet::dispatch_grant& grant) {
  call_options options;
  options.m_from_caller = &m_exchange.request();
  options.m_terms.m_server = &grant.m_server;
  options.m_terms.m_client_account = m_account;
  if (m_relay.m_begun && !m_relay.m_events.last_event_id().empty()) {
    options.m_terms.m_resume_after = m_relay.m_events.last_event_id();
  }
  options.m_request_id = m_request.m_id;
  options.m_deadline = m_deadline;
  options.m_streamed = m_route->m_streamed;
  options.m_idempotent = repeatable();
  options.m_relay = &m_relay;
  const bool last_attempt = m_runs + 1 >= m_route->m_max_attempts;
  if (m_route->m_resumable && !last_attempt) {
    // Before its first event a stream may wait in the server's queue, whose place it would lose.
    options.m_silence_limit = m_relay.m_begun ? stream_silence : first_event_silence;
  } else if (!m_route->m_streamed && repeatable() && !last_attempt) {
    options.m_silence_limit = std::chrono::duration_cast<duration>((m_deadline - m_arrived) * silent_share);
  }
  options.m_on_first_answer = [this, ticket = grant.m_ticket] {
    m_first_answer = monotonic_now();
    m_owner.m_admission.dispatcher().note_first_answer(ticket, m_first_answer);
  };
  options.m_on_progress = [this, ticket = grant.m_ticket](std::uint64_t events, duration took) {
    m_owner.m_admission.dispatcher().note_events(ticket, events, took);
  };
  options.m_on_facts = [this, &grant](const answer_facts& facts) {
    const time_point now = monotonic_now();
    auto& dispatcher = m_owner.m_admission.dispatcher();
    if (facts.m_load) {
      dispatcher.note_load(grant.m_server.m_id, *facts.m_load, now);
    }
    if (facts.m_cold_remaining) {
      dispatcher.note_cold(grant.m_server.m_id, *facts.m_cold_remaining, now);
    }
  };
  return options;
}

std::optional<request_error> request_handler::request_run::serve() {
  auto& decisions = m_owner.m_admission;
  while (true) {
    const fleet::ticket ticket = decisions.next_ticket();
    m_waiting_for = ticket;
    const admission_result decision =
        m_caller_gone ? admission_result{} : decisions.acquire(make_submission(ticket));
    m_waiting_for = 0;
    if (const auto* grant = std::get_if<fleet::dispatch_grant>(&decision)) {
      m_granted = monotonic_now();
      const call_end end = dispatch(*grant);
      if (end == call_end::answered || end == call_end::relayed) {
        return std::nullopt;
      }
      if (!may_repeat(end)) {
        return error_of_end();
      }
      continue;
    }
    if (const auto* refusal = std::get_if<fleet::dispatch_refusal>(&decision)) {
      m_retry_after = std::clamp(std::chrono::duration_cast<milliseconds>(refusal->m_retry_after),
                                 min_retry_after, max_retry_after);
      m_failure = refusal->m_reason == fleet::refusal_reason::no_backend_server
                      ? "no backend server in service"
                      : "no room on any backend server";
    } else {
      m_last_end = call_end::caller_gone;
    }
    return error_of_end();
  }
}

call_end request_handler::request_run::dispatch(const fleet::dispatch_grant& grant) {
  const time_point begun = monotonic_now();
  m_server = grant.m_server.m_id;
  backend_call call(m_owner.m_client, m_owner.m_protocol, make_call_options(grant));
  m_call = &call;
  call_end end = call.run();
  m_call = nullptr;
  m_last_end = end;
  const int status = call.answer().m_status;
  if (end == call_end::answered && promises_not_run(status)) {
    end = call_end::broken; // the status promises what the server does not state
    m_last_end = end;
  }
  note_end_of_call(grant, end, call, begun);
  if (end == call_end::relayed) {
    const bool finished = static_cast<bool>(m_exchange.finish());
    report(finished ? "answered" : "caller_gone", status);
  } else if (end == call_end::answered) {
    m_held = call.answer();
    if (status >= first_server_failure && repeatable()) {
      return call_end::broken; // held, and passed on unless another server does better
    }
    pass_answer();
  }
  return end;
}

void request_handler::request_run::note_end_of_call(const fleet::dispatch_grant& grant, call_end end,
                                                    const backend_call& call, time_point begun) {
  auto& decisions = m_owner.m_admission;
  const time_point now = monotonic_now();
  const int status = call.answer().m_status;
  m_failure = call.failure();
  m_tried.push_back(grant.m_server.m_id);
  const bool may_run =
      end != call_end::refused && end != call_end::misdirected && end != call_end::unreachable;
  if (may_run) {
    ++m_runs;
    m_may_have_run = true;
  }
  decisions.dispatcher().finish(grant.m_ticket, to_server_outcome(end, status), now);
  const bool good = end == call_end::relayed || (end == call_end::answered && status < first_server_failure);
  const bool bad = end == call_end::broken || end == call_end::silent ||
                   (end == call_end::answered && status >= first_server_failure);
  if (good) {
    decisions.crashes().note_answer(m_content, now);
  } else if (end == call_end::broken) {
    decisions.crashes().note_break(m_content, hash64(grant.m_server.m_id), now);
  }
  if (good || bad) {
    const duration total = now - begun;
    const duration first = m_first_answer > begun ? m_first_answer - begun : total;
    decisions.judge().note_outcome(m_service, grant.m_server.m_version, m_route->m_name, good, first, first,
                                   now);
  }
  if (!good) {
    log_event(log_level::info, "dispatch_failed",
              {{"request_id", m_request.m_id},
               {"backend_server", grant.m_server.m_id},
               {"end", to_string(end)},
               {"status", end == call_end::answered ? status : 0},
               {"reason", m_failure},
               {"ms", to_ms(now - begun)},
               {"may_have_run", may_run}});
  }
  decisions.run(); // a place is free
}

// Decides whether the request is sent again after a dispatch that ended without an answer for the caller.
bool request_handler::request_run::may_repeat(call_end end) {
  if (m_caller_gone || end == call_end::caller_gone || end == call_end::out_of_time ||
      m_deadline - monotonic_now() < min_time_for_repeat) {
    return false;
  }
  const bool certainly_not_run =
      end == call_end::refused || end == call_end::misdirected || end == call_end::unreachable;
  if (!certainly_not_run) {
    if (!repeatable() || m_runs >= m_route->m_max_attempts) {
      return false;
    }
    if (m_relay.m_begun && (!m_route->m_resumable || m_relay.m_events.last_event_id().empty())) {
      return false;
    }
  }
  if (end == call_end::unreachable) {
    return true; // nothing arrived anywhere
  }
  return m_owner.m_admission.take_repeat(m_service);
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
  if (m_last_end == call_end::out_of_time) {
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
  if (m_relay.m_begun) {
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
  const auto& knowledge = m_owner.m_admission.knowledge();
  log_event(log_level::info, "request_ended",
            {{"request_id", m_request.m_id},
             {"result", result},
             {"status", status},
             {"verdict", m_may_have_run ? "may-have-run" : "not-run"},
             {"route", route},
             {"account", m_account},
             {"rank", m_rank},
             {"backend_server", m_server},
             {"dispatches", m_tried.size()},
             {"last_end", m_tried.empty() ? std::string_view("none") : to_string(m_last_end)},
             {"reason", m_failure},
             {"prompt_tokens", m_request.m_prompt_tokens},
             {"max_output_tokens", m_request.m_max_output_tokens},
             {"expected_output_tokens", m_request.m_expected_output_tokens},
             {"events", m_relay.m_events_passed},
             {"wait_ms", m_granted == time_point{} ? -1 : to_ms(m_granted - m_arrived)},
             {"first_ms", m_first_answer == time_point{} ? -1 : to_ms(m_first_answer - m_arrived)},
             {"total_ms", to_ms(now - m_arrived)},
             {"declarations", m_routes ? m_routes->source().m_version : 0},
             {"servers_age_ms", to_ms(now - knowledge.of(collection_kind::backend_servers).confirmed())}});
}

request_handler::request_handler(net::http_client& client, admission& decisions,
                                 const request_protocol& protocol, request_metrics& metrics,
                                 request_handler_options options)
    : m_client(client)
    , m_admission(decisions)
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_options(std::move(options)) {}

void request_handler::handle(net::http_exchange& exchange) {
  request_run(*this, exchange).run();
}

net::http_response request_handler::answer_parse_failure(net::http_parse_failure failure) const {
  request_error error = not_run(error_code::bad_request, "the request is not valid HTTP");
  if (failure == net::http_parse_failure::body_too_large) {
    error = not_run(error_code::too_large, "the body is over the limit");
  } else if (failure == net::http_parse_failure::header_too_large) {
    error = not_run(error_code::header_too_large, "the header is over the limit");
  }
  m_metrics.count_rejected(error.m_code);
  return m_protocol.make_error_answer(error, "", std::nullopt);
}

} // namespace cardamompond::gateway
