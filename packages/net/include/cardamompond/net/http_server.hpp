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

// A failure of a connection, in words for a log line.
struct io_error {
  std::string m_message;
  bool m_timeout = false;
};

template <typename T> using io_result = result<T, io_error>;

// One request received by the server and its answer. Either respond() once, or begin(), write() any number of
// times and finish(). If the handler returns before a begun answer is finished, the connection is closed
// without the final chunk, so that the caller sees a broken answer.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual const http_request& request() const = 0;

  // The handler may move the body out.
  virtual http_request& request() = 0;

  // Sends a whole answer.
  virtual io_result<done> respond(const http_response& response) = 0;

  // Sends the head of an answer whose body follows: with a Content-Length header as that many bytes, else
  // chunked.
  virtual io_result<done> begin(int status, const http_headers& headers) = 0;

  // Sends a part of the body; blocks the fiber while the caller does not read, at most for the write timeout.
  virtual io_result<done> write(std::span<const char> data) = 0;

  // Ends the body.
  virtual io_result<done> finish() = 0;

  // Whether the caller has closed its connection. Does not block.
  virtual bool client_closed() = 0;

  // Calls `on_disconnect` once, from an event handler that must not block, when the caller closes its
  // connection before the handler returns. A connection on which the caller has already sent more is not
  // watched.
  virtual void notify_on_disconnect(std::function<void()> on_disconnect) = 0;

  // Closes the connection when the handler returns, even if the caller asked to keep it.
  virtual void close_after_response() = 0;
};

struct http_server_options {
  std::string m_address; // "127.0.0.1:8080"; port 0 picks a free one
  std::uint64_t m_max_body_bytes = 16U << 20U;
  std::uint32_t m_max_header_bytes = 32U << 10U;
  std::uint32_t m_max_connections = 20'000;
  milliseconds m_idle_timeout{60'000};    // between requests and within the reading of a body
  milliseconds m_header_timeout{60'000};  // from the first byte of a header to its end
  milliseconds m_write_timeout{60'000};   // for one write to make progress
  std::size_t m_stack_bytes = 128 * 1024; // of the fiber of a connection
};

// A request that was refused while it was being read; the server answers it through this callback.
enum class http_parse_failure { bad_request, body_too_large, header_too_large };

// An HTTP/1.1 server: one fiber per connection, keep-alive, requests of a connection in order.
class http_server {
public:
  using handler = std::function<void(http_exchange&)>;
  using parse_failure_responder = std::function<http_response(http_parse_failure)>;

  // Binds and listens; throws std::runtime_error with the address if that fails.
  http_server(fiber_runtime& runtime, http_server_options options, handler request_handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Replaces the plain-text answers to malformed requests.
  void set_parse_failure_responder(parse_failure_responder responder);

  // Replaces the limits on what callers send; they hold from the next request of each connection.
  void set_limits(std::uint32_t max_header_bytes, std::uint64_t max_body_bytes, milliseconds header_timeout,
                  milliseconds idle_timeout);

  // The port that the server listens on.
  std::uint16_t port() const;

  // Still serves, but closes each connection after its next answer, so that callers move to other hosts
  // without losing a request to a connection that closes under it.
  void begin_drain();

  // Stops accepting connections and closes idle ones; connections with a request finish it and then close.
  void stop_accepting();

  // Closes all connections at once.
  void close_all();

  // Open connections.
  std::size_t connections() const;

  // Requests whose handler is running.
  std::size_t active_requests() const;

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::net
