#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <functional>
#include <memory>

namespace cardamompond::gateway {

struct request_handler_options {
  // Whether requests are still taken; false where the process would end before the answer.
  std::function<bool(bool streamed)> m_accepts = [](bool /*streamed*/) { return true; };
};

// Serves the requests of callers: finds the route and the account, keeps the quota, waits for a backend
// server, sends the request and passes the answer on. Each request runs on the fiber of its connection.
class request_handler {
public:
  request_handler(net::http_client& client, admission_controller& admission, const request_protocol& protocol,
                  request_metrics& metrics, request_handler_options options);

  void handle(net::http_exchange& exchange);

  // The answer to a message that could not be read.
  net::http_response answer_parse_failure(net::http_parse_failure failure) const;

private:
  class request_execution;

  net::http_client& m_client;
  admission_controller& m_admission;
  const request_protocol& m_protocol;
  request_metrics& m_metrics;
  request_handler_options m_options;
};

} // namespace cardamompond::gateway
