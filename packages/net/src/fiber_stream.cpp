#include "fiber_stream.hpp"

#include "cardamompond/net/io_wait.hpp"

#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <tuple>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t max_buffers = 8;

// A call that is ready when its deadline passes is looked at again after this time, at most so often, until
// the event loop has completed it.
constexpr duration completion_check_interval = milliseconds(20);
constexpr int max_completion_checks = 10;

} // namespace

// An armed timer is not changed when the deadline is set to a later time; if it fires before the deadline, it
// is armed again. A call that ends well before its deadline thus costs no change of the timer queue. The
// state is shared with the handler, which may run after the stream has been destroyed.
struct fiber_stream::timer_state {
  timer_state(const executor_type& executor, fiber_stream* stream)
      : m_timer(executor)
      , m_stream(stream) {}

  asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>,
                             executor_type>
      m_timer;
  fiber_stream* m_stream;
  time_point m_armed_deadline = time_point::max(); // max: not armed
  std::uint64_t m_generation = 0; // of the latest wait; completions of earlier waits are ignored
};

fiber_stream::fiber_stream(asio::io_context& context)
    : m_socket(context) {}

fiber_stream::fiber_stream(socket_type socket)
    : m_socket(std::move(socket)) {}

fiber_stream::~fiber_stream() {
  if (m_timer) {
    m_timer->m_stream = nullptr;
    m_timer->m_timer.cancel();
  }
}

void fiber_stream::arm_timer(time_point when) {
  if (when == time_point::max()) {
    return;
  }
  if (!m_timer) {
    m_timer = std::make_shared<timer_state>(m_socket.get_executor(), this);
  }
  if (m_timer->m_armed_deadline <= when) {
    return;
  }
  m_timer->m_armed_deadline = when;
  m_timer->m_timer.expires_at(when);
  m_timer->m_timer.async_wait([state = m_timer, generation = ++m_timer->m_generation](error_code error) {
    if (!error && state->m_stream != nullptr && state->m_generation == generation) {
      state->m_armed_deadline = time_point::max();
      state->m_stream->on_timer();
    }
  });
}

// Whether the operation would complete now, with data or with an error.
bool fiber_stream::is_ready(readiness awaited) {
  pollfd descriptor{m_socket.native_handle(),
                    static_cast<short>(awaited == readiness::input ? POLLIN : POLLOUT), 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

bool fiber_stream::input_ended() {
  if (!m_socket.is_open()) {
    return true;
  }
  error_code error;
  return readable() && (m_socket.available(error) == 0 || error);
}

void fiber_stream::on_timer() {
  if (m_wait == nullptr || m_wait->completed()) {
    return; // the next call that blocks arms the timer again
  }
  const time_point now = monotonic_now();
  if (now < m_deadline) {
    arm_timer(m_deadline);
    return;
  }
  // The event loop may have been busy when the operation became ready, and may run this handler first.
  if (m_completion_checks < max_completion_checks && is_ready(m_awaited)) {
    ++m_completion_checks;
    arm_timer(now + completion_check_interval);
    return;
  }
  if (m_keeps_open) {
    m_wait_expired = true;
    cancel();
    return;
  }
  time_out();
}

void fiber_stream::time_out() {
  m_timed_out = true;
  error_code ignored;
  m_socket.close(ignored);
}

template <typename StartOperation>
error_code fiber_stream::wait_for(readiness awaited, const StartOperation& start_operation,
                                  std::size_t* bytes) {
  io_wait wait;
  m_wait = &wait;
  m_awaited = awaited;
  m_completion_checks = 0;
  arm_timer(m_deadline);
  start_operation(wait.handler());
  error_code error = wait.wait();
  m_wait = nullptr;
  if (bytes != nullptr) {
    *bytes = wait.bytes();
  }
  if (error && m_timed_out) {
    error = boost::beast::error::timeout;
  }
  return error;
}

error_code fiber_stream::connect(const asio::ip::tcp::endpoint& endpoint) {
  return wait_for(readiness::output, [&](auto handler) { m_socket.async_connect(endpoint, handler); });
}

void fiber_stream::on_silence(duration timeout, duration interval, std::function<bool()> give_up) {
  m_silence_timeout = timeout;
  m_silence_interval = interval;
  m_give_up = std::move(give_up);
}

bool fiber_stream::wait_readable_until(time_point until) {
  if (readable()) {
    return true;
  }
  const time_point deadline = std::exchange(m_deadline, until);
  m_keeps_open = true;
  m_wait_expired = false;
  std::ignore = wait_readable(); // the read that follows reports the error
  m_keeps_open = false;
  m_deadline = deadline;
  return !m_wait_expired || readable(); // data may have come before the fiber resumed
}

// Waits like wait_readable_until(), and looks on the way whether a read waits at the time that is watched.
bool fiber_stream::wait_watched_until(time_point until) {
  if (m_watched_at <= until) {
    if (wait_readable_until(m_watched_at)) {
      return true;
    }
    m_waited_when_watched = true;
    m_watched_at = time_point::max();
  }
  return wait_readable_until(until);
}

void fiber_stream::wait_during_silence() {
  time_point check_at = monotonic_now() + m_silence_timeout;
  while (check_at < m_deadline && !wait_watched_until(check_at)) {
    if (m_give_up()) {
      time_out();
      return;
    }
    check_at = monotonic_now() + m_silence_interval;
  }
}

std::size_t fiber_stream::read_some(asio::mutable_buffer buffer, error_code& error) {
  if (m_give_up) {
    wait_during_silence();
    if (m_timed_out) {
      error = boost::beast::error::timeout;
      return 0;
    }
  }
  if (m_watched_at < m_deadline) {
    wait_watched_until(m_watched_at);
  }
  std::size_t bytes = 0;
  error = wait_for(
      readiness::input, [&](auto handler) { m_socket.async_read_some(buffer, handler); }, &bytes);
  if (error == asio::error::eof && m_write_error) {
    error = m_write_error;
  }
  return bytes;
}

error_code fiber_stream::wait_readable() {
  return wait_for(readiness::input,
                  [&](auto handler) { m_socket.async_wait(socket_type::wait_read, handler); });
}

void fiber_stream::set_option(int level, int name, int value) {
  ::setsockopt(m_socket.native_handle(), level, name, &value, sizeof value);
}

void fiber_stream::set_connection_loss_timeout(duration timeout) {
  if (std::exchange(m_connection_loss_timeout, timeout) != timeout) {
    constexpr std::int64_t max_ms = std::numeric_limits<int>::max();
    const std::int64_t ms = std::chrono::duration_cast<milliseconds>(timeout).count();
    set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(std::min(ms, max_ms)));
  }
}

void fiber_stream::set_keep_alive_probes(duration timeout) {
  if (std::exchange(m_keep_alive_timeout, timeout) == timeout) {
    return;
  }
  set_option(SOL_SOCKET, SO_KEEPALIVE, timeout > duration::zero() ? 1 : 0);
  if (timeout > duration::zero()) {
    constexpr int probes = 2;
    const auto timeout_s = static_cast<int>(std::chrono::duration_cast<seconds>(timeout).count());
    set_option(IPPROTO_TCP, TCP_KEEPIDLE, std::max(1, timeout_s / 2));
    set_option(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    set_option(IPPROTO_TCP, TCP_KEEPCNT, probes);
  }
}

void fiber_stream::set_reset_on_close(bool resets) {
  const linger option{resets ? 1 : 0, 0};
  ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

// If `or_readable` is set, waits until the socket is writable or readable. The first of the two waits to
// complete resumes the fiber, and the other is cancelled.
error_code fiber_stream::wait_writable(bool or_readable, bool& readable) {
  if (!or_readable) {
    return wait_for(readiness::output,
                    [&](auto handler) { m_socket.async_wait(socket_type::wait_write, handler); });
  }
  struct first_completion {
    io_wait::completion_handler m_handler;
    bool m_completed = false;
    bool m_readable = false;
  };
  std::shared_ptr<first_completion> first;
  const auto error = wait_for(readiness::output, [&](auto handler) {
    first = std::make_shared<first_completion>(first_completion{handler});
    const auto complete = [first](bool was_readable) {
      return [first, was_readable](error_code result) {
        if (!first->m_completed) {
          first->m_completed = true;
          first->m_readable = was_readable;
          first->m_handler(result);
        }
      };
    };
    m_socket.async_wait(socket_type::wait_read, complete(true));
    m_socket.async_wait(socket_type::wait_write, complete(false));
  });
  readable = !error && first->m_readable;
  cancel();
  return error;
}

error_code fiber_stream::wait_writable_during_silence(bool or_readable, bool& readable) {
  const time_point deadline = m_deadline;
  time_point check_at = monotonic_now() + m_silence_timeout;
  while (check_at < deadline) {
    m_deadline = check_at;
    m_keeps_open = true;
    m_wait_expired = false;
    const auto error = wait_writable(or_readable, readable);
    m_keeps_open = false;
    m_deadline = deadline;
    if (!m_wait_expired || is_ready(readiness::output)) {
      return m_wait_expired ? error_code() : error;
    }
    if (m_give_up()) {
      time_out();
      return boost::beast::error::timeout;
    }
    check_at = monotonic_now() + m_silence_interval;
  }
  return wait_writable(or_readable, readable);
}

// Tries to write before it waits, because the kernel's send buffer nearly always has room for the whole
// message.
error_code fiber_stream::write(std::span<const asio::const_buffer> buffers, std::size_t& written,
                               bool stop_when_readable) {
  written = 0;
  std::array<iovec, max_buffers> parts{};
  std::size_t count = 0;
  for (const auto& buffer : buffers) {
    if (buffer.size() > 0 && count < max_buffers) {
      parts[count++] = {const_cast<void*>(buffer.data()), buffer.size()};
    }
  }
  std::size_t next = 0;
  while (next < count) {
    if (!m_socket.is_open()) {
      return m_timed_out ? error_code(boost::beast::error::timeout) : asio::error::bad_descriptor;
    }
    msghdr message{};
    message.msg_iov = &parts[next];
    message.msg_iovlen = count - next;
    const auto sent = ::sendmsg(m_socket.native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        const error_code error(errno, boost::system::system_category());
        // EPIPE does not concern what the peer sent: it had closed its side before the reset, or an earlier
        // call has reported the reset.
        if (error != asio::error::broken_pipe) {
          m_write_error = error;
        }
        return error;
      }
      bool readable = false;
      const auto error = m_give_up ? wait_writable_during_silence(stop_when_readable, readable)
                                   : wait_writable(stop_when_readable, readable);
      if (error || readable) {
        return error;
      }
      continue;
    }
    written += static_cast<std::size_t>(sent);
    auto sent_bytes = static_cast<std::size_t>(sent);
    while (next < count && sent_bytes >= parts[next].iov_len) {
      sent_bytes -= parts[next++].iov_len;
    }
    if (sent_bytes > 0) {
      parts[next].iov_base = static_cast<char*>(parts[next].iov_base) + sent_bytes;
      parts[next].iov_len -= sent_bytes;
    }
  }
  return {};
}

void fiber_stream::cancel() {
  error_code ignored;
  m_socket.cancel(ignored);
}

} // namespace cardamompond::net
