#include "cardamompond/gateway/server_path.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cardamompond::gateway {
namespace {

constexpr milliseconds check_interval{50};

// A sound server answers a probe at once. TCP sends a lost SYN again only after a second.
constexpr milliseconds probe_timeout{300};

// Peers that one connection is tried through.
constexpr std::size_t max_proxies = 3;

// A peer that refused for its own sake is not asked again for this time, and one that did not reach the
// server for the shorter one, since the server may be at fault.
constexpr duration refusal_pause = seconds(1);
constexpr duration unreached_pause = milliseconds(200);

// A statement binds the peer soon after it has passed it on.
constexpr milliseconds tell_timeout{400};

constexpr int status_bad_gateway = 502;

// Refused tunnels that are logged for each peer while the path is lost.
constexpr std::uint64_t max_logged_refusals = 3;

} // namespace

server_path::server_path(net::fiber_runtime& runtime, net::http_client& peer_client, const fleet_view& view,
                         peer_group& group, const request_protocol& protocol, std::uint64_t seed)
    : m_peer_client(peer_client)
    , m_probe_client(runtime, {.m_connect_timeout = probe_timeout})
    , m_fleet_view(view)
    , m_group(group)
    , m_protocol(protocol)
    , m_random(seed) {}

void server_path::start() {
  net::fiber_runtime::spawn([this] { watch(); });
}

void server_path::watch() {
  while (true) {
    const auto previous = m_reachability.state();
    const std::size_t probes = m_reachability.tick(m_fleet_view.backend_servers().size(), monotonic_now());
    for (auto& address : choose_probed_servers(probes)) {
      net::fiber_runtime::spawn([this, address] { probe(address); });
    }
    log_state(previous);
    boost::this_fiber::sleep_for(check_interval);
  }
}

void server_path::log_state(fleet::path_state previous) {
  const auto state = m_reachability.state();
  const bool is_lost = state == fleet::path_state::lost;
  if (is_lost == (m_lost_at != time_point{})) {
    return;
  }
  const auto to_ms = [](duration value) { return std::chrono::duration_cast<milliseconds>(value).count(); };
  if (is_lost) {
    m_lost_at = monotonic_now();
    ++m_counters.m_losses;
    m_logged.clear();
    m_told.clear();
    log_event(log_level::warning, "servers_unreachable",
              {{"after", fleet::to_string(previous)},
               {"unreached_servers", m_reachability.unreached_servers()},
               {"detected_ms", to_ms(m_reachability.detection_time())},
               {"old_connections_live", m_reachability.keeps_old_connections()},
               {"helpers", m_group.connection_helpers().size()}});
  } else {
    log_event(log_level::info, "servers_reachable",
              {{"after_ms", to_ms(monotonic_now() - std::exchange(m_lost_at, time_point{}))},
               {"tunnels_opened", m_counters.m_tunnels_opened},
               {"tunnels_refused", m_counters.m_tunnels_refused}});
    m_avoided_until.clear();
  }
  if (m_on_change) {
    m_on_change();
  }
}

// Chooses servers at random, of different services first, since those of one service may all have crashed.
std::vector<std::string> server_path::choose_probed_servers(std::size_t count) {
  if (count == 0) {
    return {};
  }
  std::vector<const fleet::backend_server*> servers;
  for (const auto& each : m_fleet_view.backend_servers()) {
    servers.push_back(&each);
  }
  std::shuffle(servers.begin(), servers.end(), m_random);
  std::set<std::string_view> services;
  std::stable_partition(servers.begin(), servers.end(), [&](const fleet::backend_server* each) {
    return services.insert(each->m_service).second;
  });
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < std::min(count, servers.size()); ++i) {
    addresses.push_back(servers[i]->m_address);
  }
  return addresses;
}

void server_path::probe(const std::string& address) {
  ++m_counters.m_probes;
  const auto response = m_probe_client.fetch(address, m_protocol.make_probe_request(), probe_timeout,
                                             64U << 10U, net::http_client::connection_choice::fresh);
  if (response) {
    record_reached(address);
    record_received();
  } else {
    m_reachability.record_probe_failure(static_cast<std::uint32_t>(hash64(address)), monotonic_now());
  }
}

void server_path::tell_peer(std::string_view peer, const fleet::backend_server& server,
                            const response_metadata& metadata) {
  const std::string started = std::to_string(server.m_started_unix_ms);
  const auto tell = [&](const std::string& statement) {
    net::fiber_runtime::spawn([this, to = std::string(peer), id = server.m_id,
                               target = "/statements?" + statement + "&started=" + started] {
      const auto response = m_peer_client.fetch(to, {"PUT", target, {}, id}, tell_timeout);
      constexpr int status_ok = 200;
      if (!response || response->m_status != status_ok) {
        log_event(log_level::warning, "statement_not_passed",
                  {{"peer", to},
                   {"backend_server", id},
                   {"reason",
                    response ? "status " + std::to_string(response->m_status) : response.error().m_message}});
      }
    });
  };
  if (metadata.m_leaving && m_told.insert(std::string(peer) + " " + server.m_id + " " + started).second) {
    tell("leaving=1");
  }
  if (metadata.m_pause) {
    const auto& length = metadata.m_pause->m_duration;
    tell("pause_ms=" + (length ? std::to_string(length->count()) : std::string()));
  }
}

net::connection_route server_path::choose_route(std::string_view address) {
  if (m_reachability.state() != fleet::path_state::lost) {
    return {};
  }
  const time_point now = monotonic_now();
  std::vector<std::pair<std::pair<bool, std::uint64_t>, std::string>> helpers;
  for (const auto& each : m_group.connection_helpers()) {
    const auto avoided = m_avoided_until.find(each.m_exchange_address);
    if (avoided != m_avoided_until.end() && now < avoided->second) {
      continue;
    }
    const bool other_zone = each.m_availability_zone != m_group.self().m_availability_zone;
    const auto weight = hash64(each.m_name, hash64(address, hash64(m_group.self().m_name)));
    helpers.push_back({{other_zone, weight}, each.m_exchange_address});
  }
  std::sort(helpers.begin(), helpers.end());
  helpers.resize(std::min(helpers.size(), max_proxies));
  net::connection_route route;
  route.m_reuses_direct = m_reachability.keeps_old_connections();
  for (auto& each : helpers) {
    route.m_proxies.push_back(std::move(each.second));
  }
  return route;
}

void server_path::record_reached(std::string_view /*address*/) {
  m_reachability.record_reached(monotonic_now());
}

void server_path::record_unreached(std::string_view address) {
  m_reachability.record_unreached(static_cast<std::uint32_t>(hash64(address)), monotonic_now());
}

void server_path::record_proxied(std::string_view proxy, std::string_view address) {
  ++m_counters.m_tunnels_opened;
  const std::string key = "opened " + std::string(proxy);
  if (m_logged[key]++ == 0) {
    log_event(log_level::info, "tunnel_opened", {{"peer", proxy}, {"address", address}});
  }
}

void server_path::record_proxy_failure(std::string_view proxy, std::string_view address, int status,
                                       std::string_view reason) {
  ++m_counters.m_tunnels_refused;
  m_avoided_until[std::string(proxy)] =
      monotonic_now() + (status == status_bad_gateway ? unreached_pause : refusal_pause);
  if (m_logged[std::string(proxy)]++ < max_logged_refusals) {
    log_event(log_level::info, "tunnel_refused",
              {{"peer", proxy}, {"address", address}, {"status", status}, {"reason", reason}});
  }
}

} // namespace cardamompond::gateway
