#include "cardamompond/net/http_server.hpp"

#include "cardamompond/net/address.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "fiber_stream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <set>
#include <stdexcept>

#include <poll.h>
#include <sys/socket.h>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

io_error to_io_error(const boost::system::error_code& error) {
  return {error.message(), error == beast::error::timeout};
}

// After the close of a connection, a request that the client sent before it noticed the close arrives in this
// time.
constexpr milliseconds crossing_time{500};

// The share of the idle timeout for which clients are told that they may leave a connection idle. The rest
// covers the way of their next request, and pauses of the event loop.
constexpr double stated_idle_share = 0.8;

// Returns a header "Keep-Alive: timeout=SECONDS", or nothing if the time is below a second.
std::string make_keep_alive_header(milliseconds idle_timeout) {
  const auto stated = std::chrono::floor<seconds>(idle_timeout * stated_idle_share);
  return stated.count() == 0 ? "" : "Keep-Alive: timeout=" + std::to_string(stated.count()) + "\r\n";
}

// Pause after a connection could not be accepted.
constexpr milliseconds accept_retry_interval{20};

// Serialises the status line and headers of a response. Omits headers that contain line breaks, with which a
// backend server or a client could forge further headers.
std::string serialise_head(int status, const http_headers& headers, std::string_view connection_header,
                           std::string_view framing_header) {
  std::string head = "HTTP/1.1 ";
  head += std::to_string(status);
  head += ' ';
  head += std::string_view(http::obsolete_reason(static_cast<http::status>(status)));
  head += "\r\n";
  for (const auto& header : headers) {
    if (header.m_value.find_first_of("\r\n") != std::string::npos ||
        header.m_name.find_first_of("\r\n: ") != std::string::npos) {
      continue;
    }
    head.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
  }
  head.append(framing_header).append(connection_header).append("\r\n");
  return head;
}

} // namespace

class http_server::impl : public std::enable_shared_from_this<http_server::impl> {
public:
  impl(fiber_runtime& runtime, http_server_options options, handler request_handler)
      : m_options(std::move(options))
      , m_handler(std::move(request_handler))
      , m_runtime(runtime)
      , m_acceptor(runtime.context()) {
    const auto endpoint = parse_address(m_options.m_address);
    if (!endpoint) {
      throw std::runtime_error("invalid listen address " + m_options.m_address);
    }
    try {
      m_acceptor.open(endpoint->protocol());
      m_acceptor.set_option(asio::socket_base::reuse_address(true));
      m_acceptor.bind(*endpoint);
      m_acceptor.listen(4096);
    } catch (const boost::system::system_error& error) {
      throw std::runtime_error("cannot listen on " + m_options.m_address + ": " + error.code().message());
    }
  }

  void accept_loop();
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
  tcp::acceptor m_acceptor;
  bool m_draining = false;
  bool m_stopping = false;
  std::set<connection*> m_connections;
  std::size_t m_active_requests = 0;
};

// An accepted connection, which serves its requests one after the other.
class http_server::impl::connection final : public http_exchange,
                                            public std::enable_shared_from_this<connection> {
public:
  connection(std::shared_ptr<impl> server, fiber_stream::socket_type socket)
      : m_server(std::move(server))
      , m_stream(std::move(socket)) {
    m_server->m_connections.insert(this);
  }
  ~connection() override { m_server->m_connections.erase(this); }

  void serve() {
    while (!m_close && serve_one()) {
    }
    close_gracefully();
  }

  void close() {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
  }

  bool idle() const { return !m_in_request; }
  bool has_unread_input() { return m_stream.readable(); }

  const http_request& request() const override { return m_request; }
  http_request& request() override { return m_request; }
  io_result<success> respond(const http_response& response) override;
  io_result<success> begin(int status, const http_headers& headers) override;
  io_result<success> write(std::span<const char> data) override;
  io_result<success> finish() override;
  bool client_closed() override;
  void notify_on_disconnect(std::function<void()> on_disconnect) override;
  void close_after_response() override { m_close = true; }

private:
  enum class response_state { none, fixed_length_body, chunked_body, finished };

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
  void respond_to_parse_failure(http_parse_failure failure);
  io_result<success> write_buffers(std::span<const asio::const_buffer> buffers);
  io_result<success> write_buffers(const asio::const_buffer& buffer) {
    return write_buffers(std::span(&buffer, 1));
  }

  void stop_watching_disconnect();

  std::shared_ptr<impl> m_server;
  fiber_stream m_stream;
  std::function<void()> m_on_disconnect; // empty while disconnects are not watched
  beast::flat_buffer m_buffer;
  http_request m_request;
  response_state m_response_state = response_state::none;
  std::uint64_t m_body_bytes_left = 0;
  bool m_close = false;
  bool m_in_request = false;
  time_point m_idle_since = monotonic_now(); // end of the last request
  bool m_stated_open = false;       // the last response told the client that it may use the connection again
  milliseconds m_stated_timeout{0}; // idle timeout that was in force when the last response began
  bool m_request_keep_alive = true;
};

bool http_server::impl::connection::serve_one() {
  m_in_request = false;
  m_response_state = response_state::none;
  if (m_buffer.size() == 0 && !wait_for_request()) {
    return false;
  }
  m_in_request = true;
  ++m_server->m_active_requests;
  try {
    if (read_request()) {
      m_server->m_handler(*this);
    }
  } catch (const std::exception& error) {
    m_close = true; // the client must not take a partial response for a complete one
    m_server->report_drop(request_drop::handler_failure, error.what());
  }
  stop_watching_disconnect();
  --m_server->m_active_requests;
  m_in_request = false;
  m_idle_since = monotonic_now();
  m_request = {};
  // In a drain, a client whose response had begun before may still use the connection for another request.
  return m_response_state == response_state::finished && m_stated_open && !m_server->m_stopping;
}

bool http_server::impl::connection::wait_for_request() {
  // The limit may become longer during the wait. A shorter one holds from the next response on.
  const auto idle_until = [&] {
    return m_idle_since + std::max(m_stated_timeout, m_server->m_options.m_idle_timeout);
  };
  while (!m_stream.wait_readable_until(idle_until())) {
    if (monotonic_now() >= idle_until()) {
      return false;
    }
  }
  return true;
}

void http_server::impl::connection::close_gracefully() {
  boost::system::error_code error;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
  const time_point closed_at = monotonic_now();
  if (error || !m_stream.wait_readable_until(closed_at + crossing_time)) {
    return;
  }
  if (const std::size_t bytes = m_stream.socket().available(error); !error && bytes > 0) {
    const auto to_ms = [](duration value) {
      return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
    };
    m_server->report_drop(request_drop::crossed_close, std::to_string(bytes) + " bytes arrived " +
                                                           to_ms(monotonic_now() - closed_at) +
                                                           " ms after the close; the last request ended " +
                                                           to_ms(closed_at - m_idle_since) + " ms before it");
  }
}

bool http_server::impl::connection::read_request() {
  http::request_parser<http::string_body> parser;
  parser.header_limit(m_server->m_options.m_max_header_bytes);
  parser.body_limit(m_server->m_options.m_max_body_bytes);
  // The buffer must be able to hold a whole header. Larger bodies pass through it in pieces.
  m_buffer.max_size(m_server->m_options.m_max_header_bytes + (64U << 10U));
  boost::system::error_code error;
  m_stream.expires_after(m_server->m_options.m_header_timeout);
  http::read_header(m_stream, m_buffer, parser, error);
  if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!write_buffers(asio::buffer(continue_response.data(), continue_response.size()))) {
      return false;
    }
  }
  while (!error && !parser.is_done()) {
    m_stream.expires_after(m_server->m_options.m_idle_timeout);
    http::read_some(m_stream, m_buffer, parser, error);
  }
  if (error) {
    if (error == beast::error::timeout) {
      m_server->report_drop(parser.is_header_done() ? request_drop::body_timeout
                                                    : request_drop::header_timeout,
                            error.message());
      return false; // the stream has closed the socket
    }
    if (error == http::error::body_limit) {
      respond_to_parse_failure(http_parse_failure::body_too_large);
    } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
      respond_to_parse_failure(http_parse_failure::header_too_large);
    } else if (error.category() == http::make_error_code(http::error::bad_target).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
      respond_to_parse_failure(http_parse_failure::bad_request);
    } else if (error != http::error::end_of_stream && m_stream.socket().is_open()) {
      m_server->report_drop(request_drop::client_closed, error.message());
    }
    return false;
  }
  auto message = parser.release();
  m_request_keep_alive = message.keep_alive();
  m_request.m_method = message.method_string();
  m_request.m_target = message.target();
  m_request.m_headers.clear();
  for (const auto& field : message) {
    m_request.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  m_request.m_body = std::move(message.body());
  return true;
}

void http_server::impl::connection::respond_to_parse_failure(http_parse_failure failure) {
  m_close = true;
  m_request_keep_alive = false;
  http_response response;
  if (m_server->m_parse_failure_responder) {
    response = m_server->m_parse_failure_responder(failure);
  } else {
    response.m_status = failure == http_parse_failure::bad_request      ? 400
                        : failure == http_parse_failure::body_too_large ? 413
                                                                        : 431;
  }
  if (!respond(response)) {
    return;
  }
  // Reads and discards what the client is still sending, up to a limit. Closing a socket with unread data
  // would reset the connection, and the client could lose the response before it has read it.
  boost::system::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> discard{};
  constexpr std::size_t max_discarded_bytes = 1U << 20U;
  for (std::size_t total = 0; total < max_discarded_bytes;) {
    m_stream.expires_after(milliseconds(500));
    const std::size_t bytes = m_stream.read_some(asio::buffer(discard), ignored);
    if (ignored) {
      break;
    }
    total += bytes;
  }
}

io_result<success> http_server::impl::connection::write_buffers(std::span<const asio::const_buffer> buffers) {
  m_stream.expires_after(m_server->m_options.m_write_timeout);
  std::size_t written = 0;
  if (const auto error = m_stream.write(buffers, written); error) {
    m_close = true;
    return to_io_error(error);
  }
  return success{};
}

std::string http_server::impl::connection::announce_connection_use() {
  m_stated_open = m_request_keep_alive && !m_close && !m_server->m_draining;
  if (!m_stated_open) {
    return "Connection: close\r\n";
  }
  m_stated_timeout = m_server->m_options.m_idle_timeout;
  return make_keep_alive_header(m_stated_timeout);
}

io_result<success> http_server::impl::connection::respond(const http_response& response) {
  if (m_response_state != response_state::none) {
    return io_error{"answer already begun"};
  }
  const std::string head =
      serialise_head(response.m_status, response.m_headers, announce_connection_use(),
                     "Content-Length: " + std::to_string(response.m_body.size()) + "\r\n");
  const bool head_only = m_request.m_method == "HEAD";
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head), head_only ? asio::const_buffer() : asio::buffer(response.m_body)};
  auto written = write_buffers(buffers);
  if (written) {
    m_response_state = response_state::finished;
  }
  return written;
}

io_result<success> http_server::impl::connection::begin(int status, const http_headers& headers) {
  if (m_response_state != response_state::none) {
    return io_error{"answer already begun"};
  }
  const auto length = find_header(headers, "Content-Length");
  const bool bodiless = m_request.m_method == "HEAD" || status == 204 || status == 304;
  std::string_view framing;
  if (length || bodiless) {
    m_body_bytes_left = 0;
    if (length && !bodiless) {
      std::from_chars(length->data(), length->data() + length->size(), m_body_bytes_left);
    }
    m_response_state = response_state::fixed_length_body;
  } else {
    framing = "Transfer-Encoding: chunked\r\n";
    m_response_state = response_state::chunked_body;
  }
  const std::string head = serialise_head(status, headers, announce_connection_use(), framing);
  return write_buffers(asio::buffer(head));
}

io_result<success> http_server::impl::connection::write(std::span<const char> data) {
  if (data.empty()) {
    return success{};
  }
  if (m_response_state == response_state::fixed_length_body) {
    if (data.size() > m_body_bytes_left) {
      return io_error{"body longer than its Content-Length"};
    }
    m_body_bytes_left -= data.size();
    return write_buffers(asio::buffer(data.data(), data.size()));
  }
  if (m_response_state != response_state::chunked_body) {
    return io_error{"no answer begun"};
  }
  std::array<char, 24> size_line{};
  const int length = std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", data.size());
  const std::array<asio::const_buffer, 3> buffers = {
      asio::buffer(size_line.data(), static_cast<std::size_t>(length)),
      asio::buffer(data.data(), data.size()), asio::buffer("\r\n", 2)};
  return write_buffers(buffers);
}

io_result<success> http_server::impl::connection::finish() {
  if (m_response_state == response_state::fixed_length_body) {
    if (m_body_bytes_left != 0) {
      m_close = true;
      return io_error{"body shorter than its Content-Length"};
    }
    m_response_state = response_state::finished;
    return success{};
  }
  if (m_response_state != response_state::chunked_body) {
    return io_error{"no answer begun"};
  }
  auto written = write_buffers(asio::buffer("0\r\n\r\n", 5));
  if (written) {
    m_response_state = response_state::finished;
  }
  return written;
}

void http_server::impl::connection::notify_on_disconnect(std::function<void()> on_disconnect) {
  m_on_disconnect = std::move(on_disconnect);
  if (m_buffer.size() > 0) {
    return; // the next request has already arrived
  }
  m_stream.socket().async_wait(fiber_stream::socket_type::wait_read,
                               [self = shared_from_this()](boost::system::error_code error) {
                                 if (!error && self->m_on_disconnect && self->client_closed()) {
                                   std::exchange(self->m_on_disconnect, nullptr)();
                                 }
                               });
}

void http_server::impl::connection::stop_watching_disconnect() {
  if (m_on_disconnect) {
    m_on_disconnect = nullptr;
    m_stream.cancel();
  }
}

bool http_server::impl::connection::client_closed() {
  if (!m_stream.socket().is_open()) {
    return true;
  }
  char byte = 0;
  const auto received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void http_server::impl::accept_loop() {
  while (!m_stopping) {
    fiber_stream::socket_type socket(m_runtime.context());
    io_wait wait;
    m_acceptor.async_accept(socket, wait.handler());
    if (const auto error = wait.wait(); error) {
      if (m_stopping || error == asio::error::operation_aborted) {
        return;
      }
      report_drop(request_drop::accept_failure, error.message());
      boost::this_fiber::sleep_for(accept_retry_interval); // a free descriptor may be missing
      continue;
    }
    if (m_connections.size() >= m_options.m_max_connections) {
      report_drop(request_drop::too_many_connections, m_options.m_address);
      continue; // closes the socket, so that the load balancer tries another host
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<connection>(shared_from_this(), std::move(socket));
    fiber_runtime::spawn([session] { session->serve(); }, m_options.m_stack_bytes);
  }
}

void http_server::impl::stop_accepting() {
  m_draining = true;
  m_stopping = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (auto* session : m_connections) {
    if (session->idle() && !session->has_unread_input()) {
      session->close();
    }
  }
}

bool http_server::impl::has_unread_input() {
  pollfd acceptor{m_acceptor.is_open() ? m_acceptor.native_handle() : -1, POLLIN, 0};
  return ::poll(&acceptor, 1, 0) > 0 ||
         std::any_of(m_connections.begin(), m_connections.end(),
                     [](connection* each) { return each->idle() && each->has_unread_input(); });
}

void http_server::impl::close_all() {
  stop_accepting();
  for (auto* session : m_connections) {
    session->close();
  }
}

http_server::http_server(fiber_runtime& runtime, http_server_options options, handler request_handler)
    : m_impl(std::make_shared<impl>(runtime, std::move(options), std::move(request_handler))) {
  fiber_runtime::spawn([server = m_impl] { server->accept_loop(); });
}

http_server::~http_server() {
  m_impl->close_all();
}

void http_server::set_parse_failure_responder(parse_failure_responder responder) {
  m_impl->m_parse_failure_responder = std::move(responder);
}

void http_server::set_drop_observer(drop_observer observer) {
  m_impl->m_drop_observer = std::move(observer);
}

void http_server::set_limits(std::uint32_t max_header_bytes, std::uint64_t max_body_bytes,
                             milliseconds header_timeout, milliseconds idle_timeout) {
  auto& options = m_impl->m_options;
  options.m_max_header_bytes = max_header_bytes;
  options.m_max_body_bytes = max_body_bytes;
  options.m_header_timeout = header_timeout;
  options.m_idle_timeout = idle_timeout;
}

std::uint16_t http_server::port() const {
  return m_impl->m_acceptor.local_endpoint().port();
}

void http_server::begin_drain() {
  m_impl->m_draining = true;
}

void http_server::stop_accepting() {
  m_impl->stop_accepting();
}

void http_server::close_all() {
  m_impl->close_all();
}

std::size_t http_server::connections() const {
  return m_impl->m_connections.size();
}

bool http_server::has_unread_input() const {
  return m_impl->has_unread_input();
}

std::size_t http_server::active_requests() const {
  return m_impl->m_active_requests;
}

} // namespace cardamompond::net
