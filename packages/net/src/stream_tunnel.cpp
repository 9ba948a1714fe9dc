#include "stream_tunnel.hpp"

#include <boost/asio/post.hpp>

#include <cerrno>

#include <sys/socket.h>

namespace cardamompond::net {
namespace {

using boost::system::error_code;

// Bytes that are read at once. They are kept only if the target does not take them.
constexpr std::size_t read_bytes = 16U << 10U;

// Reads of one direction before other connections get their turn.
constexpr int max_reads_per_turn = 8;

bool would_block(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

// Sets whether closing the socket resets the connection, also when the kernel closes it because the process
// has ended.
void set_reset_on_close(stream_tunnel::socket_type& socket, bool resets) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

void reset_socket(stream_tunnel::socket_type& socket) {
  set_reset_on_close(socket, true);
  error_code ignored;
  socket.close(ignored);
}

} // namespace

stream_tunnel::stream_tunnel(socket_type& client, socket_type& server, std::string unread,
                             tunnel_activity& activity)
    : m_upstream{client, server, true, std::move(unread)}
    , m_downstream{server, client, false, {}}
    , m_activity(activity) {}

void stream_tunnel::run() {
  set_reset_on_close(m_downstream.m_to, true); // until the server has ended the connection
  copy(m_upstream);
  if (!m_finished) {
    copy(m_downstream);
  }
  std::ignore = m_done.wait();
}

void stream_tunnel::copy(direction& along) {
  for (int reads = 0; !m_finished && !along.m_ended; ++reads) {
    if (reads == max_reads_per_turn) {
      boost::asio::post(along.m_from.get_executor(), [self = shared_from_this(), &along] {
        if (!self->m_finished) {
          self->copy(along);
        }
      });
      return;
    }
    if (!send_pending(along) || !receive(along)) {
      return;
    }
  }
}

// Returns whether all pending bytes have been sent.
bool stream_tunnel::send_pending(direction& along) {
  while (!along.m_pending.empty()) {
    const auto sent = ::send(along.m_to.native_handle(), along.m_pending.data(), along.m_pending.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      along.m_pending.erase(0, static_cast<std::size_t>(sent));
    } else if (would_block(errno)) {
      wait(along, along.m_to, socket_type::wait_write);
      return false;
    } else if (along.m_from_client) {
      // The server may have responded before it closed, and the client still reads that.
      m_server_failed = m_server_failed || errno != EPIPE;
      along.m_ended = true;
      if (m_downstream.m_ended) {
        finish();
      }
      return false;
    } else {
      reset();
      return false;
    }
  }
  along.m_pending.shrink_to_fit();
  return true;
}

// Returns whether bytes were received.
bool stream_tunnel::receive(direction& along) {
  std::array<char, read_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): recv fills it
  const auto received = ::recv(along.m_from.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (received > 0) {
    along.m_pending.assign(buffer.data(), static_cast<std::size_t>(received));
    m_activity.m_awaits_server = along.m_from_client;
    m_activity.m_last_transfer = monotonic_now();
    return true;
  }
  if (received == 0) {
    end(along);
  } else if (would_block(errno)) {
    wait(along, along.m_from, socket_type::wait_read);
  } else {
    reset();
  }
  return false;
}

void stream_tunnel::wait(direction& along, socket_type& socket, socket_type::wait_type until) {
  socket.async_wait(until, [self = shared_from_this(), &along](error_code error) {
    if (self->m_finished) {
      return;
    }
    if (error) {
      self->reset();
    } else {
      self->copy(along);
    }
  });
}

void stream_tunnel::end(direction& along) {
  along.m_ended = true;
  if (!along.m_from_client && m_server_failed) {
    reset();
    return;
  }
  if (!along.m_from_client) {
    set_reset_on_close(along.m_to, false);
  }
  error_code ignored;
  along.m_to.shutdown(boost::asio::socket_base::shutdown_send, ignored);
  if (m_upstream.m_ended && m_downstream.m_ended) {
    finish();
  }
}

void stream_tunnel::reset() {
  reset_socket(m_upstream.m_from);
  reset_socket(m_upstream.m_to);
  finish();
}

void stream_tunnel::finish() {
  if (!m_finished) {
    m_finished = true;
    error_code ignored;
    m_upstream.m_from.cancel(ignored);
    m_upstream.m_to.cancel(ignored);
    m_done.complete({});
  }
}

} // namespace cardamompond::net
