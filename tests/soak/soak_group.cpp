#include "soak_group.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <numeric>

#include <unistd.h>

namespace cardamompond::testing {
namespace {

namespace json = boost::json;

constexpr std::uint16_t callers_port = 18'080;
constexpr std::uint16_t admin_port = 18'081;
constexpr std::uint16_t metrics_port = 18'082;
constexpr std::uint16_t exchange_port = 18'083;

// Returns an address in 127.0.0.0/8 for the daemon with that number. It depends on the process id, so that
// runs of this test at the same time on one machine use different addresses.
std::string loopback_host(int number) {
  const auto process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + (process >> 8U) % 250) + "." + std::to_string(process % 256) + "." +
         std::to_string(1 + number);
}

json::object make_route(std::string_view name, std::string_view host, std::string_view type, bool resumable) {
  return {{"name", name},
          {"host", host},
          {"path_prefix", "/" + std::string(name) + "/"},
          {"type", type},
          {"timeout_ms", 3000},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", "chat"},
          {"max_attempts", 2},
          {"allow_anonymous", false},
          {"resumable", resumable},
          {"gap_aim_ms", 400}};
}

} // namespace

soak_group::soak_group(int daemon_count, int engine_count, std::uint64_t seed,
                       const std::string& duty_settings, const std::string& group_settings)
    : m_store(test_runtime())
    , m_duty_api(test_runtime(), true, seed)
    , m_client(test_runtime()) {
  m_store.set_era(1);
  for (int i = 0; i < engine_count; ++i) {
    soak_engine engine;
    engine.m_engine = std::make_unique<platform::standins::backend_engine>(
        test_runtime(), "i-" + std::to_string(i), m_run_counter, seed + static_cast<std::uint64_t>(i));
    engine.m_relay = std::make_unique<tcp_relay>(engine.m_engine->address());
    m_engines.push_back(std::move(engine));
    register_engine(m_engines.back(), false);
  }
  publish();
  std::string duties = duty_settings;
  if (const auto api = duties.find("@API"); api != std::string::npos) {
    duties.replace(api, 4, m_duty_api.address());
  }
  for (int i = 0; i < daemon_count; ++i) {
    soak_daemon daemon;
    daemon.m_name = "d" + std::to_string(i);
    daemon.m_host = loopback_host(i);
    daemon.m_store_relay = std::make_unique<tcp_relay>(m_store.address());
    const auto quote_address = [&](std::uint16_t port) {
      return "\"" + daemon.m_host + ":" + std::to_string(port) + "\"\n";
    };
    daemon.m_settings_path = m_folder.write(
        daemon.m_name + ".toml",
        "scheduling = \"local\"\nname = \"" + daemon.m_name + "\"\navailability_zone = \"z" +
            std::to_string(i % 2) + "\"\n[listen]\ncallers = " + quote_address(callers_port) +
            "admin = " + quote_address(admin_port) + "metrics = " + quote_address(metrics_port) +
            "exchange = " + quote_address(exchange_port) + "[store]\naddress = \"" +
            daemon.m_store_relay->address() + "\"\n[group]\nseeds = [\"" + loopback_host(0) + ":1\"]\n" +
            group_settings + "[drain]\ntime_s = " + std::to_string(soak_drain_time.count() / 1'000) + "\n" +
            duties);
    m_daemons.push_back(std::move(daemon));
  }
  for (auto& daemon : m_daemons) {
    start(daemon);
  }
}

soak_group::~soak_group() {
  for (auto& daemon : m_daemons) {
    daemon.m_process.reset();
  }
}

void soak_group::restart_engine(soak_engine& engine, bool same_id) {
  const std::string old_id = engine.m_engine->id();
  const std::string base = old_id.substr(0, old_id.find('+'));
  engine.m_engine->start_process(same_id ? old_id : base + "+" + std::to_string(engine.m_engine->started()));
  if (!same_id) {
    m_store.remove("servers", old_id);
  }
  register_engine(engine, false);
}

void soak_group::set_relay_faults(soak_engine& engine, bool partitioned, bool refusing) {
  engine.m_partitioned = partitioned;
  engine.m_refusing = refusing;
  if (partitioned || refusing) {
    begin_disturbance(engine.m_relay->address());
  }
  engine.m_relay->set_partitioned(partitioned);
  engine.m_relay->set_refusing(refusing);
  if (!partitioned && !refusing) {
    end_disturbance(engine.m_relay->address());
  }
}

void soak_group::begin_disturbance(const std::string& target) {
  auto& times = m_disturbances[target];
  if (times.empty() || times.back().second != time_point::max()) {
    times.emplace_back(monotonic_now(), time_point::max());
  }
}

void soak_group::end_disturbance(const std::string& target) {
  auto& times = m_disturbances[target];
  if (!times.empty() && times.back().second == time_point::max()) {
    times.back().second = monotonic_now();
  }
}

bool soak_group::was_disturbed(const std::string& target, time_point from, time_point until) const {
  const auto found = m_disturbances.find(target);
  return found != m_disturbances.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& each) { return each.first <= until && each.second >= from; });
}

// CUT_STREAMS_DAEMON names a program for all daemons. Half of the daemons begin with the program of an
// earlier version, if SOAK_EARLIER_DAEMON names one, and each changes to the other program when it starts
// again.
std::string soak_group::choose_program(const soak_daemon& daemon) const {
  if (const char* program = std::getenv("CUT_STREAMS_DAEMON")) {
    return program;
  }
  const char* earlier = std::getenv("SOAK_EARLIER_DAEMON");
  const auto number = &daemon - m_daemons.data();
  const bool starts_earlier = earlier != nullptr && (number + daemon.m_start_count) % 2 == 1;
  return starts_earlier ? earlier : program_path("cardamompondd");
}

void soak_group::start(soak_daemon& daemon) {
  begin_disturbance(daemon.m_name);
  end_disturbance(daemon.m_name);
  daemon.m_process.reset();
  daemon.m_process = std::make_unique<child_process>(
      choose_program(daemon), std::vector<std::string>{"--settings", daemon.m_settings_path},
      m_folder.path() + "/" + daemon.m_name + "." + std::to_string(daemon.m_start_count++) + ".log");
}

void soak_group::terminate(soak_daemon& daemon) {
  daemon.m_terminated_at.try_emplace(daemon.m_start_count, monotonic_now());
  daemon.m_process->signal(SIGTERM);
}

void soak_group::pause_engine(soak_engine& engine, std::mt19937_64& random) {
  constexpr std::uint64_t min_pause_ms = 500;
  constexpr std::uint64_t max_pause_ms = 2'500;
  engine.m_relay->pause(milliseconds(min_pause_ms + random() % (max_pause_ms - min_pause_ms + 1)));
}

void soak_group::publish() {
  ++m_version;
  json::array routes = {make_route("order", "h", "non_idempotent", false),
                        make_route("read", "h", "idempotent", false),
                        make_route("guide", "h", "stream", false), make_route("note", "h", "stream", true),
                        make_route("moved", moved_host(), "idempotent", false)};
  json::object service = {{"name", "chat"}, {"health_path", "/healthz"}};
  if (!m_engine_bounds.empty()) {
    service["autoscale"] = m_engine_bounds;
  }
  m_store.put("config", "main",
              {{"version", m_version},
               {"routes", std::move(routes)},
               {"services", json::array{std::move(service)}},
               {"tenants", json::array{{{"name", "workshop"}, {"api_keys", json::array{"k"}}}}}});
}

void soak_group::raise_revisions(std::uint64_t count) {
  for (std::uint64_t i = 0; i < count; ++i) {
    m_store.put("other", "x", {{"number", i}});
  }
}

void soak_group::set_engine_bounds(int min, int max) {
  m_engine_bounds = {{"min", min}, {"max", max}, {"boot_s", 2.0}};
  publish();
}

void soak_group::register_engine(const soak_engine& engine, bool leaving) {
  m_store.put("servers", engine.m_engine->id(),
              {{"service", "chat"},
               {"address", engine.m_relay->address()},
               {"zone", "z0"},
               {"version", "v1"},
               {"slots", 16},
               {"state", leaving ? "draining" : "ready"},
               {"born", engine.m_engine->started()},
               {"sequence", 1}, // raised by the store with each write
               {"cold_remaining_ms", 0}});
}

std::string soak_group::callers_address(const soak_daemon& daemon) const {
  return daemon.m_host + ":" + std::to_string(callers_port);
}

bool soak_group::is_ready(const soak_daemon& daemon) {
  const auto response = m_client.fetch(daemon.m_host + ":" + std::to_string(admin_port),
                                       {"GET", "/readyz", {}, {}}, milliseconds(300));
  return response && response->m_status == 200;
}

unsigned long long soak_group::late_copies() const {
  return std::accumulate(m_engines.begin(), m_engines.end(), 0ULL,
                         [](auto sum, const auto& each) { return sum + each.m_relay->late_copies(); });
}

void soak_group::wait_until_ready() {
  wait_until("all daemons are ready", milliseconds(8'000), [&] {
    return std::all_of(m_daemons.begin(), m_daemons.end(),
                       [&](const soak_daemon& daemon) { return is_ready(daemon); });
  });
}

void soak_group::clear_faults() {
  m_store.set_fault(platform::standins::store_fault::none);
  if (m_store.is_away()) {
    m_store.come_back({});
  }
  for (auto& engine : m_engines) {
    engine.m_engine->set_faults({});
    engine.m_engine->set_limit(std::nullopt);
    set_relay_faults(engine, false, false);
    engine.m_relay->set_delay(milliseconds(0));
    engine.m_relay->set_late_copies(0, 0);
    restart_engine(engine, true);
  }
  for (auto& daemon : m_daemons) {
    daemon.m_store_relay->set_refusing(false);
    daemon.m_store_relay->set_partitioned(false);
    daemon.m_store_relay->set_delay(milliseconds(0));
    daemon.m_process->signal(SIGCONT);
    end_disturbance(daemon.m_name);
    if (daemon.m_process->exit_code()) {
      start(daemon);
    }
  }
}

} // namespace cardamompond::testing
