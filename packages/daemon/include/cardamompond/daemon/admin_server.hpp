#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/daemon/cell_runtime.hpp"
#include "cardamompond/daemon/process_limits.hpp"
#include "cardamompond/fleet/input_budget.hpp"
#include "cardamompond/net/http_object_store.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <functional>
#include <string>

namespace cardamompond::daemon {

// The components whose state the administration endpoints report.
struct admin_sources {
  cell_runtime& m_cell;
  request_metrics& m_metrics;
  net::http_object_store& m_store;
  std::function<bool()> m_draining;
  std::function<std::size_t()> m_connections;
  std::function<std::size_t()> m_active_requests;
  const fleet::input_budget& m_input;
};

// Serves /livez, /readyz, /metrics and /debug/state on the administration address.
class admin_server {
public:
  // Throws std::runtime_error if the address cannot be bound.
  admin_server(net::fiber_runtime& runtime, const std::string& address, std::string daemon_name,
               admin_sources sources, const process_limits& limits);

private:
  void handle(net::http_exchange& exchange);
  net::http_response make_readiness_response() const;
  net::http_response make_metrics_response();
  net::http_response make_state_response() const;

  std::string m_daemon_name;
  admin_sources m_sources;
  net::http_server m_server;
};

// Returns the name of a role as it appears in log lines and in /debug/state.
std::string_view to_string(cell::cell_role role);

} // namespace cardamompond::daemon
