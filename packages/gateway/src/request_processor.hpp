#pragma once

#include "cardamompond/gateway/backend_call.hpp"
#include "cardamompond/gateway/request_handler.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// Bounds of the time after which a refused caller should retry.
inline constexpr milliseconds min_retry_after{50};
inline constexpr milliseconds max_retry_after{4'000};

// Returns how long a caller of a streamed route waits for an event: two seconds, four times the target of the
// first event or eight times the target of the gap between events, whichever is longest.
inline milliseconds abandon_time(const fleet::route& route) {
  constexpr milliseconds min_abandon_time{2'000};
  constexpr int first_token_target_factor = 4;
  constexpr int event_gap_target_factor = 8;
  return std::max({min_abandon_time, route.m_first_token_target * first_token_target_factor,
                   route.m_event_gap_target * event_gap_target_factor});
}
// The same where overload control plans the return within the caller's time left.
inline constexpr milliseconds max_planned_retry_after{30'000};

// Responses with this status or a higher one count as failures of the server.
inline constexpr int first_server_failure_status = 500;

// A retry with less time than this before the deadline is not worth a dispatch.
inline constexpr milliseconds min_time_for_retry{60};

// Converts the outcome of a call to what it says about the health of the server.
fleet::server_outcome to_server_outcome(call_outcome outcome, int status);

// Makes an error for a request that no backend server has run.
inline request_error make_not_run_error(error_code code, std::string message) {
  return {code, verdict::not_run, std::move(message), 0};
}

// Serves one request of a caller, from its arrival to the end of the response.
class request_handler::request_processor {
public:
  request_processor(request_handler& owner, net::http_exchange& exchange)
      : m_handler(owner)
      , m_exchange(exchange)
      , m_arrived_at(monotonic_now()) {
    m_handler.m_running.insert(this);
  }
  ~request_processor() { m_handler.m_running.erase(this); }
  request_processor(const request_processor&) = delete;
  request_processor& operator=(const request_processor&) = delete;

  void run();

  // Ends the request with an error unless its response has begun. Does not block.
  void end();

private:
  // A dispatch that the dispatcher has granted. The call refers to the grant.
  struct attempt {
    fleet::dispatch_grant m_grant;
    std::unique_ptr<backend_call> m_call;
  };

  std::optional<request_error> parse_and_route();
  std::optional<request_error> admit();
  std::optional<request_error> refuse_crashing_part();
  void begin_part_test();
  std::optional<request_error> serve();
  fleet::submission make_submission(fleet::ticket ticket) const;
  std::unique_ptr<attempt> make_attempt(fleet::dispatch_grant grant);
  call_outcome dispatch(attempt& current);
  call_options make_call_options(const fleet::dispatch_grant& grant);
  bool handle_silence(const fleet::dispatch_grant& grant);
  bool is_leaving(const fleet::backend_server& server) const;
  bool is_gone(const fleet::backend_server& server, const run_end& end);
  bool prepare_replacement();
  bool offer_to_replacement(attempt& next);
  void release_replacement(call_outcome outcome);
  void handle_refusal(const admission_result& decision);
  bool may_retry(call_outcome outcome, const backend_call& call);
  void record_prompt_outcome(const fleet::dispatch_grant& grant, call_outcome outcome,
                             const backend_call& call);
  void record_call_outcome(const fleet::dispatch_grant& grant, call_outcome outcome, const backend_call& call,
                           time_point dispatched_at);
  void log_dispatch_failure(const fleet::dispatch_grant& grant, call_outcome outcome,
                            const backend_call& call, duration took) const;
  void record_version_outcome(const fleet::dispatch_grant& grant, bool good, const backend_call& call,
                              time_point dispatched_at);
  std::optional<request_error> finish_after_failure();
  void record_run();
  void handle_disconnect();
  void send_error(const request_error& error);
  void send_response();
  void record_result(std::string_view result, int status);

  std::uint32_t expected_output_tokens() const {
    return m_request.m_expected_output_tokens > 0 ? m_request.m_expected_output_tokens
                                                  : m_request.m_max_output_tokens;
  }

  // The id of the last event that the caller got, as it is logged. A server may send one of any length.
  std::string_view logged_event_id() const {
    constexpr std::size_t max_logged_bytes = 64;
    return std::string_view(m_relay.m_splitter.last_event_id()).substr(0, max_logged_bytes);
  }

  bool retryable() const {
    return m_route->m_execution_semantics == fleet::execution_semantics::idempotent || m_route->m_resumable;
  }

  request_handler& m_handler;
  net::http_exchange& m_exchange;
  time_point m_arrived_at;
  time_point m_deadline;
  duration m_abandon_time{}; // a caller of a stream leaves after this time without an event
  duration m_request_age{};  // time since the caller's first attempt
  caller_request m_request;
  std::shared_ptr<const fleet::route_table> m_routes; // in force when the request arrived
  const fleet::route* m_route = nullptr;
  std::string m_account;
  std::uint32_t m_rank = 0;
  std::string m_service;
  double m_quota_units = 0;
  hash128 m_content_hash;
  std::optional<milliseconds> m_retry_after;

  bool m_caller_disconnected = false;
  fleet::ticket m_waiting_ticket = 0; // 0: the request is not waiting for a backend server
  backend_call* m_current_call = nullptr;
  backend_call* m_prepared_call = nullptr; // of the replacement that is being secured
  bool m_silence_recorded = false;         // of the current call, as a bad outcome of the version
  std::unique_ptr<attempt> m_replacement;  // takes over from the current call, which is silent

  stream_relay m_relay;
  std::vector<std::string> m_tried_servers;
  std::uint32_t m_dispatches = 0;    // all dispatches, including those to servers without room
  std::uint32_t m_possible_runs = 0; // dispatches after which the request may have run
  call_outcome m_last_outcome = call_outcome::refused;
  net::body_framing m_last_framing = net::body_framing::none; // of the last dispatch
  bool m_may_have_run = false;
  bool m_run_recorded = false;
  std::optional<net::http_response> m_held_response; // sent to the caller unless a later response replaces it
  time_point m_granted_at;
  duration m_queued{};    // time in the dispatcher's queue, before all dispatches
  duration m_reserving{}; // time that the reservation for the last dispatch took
  time_point m_first_token_at;
  std::string m_server_id;
  std::string m_failure_reason;
};

} // namespace cardamompond::gateway
