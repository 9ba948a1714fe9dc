#pragma once

#include "cardamompond/core/time.hpp"

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffer_traits.hpp>

#include <functional>
#include <memory>
#include <span>

namespace cardamompond::net {

class io_wait;

// A TCP connection with a deadline, whose calls block the fiber and not the thread. It models Beast's
// synchronous stream concepts, so that messages are parsed on the fiber's stack without the allocations and
// handler dispatches of composed asynchronous operations. Only one fiber may use it at a time, but other
// fibers of the same thread may call cancel() or close the socket, which ends a blocked call.
class fiber_stream {
public:
  using executor_type = boost::asio::io_context::executor_type;
  using socket_type = boost::asio::basic_stream_socket<boost::asio::ip::tcp, executor_type>;

  explicit fiber_stream(boost::asio::io_context& context);
  explicit fiber_stream(socket_type socket);
  ~fiber_stream();
  fiber_stream(const fiber_stream&) = delete;
  fiber_stream& operator=(const fiber_stream&) = delete;

  socket_type& socket() noexcept { return m_socket; }

  // Sets the deadline of all later calls. If it passes during a call, the socket is closed and the call
  // returns beast::error::timeout. What arrived before the deadline is returned even if the event loop was
  // too busy to deliver it in time.
  void expires_after(duration timeout) { m_deadline = monotonic_now() + timeout; }
  void expires_at(time_point deadline) { m_deadline = deadline; }
  void expires_never() { m_deadline = time_point::max(); }

  boost::system::error_code connect(const boost::asio::ip::tcp::endpoint& endpoint);

  // Sets what later reads and writes do when the peer neither sends nor takes data: after `timeout`, and
  // again after each `interval`, the call invokes `give_up` on its own fiber. If that returns true, the
  // socket is closed and the call returns beast::error::timeout; otherwise it goes on waiting, at most until
  // the deadline.
  void on_silence(duration timeout, duration interval, std::function<bool()> give_up);

  // Makes reads note whether one of them waits at the time given, or after it, with nothing to read. What is
  // read after such a wait has come after that time, even if the process is stopped. time_point::max(): none.
  void watch_reads_at(time_point at) {
    m_watched_at = at;
    m_waited_when_watched = false;
  }

  // Whether a read has waited at the time of watch_reads_at() or after it.
  bool waited_when_watched() const { return m_waited_when_watched; }

  // Whether a read would return at once, with data or with an error.
  bool readable() { return is_ready(readiness::input); }

  // Whether the connection has ended and all that the peer sent has been read. Leaves a pending error of the
  // socket to the next read, since the kernel reports it only once.
  bool input_ended();

  // Waits until data arrives and reads what is available, at least one byte. After a write that failed
  // because the connection was reset or lost, the end of the data is reported as that error and not as end of
  // file.
  std::size_t read_some(boost::asio::mutable_buffer buffer, boost::system::error_code& error);

  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers, boost::system::error_code& error) {
    return read_some(boost::asio::mutable_buffer(*boost::asio::buffer_sequence_begin(buffers)), error);
  }

  template <typename Buffers> std::size_t read_some(const Buffers& buffers) {
    boost::system::error_code error;
    const std::size_t bytes = read_some(buffers, error);
    if (error) {
      throw boost::system::system_error(error);
    }
    return bytes;
  }

  // Writes all buffers (at most 8), or returns an error. `written` receives the number of bytes that the
  // kernel accepted. With `stop_when_readable`, the call also returns, without an error, if the peer sends
  // data while the write is blocked.
  boost::system::error_code write(std::span<const boost::asio::const_buffer> buffers, std::size_t& written,
                                  bool stop_when_readable = false);

  // Waits until data can be read or the peer closes the connection.
  boost::system::error_code wait_readable();

  // Waits until data can be read or the connection has ended, at most until the time given. Returns false if
  // that passes first; the connection stays open then.
  bool wait_readable_until(time_point until);

  // Fails the connection if the peer acknowledges nothing, or keeps its receive window closed, for `timeout`.
  void set_connection_loss_timeout(duration timeout);

  // Probes the connection while nothing is sent on it, so that its loss is detected within about `timeout`;
  // zero ends the probes.
  void set_keep_alive_probes(duration timeout);

  // Sets whether the end of the connection is a reset, also when the kernel closes it because the process has
  // ended. What the peer has not received yet is lost then.
  void set_reset_on_close(bool resets);

  // Makes a blocked call return operation_aborted.
  void cancel();

private:
  struct timer_state;

  // What a blocked call waits for.
  enum class readiness : short { input, output };

  template <typename StartOperation>
  boost::system::error_code wait_for(readiness awaited, const StartOperation& start_operation,
                                     std::size_t* bytes = nullptr);
  void set_option(int level, int name, int value);
  void arm_timer(time_point when);
  void on_timer();
  void time_out();
  bool is_ready(readiness awaited);
  bool wait_watched_until(time_point until);
  void wait_during_silence();
  boost::system::error_code wait_writable(bool or_readable, bool& readable);
  boost::system::error_code wait_writable_during_silence(bool or_readable, bool& readable);

  socket_type m_socket;
  time_point m_deadline = time_point::max();
  const io_wait* m_wait = nullptr; // of the blocked call; null: no call is blocked
  readiness m_awaited = readiness::input;
  int m_completion_checks = 0; // made since the deadline passed while the blocked call can complete
  boost::system::error_code m_write_error; // of the connection, which the kernel reports only once
  bool m_timed_out = false;
  bool m_keeps_open = false;   // the blocked call ends at its deadline without closing the socket
  bool m_wait_expired = false; // it has ended for that reason
  duration m_connection_loss_timeout{};
  duration m_keep_alive_timeout{}; // zero: the connection is not probed
  duration m_silence_timeout{};
  time_point m_watched_at = time_point::max();
  bool m_waited_when_watched = false;
  duration m_silence_interval{};
  std::function<bool()> m_give_up;      // empty: calls wait until the deadline
  std::shared_ptr<timer_state> m_timer; // created by the first call that blocks
};

} // namespace cardamompond::net
