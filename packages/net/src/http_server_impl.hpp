#pragma once

#include "cardamompond/fleet/input_budget.hpp"
#include "cardamompond/net/address.hpp"
#include "cardamompond/net/http_server.hpp"
#include "charged_body.hpp"
#include "fiber_stream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>

#include <memory>
#include <set>
#include <stdexcept>
#include <string>

namespace cardamompond::net {

class http_server::impl : public std::enable_shared_from_this<http_server::impl> {
public:
  impl(fiber_runtime& runtime, http_server_options options, handler request_handler)
      : m_options(std::move(options))
      , m_handler(std::move(request_handler))
      , m_runtime(runtime)
      , m_acceptor(runtime.context())
      , m_budget_group(runtime.input_budget().add_group()) {
    const auto endpoint = parse_address(m_options.m_address);
    if (!endpoint) {
      throw std::runtime_error("invalid listen address " + m_options.m_address);
    }
    try {
      m_acceptor.open(endpoint->protocol());
      m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
      m_acceptor.bind(*endpoint);
      m_acceptor.listen(4096);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("cannot listen on " + m_options.m_address + ": " + error.code().message());
    }
  }

  void accept_loop();

  // Waits until a further connection may be accepted, and makes room for it if one waits. Returns false if
  // the server stops.
  bool wait_for_room();
  void stop_accepting();
  void close_all();
  bool has_unread_input();

  class connection;

  http_server_options m_options;
  handler m_handler;
  void report_drop(request_drop cause, std::string_view detail) const {
    if (m_drop_observer) {
      m_drop_observer(cause, detail);
    }
  }

  parse_failure_responder m_parse_failure_responder;
  drop_observer m_drop_observer;
  fiber_runtime& m_runtime;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::size_t m_budget_group;
  bool m_draining = false;
  bool m_stopping = false;
  std::set<connection*> m_connections;
  std::size_t m_active_requests = 0;
};

// An accepted connection, which serves its requests one after the other.
class http_server::impl::connection final : public http_exchange,
                                            public fleet::input_holder,
                                            public body_memory,
                                            public std::enable_shared_from_this<connection> {
public:
  connection(std::shared_ptr<impl> server, fiber_stream::socket_type socket)
      : m_server(std::move(server))
      , m_stream(std::move(socket))
      , m_charge(m_server->m_runtime.input_budget(), *this, m_server->m_budget_group, monotonic_now()) {
    m_server->m_connections.insert(this);
  }
  ~connection() override { m_server->m_connections.erase(this); }

  void serve() {
    while (!m_close && serve_one()) {
    }
    if (m_response_state == response_state::body_to_end_of_connection) {
      close(); // resets the connection, since the body is not complete
    } else {
      close_gracefully();
    }
  }

  void close() {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
  }

  bool idle() const { return !m_in_request; }
  bool has_unread_input() override { return m_stream.readable(); }

  // Asks for the memory of a connection without a request. Returns false if there is none.
  bool reserve() { return m_charge.request(held_bytes(0), monotonic_now()); }

  void evict(fleet::eviction kind) override;
  bool reserve_body(std::size_t bytes) override;

  const http_request& request() const override { return m_request; }
  http_request& request() override { return m_request; }
  bool reserve_response(std::size_t bytes) override;
  io_result<success> respond(const http_response& response) override;
  io_result<success> begin(int status, const http_headers& headers) override;
  io_result<success> write(std::span<const char> data) override;
  io_result<success> finish() override;
  bool client_closed() override;
  void notify_on_disconnect(std::function<void()> on_disconnect) override;
  io_result<success> tunnel(std::string_view address, milliseconds connect_timeout,
                            tunnel_activity& activity) override;
  void close_after_response() override { m_close = true; }

private:
  class reader;
  friend class reader;

  enum class response_state { none, fixed_length_body, chunked_body, body_to_end_of_connection, finished };

  // Reads and handles one request. Returns whether the connection can serve another one.
  bool serve_one();

  // Closes the sending side, and the receiving side once the client has closed too or a moment has passed.
  // Reports a request that arrives in between, without reading it: it crossed the close and is not served.
  void close_gracefully();

  // Decides whether the client may use the connection again, and returns the header that tells it so.
  std::string announce_connection_use();

  // Waits until the next request begins. Returns false if the connection has been idle for too long.
  bool wait_for_request();

  // Returns false if the client closes the connection, does not complete a request in time or sends an
  // invalid request. To an invalid request, it sends an error response.
  bool read_request();
  boost::system::error_code read_message(bool& header_done);
  void handle_read_error(const boost::system::error_code& error, bool header_done);
  void respond_to_parse_failure(http_parse_failure failure);

  // Reads and discards what the client is still sending, up to a limit.
  void discard_input();

  // Returns what the connection holds if its body takes that much.
  std::size_t held_bytes(std::size_t body_bytes) const;

  // Frees what the connection holds of an unfinished request.
  void release_input();

  // Frees the read buffer if it is empty and has grown beyond what small requests need.
  void trim_buffer();
  io_result<success> write_buffers(std::span<const boost::asio::const_buffer> buffers);
  io_result<success> write_buffers(const boost::asio::const_buffer& buffer) {
    return write_buffers(std::span(&buffer, 1));
  }

  // Writes a body that may stay in memory for long, because the client reads slowly.
  io_result<success> write_long_body(std::string_view body);

  void stop_watching_disconnect();

  std::shared_ptr<impl> m_server;
  fiber_stream m_stream;
  std::function<void()> m_on_disconnect; // empty while disconnects are not watched
  boost::beast::flat_buffer m_buffer;
  http_request m_request;
  fleet::input_charge m_charge;
  charged_body::value_type* m_unfinished_body = nullptr; // of the request that is being read
  response_state m_response_state = response_state::none;
  std::uint64_t m_body_bytes_left = 0;
  bool m_close = false;
  std::size_t m_reserved_response_bytes = 0; // out of m_charge
  bool m_sends_long_response = false;
  bool m_in_request = false;
  time_point m_idle_since = monotonic_now(); // end of the last request
  bool m_stated_open = false;       // the last response told the client that it may use the connection again
  milliseconds m_stated_timeout{0}; // idle timeout that was in force when the last response began
  bool m_request_keep_alive = true;
  bool m_client_reads_chunks = true; // false for HTTP/1.0
};

} // namespace cardamompond::net
