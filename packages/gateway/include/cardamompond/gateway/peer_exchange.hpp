#pragma once

#include "cardamompond/gateway/peer_group.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/gateway/usage_ledger.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cardamompond::gateway {

// Counts of the reports and collections exchanged with peers, for metrics.
struct exchange_counters {
  std::uint64_t m_reports_sent = 0;
  std::uint64_t m_reports_received = 0;
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_malformed_reports = 0;
  std::uint64_t m_collections_fetched = 0;
  std::uint64_t m_fetch_failures = 0;
  std::uint64_t m_tunnels_opened = 0;  // for peers that do not reach the server
  std::uint64_t m_tunnels_refused = 0; // because this daemon stops, is full, has no path, or by the address
  std::uint64_t m_tunnels_failed = 0;  // because the server was not reached
};

// What passing connections on depends on.
struct tunnel_callbacks {
  std::function<bool()> m_passes_connections;
  // Whether a connection to the server may be opened for requests.
  std::function<bool(const fleet::backend_server&)> m_may_send;
  // Called with what a server stated in a response that this daemon passed on to a peer.
  std::function<void(const fleet::backend_server&, const response_metadata&)> m_on_statement;
};

// Sends and receives the reports of a peer group as UDP datagrams, serves this daemon's collections to peers
// over HTTP on the same address, and fetches collections of which a peer has a newer copy.
class peer_exchange {
public:
  // Binds the UDP and the TCP socket to `address`. Throws std::runtime_error if that fails. The TCP socket
  // accepts up to `max_connections` at a time.
  peer_exchange(net::fiber_runtime& runtime, net::http_client& client, peer_group& group, fleet_view& view,
                const std::string& address, std::uint32_t max_connections);
  ~peer_exchange();
  peer_exchange(const peer_exchange&) = delete;
  peer_exchange& operator=(const peer_exchange&) = delete;

  // Sets the ledger whose statements are exchanged with the daemons of the zone, before start(). Without it,
  // statements are neither sent nor accepted.
  void set_usage_ledger(usage_ledger* ledger);

  // Sets how many connections of peers to backend servers this daemon passes on at a time, and when it does.
  // Without it, it passes none on.
  void set_tunnels(std::size_t max_tunnels, tunnel_callbacks callbacks);

  // Returns the number of tunnels at present, and of those of them that may have a request under way.
  std::size_t open_tunnels() const;
  std::size_t busy_tunnels() const;

  // Starts the fibers that send, receive and fetch.
  void start();

  // Sends a report at once to peer_group::announcement_addresses(), after a change was read from the store.
  void announce_state();

  // Tells the daemons at peer_group::announcement_addresses() that this daemon is stopping, after a last
  // statement about usage.
  void announce_leaving();

  exchange_counters counters() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::gateway
