#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::net {

// A connection failure. The message is meant for logs.
struct io_error {
  std::string m_message;
  bool m_timeout = false;
};

template <typename T> using io_result = result<T, io_error>;

// What a tunnel is doing at present.
struct tunnel_activity {
  bool m_awaits_server = false; // the last bytes came from the client, so that a response may be due
  time_point m_last_transfer;
};

// A request received by the server and its response. A handler either calls respond() once, or begin(), then
// write() any number of times, then finish(). If the handler returns after begin() but before finish(), the
// connection is closed without the final chunk, or reset if the client knows no chunks, so that the client
// sees that the response is incomplete.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual const http_request& request() const = 0;

  // Returns the request; the handler may move its body out.
  virtual http_request& request() = 0;

  // Asks for memory for a response of that size, which the handler collects before it calls respond().
  // Returns false if there is none.
  virtual bool reserve_response(std::size_t /*bytes*/) { return true; }

  // Sends a complete response.
  virtual io_result<success> respond(const http_response& response) = 0;

  // Sends the status and headers of a response whose body follows. The body uses chunked encoding unless
  // `headers` has a Content-Length. For a client of HTTP/1.0, it ends with the connection instead.
  virtual io_result<success> begin(int status, const http_headers& headers) = 0;

  // Sends a part of the body. Blocks the fiber while the client does not read, at most for the write timeout.
  virtual io_result<success> write(std::span<const char> data) = 0;

  // Ends the body.
  virtual io_result<success> finish() = 0;

  // Returns whether the client has closed its connection. Does not block.
  virtual bool client_closed() = 0;

  // Calls `on_disconnect` once if the client closes its connection before the handler returns. The function
  // runs in an event handler and must not block. It is not called if the client has already sent further
  // data, because a disconnect cannot be detected then.
  virtual void notify_on_disconnect(std::function<void()> on_disconnect) = 0;

  // Connects to `address`; if that succeeds within `connect_timeout`, responds with 200 and copies bytes
  // between the client and the server until both connections have ended. After an error nothing has been sent
  // to the client, and the handler still responds. `activity` is kept up to date meanwhile.
  virtual io_result<success> tunnel(std::string_view /*address*/, milliseconds /*connect_timeout*/,
                                    tunnel_activity& /*activity*/) {
    return io_error{"tunnels are not supported"};
  }

  // Closes the connection when the handler returns, even if the client asked for keep-alive.
  virtual void close_after_response() = 0;
};

struct http_server_options {
  std::string m_address; // "127.0.0.1:8080"; port 0 picks a free one
  std::uint64_t m_max_body_bytes = 16U << 20U;
  std::uint32_t m_max_header_bytes = 32U << 10U;
  std::uint32_t m_max_connections = 20'000; // further ones are closed when they are accepted
  // With this many connections, a further one is accepted only when another has been closed: that which has
  // been idle for longest, or an unfinished request. 0: not used.
  std::uint32_t m_full_at_connections = 0;
  // Number of copies of a body in memory while a handler forwards it, for the memory budget. Holds for bodies
  // of requests and of complete responses.
  std::size_t m_body_copies = 1;
  milliseconds m_idle_timeout{60'000};    // between requests, and between the parts of a body
  milliseconds m_header_timeout{60'000};  // from the first byte of a header to its last
  milliseconds m_write_timeout{60'000};   // for one write to make progress
  std::size_t m_stack_bytes = 128 * 1024; // for the fiber of each connection
};

// Why a request was rejected while it was being read. The parse_failure_responder provides the response.
enum class http_parse_failure { bad_request, body_too_large, header_too_large, memory_exhausted };

// Why a connection was closed without a response although a request, or a part of one, had arrived.
enum class request_drop {
  header_timeout,
  body_timeout,
  handler_failure,
  client_closed,    // the client closed its connection before the request was complete
  crossed_close,    // the request arrived after the server had closed the connection
  memory_exhausted, // the memory for unfinished requests was needed for others; refused with 503 or closed
  too_many_connections, // the connection was closed when it was accepted
  accepting_paused,     // connections wait to be accepted, because all that are open have complete requests
  accept_failure        // the connection was not accepted
};
inline constexpr std::size_t request_drop_count = static_cast<std::size_t>(request_drop::accept_failure) + 1;

// An HTTP/1.1 server with keep-alive. Each connection has a fiber, which serves its requests in order.
class http_server {
public:
  using handler = std::function<void(http_exchange&)>;
  using parse_failure_responder = std::function<http_response(http_parse_failure)>;
  using drop_observer = std::function<void(request_drop cause, std::string_view detail)>;

  // Binds to the address and listens; throws std::runtime_error with the address if that fails.
  http_server(fiber_runtime& runtime, http_server_options options, handler request_handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Replaces the default responses, which have no body, to requests that are malformed or too large.
  void set_parse_failure_responder(parse_failure_responder responder);

  // Sets a function that is called for each request that ends without a response, for the log.
  void set_drop_observer(drop_observer observer);

  // Replaces the limits on requests. They apply from the next request of each connection.
  void set_limits(std::uint32_t max_header_bytes, std::uint64_t max_body_bytes, milliseconds header_timeout,
                  milliseconds idle_timeout);

  // Returns the port that the server listens on.
  std::uint16_t port() const;

  // Keeps serving, but announces with each response that begins from now on that its connection closes.
  // Clients thus move to other hosts, and no request is lost because its connection closes while it is being
  // sent.
  void begin_drain();

  // Stops accepting connections and closes idle ones. A connection with a request in progress, or with one
  // that has arrived, closes after that request.
  void stop_accepting();

  // Stops accepting connections and closes all of them immediately.
  void close_all();

  // Returns the number of open connections.
  std::size_t connections() const;

  // Returns the number of requests that are being read or whose handler is running.
  std::size_t active_requests() const;

  // Returns whether a connection waits to be accepted, or bytes have arrived on an idle one. Between two
  // turns of a busy event loop, requests may have arrived that active_requests() does not count yet.
  bool has_unread_input() const;

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::net
