#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/server_reachability.hpp"
#include "cardamompond/gateway/fleet_view.hpp"
#include "cardamompond/gateway/peer_group.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/connection_router.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// Counts for metrics.
struct server_path_counters {
  std::uint64_t m_tunnels_opened = 0;
  std::uint64_t m_tunnels_refused = 0; // by a peer, or a peer that was not reached
  std::uint64_t m_probes = 0;
  std::uint64_t m_losses = 0;
};

// Chooses how this daemon connects to backend servers: directly, or through peers while it has no path of its
// own to any of them. Everything else about the requests stays with this daemon.
class server_path final : public net::connection_router {
public:
  server_path(net::fiber_runtime& runtime, net::http_client& peer_client, const fleet_view& view,
              peer_group& group, const request_protocol& protocol, std::uint64_t seed);

  // Sets what is called when the path is lost or restored.
  void on_change(std::function<void()> callback) { m_on_change = std::move(callback); }

  // Starts the fiber that watches the path.
  void start();

  // Tells the peer what the server stated in a response that the peer passed on, since that binds the peer,
  // too, and it does not read the responses.
  void tell_peer(std::string_view peer, const fleet::backend_server& server,
                 const response_metadata& metadata);

  fleet::path_state state() const { return m_reachability.state(); }
  const server_path_counters& counters() const { return m_counters; }

  net::connection_route choose_route(std::string_view address) override;
  void record_sent() override { m_reachability.record_sent(monotonic_now()); }
  void record_received() override { m_reachability.record_received(monotonic_now()); }
  void record_reached(std::string_view address) override;
  void record_unreached(std::string_view address) override;
  void record_proxy_failure(std::string_view proxy, std::string_view address, int status,
                            std::string_view reason) override;
  void record_proxied(std::string_view proxy, std::string_view address) override;

private:
  void watch();
  void probe(const std::string& address);
  std::vector<std::string> choose_probed_servers(std::size_t count);
  void log_state(fleet::path_state previous);

  net::http_client& m_peer_client;
  net::http_client m_probe_client;
  const fleet_view& m_fleet_view;
  peer_group& m_group;
  const request_protocol& m_protocol;
  fleet::server_reachability m_reachability;
  std::map<std::string, time_point, std::less<>> m_avoided_until; // peers that refused, by address
  std::map<std::string, std::uint64_t, std::less<>> m_logged;     // tunnels of the present loss, by peer
  // Statements to leave that were passed to peers while the path is lost, and their recipients.
  std::set<std::string, std::less<>> m_told;
  std::mt19937_64 m_random;
  std::function<void()> m_on_change;
  server_path_counters m_counters;
  time_point m_lost_at;
};

} // namespace cardamompond::gateway
