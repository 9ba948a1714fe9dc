#pragma once

#include "cardamompond/gateway/backend_call.hpp"
#include "cardamompond/gateway/request_handler.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// Bounds of the time after which a refused caller should come back.
inline constexpr milliseconds min_retry_after{50};
inline constexpr milliseconds max_retry_after{4'000};

// Answers of a server with this status or a higher one are failures of its own.
inline constexpr int first_server_failure = 500;

// An error about a request that was not sent anywhere.
inline request_error not_run(error_code code, std::string message) {
  return {code, verdict::not_run, std::move(message), 0};
}

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
  call_outcome dispatch(const fleet::dispatch_grant& grant);
  call_options make_call_options(const fleet::dispatch_grant& grant);
  bool may_repeat(call_outcome end);
  void note_end_of_call(const fleet::dispatch_grant& grant, call_outcome end, const backend_call& call,
                        time_point begun);
  std::optional<request_error> error_of_end();
  void on_caller_gone();
  void answer_error(const request_error& error);
  void pass_answer();
  void report(std::string_view result, int status);

  std::uint32_t expected_output_tokens() const {
    return m_request.m_expected_output_tokens > 0 ? m_request.m_expected_output_tokens
                                                  : m_request.m_max_output_tokens;
  }

  bool repeatable() const {
    return m_route->m_repetition == fleet::repetition::idempotent || m_route->m_resumable;
  }

  request_handler& m_owner;
  net::http_exchange& m_exchange;
  time_point m_arrived;
  time_point m_deadline;
  duration m_age{}; // since the caller sent it first
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
  std::uint32_t m_dispatches = 0; // attempts at a server, those without room included
  std::uint32_t m_runs = 0;       // dispatches that may have run
  call_outcome m_last_end = call_outcome::refused;
  bool m_may_have_run = false;
  std::optional<net::http_response> m_held; // a failure of a server's own, passed on if nothing better comes
  time_point m_granted;
  time_point m_first_answer;
  std::string m_server;
  std::string m_failure;
};

} // namespace cardamompond::gateway
