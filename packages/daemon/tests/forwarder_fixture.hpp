#pragma once

#include "cardamompond/daemon/forwarder.hpp"

#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompond::daemon::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline net::fiber_runtime& test_runtime() {
  static net::fiber_runtime runtime;
  return runtime;
}

// A backend server that answers each connection with the next of its responses, byte for byte, and closes it.
// The last response is used again when the others are used up.
class raw_backend {
public:
  // `endless_bytes` follow each response without end, until the client closes the connection. With
  // `repeats_responses`, the connection stays open instead, and a late copy of each response on it precedes
  // the next one.
  explicit raw_backend(std::vector<std::string> responses, std::string endless_bytes = {},
                       bool repeats_responses = false)
      : m_state(std::make_shared<state>(test_runtime(), std::move(responses), std::move(endless_bytes))) {
    m_state->m_repeats_responses = repeats_responses;
    net::fiber_runtime::spawn([shared_state = m_state] { serve(*shared_state); });
  }
  ~raw_backend() {
    boost::system::error_code ignored;
    m_state->m_acceptor.close(ignored);
  }
  raw_backend(const raw_backend&) = delete;
  raw_backend& operator=(const raw_backend&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_state->m_acceptor.local_endpoint().port());
  }
  const std::vector<std::string>& requests() const { return m_state->m_requests; }
  int connections() const { return m_state->m_connections; }

private:
  struct state {
    state(net::fiber_runtime& runtime, std::vector<std::string> responses, std::string endless_bytes)
        : m_acceptor(runtime.context(), {asio::ip::make_address("127.0.0.1"), 0})
        , m_responses(std::move(responses))
        , m_endless_bytes(std::move(endless_bytes)) {}
    tcp::acceptor m_acceptor;
    std::vector<std::string> m_responses;
    std::string m_endless_bytes;
    std::vector<std::string> m_requests;
    bool m_repeats_responses = false;
    int m_connections = 0;
  };

  static bool write(tcp::socket& socket, const std::string& bytes) {
    net::io_wait written;
    asio::async_write(socket, asio::buffer(bytes), written.handler());
    return !written.wait();
  }

  static void serve(state& shared_state) {
    while (true) {
      tcp::socket socket(shared_state.m_acceptor.get_executor());
      net::io_wait accepted;
      shared_state.m_acceptor.async_accept(socket, accepted.handler());
      if (accepted.wait()) {
        return;
      }
      ++shared_state.m_connections;
      std::string copy;
      while (serve_request(shared_state, socket, copy) && shared_state.m_repeats_responses) {
      }
      boost::system::error_code ignored;
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  static bool serve_request(state& shared_state, tcp::socket& socket, std::string& copy) {
    std::string request(4'096, '\0');
    net::io_wait received;
    socket.async_read_some(asio::buffer(request), received.handler());
    if (received.wait()) {
      return false;
    }
    request.resize(received.bytes());
    const auto number = std::min(shared_state.m_requests.size(), shared_state.m_responses.size() - 1);
    shared_state.m_requests.push_back(std::move(request));
    bool connected = write(socket, std::exchange(copy, shared_state.m_responses[number]) +
                                       shared_state.m_responses[number]);
    while (connected && !shared_state.m_endless_bytes.empty()) {
      connected = write(socket, shared_state.m_endless_bytes);
    }
    return connected;
  }

  std::shared_ptr<state> m_state;
};

// Grants every start and keeps the reported outcome.
class recording_permits final : public permit_client {
public:
  result<scheduler::grant, request_error> acquire(const scheduler::submit_event&) override {
    return request_error{};
  }
  void cancel(request_key) override {}
  bool start(const scheduler::grant&) override { return true; }
  void decline(request_key, scheduler::decline_reason) override {}
  void complete(const scheduler::completed_event& completed) override { m_outcome = completed.m_outcome; }
  request_key next_key() override { return {}; }

  std::optional<scheduler::outcome> m_outcome;
};

inline const std::string head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\nX-Stream-Id: s1\r\n";
inline const std::string unframed_head = head + "\r\n";

// What a caller received of a forwarded response.
struct received_response {
  std::string m_body;
  bool m_complete = false;
  std::optional<scheduler::outcome> m_outcome;
  verdict m_verdict = verdict::not_run; // of the error that the caller received instead
  std::vector<buffered_response> m_recorded;
};

struct test_forwarder {
  recording_permits m_permits;
  forwarder m_forwarder{test_runtime(), m_permits};
};

// With `records`, the request may run at most once, and its response is recorded. With `leaves_at_request`,
// the caller closes its connection once it has a part of the body and the backend server that many requests.
inline received_response forward(test_forwarder& target, const raw_backend& backend, milliseconds timeout,
                                 std::string_view id, bool records = false,
                                 std::size_t leaves_at_request = 0) {
  received_response received;
  verdict error_verdict = verdict::not_run;
  caller_monitor monitor;
  bool done = false;
  net::http_server server(test_runtime(), {.m_address = "127.0.0.1:0"}, [&](net::http_exchange& exchange) {
    caller_monitor::watch watch(monitor, exchange, [] {});
    const routed_request routed;
    scheduler::grant permit;
    permit.m_address = backend.address();
    forward_request request;
    request.m_routed = &routed;
    request.m_permit = &permit;
    request.m_backend_request = {"POST", "/v1/chat/completions", {}, "b"};
    request.m_request_id = id;
    request.m_deadline = monotonic_now() + timeout;
    if (records) {
      request.m_record_response = [&](const buffered_response& buffered) {
        received.m_recorded.push_back(buffered);
      };
    }
    const auto forwarded = target.m_forwarder.forward(exchange, watch, request, [](bool, duration) {});
    if (forwarded.m_status == forward_status::failed) {
      error_verdict = forwarded.m_error.m_verdict;
      std::ignore = exchange.respond({502, {}, {}});
    }
    done = true;
  });
  net::http_client client(test_runtime());
  auto call = client.open("127.0.0.1:" + std::to_string(server.port()));
  CHECK((*call)->send({"GET", "/", {}, {}}, seconds(5)).has_value());
  CHECK((*call)->read_head(seconds(5)).has_value());
  std::array<char, 4'096> buffer{};
  while (true) {
    const auto part = (*call)->read_some(buffer, seconds(5));
    if (!part || part->empty()) {
      received.m_complete = part.has_value();
      break;
    }
    if (received.m_body.size() < 10'000) {
      received.m_body.append(part->data(), part->size());
    }
    if (leaves_at_request > 0) {
      while (!done && backend.requests().size() < leaves_at_request) {
        boost::this_fiber::sleep_for(milliseconds(1));
      }
      (*call)->abort();
      break;
    }
  }
  while (!done) {
    monitor.check();
    boost::this_fiber::sleep_for(milliseconds(5));
  }
  received.m_outcome = target.m_permits.m_outcome;
  received.m_verdict = error_verdict;
  return received;
}

inline received_response forward(const raw_backend& backend, milliseconds timeout = seconds(3)) {
  test_forwarder target;
  return forward(target, backend, timeout, "r1");
}

inline received_response forward_recorded(const raw_backend& backend) {
  test_forwarder target;
  return forward(target, backend, seconds(3), "r1", true);
}

} // namespace cardamompond::daemon::testing
