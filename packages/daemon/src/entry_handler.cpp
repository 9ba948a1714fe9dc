#include "cardamompond/daemon/entry_handler.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <tuple>
#include <utility>

namespace cardamompond::daemon {
namespace {

constexpr milliseconds redispatch_delay{10};

cell::recorded_response to_recorded_response(const buffered_response& buffered) {
  cell::recorded_response recorded;
  recorded.m_status = buffered.m_response.m_status;
  recorded.m_content_type =
      std::string(net::find_header(buffered.m_response.m_headers, "Content-Type").value_or(""));
  recorded.m_complete = buffered.m_complete;
  if (buffered.m_complete) {
    recorded.m_body = buffered.m_response.m_body;
  }
  return recorded;
}

request_error make_refusal(error_code code, std::string message) {
  return {code, verdict::not_run, std::move(message), 1};
}

} // namespace

// Processes one request from its arrival to its response.
class entry_handler::request_processor {
public:
  request_processor(entry_handler& handler, net::http_exchange& exchange)
      : m_handler(handler)
      , m_exchange(exchange)
      , m_caller_watch(handler.m_monitor, exchange, nullptr)
      , m_key(handler.m_permits.next_key())
      , m_request_id(to_hex(hash128{m_key.m_daemon, m_key.m_sequence}))
      , m_arrived(monotonic_now()) {}

  void run();

private:
  std::optional<request_error> validate_request();
  std::optional<request_error> process();
  result<scheduler::grant, request_error> acquire();
  std::optional<request_error> acquire_claim(bool& replayed);
  void replay(const cell::recorded_response& recorded);
  void release_claim_if_not_run(const forward_result& forwarded);
  forward_result forward(const scheduler::grant& permit);
  net::http_request make_backend_request();
  void respond_error(const request_error& error);
  void report_result(std::string_view result, const forward_result* forwarded);

  entry_handler& m_handler;
  net::http_exchange& m_exchange;
  caller_monitor::watch m_caller_watch;
  request_key m_key;
  std::string m_request_id;
  time_point m_arrived;
  time_point m_granted_at;
  time_point m_deadline;
  routed_request m_routed;
  std::optional<cell::claim_ticket> m_claim_ticket;
  std::string m_backend_server;
  std::string m_version;
  bool m_claim_recorded = false;
  bool m_reported = false;
};

void entry_handler::request_processor::run() {
  auto error = validate_request();
  if (!error) {
    error = process();
  }
  if (error) {
    respond_error(*error);
  }
}

std::optional<request_error> entry_handler::request_processor::validate_request() {
  if (!m_handler.m_options.m_accepts_requests()) {
    m_exchange.close_after_response();
    return make_refusal(error_code::shutting_down, "this daemon stops; try another one");
  }
  if (!m_handler.m_router) {
    return make_refusal(error_code::isolated, "this daemon has no configuration yet");
  }
  // The copy keeps the router alive if a new configuration replaces it meanwhile.
  const auto router = m_handler.m_router;
  auto routed = router->route(m_exchange.request());
  if (!routed) {
    return routed.error();
  }
  m_routed = std::move(*routed);
  m_deadline = m_arrived + m_routed.m_timeout;
  if (m_handler.m_options.m_is_quarantined(m_routed.m_fingerprint)) {
    return make_refusal(error_code::crashing_request,
                        "this request has crashed backend servers and is refused");
  }
  return std::nullopt;
}

result<scheduler::grant, request_error> entry_handler::request_processor::acquire() {
  scheduler::submit_event submit;
  submit.m_key = m_key;
  submit.m_service = m_routed.m_service;
  submit.m_client_account = m_routed.m_client_account;
  submit.m_route = m_routed.m_route;
  submit.m_prompt_tokens = m_routed.m_prompt_tokens;
  submit.m_max_output_tokens = m_routed.m_max_output_tokens;
  submit.m_prefix_blocks = m_routed.m_prefix_blocks;
  submit.m_fingerprint = m_routed.m_fingerprint;
  submit.m_arrived = m_arrived;
  submit.m_deadline = m_deadline;
  m_caller_watch.set_callback([this] { m_handler.m_permits.cancel(m_key); });
  auto permit = m_handler.m_permits.acquire(submit);
  m_caller_watch.set_callback(nullptr);
  return permit;
}

std::optional<request_error> entry_handler::request_processor::process() {
  while (true) {
    const auto permit = acquire();
    if (!permit) {
      if (m_claim_ticket) {
        m_handler.m_claims.release(std::move(*m_claim_ticket));
      }
      return permit.error();
    }
    m_granted_at = monotonic_now();
    m_backend_server = permit->m_backend_server;
    m_version = permit->m_version;
    if (m_routed.m_at_most_once && !m_claim_ticket) {
      bool replayed = false;
      if (auto refused = acquire_claim(replayed); refused || replayed) {
        m_handler.m_permits.decline(m_key, scheduler::decline_reason::abandoned);
        return refused;
      }
    }
    const forward_result forwarded = forward(*permit);
    if (forwarded.m_status == forward_status::not_started) {
      // Queue the request again with its claim and original arrival time, until its deadline. The delay
      // bounds the rate of attempts on a backend server that refuses connections.
      boost::this_fiber::sleep_for(redispatch_delay);
      continue;
    }
    release_claim_if_not_run(forwarded);
    if (forwarded.m_status == forward_status::failed) {
      report_result(to_string(forwarded.m_error.m_code), &forwarded);
      return forwarded.m_error;
    }
    if (forwarded.m_status == forward_status::broken) {
      // The final chunk is not sent, so that the caller sees that the response is incomplete.
      m_exchange.close_after_response();
    }
    report_result(forwarded.m_status == forward_status::answered ? "answered" : "broken", &forwarded);
    return std::nullopt;
  }
}

std::optional<request_error> entry_handler::request_processor::acquire_claim(bool& replayed) {
  auto outcome = m_handler.m_claims.claim(
      {m_routed.m_service, m_routed.m_client_account, m_routed.m_idempotency_key, m_routed.m_fingerprint});
  if (auto* error = std::get_if<request_error>(&outcome)) {
    return std::move(*error);
  }
  if (const auto* recorded = std::get_if<cell::recorded_response>(&outcome)) {
    replay(*recorded);
    replayed = true;
    return std::nullopt;
  }
  m_claim_ticket = std::move(std::get<cell::claim_ticket>(outcome));
  return std::nullopt;
}

// Responds to a repeated request with the recorded response of its first execution.
void entry_handler::request_processor::replay(const cell::recorded_response& recorded) {
  if (!recorded.m_complete) {
    respond_error({error_code::in_progress, verdict::may_have_run,
                   "the request has run and was answered with status " + std::to_string(recorded.m_status) +
                       "; its body was too large to be recorded",
                   0});
    return;
  }
  net::http_response response;
  response.m_status = recorded.m_status;
  response.m_headers = {{"Cardamompond-Request-Id", m_request_id}, {"Cardamompond-Replayed", "true"}};
  if (!recorded.m_content_type.empty()) {
    response.m_headers.push_back({"Content-Type", recorded.m_content_type});
  }
  response.m_body = recorded.m_body;
  std::ignore = m_exchange.respond(response);
  report_result("replayed", nullptr);
}

// Releases the claim if the backend server refused the request. The claim is kept if the request may have
// run.
void entry_handler::request_processor::release_claim_if_not_run(const forward_result& forwarded) {
  if (m_claim_ticket && !m_claim_recorded && forwarded.m_error.m_verdict == verdict::not_run &&
      forwarded.m_status == forward_status::failed) {
    m_handler.m_claims.release(std::move(*m_claim_ticket));
  }
}

net::http_request entry_handler::request_processor::make_backend_request() {
  net::http_request& request = m_exchange.request();
  net::http_request backend_request;
  backend_request.m_method = request.m_method;
  backend_request.m_target = m_routed.m_backend_target;
  backend_request.m_headers = end_to_end_headers(request.m_headers);
  backend_request.m_headers.push_back({"Cardamompond-Request-Id", m_request_id});
  backend_request.m_body = std::move(request.m_body); // forward() returns it
  return backend_request;
}

forward_result entry_handler::request_processor::forward(const scheduler::grant& permit) {
  forward_request request;
  request.m_routed = &m_routed;
  request.m_permit = &permit;
  request.m_backend_request = make_backend_request();
  request.m_request_id = m_request_id;
  request.m_deadline = m_deadline;
  if (m_claim_ticket) {
    request.m_record_response = [this](const buffered_response& buffered) {
      m_claim_recorded = true;
      if (const auto recorded =
              m_handler.m_claims.record(std::move(*m_claim_ticket), to_recorded_response(buffered));
          !recorded) {
        log_event(log_level::warning, "claim_record_failed",
                  {{"request_id", m_request_id}, {"reason", recorded.error().m_message}});
      }
    };
  }
  const auto observer = [this](bool first, duration elapsed) {
    if (first) {
      m_handler.m_metrics.observe_first_token(m_routed.m_client_account, m_routed.m_tier,
                                              monotonic_now() - m_arrived);
    } else {
      m_handler.m_metrics.observe_between_tokens(m_routed.m_client_account, m_routed.m_tier, elapsed);
    }
  };
  auto forwarded = m_handler.m_forwarder.forward(m_exchange, m_caller_watch, request, observer);
  m_exchange.request().m_body = std::move(request.m_backend_request.m_body); // for another attempt
  return forwarded;
}

void entry_handler::request_processor::respond_error(const request_error& error) {
  std::ignore = m_exchange.respond(make_error_response(error, m_request_id));
  if (m_routed.m_client_account.empty()) {
    m_handler.m_metrics.count_rejected(error.m_code);
    log_event(log_level::info, "request_rejected",
              {{"request_id", m_request_id}, {"code", to_string(error.m_code)}, {"reason", error.m_message}});
  } else if (!m_reported) {
    report_result(to_string(error.m_code), nullptr);
  }
}

void entry_handler::request_processor::report_result(std::string_view result,
                                                     const forward_result* forwarded) {
  m_reported = true;
  const time_point now = monotonic_now();
  auto& metrics = m_handler.m_metrics;
  metrics.count_request(m_routed.m_client_account, m_routed.m_tier, result);
  if (m_granted_at != time_point{}) {
    metrics.observe_queue_wait(m_routed.m_client_account, m_routed.m_tier, m_granted_at - m_arrived);
  }
  const auto total_ms = std::chrono::duration_cast<milliseconds>(now - m_arrived).count();
  log_event(log_level::info, "request_ended",
            {{"request_id", m_request_id},
             {"account", m_routed.m_client_account},
             {"service", m_routed.m_service},
             {"backend_server", m_backend_server},
             {"version", m_version},
             {"result", result},
             {"status", forwarded != nullptr ? forwarded->m_backend_status : 0},
             {"total_ms", total_ms}});
  if (forwarded == nullptr) {
    return;
  }
  if (forwarded->m_status == forward_status::answered) {
    metrics.observe_response_time(m_routed.m_client_account, m_routed.m_tier, now - m_arrived);
  }
  if (m_handler.m_options.m_record_usage) {
    m_handler.m_options.m_record_usage({m_routed.m_client_account, m_routed.m_service, m_backend_server,
                                        forwarded->m_completed.m_prompt_tokens,
                                        forwarded->m_completed.m_output_tokens,
                                        forwarded->m_completed.m_total_time});
  }
}

entry_handler::entry_handler(net::fiber_runtime& runtime, configuration_source& configuration,
                             permit_client& permits, cell::claim_store& claims, request_metrics& metrics,
                             entry_handler_options options)
    : m_configuration(configuration)
    , m_permits(permits)
    , m_claims(claims)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_forwarder(runtime, permits) {
  set_configuration(m_configuration.current());
  m_configuration.on_change([this](const shared_snapshot& snapshot) { set_configuration(snapshot); });
}

entry_handler::~entry_handler() = default;

void entry_handler::set_configuration(const shared_snapshot& snapshot) {
  if (snapshot) {
    m_router = std::make_shared<const request_router>(snapshot, m_options.m_default_timeout);
  }
}

void entry_handler::handle(net::http_exchange& exchange) {
  request_processor(*this, exchange).run();
}

net::http_response entry_handler::make_parse_failure_response(net::http_parse_failure failure) {
  request_error error = make_refusal(error_code::bad_request, "the request is not valid HTTP");
  if (failure == net::http_parse_failure::body_too_large) {
    error = make_refusal(error_code::too_large, "the body is over the limit max_body_bytes");
  } else if (failure == net::http_parse_failure::header_too_large) {
    error = make_refusal(error_code::header_too_large, "the header is over the limit max_header_bytes");
  } else if (failure == net::http_parse_failure::memory_exhausted) {
    error = make_refusal(error_code::overloaded, "this daemon has no memory left for the request");
  }
  m_metrics.count_rejected(error.m_code);
  const request_key key = m_permits.next_key();
  return make_error_response(error, to_hex(hash128{key.m_daemon, key.m_sequence}));
}

} // namespace cardamompond::daemon
