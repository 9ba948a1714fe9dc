#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_message.hpp"
#include "cardamompond/net/http_server.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::net {

// Why a call failed, and whether a byte of the request had been written by then.
struct call_error {
  std::string m_message;
  bool m_sent = false; // true: the server may have run the request
  bool m_timeout = false;
};

template <typename T> using call_result = result<T, call_error>;

// One request on a connection of its own use: the connection carries nothing else until the call ends.
class http_call {
public:
  virtual ~http_call() = default; // closes the connection unless the answer was read to its end

  // Whether the connection had carried an earlier request.
  virtual bool reused() const = 0;

  // Whether another request may follow on the connection: the last answer was read to its end, and the server
  // keeps the connection.
  virtual bool reusable() const = 0;

  // Writes the request. After an error with m_sent == false nothing was written. Also ends, without an error,
  // when the server answers before it has read the whole request; the connection then ends with the call.
  virtual call_result<done> send(const http_request& request, milliseconds timeout) = 0;

  // Reads the head of the answer; m_body stays empty. Called again after the end of an answer, it reads the
  // head of a further one.
  virtual call_result<http_response> read_head(milliseconds timeout) = 0;

  // Reads a part of the body; an empty span is the complete end of the answer. An answer that ends early is
  // an error.
  virtual call_result<std::span<const char>> read_some(std::span<char> buffer, milliseconds timeout) = 0;

  // Closes the connection; a pending read fails.
  virtual void abort() = 0;

  // Makes the pending read and all later ones fail, and keeps the connection for cancel().
  virtual void interrupt() = 0;

  // Ends the sending side, which tells the server that its answer is no longer wanted, and waits until the
  // server has closed the connection or the timeout has passed.
  virtual void cancel(milliseconds timeout) = 0;
};

struct http_client_options {
  milliseconds m_connect_timeout{1'000};
  std::uint32_t m_max_header_bytes = 64U << 10U;
  std::size_t m_max_idle_per_address = 64;
  milliseconds m_max_idle_time{30'000};      // a shorter time that the server states in Keep-Alive goes first
  milliseconds m_connection_loss_timeout{0}; // without an acknowledgement; 0 leaves it to the system
};

// Which connection a call may use.
struct connection_options {
  milliseconds m_max_idle_time{30'000}; // of a kept connection; 0 asks for a new one
  milliseconds m_connect_timeout{1'000};
};

// Keep-alive connections to servers by address ("127.0.0.1:9001"). Before a connection is used again it is
// checked for having been closed by the server.
class http_client {
public:
  http_client(fiber_runtime& runtime, http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Takes an idle connection or connects; an error is always m_sent == false.
  call_result<std::unique_ptr<http_call>> open(std::string_view address);
  call_result<std::unique_ptr<http_call>> open(std::string_view address, connection_options options);

  // Connections opened since the start.
  std::uint64_t connections_opened() const;

  // Sends a request and reads the whole answer, at most `max_body_bytes` of it.
  call_result<http_response> fetch(std::string_view address, const http_request& request,
                                   milliseconds timeout, std::size_t max_body_bytes = 4U << 20U);

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::net
