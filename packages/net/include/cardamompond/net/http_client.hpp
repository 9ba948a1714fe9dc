#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/connection_router.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_message.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::net {

// Describes why a call failed, and whether any byte of the request had been written by then.
struct call_error {
  std::string m_message;
  bool m_sent = false; // if true, the server may have executed the request
  bool m_timeout = false;
  bool m_closed_by_server = false; // the server closed or reset the connection
  bool m_refused = false;          // nothing listens at the address
  bool m_reset = false;            // the connection was reset
};

template <typename T> using call_result = result<T, call_error>;

// What the user of a connection notes about its earlier exchanges, so that a late copy of one of their
// responses is not taken for the response to a later request. The client only keeps it with the connection.
struct connection_history {
  bool m_states_request_ids = false;      // the server stated the id of a request in its response
  bool m_has_unidentified = false;        // a response carried no request id
  bool m_has_unidentified_signed = false; // such a response carried the server's signature
  // Hashes of the ids of the requests that were refused or failed.
  std::vector<std::uint64_t> m_unsuccessful_requests;
};

// How a response states where its body ends.
enum class body_framing {
  none,      // no response head has been read
  chunks,    // a last chunk, which is empty
  length,    // a length in the head, or a status without a body
  connection // neither: the body ends with its connection
};

// Returns the framing as it appears in logs, e.g. "chunks".
std::string_view to_string(body_framing framing);

// A request in progress. It has exclusive use of its connection until it is destroyed.
class http_call {
public:
  // Returns the connection to the client's pool if it is reusable; closes it otherwise.
  virtual ~http_call() = default;

  // Returns whether the connection had already carried a request when this call was opened.
  virtual bool reused() const = 0;

  // Returns the proxy through which the connection leads; empty: it is direct.
  virtual std::string_view proxy() const = 0;

  // Returns the notes about the exchanges of the connection; they outlast this call if the connection is
  // reused.
  virtual connection_history& history() = 0;

  // Makes all operations fail with a timeout from this time on, even if each of them ends within its own
  // timeout. A call that first finds the deadline passed, because the process was stopped, may still read for
  // a short time, so that a response that has already arrived is not lost.
  virtual void set_deadline(time_point deadline) = 0;

  // Suspends http_client_options::m_connection_loss_timeout until the time given, because a server whose host
  // stands still for a while may go on.
  virtual void keep_connection_until(time_point until) = 0;

  // Returns whether another request may follow on the connection, which requires that the last response was
  // read to its end and that the server keeps the connection open.
  virtual bool reusable() const = 0;

  // Writes the request. If an error has m_sent == false, nothing was written. If the server responds before
  // it has read the whole request, send() stops writing and returns without an error. read_head() writes the
  // rest after an interim response or after a response that the caller has read and skipped; if it is never
  // written, the connection is closed at the end of the call.
  virtual call_result<success> send(const http_request& request, milliseconds timeout) = 0;

  // Reads the status and headers of the response; m_body stays empty. A call after the end of a response
  // reads the head of the next one. Interim (1xx) responses are skipped; together with the head they must not
  // exceed http_client_options::m_max_header_bytes. A status outside 100 to 599 is an error.
  virtual call_result<http_response> read_head(milliseconds timeout) = 0;

  // Reads a part of the body. An empty span means that the response is complete; a response that is cut
  // short, or that consists mostly of chunk headers or trailers, is reported as an error.
  virtual call_result<std::span<const char>> read_some(std::span<char> buffer, milliseconds timeout) = 0;

  // Sets what the call does while the server neither sends nor takes data: after `timeout`, and again after
  // each `interval`, the blocked operation calls `give_up` on its own fiber. If that returns true, the
  // operation fails as timed out; otherwise it goes on waiting, at most for its own timeout.
  virtual void on_silence(duration timeout, duration interval, std::function<bool()> give_up) = 0;

  // Makes the call note whether the response still goes on at the time given.
  virtual void watch_response_at(time_point at) = 0;

  // Whether the response went on at the time of watch_response_at(): nothing was left to read, and it had not
  // ended. Its end has come later then, even if the process was stopped at that time. Otherwise it is unknown.
  virtual bool response_went_on() const = 0;

  // Waits until the server sends bytes or closes the connection, at most until the time given. Returns false
  // if that passes first; the call can go on then.
  virtual bool wait_for_input(time_point until) = 0;

  // Whether the server has sent more bytes or has closed the connection since the last read.
  virtual bool has_input() = 0;

  // Whether the server has closed or reset the connection and everything that it sent has been read. Only the
  // next read tells whether the response is complete.
  virtual bool input_ended() = 0;

  // Returns the framing of the response whose head was read last.
  virtual body_framing framing() const = 0;

  // Returns whether the response has neither a length nor chunks, so that it ends with its connection. Valid
  // after read_head().
  bool ends_with_connection() const { return framing() == body_framing::connection; }

  // Returns whether more bytes of the body are due, as the length of the body or of the current chunk states.
  // Still valid after an error.
  virtual bool body_bytes_due() const = 0;

  // Closes the connection, so that a pending read fails.
  virtual void abort() = 0;

  // Makes the pending read and all later reads fail, but leaves the connection open for cancel().
  virtual void interrupt() = 0;

  // Shuts down the sending side of the connection, which tells the server that the response is no longer
  // wanted. Then waits, at most for `timeout`, until the server closes the connection.
  virtual void cancel(milliseconds timeout) = 0;
};

struct http_client_options {
  milliseconds m_connect_timeout{1'000};
  std::uint32_t m_max_header_bytes = 64U << 10U;
  std::size_t m_max_idle_per_address = 64;
  std::size_t m_max_idle = 0; // to all addresses together; 0: not limited
  // A shorter timeout in the server's Keep-Alive header takes precedence.
  milliseconds m_max_idle_time{30'000};
  // Time without a TCP acknowledgement after which a connection is closed, unless a call keeps it for longer;
  // 0: system default.
  milliseconds m_connection_loss_timeout{0};
};

// Limits for obtaining a connection for one call.
struct connection_options {
  milliseconds m_max_idle_time{30'000}; // for reusing an idle connection; 0 forces a new one
  milliseconds m_connect_timeout{1'000};
  time_point m_opened_after{}; // an idle connection that was opened earlier is closed instead of reused
  // Opens a direct connection without regard to the pool and the router, and tells the router nothing.
  bool m_isolated = false;
};

// An HTTP/1.1 client with a pool of keep-alive connections for each server address ("127.0.0.1:9001"). Before
// it reuses a connection, it checks that the server has not closed it.
class http_client {
public:
  http_client(fiber_runtime& runtime, http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Reuses an idle connection or opens a new one. Its errors always have m_sent == false.
  call_result<std::unique_ptr<http_call>> open(std::string_view address);
  call_result<std::unique_ptr<http_call>> open(std::string_view address, connection_options options);

  // Sets what chooses the routes of later connections. It must outlive the client; null: all are direct.
  void set_router(connection_router* router);

  // Returns the number of connections opened since the client was created.
  std::uint64_t connections_opened() const;

  // Sends a request and reads the whole response. A body longer than `max_body_bytes` is an error. With
  // `fresh`, the request goes over a new connection, which is closed afterwards, so that no late copy of a
  // response can be taken for that to another request. Otherwise the connection may be one that was idle, and
  // is kept for others.
  enum class connection_choice { any, fresh };
  call_result<http_response> fetch(std::string_view address, const http_request& request,
                                   milliseconds timeout, std::size_t max_body_bytes = 4U << 20U,
                                   connection_choice connection = connection_choice::any);

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

// Sends a request over an open connection and reads the whole response, within `timeout`. A body longer than
// `max_body_bytes` is an error. http_call::interrupt() ends it with an error.
call_result<http_response> exchange_over(http_call& call, const http_request& request, milliseconds timeout,
                                         std::size_t max_body_bytes);

} // namespace cardamompond::net
