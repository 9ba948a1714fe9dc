#pragma once

#include "cardamompond/net/http_server.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "fiber_stream.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond::net {

// Copies bytes between two connections in both directions. The end of a side is passed on as an end; a reset
// or another error is passed on as a reset, so that no response that was cut off looks complete to a client
// that reads until the end of the connection. The end of the process that has the tunnel is one, too. An idle
// tunnel has no buffers.
class stream_tunnel : public std::enable_shared_from_this<stream_tunnel> {
public:
  using socket_type = fiber_stream::socket_type;

  // The sockets and `activity` must outlive run(). `unread` was read from the client before.
  stream_tunnel(socket_type& client, socket_type& server, std::string unread, tunnel_activity& activity);

  // Returns when both directions have ended or an error has ended the tunnel.
  void run();

private:
  // One direction. Bytes that the target has not taken yet are in m_pending.
  struct direction {
    socket_type& m_from;
    socket_type& m_to;
    bool m_from_client = false;
    std::string m_pending;
    bool m_ended = false;
  };

  void copy(direction& along);
  bool send_pending(direction& along);
  bool receive(direction& along);
  void wait(direction& along, socket_type& socket, socket_type::wait_type until);
  void end(direction& along);
  void reset();
  void finish();

  direction m_upstream;
  direction m_downstream;
  tunnel_activity& m_activity;
  io_wait m_done;
  bool m_finished = false;
  bool m_server_failed = false; // a write to the server failed; its end must not look like a clean one
};

} // namespace cardamompond::net
