#include "soak_group.hpp"

#include <csignal>

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

soak_group::soak_group(int daemons, int engines, std::uint64_t seed)
    : m_store(test_runtime())
    , m_client(test_runtime()) {
  for (int i = 0; i < engines; ++i) {
    soak_engine added;
    added.m_engine = std::make_unique<platform::standins::backend_engine>(
        test_runtime(), "i-" + std::to_string(i), m_run_counter, seed + static_cast<std::uint64_t>(i));
    added.m_relay = std::make_unique<tcp_relay>(added.m_engine->address());
    m_engines.push_back(std::move(added));
    list_engine(m_engines.back(), false);
  }
  publish();
  for (int i = 0; i < daemons; ++i) {
    soak_daemon added;
    added.m_name = "d" + std::to_string(i);
    added.m_host = loopback_host(i);
    added.m_store_relay = std::make_unique<tcp_relay>(m_store.address());
    const auto at = [&](std::uint16_t port) {
      return "\"" + added.m_host + ":" + std::to_string(port) + "\"\n";
    };
    added.m_settings =
        m_folder.write(added.m_name + ".toml",
                       "scheduling = \"local\"\nname = \"" + added.m_name + "\"\navailability_zone = \"z" +
                           std::to_string(i % 2) + "\"\n[listen]\ncallers = " + at(callers_port) +
                           "admin = " + at(admin_port) + "metrics = " + at(metrics_port) + "exchange = " +
                           at(exchange_port) + "[store]\naddress = \"" + added.m_store_relay->address() +
                           "\"\n[group]\nseeds = [\"" + loopback_host(0) + ":1\"]\n[drain]\ntime_s = 5\n");
    m_daemons.push_back(std::move(added));
  }
  for (auto& each : m_daemons) {
    start(each);
  }
}

soak_group::~soak_group() {
  for (auto& each : m_daemons) {
    each.m_process.reset();
  }
}

void soak_group::start(soak_daemon& daemon) {
  daemon.m_process.reset();
  daemon.m_process = std::make_unique<child_process>(
      program_path("cardamompondd"), std::vector<std::string>{"--settings", daemon.m_settings},
      m_folder.path() + "/" + daemon.m_name + "." + std::to_string(daemon.m_starts++) + ".log");
}

void soak_group::publish() {
  ++m_version;
  json::array routes = {make_route("order", "h", "non_idempotent", false),
                        make_route("read", "h", "idempotent", false),
                        make_route("guide", "h", "stream", false), make_route("note", "h", "stream", true),
                        make_route("moved", moved_host(), "idempotent", false)};
  m_store.put("config", "main",
              {{"version", m_version},
               {"routes", std::move(routes)},
               {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}}}},
               {"tenants", json::array{{{"name", "workshop"}, {"api_keys", json::array{"k"}}}}}});
}

void soak_group::list_engine(const soak_engine& engine, bool leaving) {
  m_store.put("servers", engine.m_engine->id(),
              {{"service", "chat"},
               {"address", engine.m_relay->address()},
               {"zone", "z0"},
               {"version", "v1"},
               {"slots", 16},
               {"state", leaving ? "draining" : "ready"},
               {"cold_remaining_ms", 0}});
}

std::string soak_group::callers_address(const soak_daemon& daemon) const {
  return daemon.m_host + ":" + std::to_string(callers_port);
}

bool soak_group::ready(const soak_daemon& daemon) {
  const auto answer = m_client.fetch(daemon.m_host + ":" + std::to_string(admin_port),
                                     {"GET", "/readyz", {}, {}}, milliseconds(300));
  return answer && answer->m_status == 200;
}

void soak_group::calm() {
  m_store.set_fault(platform::standins::store_fault::none);
  for (auto& each : m_engines) {
    each.m_engine->set_faults({});
    each.m_relay->set_refusing(false);
    each.m_relay->set_partitioned(false);
    each.m_relay->set_delay(milliseconds(0));
    list_engine(each, false);
  }
  for (auto& each : m_daemons) {
    each.m_store_relay->set_refusing(false);
    each.m_store_relay->set_partitioned(false);
    each.m_store_relay->set_delay(milliseconds(0));
    each.m_process->signal(SIGCONT);
    if (each.m_process->exit_code()) {
      start(each);
    }
  }
}

} // namespace cardamompond::testing
