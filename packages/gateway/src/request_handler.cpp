#include "cardamompond/gateway/request_handler.hpp"

#include "request_processor.hpp"

#include <utility>
#include <vector>

namespace cardamompond::gateway {
namespace {

// Other daemons have memory at once, and this one when requests that were refused have ended.
constexpr milliseconds memory_retry_after{1'000};

} // namespace

request_handler::request_handler(net::http_client& client, admission_controller& admission,
                                 const request_protocol& protocol, request_metrics& metrics,
                                 request_handler_options options)
    : m_client(client)
    , m_admission(admission)
    , m_protocol(protocol)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_server_probe(client, protocol)
    , m_survival(m_server_probe) {}

void request_handler::handle(net::http_exchange& exchange) {
  request_processor(*this, exchange).run();
}

void request_handler::end_requests() {
  m_ending = true;
  const std::vector<request_processor*> running(m_running.begin(), m_running.end());
  for (auto* each : running) {
    each->end();
  }
}

net::http_response request_handler::make_parse_failure_response(net::http_parse_failure failure) const {
  request_error error = make_not_run_error(error_code::bad_request, "the request is not valid HTTP");
  if (failure == net::http_parse_failure::body_too_large) {
    error = make_not_run_error(error_code::too_large, "the body is over the limit");
  } else if (failure == net::http_parse_failure::header_too_large) {
    error = make_not_run_error(error_code::header_too_large, "the header is over the limit");
  } else if (failure == net::http_parse_failure::memory_exhausted) {
    error = make_not_run_error(error_code::overloaded, "this daemon has no memory left for the request");
    m_metrics.count_rejected(error.m_code);
    return m_protocol.make_error_response(error, "", memory_retry_after);
  }
  m_metrics.count_rejected(error.m_code);
  return m_protocol.make_error_response(error, "", std::nullopt);
}

} // namespace cardamompond::gateway
