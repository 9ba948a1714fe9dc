#include "cardamompond/daemon/cell_daemon.hpp"

#include "cardamompond/cell/claim_sweeper.hpp"
#include "cardamompond/cell/object_claim_store.hpp"
#include "cardamompond/daemon/admin_server.hpp"
#include "cardamompond/daemon/backend_poller.hpp"
#include "cardamompond/daemon/cell_runtime.hpp"
#include "cardamompond/daemon/drop_log.hpp"
#include "cardamompond/daemon/entry_handler.hpp"
#include "cardamompond/daemon/process_limits.hpp"
#include "cardamompond/daemon/status_writer.hpp"
#include "cardamompond/daemon/usage_recorder.hpp"
#include "cardamompond/fleet/input_budget.hpp"
#include "cardamompond/net/http_object_store.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <chrono>
#include <csignal>
#include <random>

namespace cardamompond::daemon {
namespace {

constexpr std::uint64_t bytes_per_mb = 1'000'000;

constexpr milliseconds caller_check_interval{50};
constexpr milliseconds state_check_interval{20};

// After the signal to stop, the daemon still accepts connections for this long, until load balancers have
// seen that it is not ready. Closing the listening socket at once would reset connections with requests in
// flight.
constexpr milliseconds drain_accept_period{1500};

constexpr seconds claim_maintenance_interval{1};
constexpr std::size_t max_claim_releases_per_round = 20;
constexpr seconds leave_timeout{6};

// Returns the wall clock in microseconds, so that the incarnation increases with each start unless the clock
// is set back. The cell record rejects an incarnation older than the registered one.
std::uint64_t make_incarnation() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace

class cell_daemon::impl {
public:
  explicit impl(settings config);

  int run();

private:
  cell_runtime_options make_cell_options() const;
  entry_handler_options make_entry_options();
  void start_background_fibers();
  void await_signal();
  int drain();
  bool wait_for_requests(time_point end_time);

  settings m_settings;
  process_limits m_limits;
  net::fiber_runtime m_runtime;
  std::uint64_t m_incarnation = make_incarnation();
  std::mt19937_64 m_random{std::random_device{}()};
  net::http_object_store m_store;
  cell_runtime m_cell;
  cell::object_claim_store m_claims;
  cell::claim_sweeper m_claim_sweeper;
  usage_recorder m_usage_recorder;
  request_metrics m_metrics;
  drop_log m_drop_log{m_metrics};
  entry_handler m_entry_handler;
  backend_poller m_backend_poller;
  status_writer m_status_writer;
  net::http_server m_server;
  admin_server m_admin_server;
  boost::asio::signal_set m_signal_set;
  int m_signals_received = 0;
  bool m_stopping = false;
};

cell_runtime_options cell_daemon::impl::make_cell_options() const {
  cell_runtime_options options;
  options.m_cell = m_settings.m_cell;
  options.m_name = m_settings.m_name;
  options.m_availability_zone = m_settings.m_availability_zone;
  options.m_peer_address = m_settings.m_peer_address;
  options.m_secret = m_settings.m_peer_secret;
  options.m_incarnation = m_incarnation;
  options.m_seed = std::random_device{}();
  return options;
}

entry_handler_options cell_daemon::impl::make_entry_options() {
  entry_handler_options options;
  options.m_default_timeout = m_settings.m_default_timeout;
  options.m_accepts_requests = [this] { return !m_stopping; };
  options.m_is_quarantined = [this](const hash128& fingerprint) {
    return m_cell.is_quarantined(fingerprint);
  };
  options.m_record_usage = [this](const request_usage& usage) { m_usage_recorder.add(usage); };
  return options;
}

cell_daemon::impl::impl(settings config)
    : m_settings(std::move(config))
    , m_limits(make_process_limits(m_settings.m_memory_mb * bytes_per_mb, m_settings.m_max_descriptors))
    , m_store(m_runtime, {.m_address = m_settings.m_platform_address,
                          .m_max_reads_per_s = m_settings.m_max_reads_per_s,
                          .m_max_writes_per_s = m_settings.m_max_writes_per_s})
    , m_cell(m_runtime, m_store, make_cell_options(), [this] { return make_scheduler_engine(m_random()); })
    , m_claims(
          m_store, {.m_claimant = m_settings.m_name}, [this] { return m_random(); }, wall_clock_ms)
    , m_claim_sweeper(m_store)
    , m_usage_recorder(
          m_store, m_cell,
          {.m_cell = m_settings.m_cell, .m_name = m_settings.m_name, .m_incarnation = m_incarnation})
    , m_entry_handler(m_runtime, m_cell, m_cell.permits(), m_claims, m_metrics, make_entry_options())
    , m_backend_poller(m_runtime, m_cell, m_cell.permits(),
                       {.m_cell = m_settings.m_cell, .m_host_list_address = m_settings.m_host_list_address})
    , m_status_writer(m_store, m_cell, m_settings.m_cell)
    , m_server(m_runtime,
               {.m_address = m_settings.m_callers_address,
                .m_max_body_bytes = m_settings.m_max_body_bytes,
                .m_max_header_bytes = m_settings.m_max_header_bytes,
                .m_max_connections = m_settings.m_max_connections,
                .m_full_at_connections = m_limits.m_caller_connections},
               [this](net::http_exchange& exchange) { m_entry_handler.handle(exchange); })
    , m_admin_server(m_runtime, m_settings.m_admin_address, m_settings.m_name,
                     {m_cell, m_metrics, m_store, [this] { return m_signals_received > 0; },
                      [this] { return m_server.connections(); },
                      [this] { return m_server.active_requests(); }, m_runtime.input_budget()},
                     m_limits)
    , m_signal_set(m_runtime.context(), SIGTERM, SIGINT) {
  m_server.set_parse_failure_responder([this](net::http_parse_failure failure) {
    return m_entry_handler.make_parse_failure_response(failure);
  });
  m_server.set_drop_observer([this](net::request_drop cause, std::string_view detail) {
    m_drop_log.record(cause, detail, monotonic_now());
  });
  m_runtime.input_budget().set_limit(m_limits.m_input_bytes);
  configure_allocator(m_limits);
}

void cell_daemon::impl::await_signal() {
  m_signal_set.async_wait([this](const boost::system::error_code& error, int /*number*/) {
    if (!error) {
      ++m_signals_received;
      await_signal();
    }
  });
}

void cell_daemon::impl::start_background_fibers() {
  net::fiber_runtime::spawn([this] { m_backend_poller.run(); });
  net::fiber_runtime::spawn([this] { m_status_writer.run(); });
  net::fiber_runtime::spawn([this] { m_usage_recorder.run(); });
  net::fiber_runtime::spawn([this] {
    while (true) {
      m_entry_handler.monitor().check();
      boost::this_fiber::sleep_for(caller_check_interval);
    }
  });
  net::fiber_runtime::spawn([this] {
    while (true) {
      boost::this_fiber::sleep_for(claim_maintenance_interval);
      m_claims.retry_releases(max_claim_releases_per_round);
      if (m_cell.status().m_role == cell::cell_role::owner) {
        m_claim_sweeper.sweep(monotonic_now(), wall_clock_ms());
      }
    }
  });
}

int cell_daemon::impl::run() {
  await_signal();
  m_cell.start();
  start_background_fibers();
  log_event(log_level::info, "started",
            {{"name", m_settings.m_name},
             {"cell", m_settings.m_cell},
             {"availability_zone", m_settings.m_availability_zone},
             {"callers", m_settings.m_callers_address},
             {"admin", m_settings.m_admin_address},
             {"peer", m_settings.m_peer_address}});
  while (m_signals_received == 0) {
    if (m_cell.status().m_role == cell::cell_role::superseded) {
      log_event(log_level::error, "superseded", {{"name", m_settings.m_name}});
      m_server.close_all();
      return 3;
    }
    boost::this_fiber::sleep_for(state_check_interval);
  }
  return drain();
}

bool cell_daemon::impl::wait_for_requests(time_point end_time) {
  while (m_server.active_requests() > 0 || m_server.has_unread_input()) {
    if (m_signals_received > 1 || monotonic_now() >= end_time) {
      return false;
    }
    boost::this_fiber::sleep_for(state_check_interval);
  }
  return true;
}

int cell_daemon::impl::drain() {
  const time_point start_time = monotonic_now();
  log_event(log_level::info, "drain_begun", {{"active_requests", m_server.active_requests()}});
  m_server.begin_drain();
  while (monotonic_now() - start_time < drain_accept_period && m_signals_received == 1) {
    boost::this_fiber::sleep_for(state_check_interval);
  }
  m_server.stop_accepting();
  const bool complete = wait_for_requests(start_time + m_settings.m_drain_timeout);
  m_stopping = true;
  m_usage_recorder.flush();
  m_cell.leave();
  const time_point leave_until = monotonic_now() + leave_timeout;
  while (!m_cell.has_left() && monotonic_now() < leave_until && m_signals_received == 1) {
    boost::this_fiber::sleep_for(state_check_interval);
  }
  log_event(complete ? log_level::info : log_level::warning, "drain_ended",
            {{"complete", complete}, {"cut_requests", m_server.active_requests()}});
  return complete ? 0 : 1;
}

cell_daemon::cell_daemon(settings config)
    : m_impl(std::make_unique<impl>(std::move(config))) {}

cell_daemon::~cell_daemon() = default;

int cell_daemon::run() {
  return m_impl->run();
}

} // namespace cardamompond::daemon
