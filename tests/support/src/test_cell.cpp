#include "cardamompond/testing/test_cell.hpp"

#include "cardamompond/net/address.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <csignal>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace cardamompond::testing {
namespace {

constexpr milliseconds call_timeout(5000);

std::string fetch_body(const std::string& address, const net::http_request& request) {
  net::http_client client(test_runtime());
  const auto response = client.fetch(address, request, call_timeout, 256U << 20U);
  if (!response || response->m_status != 200) {
    throw std::runtime_error(request.m_method + " " + request.m_target + " at " + address + ": " +
                             (response ? std::to_string(response->m_status) + " " + response->m_body
                                       : response.error().m_message));
  }
  return response->m_body;
}

std::vector<std::string> make_standin_arguments(const std::vector<std::string>& settings) {
  std::vector<std::string> arguments{"--listen", find_free_address()};
  for (const auto& setting : settings) {
    arguments.insert(arguments.end(), {"--set", setting});
  }
  return arguments;
}

} // namespace

standin_process::standin_process(const std::string& program, const std::vector<std::string>& settings,
                                 const std::string& output_path)
    : m_process(program_path(program), make_standin_arguments(settings), output_path)
    , m_address(m_process.wait_for_listening_address()) {}

void standin_process::set_parameters(const boost::json::object& values) {
  const net::http_request request{"POST", "/admin/faults", {}, boost::json::serialize(values)};
  if (!values.contains("restart") && !values.contains("crash")) {
    fetch_body(m_address, request);
    return;
  }
  // A stand-in responds before it closes its connections for a restart. Waits until it has closed them, so
  // that the next call does not meet the restart.
  boost::asio::ip::tcp::socket connection(test_runtime().context());
  connection.connect(net::parse_address(m_address).value());
  connection.non_blocking(true);
  fetch_body(m_address, request);
  wait_until("connections of " + m_address + " closed", call_timeout, [&] {
    char byte = 0;
    boost::system::error_code error;
    connection.read_some(boost::asio::buffer(&byte, 1), error);
    return error.failed() && error != boost::asio::error::would_block;
  });
}

boost::json::value standin_process::fetch_json(const std::string& target) {
  // A stand-in that simulates a crash does not accept connections for a while.
  net::http_client client(test_runtime());
  wait_until("connection to " + m_address, call_timeout, [&] { return client.open(m_address).has_value(); });
  return boost::json::parse(fetch_body(m_address, {"GET", target, {}, {}}));
}

boost::json::array standin_process::fetch_history() {
  return fetch_json("/admin/history").as_array();
}

test_cell::test_cell()
    : m_client(test_runtime())
    , m_object_api(std::make_unique<standin_process>("standin_object_api", std::vector<std::string>{},
                                                     m_folder.path() + "/object_api.log")) {}

test_cell::~test_cell() {
  for (const auto& daemon : m_daemons) {
    if (const auto code = daemon.m_process->exit_code(); code && *code != 0 && *code != -SIGKILL) {
      std::printf("%s ended with %d: %s\n", daemon.m_name.c_str(), *code,
                  daemon.m_process->read_output().c_str());
      std::fflush(stdout);
    }
  }
}

backend_process& test_cell::add_backend(const std::string& name, const backend_options& options) {
  std::vector<std::string> settings{"slots=" + std::to_string(options.m_slots),
                                    "cold_limit=" + std::to_string(options.m_cold_limit)};
  settings.insert(settings.end(), options.m_settings.begin(), options.m_settings.end());
  const std::string program = options.m_service == "chat" ? "standin_engine" : "standin_service";
  auto process = std::make_unique<standin_process>(program, settings, m_folder.path() + "/" + name + ".log");
  const std::string address = process->address();
  return m_backends.emplace_back(backend_process{name, options, "serving", address, std::move(process)});
}

std::string test_cell::format_declarations() const {
  std::ostringstream text;
  int rank = 0;
  for (const std::string_view tier : {"interactive", "standard", "batch"}) {
    text << "[[tier]]\nname = \"" << tier << "\"\nrank = " << rank++
         << "\ndefault_timeout_ms = 20000\n[[client_account]]\nname = \"" << tier
         << "\"\nowner = \"north\"\ntier = \"" << tier << "\"\nkey_sha256 = [\""
         << sha256_hex("key-" + std::string(tier)) << "\"]\n";
  }
  const auto append_service = [&](const std::string& name, std::string_view keys) {
    text << "[[service]]\nname = \"" << name
         << "\"\nowner = \"north\"\naccounts = [\"*\"]\nactive_version = \"" << name
         << "-v1\"\nqueue_limit = " << m_queue_limit << "\n"
         << keys;
    if (const auto rollout = m_rollouts.find(name); rollout != m_rollouts.end()) {
      text << "[service.move]\n" << rollout->second << "\n";
    }
    for (const auto& [version, attempt] : m_version_attempts) {
      text << "[[version]]\nname = \"" << name << "-" << version << "\"\nservice = \"" << name
           << "\"\nattempt = " << attempt << "\n";
    }
  };
  append_service("chat", "kind = \"model\"\n");
  append_service(
      "orders", "kind = \"plain\"\nroutes = [{path = \"/orders\", methods = [\"POST\"], idempotent = false}, "
                "{path = \"/stock\", methods = [\"GET\"], idempotent = true}]\n");
  for (const auto& [zone, state] : m_zones) {
    text << "[[availability_zone]]\nname = \"" << zone << "\"\nowner = \"north\"\nregion = \"r1\"\nstate = \""
         << state << "\"\n";
  }
  for (const auto& backend : m_backends) {
    const backend_options& options = backend.m_options;
    text << "[[backend_server]]\nname = \"" << backend.m_name
         << "\"\nowner = \"north\"\ncell = \"main\"\nzone = \"" << options.m_zone << "\"\nservice = \""
         << options.m_service << "\"\nversion = \"" << options.m_service << "-" << options.m_version
         << "\"\naddress = \"" << backend.m_declared_address << "\"\nslots = " << options.m_slots
         << "\ncold_limit = " << (options.m_cold_limit > 0 ? options.m_cold_limit : options.m_slots)
         << "\nstate = \"" << backend.m_state << "\"\n";
  }
  return text.str();
}

finished_process test_cell::run_ctl(const std::vector<std::string>& arguments) {
  std::vector<std::string> all_arguments = arguments;
  all_arguments.insert(all_arguments.end(), {"--platform", m_object_api->address(), "--owner", "north"});
  return run_program(program_path("cardamompondctl"), all_arguments,
                     m_folder.path() + "/ctl" + std::to_string(++m_output_count) + ".log");
}

finished_process test_cell::try_publish() {
  m_folder.write("declarations/cell.toml", format_declarations());
  return run_ctl({"publish", m_folder.path() + "/declarations"});
}

void test_cell::publish() {
  if (const auto published = try_publish(); published.m_exit_code != 0) {
    fail_test("publish: exit code " + std::to_string(published.m_exit_code) + ": " + published.m_output);
  }
}

daemon_process& test_cell::add_daemon(const std::string& name, const std::string& zone,
                                      const std::string& platform_address) {
  daemon_process& daemon = m_daemons.emplace_back(
      daemon_process{name, zone, find_free_address(), find_free_address(), {}, nullptr});
  std::ostringstream text;
  text << "name = \"" << name << "\"\nowner = \"north\"\ncell = \"main\"\navailability_zone = \"" << zone
       << "\"\nregion = \"r1\"\n[listen]\ncallers = \"" << daemon.m_callers_address << "\"\nadmin = \""
       << daemon.m_admin_address << "\"\npeer = \"" << find_free_address() << "\"\n[platform]\naddress = \""
       << (platform_address.empty() ? m_object_api->address() : platform_address)
       << (m_host_list_address.empty() ? "" : "\"\nhost_list = \"" + m_host_list_address)
       << "\"\nmax_reads_per_s = 2000\nmax_writes_per_s = 1000\n[peer]\nsecret = "
          "\"secret-of-the-test-cell-0123456789\"\n[limits]\ndrain_timeout_s = 30\n"
       << m_limits << "[log]\nlevel = \"info\"\n";
  daemon.m_settings_path = m_folder.write(name + ".toml", text.str());
  restart(daemon);
  return daemon;
}

void test_cell::start(int daemon_count) {
  publish();
  auto zone = m_zones.begin();
  for (int i = 1; i <= daemon_count; ++i) {
    add_daemon("d" + std::to_string(i), zone->first);
    zone = std::next(zone) == m_zones.end() ? m_zones.begin() : std::next(zone);
  }
  wait_until_ready();
}

void test_cell::restart(daemon_process& daemon) {
  const std::string output_path =
      m_folder.path() + "/" + daemon.m_name + "-" + std::to_string(++m_output_count) + ".log";
  daemon.m_process = std::make_unique<child_process>(
      program_path("cardamompondd"), std::vector<std::string>{"--settings", daemon.m_settings_path},
      output_path);
}

bool test_cell::is_ready(const daemon_process& daemon) {
  const auto response = m_client.fetch(daemon.m_admin_address, {"GET", "/readyz", {}, {}}, milliseconds(500));
  return response && response->m_status == 200;
}

void test_cell::wait_until_ready(milliseconds timeout) {
  for (const auto& daemon : m_daemons) {
    wait_until(daemon.m_name + " ready: " + daemon.m_process->read_output(), timeout,
               [&] { return daemon.m_process->exit_code().has_value() || is_ready(daemon); });
  }
  m_ready_checked_at = {};
}

std::vector<std::string> test_cell::ready_addresses() {
  if (const time_point now = monotonic_now(); now - m_ready_checked_at > milliseconds(100)) {
    m_ready_checked_at = now;
    std::vector<std::string> addresses;
    for (const auto& daemon : m_daemons) {
      if (!daemon.m_process->exit_code() && is_ready(daemon)) {
        addresses.push_back(daemon.m_callers_address);
      }
    }
    m_ready_addresses = std::move(addresses);
  }
  return m_ready_addresses;
}

boost::json::value test_cell::fetch_debug_state(const daemon_process& daemon) {
  return boost::json::parse(fetch_body(daemon.m_admin_address, {"GET", "/debug/state", {}, {}}));
}

std::size_t test_cell::fetch_owner_index() {
  const auto cell = m_object_api->fetch_json("/v1/objects/cells/main");
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (std::string_view(cell.at("owner").as_string()) == m_daemons[i].m_name) {
      return i;
    }
  }
  throw std::runtime_error("no daemon of the test owns the cell: " + boost::json::serialize(cell));
}

std::int64_t test_cell::fetch_epoch() {
  return m_object_api->fetch_json("/v1/objects/cells/main").at("epoch").to_number<std::int64_t>();
}

boost::json::value test_cell::fetch_rollout_status(std::string_view service) {
  const auto response =
      m_client.fetch(m_object_api->address(), {"GET", "/v1/objects/status/main", {}, {}}, call_timeout);
  if (response && response->m_status == 200) {
    const auto status = boost::json::parse(response->m_body);
    for (const auto& rollout : status.at("moves").as_array()) {
      if (std::string_view(rollout.at("service").as_string()) == service) {
        return rollout;
      }
    }
  }
  return {};
}

histories test_cell::fetch_backend_histories() {
  histories all_histories;
  for (const auto& backend : m_backends) {
    all_histories.push_back(backend.m_process->fetch_history());
  }
  return all_histories;
}

} // namespace cardamompond::testing
