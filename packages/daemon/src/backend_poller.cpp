#include "cardamompond/daemon/backend_poller.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace cardamompond::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t max_report_bytes = 1U << 20U;
constexpr milliseconds check_interval{50};

std::optional<json::object> fetch_json_object(net::http_client& client, const std::string& address,
                                              std::string target, milliseconds timeout) {
  const auto response = client.fetch(address, {"GET", std::move(target), {}, {}}, timeout, max_report_bytes,
                                     net::http_client::connection_choice::fresh);
  if (!response || response->m_status != 200) {
    return std::nullopt;
  }
  boost::system::error_code error;
  auto parsed = json::parse(response->m_body, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  return std::move(parsed.as_object());
}

std::string string_field(const json::object& fields, std::string_view name) {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Returns -1 for a missing or malformed number. The scheduler counts and ignores negative values.
std::int64_t integer_field(const json::object& fields, std::string_view name) {
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

double number_field(const json::object& fields, std::string_view name) {
  const auto* value = fields.if_contains(name);
  if (value == nullptr || !value->is_number()) {
    return -1;
  }
  return value->to_number<double>();
}

std::optional<scheduler::load_report_event> read_report(const std::string& server,
                                                        const json::object& fields) {
  scheduler::load_report_event report;
  report.m_backend_server = server;
  report.m_boot_id = string_field(fields, "boot_id");
  const std::string state = string_field(fields, "state");
  if (state == "cold") {
    report.m_state = scheduler::reported_state::cold;
  } else if (state == "leaving") {
    report.m_state = scheduler::reported_state::leaving;
  } else if (state != "warm") {
    return std::nullopt;
  }
  report.m_running = integer_field(fields, "running");
  report.m_waiting = integer_field(fields, "waiting");
  report.m_slots = integer_field(fields, "slots");
  report.m_tokens_per_s = number_field(fields, "tokens_per_s");
  constexpr std::int64_t max_age_ms = 3'600'000;
  const auto age = std::clamp<std::int64_t>(integer_field(fields, "measured_ms_ago"), 0, max_age_ms);
  report.m_measured = monotonic_now() - milliseconds(age);
  return report;
}

} // namespace

backend_poller::backend_poller(net::fiber_runtime& runtime, configuration_source& configuration,
                               cell_permit_client& permits, backend_poller_options options)
    : m_configuration(configuration)
    , m_permits(permits)
    , m_options(std::move(options))
    , m_client(runtime, {.m_connect_timeout = m_options.m_call_timeout}) {}

void backend_poller::run() {
  time_point next_poll{};
  bool was_scheduling = false;
  std::uint64_t revision = 0;
  while (true) {
    const auto snapshot = m_configuration.current();
    const bool scheduling = snapshot && m_permits.is_scheduling();
    // When this daemon becomes the scheduler or the configuration changes, the boot ids of the servers are
    // needed at once: without them a restarted server cannot be told apart from one that reports for the
    // first time.
    const bool changed = scheduling && (!was_scheduling || snapshot->m_revision != revision);
    if (scheduling && (changed || monotonic_now() >= next_poll)) {
      next_poll = monotonic_now() + m_options.m_poll_interval;
      revision = snapshot->m_revision;
      poll_all(*snapshot);
    }
    was_scheduling = scheduling;
    boost::this_fiber::sleep_for(check_interval);
  }
}

void backend_poller::poll_all(const declarations::snapshot& snapshot) {
  const auto& objects = snapshot.m_objects;
  for (const auto& [name, server] : objects.m_backend_servers) {
    if (server.m_cell != m_options.m_cell || !m_polls_in_progress.insert(name).second) {
      continue;
    }
    const auto service = objects.m_services.find(server.m_service);
    const bool has_cache =
        service != objects.m_services.end() && service->second.m_kind == declarations::service_kind::model;
    net::fiber_runtime::spawn([this, copy = server, has_cache] { poll_server(copy, has_cache); });
  }
  if (!m_options.m_host_list_address.empty()) {
    net::fiber_runtime::spawn([this] { poll_host_list(); });
  }
}

void backend_poller::poll_server(const declarations::backend_server& server, bool has_cache) {
  poll_load(server);
  if (has_cache) {
    poll_cache(server);
  }
  m_polls_in_progress.erase(server.m_name);
}

void backend_poller::poll_load(const declarations::backend_server& server) {
  const auto fields = fetch_json_object(m_client, server.m_address, "/load", m_options.m_call_timeout);
  if (!fields) {
    m_permits.handle(scheduler::unreachable_event{server.m_name});
  } else if (auto report = read_report(server.m_name, *fields)) {
    m_permits.handle(*report);
  }
}

void backend_poller::poll_cache(const declarations::backend_server& server) {
  std::uint64_t& last_sequence = m_last_cache_sequences[server.m_name];
  const auto fields =
      fetch_json_object(m_client, server.m_address, "/cache-events?after=" + std::to_string(last_sequence),
                        m_options.m_call_timeout);
  const auto* events = fields ? fields->if_contains("events") : nullptr;
  if (events == nullptr || !events->is_array()) {
    return;
  }
  for (const auto& entry : events->get_array()) {
    const auto* object = entry.if_object();
    if (object == nullptr) {
      continue;
    }
    const std::string block = string_field(*object, "block");
    scheduler::cache_event event;
    event.m_backend_server = server.m_name;
    event.m_sequence = static_cast<std::uint64_t>(std::max<std::int64_t>(0, integer_field(*object, "seq")));
    event.m_added = string_field(*object, "op") == "add";
    const auto [end, error] = std::from_chars(block.data(), block.data() + block.size(), event.m_block, 16);
    if (error == std::errc() && end == block.data() + block.size()) {
      last_sequence = std::max(last_sequence, event.m_sequence);
      m_permits.handle(event);
    }
  }
}

void backend_poller::poll_host_list() {
  const auto fields =
      fetch_json_object(m_client, m_options.m_host_list_address, "/hosts", m_options.m_call_timeout);
  const auto* hosts = fields ? fields->if_contains("hosts") : nullptr;
  const auto snapshot = m_configuration.current();
  if (hosts == nullptr || !hosts->is_array() || !snapshot) {
    return;
  }
  std::map<std::string, bool, std::less<>> leaving_by_address;
  for (const auto& host : hosts->get_array()) {
    if (const auto* object = host.if_object()) {
      leaving_by_address[string_field(*object, "address")] = string_field(*object, "state") == "leaving";
    }
  }
  // The state of a server that is missing from the list is not changed, because the list may not yet contain
  // servers that were added recently.
  for (const auto& [name, server] : snapshot->m_objects.m_backend_servers) {
    if (const auto found = leaving_by_address.find(server.m_address);
        server.m_cell == m_options.m_cell && found != leaving_by_address.end()) {
      m_permits.handle(scheduler::host_state_event{name, found->second});
    }
  }
}

} // namespace cardamompond::daemon
