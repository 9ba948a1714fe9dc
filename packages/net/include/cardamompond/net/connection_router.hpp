#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::net {

// How a client reaches a server.
struct connection_route {
  std::vector<std::string> m_proxies; // addresses to connect through, in order of preference; empty: directly
  bool m_reuses_direct = true;        // whether an idle direct connection may still be used
};

// Chooses the routes of a client's connections, and is told what comes of the direct ones.
class connection_router {
public:
  virtual ~connection_router() = default;

  virtual connection_route choose_route(std::string_view address) = 0;

  // A request was sent over a direct connection.
  virtual void record_sent() = 0;

  // Data arrived over a direct connection.
  virtual void record_received() = 0;

  // The first data arrived over a new direct connection to the address.
  virtual void record_reached(std::string_view address) = 0;

  // A direct connection to the address could not be opened, or failed before any data arrived over it.
  virtual void record_unreached(std::string_view address) = 0;

  // A connection through the proxy could not be opened. `status` is the proxy's response; 0: it gave none.
  virtual void record_proxy_failure(std::string_view proxy, std::string_view address, int status,
                                    std::string_view reason) = 0;

  // A connection through the proxy was opened.
  virtual void record_proxied(std::string_view proxy, std::string_view address) = 0;
};

} // namespace cardamompond::net
