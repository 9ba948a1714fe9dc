#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/http_server_probe.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/gateway/server_survival.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace cardamompond::gateway {

struct request_handler_options {
  // Whether requests are still accepted. Returns false if the process would end before the response is
  // complete.
  std::function<bool(bool streamed)> m_accepts_requests = [](bool /*streamed*/) { return true; };
  // Called once for each request when it is known to have begun to run at a server.
  std::function<void(std::string_view account)> m_on_run = [](std::string_view /*account*/) {};
  // Called when a server stated in a response that a peer passed on that it leaves or wants a pause.
  std::function<void(std::string_view peer, const fleet::backend_server& server,
                     const response_metadata& metadata)>
      m_on_passed_statement = [](std::string_view /*peer*/, const fleet::backend_server& /*server*/,
                                 const response_metadata& /*metadata*/) {};
};

// Serves the requests of callers: finds the route and the client account, enforces the quota, waits for a
// backend server, sends the request and forwards the response. Each request runs on the fiber of its
// connection.
class request_handler {
public:
  request_handler(net::http_client& client, admission_controller& admission, const request_protocol& protocol,
                  request_metrics& metrics, request_handler_options options);

  void handle(net::http_exchange& exchange);

  // Ends all requests whose response has not begun: each is answered with an error that states whether it may
  // have run. Later requests are answered in the same way if they are not rejected before.
  void end_requests();

  // Returns the response to an HTTP message that could not be parsed.
  net::http_response make_parse_failure_response(net::http_parse_failure failure) const;

private:
  class request_processor;

  net::http_client& m_client;
  admission_controller& m_admission;
  const request_protocol& m_protocol;
  request_metrics& m_metrics;
  request_handler_options m_options;
  http_server_probe m_server_probe;
  server_survival m_survival;
  std::set<request_processor*> m_running; // requests in progress
  bool m_ending = false;
};

} // namespace cardamompond::gateway
