#include "cardamompond/gateway/peer_exchange.hpp"

#include "cardamompond/gateway/send_budget.hpp"
#include "cardamompond/net/address.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <span>
#include <stdexcept>
#include <tuple>
#include <utility>
#include <variant>

namespace cardamompond::gateway {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::string_view collections_path = "/collections/";
constexpr std::string_view statements_path = "/statements";
constexpr std::string_view usage_path = "/usage/"; // followed by the number of a window
constexpr milliseconds fetch_interval{50};

// The time for a fetch grows with the content: the slowest links carry 10 Mbit/s, and the peer may send two
// snapshots at a time.
constexpr milliseconds fetch_timeout{800};
constexpr std::int64_t fetch_bytes_per_ms = 500;
constexpr std::size_t max_snapshot_bytes = 64U << 20U;

// After a failure, another peer is tried after this time at most. A peer that has no room refuses at once.
constexpr int max_fetch_retry_ms = 300;

// Snapshots of this size or more are sent at a limited rate, about that of the slowest links.
constexpr std::size_t limited_snapshot_bytes = 64'000;
constexpr double snapshot_bytes_per_s = 1'000'000;

// Larger datagrams do not arrive complete on all links.
constexpr std::size_t max_datagram_bytes = 16U << 10U;

// Datagrams that a daemon forwards in one round of reports. The digests of a zone, sent to all daemons of
// another one at once, would fill a link of 20 Mbit/s for over 100 ms.
constexpr std::size_t max_forwards_per_round = 20;

// Requests of peers have no body, or a short one.
constexpr std::uint64_t max_request_body_bytes = 256U << 10U;

// Time for a connection to a backend server on behalf of a peer.
constexpr milliseconds tunnel_connect_timeout{250};

// A tunnel whose last bytes came from the server longer ago than this has no request under way. Engines write
// events far more often.
constexpr duration tunnel_idle_time = seconds(1);

// A statement of a server is taken for this time after the last tunnel to it was opened.
constexpr duration max_tunnel_age = seconds(60);

constexpr int status_forbidden = 403;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

// Addresses whose parsed form is kept; more than a group has daemons.
constexpr std::size_t max_endpoints = 8'192;

// Datagrams that wait to be forwarded; the oldest is dropped.
constexpr std::size_t max_queued_forwards = 64;

std::optional<udp::endpoint> parse_endpoint(std::string_view address) {
  const auto parsed = net::parse_address(address);
  return parsed ? std::optional(udp::endpoint(parsed->address(), parsed->port())) : std::nullopt;
}

udp::endpoint parse_required_endpoint(const std::string& address) {
  const auto endpoint = parse_endpoint(address);
  if (!endpoint) {
    throw std::runtime_error("invalid exchange address " + address);
  }
  return *endpoint;
}

} // namespace

class peer_exchange::impl {
public:
  impl(net::fiber_runtime& runtime, net::http_client& client, peer_group& group, fleet_view& view,
       const std::string& address, std::uint32_t max_connections)
      : m_client(client)
      , m_group(group)
      , m_fleet_view(view)
      , m_socket(runtime.context(), parse_required_endpoint(address))
      , m_server(runtime,
                 {.m_address = address,
                  .m_max_body_bytes = max_request_body_bytes,
                  .m_max_connections = max_connections},
                 [this](net::http_exchange& exchange) { serve(exchange); }) {
    m_socket.non_blocking(true);
  }

  void send_reports();
  void send_announcement(bool leaving);
  void receive_reports();
  void fetch_lagging_collections();

  void send_usage(bool all);

  std::size_t m_max_tunnels = 0;
  tunnel_callbacks m_tunnel_callbacks;
  std::map<std::string, time_point, std::less<>> m_tunnel_used; // by server address: when one was opened last
  std::set<const net::tunnel_activity*> m_tunnels;              // at present

  exchange_counters m_counters;
  usage_ledger* m_usage_ledger = nullptr;

private:
  void send(const std::string& bytes, std::span<const std::string> addresses);
  void send_forwards();
  void receive_digest(report_digest& digest, const udp::endpoint& sender);
  void count_malformed(const udp::endpoint& sender, std::string_view reason);
  void serve(net::http_exchange& exchange);
  void serve_tunnel(net::http_exchange& exchange);
  void receive_statement(net::http_exchange& exchange);
  bool serve_usage(net::http_exchange& exchange, std::string_view window);
  bool fetch(const peer_group::lagging_collection& lagging);

  net::http_client& m_client;
  peer_group& m_group;
  fleet_view& m_fleet_view;
  udp::socket m_socket;
  net::http_server m_server;
  std::map<std::string, udp::endpoint> m_endpoints; // parsed addresses, by their text

  // A digest and the addresses that it has not been forwarded to.
  struct forward {
    std::string m_bytes;
    std::vector<std::string> m_addresses;
  };
  std::deque<forward> m_forwards;
  send_budget m_snapshot_budget{snapshot_bytes_per_s};
  std::mt19937 m_random{std::random_device{}()};
};

void peer_exchange::impl::send(const std::string& bytes, std::span<const std::string> addresses) {
  if (bytes.size() > max_datagram_bytes) {
    log_event(log_level::warning, "report_too_large", {{"bytes", bytes.size()}});
    return;
  }
  for (const auto& address : addresses) {
    auto found = m_endpoints.find(address);
    if (found == m_endpoints.end()) {
      const auto endpoint = parse_endpoint(address);
      if (!endpoint) {
        continue;
      }
      if (m_endpoints.size() >= max_endpoints) {
        m_endpoints.clear(); // reports with invented addresses must not make it grow
      }
      found = m_endpoints.emplace(address, *endpoint).first;
    }
    boost::system::error_code ignored; // the next report makes up for a lost one
    m_socket.send_to(asio::buffer(bytes), found->second, 0, ignored);
    ++m_counters.m_reports_sent;
    m_counters.m_bytes_sent += bytes.size();
  }
}

void peer_exchange::impl::send_reports() {
  m_group.tick(monotonic_now());
  const auto round = m_group.next_round();
  send(encode_report(m_group.make_report(round.m_with_speeds, false)), round.m_same_zone);
  if (!round.m_other_zones.empty()) {
    send(encode_report(m_group.make_report(false, false)), round.m_other_zones);
  }
  send_forwards();
  if (!round.m_digests.empty()) {
    for (const auto& digest : m_group.make_digests(monotonic_now())) {
      send(encode_digest(digest), round.m_digests);
    }
  }
}

// States what this daemon counted to the collectors of its zone.
void peer_exchange::impl::send_usage(bool all) {
  if (m_usage_ledger == nullptr) {
    return;
  }
  m_usage_ledger->tick();
  for (const auto& statement : m_usage_ledger->take_statements(boot_now(), all)) {
    send(encode_usage(statement), m_usage_ledger->collector_addresses());
  }
}

void peer_exchange::impl::send_announcement(bool leaving) {
  if (leaving) {
    send_usage(true);
  }
  send(encode_report(m_group.make_report(false, leaving)), m_group.announcement_addresses());
}

void peer_exchange::impl::receive_reports() {
  std::vector<char> buffer(max_datagram_bytes);
  while (true) {
    udp::endpoint sender;
    net::io_wait wait;
    m_socket.async_receive_from(asio::buffer(buffer), sender, wait.handler());
    if (wait.wait()) {
      boost::this_fiber::sleep_for(report_interval);
      continue;
    }
    ++m_counters.m_reports_received;
    const std::string_view bytes(buffer.data(), wait.bytes());
    auto message = decode_message(bytes);
    if (!message) {
      count_malformed(sender, message.error().m_reason);
    } else if (const auto* report = std::get_if<peer_report>(&*message)) {
      m_group.handle_report(*report, monotonic_now());
    } else if (const auto* usage = std::get_if<fleet::usage_statement>(&*message)) {
      if (m_usage_ledger != nullptr) {
        m_usage_ledger->merge(*usage);
      }
    } else {
      receive_digest(std::get<report_digest>(*message), sender);
    }
  }
}

void peer_exchange::impl::receive_digest(report_digest& digest, const udp::endpoint& sender) {
  if (m_group.handle_digest(digest, monotonic_now()) > 0) {
    count_malformed(sender, "a relayed report");
  }
  if (!std::exchange(digest.m_forwarded, true) && m_group.is_from_other_zone(digest)) {
    m_forwards.push_back({encode_digest(digest), m_group.same_zone_addresses()});
    if (m_forwards.size() > max_queued_forwards) {
      m_forwards.pop_front();
    }
  }
}

// Sends some of the datagrams that wait to be forwarded.
void peer_exchange::impl::send_forwards() {
  std::size_t count = 0;
  while (!m_forwards.empty() && count < max_forwards_per_round) {
    auto& [bytes, addresses] = m_forwards.front();
    if (addresses.empty()) {
      m_forwards.pop_front();
      continue;
    }
    send(bytes, std::span(&addresses.back(), 1));
    addresses.pop_back();
    ++count;
  }
}

void peer_exchange::impl::count_malformed(const udp::endpoint& sender, std::string_view reason) {
  if (++m_counters.m_malformed_reports == 1) {
    log_event(log_level::warning, "report_malformed",
              {{"sender", sender.address().to_string()}, {"reason", reason}});
  }
}

// Connects a peer to a backend server that it does not reach. Only to servers that this daemon would send
// requests to itself, and never through a third daemon.
void peer_exchange::impl::serve_tunnel(net::http_exchange& exchange) {
  const auto refuse = [&](int status, std::string text, std::uint64_t& counter) {
    ++counter;
    exchange.close_after_response();
    std::ignore = exchange.respond({status, {{"Content-Type", "text/plain"}}, std::move(text)});
  };
  const std::string address = exchange.request().m_target;
  const auto& servers = m_fleet_view.backend_servers();
  const auto server = std::find_if(servers.begin(), servers.end(), [&](const fleet::backend_server& each) {
    return each.m_address == address;
  });
  if (server == servers.end()) {
    refuse(status_forbidden, "not the address of a backend server\n", m_counters.m_tunnels_refused);
    return;
  }
  if (m_tunnels.size() >= m_max_tunnels || !m_tunnel_callbacks.m_passes_connections()) {
    refuse(status_unavailable, "no connections are passed on\n", m_counters.m_tunnels_refused);
    return;
  }
  if (!m_tunnel_callbacks.m_may_send(*server)) {
    refuse(status_bad_gateway, "the backend server wants no requests\n", m_counters.m_tunnels_refused);
    return;
  }
  if (m_tunnel_used.size() >= max_endpoints) {
    m_tunnel_used.clear();
  }
  m_tunnel_used[address] = monotonic_now();
  net::tunnel_activity activity;
  m_tunnels.insert(&activity);
  const auto ended = exchange.tunnel(address, tunnel_connect_timeout, activity);
  m_tunnels.erase(&activity);
  if (ended) {
    ++m_counters.m_tunnels_opened;
  } else {
    refuse(status_bad_gateway, "the backend server was not reached\n", m_counters.m_tunnels_failed);
  }
}

// Takes what a server stated in a response that was passed on. Only about servers to which this daemon has
// passed connections on lately, so that a peer cannot shut out others.
void peer_exchange::impl::receive_statement(net::http_exchange& exchange) {
  const auto& request = exchange.request();
  const std::string& id = request.m_body;
  const auto started = request.query("started").value_or("");
  const auto& servers = m_fleet_view.backend_servers();
  const auto server = std::find_if(servers.begin(), servers.end(), [&](const fleet::backend_server& each) {
    return each.m_id == id && std::to_string(each.m_started_unix_ms) == started;
  });
  const auto used = server == servers.end() ? m_tunnel_used.end() : m_tunnel_used.find(server->m_address);
  if (used == m_tunnel_used.end() || monotonic_now() - used->second > max_tunnel_age) {
    std::ignore = exchange.respond({status_forbidden, {{"Content-Type", "text/plain"}}, "no tunnel\n"});
    return;
  }
  response_metadata metadata;
  metadata.m_leaving = request.query("leaving").has_value();
  if (const auto pause = request.query("pause_ms")) {
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(pause->data(), pause->data() + pause->size(), ms);
    const bool readable = error == std::errc() && end == pause->data() + pause->size();
    metadata.m_pause = {readable ? std::optional(milliseconds(ms)) : std::nullopt, "passed on"};
  }
  m_tunnel_callbacks.m_on_statement(*server, metadata);
  std::ignore = exchange.respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
}

void peer_exchange::impl::serve(net::http_exchange& exchange) {
  if (exchange.request().m_method == "CONNECT") {
    serve_tunnel(exchange);
    return;
  }
  const std::string_view path = exchange.request().path();
  if (path == statements_path && exchange.request().m_method == "PUT") {
    receive_statement(exchange);
    return;
  }
  if (path.starts_with(collections_path)) {
    for (const auto kind : all_collection_kinds) {
      if (path.substr(collections_path.size()) == to_string(kind)) {
        if (m_fleet_view.collection(kind).bytes() >= limited_snapshot_bytes &&
            !m_snapshot_budget.try_take(m_fleet_view.collection(kind).bytes(), monotonic_now())) {
          std::ignore = exchange.respond({503, {{"Content-Type", "text/plain"}}, "busy\n"});
          return;
        }
        std::ignore = exchange.respond({200,
                                        {{"Content-Type", "application/octet-stream"}},
                                        encode_snapshot(m_fleet_view.collection(kind).snapshot())});
        return;
      }
    }
  }
  if (path.starts_with(usage_path) && serve_usage(exchange, path.substr(usage_path.size()))) {
    return;
  }
  std::ignore = exchange.respond({404, {{"Content-Type", "text/plain"}}, "not found\n"});
}

bool peer_exchange::impl::serve_usage(net::http_exchange& exchange, std::string_view window) {
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(window.data(), window.data() + window.size(), number);
  if (m_usage_ledger == nullptr || error != std::errc() || end != window.data() + window.size()) {
    return false;
  }
  m_usage_ledger->tick();
  std::ignore = exchange.respond({200,
                                  {{"Content-Type", "application/octet-stream"}},
                                  encode_usage_list(m_usage_ledger->statements(number))});
  return true;
}

// Returns whether the collection was fetched.
bool peer_exchange::impl::fetch(const peer_group::lagging_collection& lagging) {
  const std::string target = std::string(collections_path) + std::string(to_string(lagging.m_kind));
  const auto timeout = fetch_timeout + milliseconds(lagging.m_bytes / fetch_bytes_per_ms);
  const auto response =
      m_client.fetch(lagging.m_peer_address, {"GET", target, {}, {}}, timeout, max_snapshot_bytes);
  const auto reason = [&]() -> std::string {
    if (!response) {
      return response.error().m_message;
    }
    constexpr int status_ok = 200;
    if (response->m_status != status_ok) {
      return "the peer answered " + std::to_string(response->m_status);
    }
    const auto snapshot = decode_snapshot(response->m_body);
    if (!snapshot) {
      return snapshot.error().m_reason;
    }
    ++m_counters.m_collections_fetched;
    m_fleet_view.apply(lagging.m_kind, *snapshot, lagging.m_peer_address, collection_replica::origin::peer);
    return {};
  }();
  if (!reason.empty()) {
    ++m_counters.m_fetch_failures;
    m_group.record_fetch_failure(lagging.m_kind);
    log_event(
        log_level::warning, "peer_fetch_failed",
        {{"collection", to_string(lagging.m_kind)}, {"peer", lagging.m_peer_address}, {"reason", reason}});
  }
  return reason.empty();
}

void peer_exchange::impl::fetch_lagging_collections() {
  while (true) {
    if (const auto lagging = m_group.find_lagging_collection(monotonic_now())) {
      if (!fetch(*lagging)) {
        std::uniform_int_distribution<int> pause_ms(0, max_fetch_retry_ms);
        boost::this_fiber::sleep_for(milliseconds(pause_ms(m_random)));
      }
    }
    boost::this_fiber::sleep_for(fetch_interval);
  }
}

peer_exchange::peer_exchange(net::fiber_runtime& runtime, net::http_client& client, peer_group& group,
                             fleet_view& view, const std::string& address, std::uint32_t max_connections)
    : m_impl(std::make_unique<impl>(runtime, client, group, view, address, max_connections)) {}

peer_exchange::~peer_exchange() = default;

void peer_exchange::set_tunnels(std::size_t max_tunnels, tunnel_callbacks callbacks) {
  m_impl->m_max_tunnels = max_tunnels;
  m_impl->m_tunnel_callbacks = std::move(callbacks);
}

std::size_t peer_exchange::open_tunnels() const {
  return m_impl->m_tunnels.size();
}

std::size_t peer_exchange::busy_tunnels() const {
  const time_point now = monotonic_now();
  const auto& tunnels = m_impl->m_tunnels;
  return static_cast<std::size_t>(std::count_if(tunnels.begin(), tunnels.end(), [&](const auto* each) {
    return each->m_awaits_server || now - each->m_last_transfer < tunnel_idle_time;
  }));
}

void peer_exchange::set_usage_ledger(usage_ledger* ledger) {
  m_impl->m_usage_ledger = ledger;
}

void peer_exchange::start() {
  net::fiber_runtime::spawn([this] { m_impl->receive_reports(); });
  net::fiber_runtime::spawn([this] { m_impl->fetch_lagging_collections(); });
  net::fiber_runtime::spawn([this] {
    while (true) {
      m_impl->send_reports();
      m_impl->send_usage(false);
      boost::this_fiber::sleep_for(report_interval);
    }
  });
}

void peer_exchange::announce_state() {
  m_impl->send_announcement(false);
}

void peer_exchange::announce_leaving() {
  m_impl->send_announcement(true);
}

exchange_counters peer_exchange::counters() const {
  return m_impl->m_counters;
}

} // namespace cardamompond::gateway
