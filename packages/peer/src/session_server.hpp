#pragma once

#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/peer/transport.hpp"

#include "peer.capnp.h"

#include <capnp/capability.h>

#include <atomic>
#include <memory>
#include <string>

namespace cardamompond::peer {

// State shared by the server objects of all connections. It must outlive the connections.
struct server_context {
  net::fiber_runtime& m_runtime;
  peer_handler& m_handler;
  const transport_options& m_options;
  std::shared_ptr<std::atomic<bool>> m_stopped; // set before the handler is destroyed
  std::atomic<std::uint64_t> m_calls_received{0};
  std::atomic<std::uint64_t> m_malformed{0};
};

// Returns the bootstrap interface of a new connection. It opens a session for a peer that sends the cell's
// secret.
capnp::Capability::Client make_bootstrap_interface(server_context& context);

} // namespace cardamompond::peer
