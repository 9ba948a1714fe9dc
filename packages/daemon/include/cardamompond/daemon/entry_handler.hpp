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

// Resources that one finished request has used, for accounting.
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

  // If this returns false, new requests are refused with error_code::shutting_down.
  std::function<bool()> m_accepts_requests;

  // Returns whether the content with this fingerprint has crashed backend servers and is refused.
  std::function<bool(const hash128&)> m_is_quarantined;

  // Called once for each request that was dispatched.
  std::function<void(const request_usage&)> m_record_usage;
};

// Handles the requests of callers: validates a request, obtains a permit and, for a call that may run at most
// once, a claim, forwards the request to a backend server and records its usage. handle() is called once per
// request, on the fiber of its connection.
class entry_handler {
public:
  entry_handler(net::fiber_runtime& runtime, configuration_source& configuration, permit_client& permits,
                cell::claim_store& claims, request_metrics& metrics, entry_handler_options options);
  ~entry_handler();

  void handle(net::http_exchange& exchange);

  // Makes the response to a request that could not be parsed or was too large.
  net::http_response make_parse_failure_response(net::http_parse_failure failure);

  // The monitor of all callers; its check() must be called regularly.
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
  std::shared_ptr<const request_router> m_router; // for the current configuration
};

// Makes the JSON response for an error that was detected by the daemon.
net::http_response make_error_response(const request_error& error, std::string_view request_id);

} // namespace cardamompond::daemon
