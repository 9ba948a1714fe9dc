#pragma once

#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/gateway/server_survival.hpp"
#include "cardamompond/net/http_client.hpp"

namespace cardamompond::gateway {

// Asks over a connection of its own, so that no late copy of a response to an earlier request is taken for
// the answer, and the connections for requests stay as they are.
class http_server_probe final : public server_probe {
public:
  // Both arguments must outlive the probe.
  http_server_probe(net::http_client& client, const request_protocol& protocol)
      : m_client(client)
      , m_protocol(protocol) {}

  probe_result probe(const fleet::backend_server& server, time_point until) override;

private:
  net::http_client& m_client;
  const request_protocol& m_protocol;
};

} // namespace cardamompond::gateway
