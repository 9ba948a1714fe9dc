#include "cardamompond/daemon/admin_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tuple>

namespace cardamompond::daemon {
namespace {

constexpr std::uint32_t max_connections = 256;

net::http_response make_text_response(int status, std::string text) {
  return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

} // namespace

std::string_view to_string(cell::cell_role role) {
  constexpr std::string_view names[] = {"starting", "member",  "owner_waiting", "owner",     "fallback",
                                        "isolated", "leaving", "left",          "superseded"};
  return names[static_cast<std::size_t>(role)];
}

admin_server::admin_server(net::fiber_runtime& runtime, const std::string& address, std::string daemon_name,
                           admin_sources sources, const process_limits& limits)
    : m_daemon_name(std::move(daemon_name))
    , m_sources(std::move(sources))
    , m_server(runtime, make_service_options(address, limits, max_connections),
               [this](net::http_exchange& exchange) { handle(exchange); }) {}

void admin_server::handle(net::http_exchange& exchange) {
  const std::string_view path = exchange.request().path();
  net::http_response response = make_text_response(404, "not found\n");
  if (exchange.request().m_method != "GET") {
    response = make_text_response(405, "use GET\n");
  } else if (path == "/livez") {
    response = make_text_response(200, "ok\n");
  } else if (path == "/readyz") {
    response = make_readiness_response();
  } else if (path == "/metrics") {
    response = make_metrics_response();
  } else if (path == "/debug/state") {
    response = make_state_response();
  }
  std::ignore = exchange.respond(response);
}

net::http_response admin_server::make_readiness_response() const {
  if (m_sources.m_draining()) {
    return make_text_response(503, "shutting down\n");
  }
  if (!m_sources.m_cell.ready()) {
    return make_text_response(503, m_sources.m_cell.current()
                                       ? "not ready: role " +
                                             std::string(to_string(m_sources.m_cell.status().m_role)) + "\n"
                                       : std::string("not ready: no configuration\n"));
  }
  return make_text_response(200, "ok\n");
}

net::http_response admin_server::make_metrics_response() {
  auto& metrics = m_sources.m_metrics;
  const auto& cell = m_sources.m_cell;
  const auto to_double = [](auto value) { return static_cast<double>(value); };
  const auto snapshot = cell.current();
  metrics.set_gauge("cardamompond_ready", cell.ready() && !m_sources.m_draining() ? 1 : 0);
  metrics.set_gauge("cardamompond_cell_epoch", to_double(cell.status().m_epoch));
  metrics.set_gauge("cardamompond_cell_owner", cell.status().m_role == cell::cell_role::owner ? 1 : 0);
  metrics.set_gauge("cardamompond_cell_fallback", cell.status().m_role == cell::cell_role::fallback ? 1 : 0);
  metrics.set_gauge("cardamompond_configuration_revision", snapshot ? to_double(snapshot->m_revision) : 0);
  metrics.set_gauge("cardamompond_platform_reachable", cell.platform_reachable() ? 1 : 0);
  metrics.set_gauge("cardamompond_connections", to_double(m_sources.m_connections()));
  metrics.set_gauge("cardamompond_active_requests", to_double(m_sources.m_active_requests()));
  metrics.set_gauge("cardamompond_waiting_requests", to_double(m_sources.m_cell.permits().waiting_count()));
  metrics.set_gauge("cardamompond_dispatched_requests",
                    to_double(m_sources.m_cell.permits().dispatched_count()));
  const auto& input = m_sources.m_input;
  metrics.set_gauge("cardamompond_input_bytes", to_double(input.held()));
  metrics.set_gauge("cardamompond_input_limit_bytes", to_double(input.limit()));
  metrics.set_counter("cardamompond_input_evictions_total", "state", "unfinished",
                      to_double(input.evicted_requests()));
  metrics.set_counter("cardamompond_input_evictions_total", "state", "idle", to_double(input.evicted_idle()));
  const auto peers = cell.peer_counters();
  metrics.set_counter("cardamompond_peer_sent_bytes_total", to_double(peers.m_bytes_sent));
  metrics.set_counter("cardamompond_peer_received_bytes_total", to_double(peers.m_bytes_received));
  metrics.set_counter("cardamompond_peer_calls_total", to_double(peers.m_calls_sent));
  metrics.set_counter("cardamompond_peer_failed_calls_total", to_double(peers.m_calls_failed));
  metrics.set_counter("cardamompond_peer_malformed_total", to_double(peers.m_malformed));
  const auto store = m_sources.m_store.counters();
  metrics.set_counter("cardamompond_platform_reads_total", to_double(store.m_reads));
  metrics.set_counter("cardamompond_platform_writes_total", to_double(store.m_writes));
  metrics.set_counter("cardamompond_platform_failures_total", to_double(store.m_failures));
  metrics.set_counter("cardamompond_platform_rate_limited_total", to_double(store.m_rate_limited));
  for (const auto& [reason, count] : m_sources.m_cell.permits().engine().rejected_inputs()) {
    metrics.set_counter("cardamompond_rejected_input_total", "reason", reason, to_double(count));
  }
  for (const auto& server : m_sources.m_cell.permits().engine().status().m_backend_servers) {
    metrics.set_gauge("cardamompond_backend_server_outstanding", "backend_server", server.m_name,
                      to_double(server.m_outstanding));
    metrics.set_gauge("cardamompond_backend_server_limit", "backend_server", server.m_name,
                      to_double(server.m_limit));
  }
  return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.serialize()};
}

net::http_response admin_server::make_state_response() const {
  auto& cell = m_sources.m_cell;
  const auto& status = cell.status();
  const auto snapshot = cell.current();
  const auto engine = cell.permits().engine().status();
  boost::json::array servers;
  for (const auto& server : engine.m_backend_servers) {
    servers.push_back({{"name", server.m_name},
                       {"cold", server.m_cold},
                       {"in_service", server.m_in_service},
                       {"limit", server.m_limit},
                       {"outstanding", server.m_outstanding}});
  }
  boost::json::array rollouts;
  for (const auto& rollout : engine.m_rollouts) {
    rollouts.push_back({{"service", rollout.m_service},
                        {"to", rollout.m_target_version},
                        {"state", scheduler::to_string(rollout.m_state)},
                        {"percent", rollout.m_traffic_percent},
                        {"reason", rollout.m_reason}});
  }
  boost::json::array members;
  for (const auto& member : cell.record().m_members) {
    members.push_back(
        {{"name", member.m_name}, {"incarnation", member.m_incarnation}, {"zone", member.m_zone}});
  }
  const boost::json::object body = {{"name", m_daemon_name},
                                    {"role", to_string(status.m_role)},
                                    {"epoch", status.m_epoch},
                                    {"owner", status.m_owner},
                                    {"members", std::move(members)},
                                    {"ready", cell.ready()},
                                    {"draining", m_sources.m_draining()},
                                    {"revision", snapshot ? snapshot->m_revision : 0},
                                    {"platform_reachable", cell.platform_reachable()},
                                    {"waiting", cell.permits().waiting_count()},
                                    {"dispatched", cell.permits().dispatched_count()},
                                    {"connections", m_sources.m_connections()},
                                    {"backend_servers", std::move(servers)},
                                    {"moves", std::move(rollouts)}};
  return {200, {{"Content-Type", "application/json"}}, boost::json::serialize(body) + "\n"};
}

} // namespace cardamompond::daemon
