#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::net;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr milliseconds timeout{2'000};

fiber_runtime& test_runtime() {
  static fiber_runtime runtime;
  return runtime;
}

// Sends all connections through the given proxies, and notes what came of them.
class fixed_router final : public connection_router {
public:
  connection_route choose_route(std::string_view) override { return m_route; }
  void record_sent() override {}
  void record_received() override { ++m_received; }
  void record_reached(std::string_view) override { ++m_reached; }
  void record_unreached(std::string_view) override { ++m_unreached; }
  void record_proxy_failure(std::string_view, std::string_view, int status, std::string_view) override {
    m_failures.push_back(status);
  }
  void record_proxied(std::string_view, std::string_view) override { ++m_proxied; }

  connection_route m_route;
  std::vector<int> m_failures;
  int m_received = 0;
  int m_reached = 0;
  int m_unreached = 0;
  int m_proxied = 0;
};

// A server that sends what the test says on the first connection that it accepts.
class scripted_server {
public:
  scripted_server()
      : m_acceptor(test_runtime().context(), {boost::asio::ip::make_address("127.0.0.1"), 0})
      , m_socket(test_runtime().context()) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

  void accept() {
    io_wait accepted;
    m_acceptor.async_accept(m_socket, accepted.handler());
    CHECK_FALSE(accepted.wait());
    std::ignore = read();
  }

  // Reads once; returns the error.
  boost::system::error_code read() {
    std::array<char, 1024> bytes{};
    io_wait wait;
    m_socket.async_read_some(boost::asio::buffer(bytes), wait.handler());
    return wait.wait();
  }

  void write(std::string_view bytes) {
    io_wait written;
    boost::asio::async_write(m_socket, boost::asio::buffer(bytes), written.handler());
    CHECK_FALSE(written.wait());
  }

  void reset() {
    m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_socket.close();
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
};

constexpr std::string_view half_response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";

} // namespace

// Connections through a proxy. What happens at one end must reach the other as what it is: an end as an end,
// a reset as a reset.
TEST_GROUP(tunnel) {
  tunnel_activity m_activity;
  int m_refused_status = 502;
  bool m_accepts = true;
  http_server m_proxy{test_runtime(), {.m_address = "127.0.0.1:0"}, [this](http_exchange& exchange) {
                        const std::string target = exchange.request().m_target;
                        if (exchange.request().m_method != "CONNECT" || !m_accepts ||
                            !exchange.tunnel(target, milliseconds(250), m_activity)) {
                          std::ignore = exchange.respond({m_refused_status, {}, "no\n"});
                        }
                      }};
  http_server m_server{test_runtime(), {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
                         std::ignore = exchange.respond({200, {}, exchange.request().m_body});
                       }};
  fixed_router m_router;
  http_client m_client{test_runtime()};
  scripted_server m_scripted;
  std::unique_ptr<http_call> m_call;

  std::string proxy_address() const {
    return "127.0.0.1:" + std::to_string(m_proxy.port());
  }
  std::string server_address() const {
    return "127.0.0.1:" + std::to_string(m_server.port());
  }

  void setup() override {
    m_client.set_router(&m_router);
    m_router.m_route.m_proxies = {proxy_address()};
  }

  void teardown() override {
    m_call.reset();
    m_client.set_router(nullptr);
    m_proxy.close_all();
    m_server.close_all();
    boost::this_fiber::sleep_for(milliseconds(50)); // the fibers of the connections end
  }

  // Sends a request to the scripted server and reads the head of its response.
  void open_half_response() {
    auto opened = m_client.open(m_scripted.address());
    CHECK(opened.has_value());
    m_call = std::move(*opened);
    CHECK(m_call->send({"GET", "/", {}, {}}, timeout).has_value());
    m_scripted.accept();
    m_scripted.write(half_response);
    CHECK(m_call->read_head(timeout).has_value());
  }

  // Reads the body; returns whether it ended without an error.
  bool read_to_end() {
    std::array<char, 64> buffer{};
    while (true) {
      const auto part = m_call->read_some(buffer, timeout);
      if (!part || part->empty()) {
        return part.has_value();
      }
    }
  }
};

// Guards against tunnels that lose or mix bytes, and against one for each request.
TEST(tunnel, carries_large_bodies_and_is_reused) {
  const std::string body(3U << 20U, 'x');
  for (int i = 0; i < 3; ++i) {
    const auto response = m_client.fetch(server_address(), {"POST", "/", {}, body}, timeout);
    CHECK(response.has_value());
    CHECK(response->m_body == body);
  }
  LONGS_EQUAL(1, m_router.m_proxied);
  // What comes through a proxy says nothing about the direct path.
  LONGS_EQUAL(0, m_router.m_received + m_router.m_reached + m_router.m_unreached);
}

// Guards against tunnels that stay in use after the path has been restored, and against direct connections in
// use while it is lost.
TEST(tunnel, idle_connections_are_reused_only_along_the_same_route) {
  const auto fetch = [&] {
    CHECK(m_client.fetch(server_address(), {"GET", "/", {}, {}}, timeout).has_value());
  };
  fetch();
  m_router.m_route = {};
  fetch();
  LONGS_EQUAL(1, m_router.m_reached); // over a new direct connection
  m_router.m_route = {{proxy_address()}, true};
  fetch();
  LONGS_EQUAL(1, m_router.m_proxied); // the direct connection still counts as good
  m_router.m_route = {{proxy_address()}, false};
  fetch();
  LONGS_EQUAL(2, m_router.m_proxied);
}

// An answer without a length that is cut off by a reset must not look complete.
TEST(tunnel, reset_of_the_server_reaches_the_client_as_an_error) {
  open_half_response();
  m_scripted.reset();
  CHECK_FALSE(read_to_end());
}

// Guards against an answer without a length that looks complete because the proxy ended, whose kernel closes
// its sockets.
TEST(tunnel, end_of_the_proxy_reaches_the_client_as_an_error) {
  open_half_response();
  m_proxy.close_all();
  CHECK_FALSE(read_to_end());
}

TEST(tunnel, end_of_the_server_reaches_the_client_as_an_end) {
  open_half_response();
  m_scripted.m_socket.close();
  CHECK(read_to_end());
}

// A server that loses its client stops working, so it must learn of it.
TEST(tunnel, end_of_the_client_reaches_the_server) {
  open_half_response();
  CHECK(m_activity.m_last_transfer != time_point{});
  m_call->abort();
  CHECK(m_scripted.read().failed());
}

// Guards against a refusal that counts as a request that may have run, and against one that ends the attempt.
TEST(tunnel, tries_the_next_proxy_after_a_refusal) {
  m_accepts = false;
  m_refused_status = 503;
  m_router.m_route.m_proxies = {proxy_address(), "127.0.0.1:1"};
  const auto opened = m_client.open(server_address());
  CHECK_FALSE(opened.has_value());
  CHECK_FALSE(opened.error().m_sent);
  LONGS_EQUAL(2, m_router.m_failures.size());
  LONGS_EQUAL(503, m_router.m_failures[0]);
  LONGS_EQUAL(0, m_router.m_failures[1]);
}

TEST(tunnel, server_that_the_proxy_does_not_reach_is_refused) {
  CHECK_FALSE(m_client.open("127.0.0.1:1").has_value());
  LONGS_EQUAL(1, m_router.m_failures.size());
  LONGS_EQUAL(502, m_router.m_failures[0]);
}

// Guards against a question to a server that takes connections for requests out of the pool, or whose failure
// is taken for one of the path or of a proxy.
TEST(tunnel, isolated_connection_leaves_the_pool_the_router_and_the_proxies_alone) {
  connection_options isolated;
  isolated.m_isolated = true;
  m_router.m_route = {};
  CHECK(m_client.fetch(server_address(), {"GET", "/", {}, {}}, timeout).has_value());
  const auto counts = std::tuple(m_router.m_received, m_router.m_reached, m_router.m_unreached);
  m_router.m_route.m_proxies = {proxy_address()};
  {
    const auto opened = m_client.open(server_address(), isolated);
    CHECK(opened.has_value());
    CHECK_FALSE((*opened)->reused());
    CHECK((*opened)->proxy().empty());
    CHECK((*opened)->send({"GET", "/", {}, {}}, timeout).has_value());
    CHECK((*opened)->read_head(timeout).has_value());
    (*opened)->abort();
  }
  const auto refused = m_client.open("127.0.0.1:1", isolated);
  CHECK_FALSE(refused.has_value());
  CHECK(refused.error().m_refused);
  CHECK_FALSE(refused.error().m_reset);
  CHECK(counts == std::tuple(m_router.m_received, m_router.m_reached, m_router.m_unreached));
  LONGS_EQUAL(0, m_router.m_proxied);
  CHECK(m_router.m_failures.empty());
  m_router.m_route = {};
  CHECK(m_client.fetch(server_address(), {"GET", "/", {}, {}}, timeout).has_value());
  UNSIGNED_LONGS_EQUAL(2, m_client.connections_opened()); // the first one was used again
}

// Guards against a reset that is taken for an orderly end without a response.
TEST(tunnel, end_and_reset_without_a_response_are_told_apart) {
  m_router.m_route = {};
  for (const bool with_reset : {false, true}) {
    scripted_server server;
    auto opened = m_client.open(server.address());
    CHECK(opened.has_value());
    CHECK((*opened)->send({"GET", "/", {}, {}}, timeout).has_value());
    server.accept();
    with_reset ? server.reset() : server.m_socket.close();
    const auto head = (*opened)->read_head(timeout);
    CHECK_FALSE(head.has_value());
    CHECK(head.error().m_closed_by_server);
    CHECK_EQUAL(with_reset, head.error().m_reset);
    CHECK_FALSE(head.error().m_refused);
  }
}
