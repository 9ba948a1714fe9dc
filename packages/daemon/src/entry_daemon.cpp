#include "cardamompond/daemon/entry_daemon.hpp"

#include "cardamompond/daemon/drop_log.hpp"
#include "cardamompond/daemon/process_limits.hpp"
#include "cardamompond/fleet/input_budget.hpp"
#include "cardamompond/gateway/collection_watcher.hpp"
#include "cardamompond/gateway/group_maintenance.hpp"
#include "cardamompond/gateway/leaving_inquiry.hpp"
#include "cardamompond/gateway/peer_exchange.hpp"
#include "cardamompond/gateway/placement_explainer.hpp"
#include "cardamompond/gateway/request_handler.hpp"
#include "cardamompond/gateway/server_path.hpp"
#include "cardamompond/platform/object_reader.hpp"
#include "cardamompond/platform/object_store_client.hpp"
#include "cardamompond/platform/request_codec.hpp"
#include "cardamompond/telemetry/log.hpp"
#include "entry_duties.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <random>
#include <tuple>
#include <vector>

#include <unistd.h>

namespace cardamompond::daemon {
namespace {

// Interval at which waiting requests are checked even if no event has occurred.
constexpr milliseconds admission_interval{10};

// A pause of the event loop that is at least this long is logged, because callers and peers notice it.
constexpr milliseconds logged_event_loop_pause{200};

constexpr milliseconds state_check_interval{20};

// Interval at which watches are checked for having been overtaken by a new era of the store.
constexpr milliseconds watch_check_interval{200};

// Interval at which the settings file is checked for changes; it may change without a SIGHUP.
constexpr milliseconds settings_check_interval{1'000};

// After SIGTERM, the daemon waits this long before it deregisters and may exit, because callers still connect
// until the load balancer has found the daemon not ready in two checks.
constexpr milliseconds drain_accept_period{3'300};

// The process waits this long at most for its duties to be handed over, which fails while the store is away.
constexpr milliseconds hand_over_period{4'500};

// This long after SIGTERM, new streams are refused. By then most load balancers know that the daemon is not
// ready, and a stream that begins later might be cut off by the end of the process.
constexpr milliseconds stream_accept_period{2'800};

// This long before the end of the drain time, all new requests are refused.
constexpr milliseconds refusal_margin{1'800};

// This long before the end of the drain time, requests whose response has not begun are answered with an
// error.
constexpr milliseconds answer_margin{750};

// This long before the end of the drain time, responses that are still incomplete are cut off.
constexpr milliseconds exit_margin{350};

// Until this long before the end of the drain time, requests that have arrived are still read, to be refused.
constexpr milliseconds last_read_margin{200};

// A connection to the store or a backend server is closed after this long without a TCP acknowledgement,
// unless a backend server works on a request on it.
constexpr milliseconds connection_loss_timeout{2'000};

// Connections to the addresses that callers do not use, unless the descriptors of the process allow fewer.
constexpr std::uint32_t max_admin_connections = 256;
constexpr std::uint32_t max_metrics_connections = 64;
constexpr std::uint32_t max_exchange_connections = 256;

net::http_response make_text_response(int status, std::string text) {
  return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

// Returns the wall clock in milliseconds, so that the incarnation increases with each start unless the clock
// is set back. Peers drop reports of an older incarnation.
std::uint64_t make_incarnation() {
  return static_cast<std::uint64_t>(wall_clock_ms());
}

// Closes all descriptors but the standard ones. The last log line may block: a write to a file waits while
// the disk is busy, although the file shows the line already. Callers must not wait meanwhile on sockets that
// nobody reads. No fiber may run afterwards.
void close_all_sockets() {
  constexpr unsigned first_other_descriptor = 3;
  if (::close_range(first_other_descriptor, ~0U, 0) != 0) {
    log_event(log_level::warning, "descriptors_not_closed", {{"errno", errno}});
  }
}

} // namespace

class entry_daemon::impl {
public:
  impl(gateway::gateway_settings settings, std::string settings_file);

  int run();

private:
  void start_fibers();
  void run_admission();
  void interrupt_outdated_watches();
  void await_signal();
  void reload_settings();
  void watch_settings();
  void apply_http_limits();
  void serve_admin(net::http_exchange& exchange);
  void serve_metrics(net::http_exchange& exchange);
  void update_metrics();
  bool ready() const;
  bool passes_connections() const; // whether this daemon connects peers to servers that they do not reach
  int drain();

  gateway::gateway_settings m_settings;
  std::string m_settings_file;
  process_limits m_limits;
  net::fiber_runtime m_runtime;
  std::mt19937_64 m_random{std::random_device{}()};
  net::http_client m_store_connections;
  net::http_client m_backend_connections;
  net::http_client m_peer_connections;
  std::shared_ptr<gateway::store_era> m_store_era = std::make_shared<gateway::store_era>();
  platform::object_store_client m_store;
  platform::object_reader m_reader;
  platform::request_codec m_protocol;
  gateway::fleet_view m_fleet_view;
  gateway::admission_controller m_admission;
  gateway::member m_self;
  gateway::peer_group m_group;
  gateway::peer_exchange m_peer_exchange;
  gateway::server_path m_server_path;
  gateway::leaving_inquiry m_leaving_inquiry;
  gateway::group_maintenance m_group_maintenance;
  std::unique_ptr<entry_duties> m_duties; // null where the settings name none
  request_metrics m_metrics;
  drop_log m_drop_log{m_metrics};
  gateway::request_handler m_request_handler;
  std::vector<std::unique_ptr<gateway::collection_watcher>> m_watchers;
  net::http_server m_server;
  net::http_server m_admin_server;
  net::http_server m_metrics_server;
  boost::asio::signal_set m_signal_set;
  bool m_stop_requested = false;
  time_point m_streams_refused_from = time_point::max();
  time_point m_requests_refused_from = time_point::max();
};

entry_daemon::impl::impl(gateway::gateway_settings settings, std::string settings_file)
    : m_settings(std::move(settings))
    , m_settings_file(std::move(settings_file))
    , m_limits(make_process_limits(m_settings.m_memory_bytes, m_settings.m_max_descriptors))
    , m_store_connections(m_runtime, {.m_connection_loss_timeout = connection_loss_timeout})
    , m_backend_connections(m_runtime, {.m_max_idle = m_limits.m_idle_backend_connections,
                                        .m_connection_loss_timeout = connection_loss_timeout})
    , m_peer_connections(m_runtime, {.m_connection_loss_timeout = connection_loss_timeout})
    , m_store(m_store_connections, m_settings.m_store_address, m_store_era)
    , m_fleet_view(m_reader)
    , m_admission(m_fleet_view, {m_settings.m_name, m_settings.m_availability_zone},
                  m_settings.m_retry_limits, m_random())
    , m_self{m_settings.m_name, m_settings.m_availability_zone, m_settings.m_exchange_address}
    , m_group(m_admission, m_self, m_settings.m_seeds, make_incarnation())
    , m_peer_exchange(m_runtime, m_peer_connections, m_group, m_fleet_view, m_settings.m_exchange_address,
                      connection_limit(m_limits, max_exchange_connections) + m_limits.m_tunnels)
    , m_server_path(m_runtime, m_peer_connections, m_fleet_view, m_group, m_protocol, m_random())
    , m_leaving_inquiry(m_backend_connections, m_protocol, m_admission)
    , m_group_maintenance(m_store, m_admission, m_group, m_reader, m_self)
    , m_request_handler(m_backend_connections, m_admission, m_protocol, m_metrics,
                        {.m_accepts_requests =
                             [this](bool streamed) {
                               return monotonic_now() <
                                      (streamed ? m_streams_refused_from : m_requests_refused_from);
                             },
                         .m_on_run =
                             [this](std::string_view account) {
                               if (m_duties) {
                                 m_duties->record_request(account);
                               }
                             },
                         .m_on_passed_statement =
                             [this](std::string_view peer, const fleet::backend_server& server,
                                    const gateway::response_metadata& metadata) {
                               m_server_path.tell_peer(peer, server, metadata);
                             }})
    , m_server(m_runtime,
               {.m_address = m_settings.m_callers_address,
                .m_full_at_connections = m_limits.m_caller_connections,
                .m_body_copies = 2}, // that of the caller's message, and that on the way to or from a server
               [this](net::http_exchange& exchange) { m_request_handler.handle(exchange); })
    , m_admin_server(m_runtime,
                     make_service_options(m_settings.m_admin_address, m_limits, max_admin_connections),
                     [this](net::http_exchange& exchange) { serve_admin(exchange); })
    , m_metrics_server(m_runtime,
                       make_service_options(m_settings.m_metrics_address, m_limits, max_metrics_connections),
                       [this](net::http_exchange& exchange) { serve_metrics(exchange); })
    , m_signal_set(m_runtime.context(), SIGTERM, SIGINT, SIGHUP) {
  m_admission.dispatcher().set_learned_limits(m_settings.m_learned_limits);
  m_admission.set_overload_control(m_settings.m_overload_control);
  m_server.set_parse_failure_responder([this](net::http_parse_failure failure) {
    return m_request_handler.make_parse_failure_response(failure);
  });
  if (!m_settings.m_duties.empty()) {
    m_duties = std::make_unique<entry_duties>(m_settings, m_runtime, m_group, m_peer_exchange, m_admission,
                                              m_store_era);
  }
  m_backend_connections.set_router(&m_server_path);
  m_peer_exchange.set_tunnels(
      m_limits.m_tunnels,
      {[this] { return passes_connections(); },
       [this](const fleet::backend_server& server) {
         return m_admission.dispatcher().may_send(server, monotonic_now());
       },
       [this](const fleet::backend_server& server, const gateway::response_metadata& metadata) {
         m_admission.record_notices(server, metadata);
       }});
  // What failed through the lost path says nothing about the servers, nor does what failed through peers.
  m_server_path.on_change([this] {
    m_admission.dispatcher().forget_failures();
    m_group.set_passes_connections(passes_connections());
    m_peer_exchange.announce_state();
  });
  for (auto* server : {&m_server, &m_admin_server, &m_metrics_server}) {
    server->set_drop_observer([this](net::request_drop cause, std::string_view detail) {
      m_drop_log.record(cause, detail, monotonic_now());
    });
  }
  m_runtime.input_budget().set_limit(m_limits.m_input_bytes);
  configure_allocator(m_limits);
  m_fleet_view.on_change([this](gateway::collection_kind kind) {
    if (kind == gateway::collection_kind::declarations) {
      apply_http_limits();
    }
  });
  for (const auto kind : gateway::all_collection_kinds) {
    m_watchers.push_back(std::make_unique<gateway::collection_watcher>(
        m_store, m_fleet_view, kind,
        gateway::collection_watcher::peer_callbacks{
            [this](gateway::collection_kind of) { return m_group.updated_by_peers(of, monotonic_now()); },
            [this] { m_peer_exchange.announce_state(); },
            [this](gateway::collection_kind of, time_point since, store_version as_of) {
              return m_group.is_read_by_peers_since(of, since, as_of);
            },
            [this](gateway::collection_kind of) { return m_group.latest_peer_era(of); }},
        m_random()));
  }
}

void entry_daemon::impl::apply_http_limits() {
  if (const auto routes = m_fleet_view.routes()) {
    const auto& limits = routes->source().m_limits;
    m_server.set_limits(limits.m_max_header_bytes, limits.m_max_body_bytes, limits.m_header_timeout,
                        limits.m_idle_timeout);
  }
}

bool entry_daemon::impl::passes_connections() const {
  return !m_stop_requested && m_server_path.state() == fleet::path_state::connected &&
         !m_fleet_view.backend_servers().empty();
}

bool entry_daemon::impl::ready() const {
  return !m_stop_requested && m_fleet_view.routes() != nullptr && !m_fleet_view.backend_servers().empty();
}

void entry_daemon::impl::serve_admin(net::http_exchange& exchange) {
  const std::string_view path = exchange.request().path();
  net::http_response response = make_text_response(404, "not found\n");
  if (path == "/livez") {
    response = make_text_response(200, "ok\n");
  } else if (path == "/readyz") {
    response = ready() ? make_text_response(200, "ok\n")
                       : make_text_response(503, m_stop_requested ? "shutting down\n"
                                                                  : "not ready: no declarations yet\n");
  }
  std::ignore = exchange.respond(response);
}

void entry_daemon::impl::update_metrics() {
  const time_point now = monotonic_now();
  const auto age_s = [&](time_point since) { return std::chrono::duration<double>(now - since).count(); };
  for (const auto kind : gateway::all_collection_kinds) {
    const auto name = gateway::to_string(kind);
    m_metrics.set_gauge("cardamompond_collection_age_seconds", "collection", name,
                        age_s(m_fleet_view.collection(kind).confirmed_at()));
    const auto& counters = m_watchers[static_cast<std::size_t>(kind)]->counters();
    m_metrics.set_counter("cardamompond_store_lists_total", "collection", name,
                          static_cast<double>(counters.m_lists));
    m_metrics.set_counter("cardamompond_store_watches_total", "collection", name,
                          static_cast<double>(counters.m_watches));
    m_metrics.set_counter("cardamompond_store_failures_total", "collection", name,
                          static_cast<double>(counters.m_failures));
    m_metrics.set_counter("cardamompond_store_lists_discarded_total", "collection", name,
                          static_cast<double>(counters.m_discarded_lists));
  }
  m_metrics.set_gauge("cardamompond_store_era", static_cast<double>(m_store.era()));
  const auto exchange_counters = m_peer_exchange.counters();
  m_metrics.set_counter("cardamompond_reports_sent_total",
                        static_cast<double>(exchange_counters.m_reports_sent));
  m_metrics.set_counter("cardamompond_reports_received_total",
                        static_cast<double>(exchange_counters.m_reports_received));
  m_metrics.set_counter("cardamompond_report_bytes_sent_total",
                        static_cast<double>(exchange_counters.m_bytes_sent));
  m_metrics.set_counter("cardamompond_reports_refused_total", static_cast<double>(m_group.refused_reports()));
  m_metrics.set_gauge("cardamompond_peers_heard", static_cast<double>(m_group.live_peer_count()));
  m_metrics.set_gauge("cardamompond_requests_waiting",
                      static_cast<double>(m_admission.dispatcher().waiting()));
  m_metrics.set_gauge("cardamompond_requests_running",
                      static_cast<double>(m_admission.dispatcher().running()));
  m_metrics.set_gauge("cardamompond_backend_servers_paused",
                      static_cast<double>(m_admission.dispatcher().count_paused(now)));
  m_metrics.set_counter("cardamompond_backend_server_pauses_total",
                        static_cast<double>(m_admission.pause_count()));
  const auto [limited_servers, limited_requests_per_s] = m_admission.dispatcher().count_limits();
  m_metrics.set_gauge("cardamompond_limited_servers", static_cast<double>(limited_servers));
  m_metrics.set_gauge("cardamompond_limited_requests_per_second", limited_requests_per_s);
  const auto [brittle_servers, brittle_rejections] = m_admission.dispatcher().count_brittle();
  m_metrics.set_gauge("cardamompond_brittle_servers", static_cast<double>(brittle_servers));
  m_metrics.set_counter("cardamompond_brittle_rejections_total", static_cast<double>(brittle_rejections));
  const auto overload = m_admission.dispatcher().count_overload_decisions();
  const auto set_overload_counter = [&](std::string_view name, std::string_view label, std::string_view value,
                                        std::uint64_t count) {
    m_metrics.set_counter(name, label, value, static_cast<double>(count));
  };
  set_overload_counter("cardamompond_overload_refusals_total", "cause", "on_arrival",
                       overload.m_refused_on_arrival);
  set_overload_counter("cardamompond_overload_refusals_total", "cause", "late", overload.m_refused_when_late);
  set_overload_counter("cardamompond_overload_refusals_total", "cause", "waited",
                       overload.m_refused_after_wait);
  set_overload_counter("cardamompond_returned_requests_total", "result", "granted",
                       overload.m_returned_granted);
  set_overload_counter("cardamompond_returned_requests_total", "result", "refused",
                       overload.m_returned_refused);
  m_metrics.set_counter("cardamompond_planned_returns_total",
                        static_cast<double>(overload.m_returns_in_room));
  const auto leaving = m_admission.dispatcher().count_leaving();
  m_metrics.set_gauge("cardamompond_backend_servers_leaving", "source", "own",
                      static_cast<double>(leaving.m_stated));
  m_metrics.set_gauge("cardamompond_backend_servers_leaving", "source", "peers",
                      static_cast<double>(leaving.m_reported));
  m_admission.export_learned_limits(m_metrics, now);
  m_metrics.set_counter("cardamompond_backend_connections_total",
                        static_cast<double>(m_backend_connections.connections_opened()));
  const auto& path = m_server_path.counters();
  m_metrics.set_gauge("cardamompond_servers_unreachable",
                      m_server_path.state() == fleet::path_state::lost ? 1 : 0);
  m_metrics.set_counter("cardamompond_server_probes_total", static_cast<double>(path.m_probes));
  const auto set_tunnel_counter = [&](std::string_view result, std::uint64_t count) {
    m_metrics.set_counter("cardamompond_tunnels_total", "result", result, static_cast<double>(count));
  };
  set_tunnel_counter("opened", path.m_tunnels_opened);
  set_tunnel_counter("refused", path.m_tunnels_refused);
  const auto set_passed_counter = [&](std::string_view result, std::uint64_t count) {
    m_metrics.set_counter("cardamompond_passed_tunnels_total", "result", result, static_cast<double>(count));
  };
  set_passed_counter("opened", exchange_counters.m_tunnels_opened);
  set_passed_counter("refused", exchange_counters.m_tunnels_refused);
  set_passed_counter("failed", exchange_counters.m_tunnels_failed);
  m_metrics.set_gauge("cardamompond_passed_tunnels", static_cast<double>(m_peer_exchange.open_tunnels()));
  const auto& input = m_runtime.input_budget();
  m_metrics.set_gauge("cardamompond_input_bytes", static_cast<double>(input.held()));
  m_metrics.set_gauge("cardamompond_input_limit_bytes", static_cast<double>(input.limit()));
  m_metrics.set_counter("cardamompond_input_evictions_total", "state", "unfinished",
                        static_cast<double>(input.evicted_requests()));
  m_metrics.set_counter("cardamompond_input_evictions_total", "state", "idle",
                        static_cast<double>(input.evicted_idle()));
  m_metrics.set_counter("cardamompond_documents_unreadable_total",
                        static_cast<double>(m_fleet_view.unreadable_documents()));
  if (m_duties) {
    m_duties->update_metrics(m_metrics);
  }
}

void entry_daemon::impl::serve_metrics(net::http_exchange& exchange) {
  if (exchange.request().path() == "/explain") {
    std::ignore = exchange.respond(gateway::explain_placement(m_admission, exchange.request()));
    return;
  }
  if (exchange.request().path() != "/metrics") {
    std::ignore = exchange.respond(make_text_response(404, "not found\n"));
    return;
  }
  update_metrics();
  std::ignore =
      exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.serialize()});
}

void entry_daemon::impl::await_signal() {
  m_signal_set.async_wait([this](const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    if (number == SIGHUP) {
      log_event(log_level::info, "signal_received", {{"signal", "SIGHUP"}});
      net::fiber_runtime::spawn([this] { reload_settings(); });
    } else {
      m_stop_requested = true;
    }
    await_signal();
  });
}

// Applies the settings that can change while the daemon runs, which are the seeds and the drain time. The
// other settings take effect at the next start.
void entry_daemon::impl::reload_settings() {
  const auto new_settings = gateway::read_gateway_settings(m_settings_file);
  if (!new_settings) {
    log_event(log_level::error, "settings_refused", {{"reason", new_settings.error().m_message}});
    return;
  }
  m_group.set_seeds(new_settings->m_seeds);
  m_settings.m_drain_time = new_settings->m_drain_time;
  log_event(log_level::info, "settings_reloaded",
            {{"file", m_settings_file}, {"seeds", new_settings->m_seeds.size()}});
}

void entry_daemon::impl::watch_settings() {
  std::error_code error;
  auto last_written = std::filesystem::last_write_time(m_settings_file, error);
  while (true) {
    boost::this_fiber::sleep_for(settings_check_interval);
    const auto written = std::filesystem::last_write_time(m_settings_file, error);
    if (!error && written != last_written) {
      last_written = written;
      reload_settings();
    }
  }
}

void entry_daemon::impl::start_fibers() {
  for (auto& watcher : m_watchers) {
    net::fiber_runtime::spawn([each = watcher.get()] { each->run(); });
  }
  m_server_path.start();
  m_peer_exchange.start();
  net::fiber_runtime::spawn([this] { m_group_maintenance.run_membership(); });
  net::fiber_runtime::spawn([this] { m_group_maintenance.run_rollouts(); });
  net::fiber_runtime::spawn([this] { watch_settings(); });
  net::fiber_runtime::spawn([this] { run_admission(); });
  net::fiber_runtime::spawn([this] { interrupt_outdated_watches(); });
  net::fiber_runtime::spawn([this] { m_leaving_inquiry.run(); });
  if (m_duties) {
    m_duties->start();
  }
}

void entry_daemon::impl::interrupt_outdated_watches() {
  while (true) {
    boost::this_fiber::sleep_for(watch_check_interval);
    for (const auto& watcher : m_watchers) {
      watcher->interrupt_outdated_watch();
    }
  }
}

void entry_daemon::impl::run_admission() {
  while (true) {
    m_admission.deliver_decisions();
    m_group.set_passes_connections(passes_connections());
    const time_point resume_at = monotonic_now() + admission_interval;
    boost::this_fiber::sleep_until(resume_at);
    if (const duration pause = monotonic_now() - resume_at; pause >= logged_event_loop_pause) {
      log_event(log_level::warning, "event_loop_paused",
                {{"ms", std::chrono::duration_cast<milliseconds>(pause).count()}});
    }
  }
}

int entry_daemon::impl::run() {
  await_signal();
  start_fibers();
  log_event(log_level::info, "started",
            {{"name", m_settings.m_name},
             {"availability_zone", m_settings.m_availability_zone},
             {"callers", m_settings.m_callers_address},
             {"exchange", m_settings.m_exchange_address},
             {"store", m_settings.m_store_address},
             {"seeds", m_settings.m_seeds.size()}});
  while (!m_stop_requested) {
    boost::this_fiber::sleep_for(state_check_interval);
  }
  return drain();
}

int entry_daemon::impl::drain() {
  const time_point start_time = monotonic_now();
  const time_point end_time = start_time + m_settings.m_drain_time;
  log_event(log_level::info, "drain_begun", {{"active_requests", m_server.active_requests()}});
  m_requests_refused_from = end_time - refusal_margin;
  m_streams_refused_from = std::min<time_point>(start_time + stream_accept_period, m_requests_refused_from);
  m_server.begin_drain();
  if (m_duties) {
    m_duties->hand_over();
  }
  bool deregistering = false;
  while (monotonic_now() < end_time - exit_margin ||
         (m_server.has_unread_input() && monotonic_now() < end_time - last_read_margin)) {
    const time_point now = monotonic_now();
    if (now >= start_time + drain_accept_period) {
      if (!deregistering) {
        deregistering = true;
        net::fiber_runtime::spawn([this] { m_group_maintenance.deregister(); });
      }
      if (m_server.active_requests() == 0 && !m_server.has_unread_input() &&
          m_peer_exchange.busy_tunnels() == 0 &&
          (!m_duties || m_duties->handed_over() || now >= start_time + hand_over_period)) {
        break;
      }
    }
    if (now >= end_time - answer_margin) {
      m_request_handler.end_requests();
    }
    boost::this_fiber::sleep_for(state_check_interval);
  }
  m_peer_exchange.announce_leaving();
  const auto cut_requests = m_server.active_requests();
  const auto cut_tunnels = m_peer_exchange.busy_tunnels();
  close_all_sockets();
  log_event(log_level::info, "drain_ended",
            {{"cut_requests", cut_requests},
             {"cut_tunnels", cut_tunnels},
             {"ms", std::chrono::duration_cast<milliseconds>(monotonic_now() - start_time).count()}});
  return 0;
}

entry_daemon::entry_daemon(gateway::gateway_settings settings, std::string settings_file)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(settings_file))) {}

entry_daemon::~entry_daemon() = default;

int entry_daemon::run() {
  return m_impl->run();
}

} // namespace cardamompond::daemon
