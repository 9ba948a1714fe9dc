#pragma once

#include "cardamompond/cell/claim_store.hpp"
#include "cardamompond/daemon/caller_monitor.hpp"
#include "cardamompond/daemon/configuration_source.hpp"
#include "cardamompond/daemon/forwarder.hpp"
#include "cardamompond/daemon/permit_client.hpp"
#include "cardamompond/daemon/request_router.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamompond::daemon {

// What one finished request used, for accounting.
struct request_usage {
  std::string m_client_account;
  std::string m_service;
  std::string m_backend_server;
  std::uint64_t m_prompt_tokens = 0;
  std::uint64_t m_output_tokens = 0;
  duration m_engine_time{};
};

struct entry_handler_options {
  milliseconds m_default_timeout{60'000};
  std::function<bool()> m_accepts_requests;             // false: refuse new requests as shutting down
  std::function<bool(const hash128&)> m_is_quarantined; // content that crashed backend servers
  std::function<void(const request_usage&)> m_record_usage;
};

// The entry path: checks a caller's request, obtains a permit and, for calls that may run once, a claim,
// passes the request on and accounts for it. One call of handle() per request, each on the fiber of its
// connection.
class entry_handler {
public:
  entry_handler(net::fiber_runtime& runtime, configuration_source& configuration, permit_client& permits,
                cell::claim_store& claims, request_metrics& metrics, entry_handler_options options);
  ~entry_handler();

  void handle(net::http_exchange& exchange);

  // The answer to a request that was refused while it was being read.
  net::http_response make_parse_failure_response(net::http_parse_failure failure);

  // For the caller monitor's fiber.
  caller_monitor& monitor() { return m_monitor; }

private:
  class request_processor;

  void set_configuration(const shared_snapshot& snapshot);

  configuration_source& m_configuration;
  permit_client& m_permits;
  cell::claim_store& m_claims;
  request_metrics& m_metrics;
  entry_handler_options m_options;
  forwarder m_forwarder;
  caller_monitor m_monitor;
  std::shared_ptr<const request_router> m_router; // of the configuration in force
};

// The JSON answer for an error made by the daemon.
net::http_response make_error_response(const request_error& error, std::string_view request_id);

} // namespace cardamompond::daemon
