#include "cardamompond/fleet/input_budget.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <stdexcept>
#include <thread>
#include <tuple>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cardamompond;
using namespace cardamompond::net;

namespace {

fiber_runtime& test_runtime() {
  static fiber_runtime runtime;
  return runtime;
}

std::string loopback_address(const http_server& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

// Returns an option of this process's connection to the port on the loopback address, or -1 without one.
int get_socket_option(std::uint16_t port, int level, int name) {
  constexpr int max_descriptors = 1'024;
  for (int descriptor = 0; descriptor < max_descriptors; ++descriptor) {
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) == 0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == port) {
      int value = -1;
      length = sizeof value;
      ::getsockopt(descriptor, level, name, &value, &length);
      return value;
    }
  }
  return -1;
}

// A connection that sends any bytes at any time.
class raw_connection {
public:
  explicit raw_connection(std::uint16_t port)
      : m_socket(test_runtime().context()) {
    io_wait wait;
    m_socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), port}, wait.handler());
    CHECK_FALSE(wait.wait());
  }

  void write(std::string_view bytes) {
    io_wait wait;
    boost::asio::async_write(m_socket, boost::asio::buffer(bytes), wait.handler());
    std::ignore = wait.wait();
  }

  // Does not let other fibers run.
  void write_without_waiting(std::string_view bytes) {
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
  }

  // Reads until the text has come. Returns false if the connection ends or a second passes before.
  bool read_until(std::string_view text) {
    m_socket.non_blocking(true);
    const time_point deadline = monotonic_now() + seconds(1);
    while (m_received.find(text) == std::string::npos && monotonic_now() < deadline) {
      std::array<char, 1024> bytes{};
      boost::system::error_code error;
      const std::size_t count = m_socket.read_some(boost::asio::buffer(bytes), error);
      if (error && error != boost::asio::error::would_block) {
        return false;
      }
      m_received.append(bytes.data(), count);
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    return m_received.find(text) != std::string::npos;
  }

  const std::string& received() const { return m_received; }

private:
  boost::asio::ip::tcp::socket m_socket;
  std::string m_received;
};

} // namespace

TEST_GROUP(http) {
  fiber_runtime& m_runtime = test_runtime();
  http_client m_client{m_runtime};
};

// Guards against lost or reordered bytes on a keep-alive connection, which must serve all requests.
TEST(http, echoes_bodies_on_one_connection) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.respond(
        {200, {{"X-Path", std::string(exchange.request().path())}}, exchange.request().m_body});
  });
  for (const std::size_t size : {std::size_t{1}, std::size_t{1000}, std::size_t{3'000'000}}) {
    const std::string body(size, 'x');
    auto response = m_client.fetch(loopback_address(server), {"POST", "/echo?a=b", {}, body},
                                   milliseconds(5000), 8'000'000);
    CHECK(response.has_value());
    CHECK(response->m_body == body);
    STRCMP_EQUAL("/echo", std::string(*find_header(response->m_headers, "x-path")).c_str());
  }
  LONGS_EQUAL(1, server.connections());
}

// Guards against a truncated response that looks complete. When a handler returns before the end of its
// response, the server must close the connection without the final chunk.
TEST(http, unfinished_response_is_a_read_error) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.begin(200, {});
    std::ignore = exchange.write(std::string_view("part"));
  });
  auto response = m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(2000));
  CHECK_FALSE(response.has_value());
  CHECK(response.error().m_sent);
}

// Guards against a refused connection being reported as a request that may have been executed. Verdicts rely
// on this distinction.
TEST(http, refused_connection_reports_nothing_sent) {
  std::string address;
  {
    http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange&) {});
    address = loopback_address(server);
  }
  boost::this_fiber::yield();
  auto response = m_client.fetch(address, {"GET", "/", {}, {}}, milliseconds(2000));
  CHECK_FALSE(response.has_value());
  CHECK_FALSE(response.error().m_sent);
}

// Guards against oversized or malformed requests being buffered, or closing the connection without a
// response.
TEST(http, oversized_and_malformed_requests_get_error_statuses) {
  http_server server(m_runtime,
                     {.m_address = "127.0.0.1:0", .m_max_body_bytes = 1000, .m_max_header_bytes = 2000},
                     [](http_exchange& exchange) { std::ignore = exchange.respond({}); });
  auto large_body =
      m_client.fetch(loopback_address(server), {"POST", "/", {}, std::string(1001, 'x')}, milliseconds(2000));
  CHECK(large_body.has_value());
  LONGS_EQUAL(413, large_body->m_status);
  auto large_header = m_client.fetch(
      loopback_address(server), {"GET", "/", {{"X-Long", std::string(3000, 'x')}}, {}}, milliseconds(2000));
  CHECK(large_header.has_value());
  LONGS_EQUAL(431, large_header->m_status);
  auto malformed = m_client.fetch(loopback_address(server), {"GE T", "/", {}, {}}, milliseconds(2000));
  CHECK(malformed.has_value());
  LONGS_EQUAL(400, malformed->m_status);
}

// Guards against a body over the limit that is asked for, or read, although its length is announced.
TEST(http, announced_body_over_the_limit_is_refused_before_it_is_read) {
  const http_server server(test_runtime(), {.m_address = "127.0.0.1:0", .m_max_body_bytes = 1'000},
                           [](http_exchange&) {});
  for (const std::string_view expect : {"", "Expect: 100-continue\r\n"}) {
    raw_connection client(server.port());
    client.write("POST / HTTP/1.1\r\nHost: h\r\n" + std::string(expect) + "Content-Length: 1001\r\n\r\n");
    CHECK_TEXT(client.read_until("Connection: close\r\n\r\n"), client.received().c_str());
    CHECK_TEXT(client.received().starts_with("HTTP/1.1 413 "), client.received().c_str());
  }
}

// Guards against an unfinished request that is ended for another one without a response that says so, and
// against a budget that is not given back.
TEST(http, request_without_memory_is_refused) {
  auto& budget = test_runtime().input_budget();
  const std::size_t held = budget.held();
  {
    http_server server(test_runtime(), {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
      std::ignore = exchange.respond({200, {}, std::to_string(exchange.request().m_body.size())});
    });
    constexpr std::size_t body_bytes = 1U << 20U;
    budget.set_limit(held + 3 * body_bytes);
    raw_connection slow(server.port());
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
                             "\r\nConnection: close\r\n\r\n";
    slow.write(head + std::string(body_bytes - 1, 'x'));
    boost::this_fiber::sleep_for(milliseconds(300));
    raw_connection steady(server.port());
    steady.write(head + std::string(body_bytes, 'x'));
    CHECK_TEXT(steady.read_until("\r\n\r\n" + std::to_string(body_bytes)), steady.received().c_str());
    CHECK_TEXT(slow.read_until("Retry-After: "), slow.received().c_str());
    CHECK_TEXT(slow.received().starts_with("HTTP/1.1 503 "), slow.received().c_str());
    CHECK(budget.held() <= budget.limit());
    server.close_all();
  }
  budget.set_limit(0);
  for (int i = 0; budget.held() != held && i < 1'000; ++i) {
    boost::this_fiber::sleep_for(milliseconds(5)); // the fibers of the connections end
  }
  CHECK_EQUAL(held, budget.held());
}

// Guards against a fiber that hangs on a peer that neither sends nor reads. Reads and writes must both end
// with a timeout, even when an earlier call on the same connection had a later deadline.
TEST(http, unresponsive_peers_cause_timeouts) {
  bool write_timed_out = false;
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_write_timeout = milliseconds(100)},
                     [&](http_exchange& exchange) {
                       const std::string part(1U << 20U, 'x');
                       auto written = exchange.begin(200, {});
                       while (written) {
                         written = exchange.write(part);
                       }
                       write_timed_out = written.error().m_timeout;
                     });
  auto call = m_client.open(loopback_address(server));
  CHECK_TRUE((*call)->send({"GET", "/", {}, {}}, milliseconds(60'000)).has_value());
  CHECK_TRUE((*call)->read_head(milliseconds(60'000)).has_value());
  const auto begin = monotonic_now();
  while (!write_timed_out && monotonic_now() - begin < seconds(5)) {
    boost::this_fiber::sleep_for(milliseconds(10));
  }
  CHECK_TRUE(write_timed_out);

  http_server silent(m_runtime, {.m_address = "127.0.0.1:0"},
                     [](http_exchange&) { boost::this_fiber::sleep_for(milliseconds(300)); });
  auto unanswered_call = m_client.open(loopback_address(silent));
  CHECK_TRUE((*unanswered_call)->send({"GET", "/", {}, {}}, milliseconds(60'000)).has_value());
  const auto head = (*unanswered_call)->read_head(milliseconds(50));
  CHECK_TRUE(!head.has_value() && head.error().m_timeout && head.error().m_sent);
  boost::this_fiber::sleep_for(milliseconds(300)); // waits until the handler of `silent` has returned
}

// Guards against a call that ends early although its server is sound: the host of the server stood still, so
// that keep-alive probes of the connection were not acknowledged for a few seconds.
TEST(http, connection_is_probed_only_while_no_call_waits_for_its_server) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.respond({200, {}, "ok"});
  });
  constexpr milliseconds loss_timeout{2'000};
  http_client client(m_runtime, {.m_connection_loss_timeout = loss_timeout});
  {
    auto opened = client.open(loopback_address(server));
    CHECK(opened.has_value());
    LONGS_EQUAL(1, get_socket_option(server.port(), SOL_SOCKET, SO_KEEPALIVE));
    (*opened)->keep_connection_until(monotonic_now() + seconds(10));
    LONGS_EQUAL(0, get_socket_option(server.port(), SOL_SOCKET, SO_KEEPALIVE));
    CHECK(get_socket_option(server.port(), IPPROTO_TCP, TCP_USER_TIMEOUT) > 4 * loss_timeout.count());
    CHECK((*opened)->send({"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
    CHECK((*opened)->read_head(milliseconds(1'000)).has_value());
    std::array<char, 8> body{};
    while (!(*opened)->reusable()) {
      CHECK((*opened)->read_some(body, milliseconds(1'000)).has_value());
    }
  }
  LONGS_EQUAL(1, get_socket_option(server.port(), SOL_SOCKET, SO_KEEPALIVE));
  LONGS_EQUAL(loss_timeout.count(), get_socket_option(server.port(), IPPROTO_TCP, TCP_USER_TIMEOUT));
}

// Guards against a call that ends early although its server is sound: the server stood still for longer than
// the connection loss timeout, so that its receive window stayed closed, and then went on.
TEST(http, call_outlives_a_pause_of_its_server_beyond_the_connection_loss_timeout) {
  constexpr milliseconds loss_timeout{300};
  constexpr milliseconds pause = 4 * loss_timeout;
  boost::asio::ip::tcp::acceptor acceptor(m_runtime.context());
  acceptor.open(boost::asio::ip::tcp::v4());
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(8'192));
  acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen();
  const std::string body(8U << 20U, 'x');
  bool served = false;
  fiber_runtime::spawn([&] {
    boost::asio::ip::tcp::socket socket(m_runtime.context());
    io_wait accepted;
    acceptor.async_accept(socket, accepted.handler());
    CHECK_FALSE(accepted.wait());
    boost::this_fiber::sleep_for(pause);
    std::vector<char> bytes(1U << 16U);
    for (std::size_t total = 0; total < body.size();) {
      io_wait read;
      socket.async_read_some(boost::asio::buffer(bytes), read.handler());
      if (read.wait()) {
        break;
      }
      total += read.bytes();
    }
    io_wait written;
    boost::asio::async_write(socket, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38),
                             written.handler());
    std::ignore = written.wait();
    served = true;
  });
  http_client client(m_runtime, {.m_connection_loss_timeout = loss_timeout});
  auto opened = client.open("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  CHECK(opened.has_value());
  http_call& call = **opened;
  call.keep_connection_until(monotonic_now() + seconds(6));
  const auto sent = call.send({"POST", "/", {}, body}, seconds(6));
  const auto head = sent ? call.read_head(seconds(6)) : call_result<http_response>(sent.error());
  while (!served) {
    boost::this_fiber::sleep_for(milliseconds(5));
  }
  CHECK_TEXT(head.has_value(), "the call ended before its deadline");
  LONGS_EQUAL(200, head->m_status);
}

// Guards against a request that ends without a response and without a trace in the log.
TEST(http, request_without_a_response_is_reported) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = milliseconds(50)},
                     [](http_exchange&) { throw std::runtime_error("broken handler"); });
  std::vector<request_drop> causes;
  server.set_drop_observer([&](request_drop cause, std::string_view) { causes.push_back(cause); });
  CHECK_FALSE(
      m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value());
  const http_request incomplete{"GET", "/", {{"Content-Length", "9"}}, {}};
  CHECK((*opened)->send(incomplete, milliseconds(1'000)).has_value());
  CHECK_FALSE((*opened)->read_head(milliseconds(1'000)).has_value());
  raw_connection(server.port()).write("GET / HTTP/1.1\r\nHo");
  boost::this_fiber::sleep_for(milliseconds(10));
  CHECK(causes == (std::vector{request_drop::handler_failure, request_drop::body_timeout,
                               request_drop::client_closed}));
}

// Guards against a request that meets the close of its connection and leaves no trace in the log of the
// server, although its client saw a connection that ended without an answer.
TEST(http, request_that_crosses_the_close_of_its_connection_is_reported) {
  constexpr milliseconds idle_timeout{40};
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = idle_timeout},
                     [](http_exchange& exchange) {
                       std::ignore = exchange.respond({200, {}, "ok"});
                     });
  std::vector<request_drop> causes;
  server.set_drop_observer([&](request_drop cause, std::string_view) { causes.push_back(cause); });
  raw_connection sender(server.port());
  boost::this_fiber::sleep_for(2 * idle_timeout);
  CHECK(causes.empty());
  sender.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_FALSE(sender.read_until("ok"));
  boost::this_fiber::sleep_for(milliseconds(10));
  CHECK(causes == std::vector{request_drop::crossed_close});
}

// Guards against a response that is lost although it arrived in time, because the event loop was busy until
// after the deadline. The timer closed the connection before the fiber had read what was there.
TEST(http, response_that_arrives_while_the_event_loop_is_busy_is_not_a_timeout) {
  constexpr milliseconds read_timeout{60};
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [&](http_exchange& exchange) {
    std::ignore = exchange.begin(200, {});
    std::ignore = exchange.write(std::string_view("part"));
    std::this_thread::sleep_for(2 * read_timeout); // blocks the event loop
    boost::this_fiber::sleep_for(milliseconds(10));
    std::ignore = exchange.write(std::string_view(" and rest"));
    std::ignore = exchange.finish();
  });
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value());
  http_call& call = **opened;
  CHECK(call.send({"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  CHECK(call.read_head(read_timeout).has_value());
  std::string body;
  std::array<char, 64> buffer{};
  while (true) {
    auto part = call.read_some(buffer, milliseconds(1'000));
    CHECK_TEXT(part.has_value(), "the connection was closed");
    if (part->empty()) {
      break;
    }
    body.append(part->data(), part->size());
  }
  STRCMP_EQUAL("part and rest", body.c_str());
}

// Guards against a whole request that gets no answer, because the event loop was busy when it arrived on an
// idle connection and the idle timeout passed before the request was read.
TEST(http, request_that_arrives_before_the_idle_timeout_is_answered_by_a_busy_server) {
  constexpr milliseconds idle_timeout{60};
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = idle_timeout},
                     [](http_exchange& exchange) {
                       std::ignore = exchange.respond({200, {}, "ok"});
                     });
  CHECK(m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  boost::this_fiber::sleep_for(idle_timeout / 3);
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value() && (*opened)->reused());
  CHECK((*opened)->send({"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  std::this_thread::sleep_for(idle_timeout); // blocks the event loop
  CHECK_TEXT((*opened)->read_head(milliseconds(1'000)).has_value(), "the connection was closed");
}

// Guards against an idle connection that closes by a limit that is no longer in force. Callers reuse
// connections by the newest limit, and their request crosses the close.
TEST(http, idle_connection_follows_a_changed_limit) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = milliseconds(100)},
                     [](http_exchange& exchange) {
                       std::ignore = exchange.respond({200, {}, "ok"});
                     });
  CHECK(m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  server.set_limits(8'192, 8'192, milliseconds(1'000), milliseconds(1'000));
  boost::this_fiber::sleep_for(milliseconds(200));
  LONGS_EQUAL(1, server.connections());
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value() && (*opened)->reused());
  CHECK((*opened)->send({"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  CHECK((*opened)->read_head(milliseconds(1'000)).has_value());
}

// Guards against a request that is lost because the server closes the idle connection while it is on its way.
// The client has to know when it must not use the connection any more.
TEST(http, responses_state_how_long_their_connection_may_be_idle) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = milliseconds(15'000)},
                     [](http_exchange& exchange) {
                       if (exchange.request().path() == "/stream") {
                         std::ignore = exchange.begin(200, {});
                         std::ignore = exchange.finish();
                       } else {
                         std::ignore = exchange.respond({200, {}, "ok"});
                       }
                     });
  for (const auto* path : {"/", "/stream"}) {
    const auto response =
        m_client.fetch(loopback_address(server), {"GET", path, {}, {}}, milliseconds(1'000));
    CHECK(response.has_value());
    CHECK(find_header(response->m_headers, "Keep-Alive") == "timeout=12");
  }
  const auto last = m_client.fetch(loopback_address(server), {"GET", "/", {{"Connection", "close"}}, {}},
                                   milliseconds(1'000));
  CHECK(last.has_value());
  CHECK_FALSE(find_header(last->m_headers, "Keep-Alive").has_value());
}

// Guards against an idle connection that closes sooner than its last response stated, because a new
// configuration has shortened the limit.
TEST(http, idle_connection_stays_open_for_the_time_stated_before_a_shorter_limit) {
  http_server* running = nullptr;
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = milliseconds(2'000)},
                     [&](http_exchange& exchange) {
                       std::ignore = exchange.begin(200, {});
                       running->set_limits(8'192, 8'192, milliseconds(1'000), milliseconds(50));
                       std::ignore = exchange.finish();
                     });
  running = &server;
  CHECK(m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  boost::this_fiber::sleep_for(milliseconds(150));
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value() && (*opened)->reused());
}

// Guards against a request that is lost in a drain. A client that was told to keep its connection, by a
// response that began before the drain, sends its next request while the server closes the connection.
TEST(http, connection_that_a_client_may_use_again_serves_one_more_request_in_a_drain) {
  http_server* running = nullptr;
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [&](http_exchange& exchange) {
    std::ignore = exchange.begin(200, {});
    running->begin_drain();
    std::ignore = exchange.finish();
  });
  running = &server;
  CHECK(m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  auto opened = m_client.open(loopback_address(server));
  CHECK(opened.has_value() && (*opened)->reused());
  CHECK((*opened)->send({"GET", "/", {}, {}}, milliseconds(1'000)).has_value());
  const auto head = (*opened)->read_head(milliseconds(1'000));
  CHECK(head.has_value());
  CHECK(find_header(head->m_headers, "Connection") == "close");
}

// Guards against a large body that is cut although it keeps coming, because the idle timeout limited the time
// for the whole body. Slow links and a shorter limit of a new configuration make that happen.
TEST(http, body_that_keeps_coming_may_take_longer_than_the_idle_timeout) {
  constexpr milliseconds idle_timeout{80};
  http_server server(m_runtime, {.m_address = "127.0.0.1:0", .m_idle_timeout = idle_timeout},
                     [](http_exchange& exchange) {
                       std::ignore = exchange.respond({200, {}, exchange.request().m_body});
                     });
  raw_connection sender(server.port());
  sender.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
  for (const char* part : {"b", "o", "d", "y"}) {
    boost::this_fiber::sleep_for(idle_timeout / 2);
    sender.write(part);
  }
  CHECK_TEXT(sender.read_until("body"), "the connection was closed");
}

// Guards against a request that is lost when a server stops accepting, because it has arrived on an idle
// connection and was not read yet.
TEST(http, request_that_has_arrived_unread_is_served_when_the_server_stops_accepting) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.respond({200, {}, "ok"});
  });
  raw_connection sender(server.port());
  boost::this_fiber::sleep_for(milliseconds(20));
  sender.write_without_waiting("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  server.stop_accepting();
  CHECK_TEXT(sender.read_until("ok"), "the connection was closed");
}

// Guards against a request that is lost at the end of a drain, because the daemon did not count it while it
// was still being read.
TEST(http, request_that_is_being_read_is_active) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.respond({200, {}, "ok"});
  });
  raw_connection sender(server.port());
  sender.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Le");
  boost::this_fiber::sleep_for(milliseconds(20));
  UNSIGNED_LONGS_EQUAL(1, server.active_requests());
  server.stop_accepting();
  sender.write("ngth: 1\r\n\r\nb");
  CHECK_TEXT(sender.read_until("ok"), "the connection was closed");
  UNSIGNED_LONGS_EQUAL(0, server.active_requests());
}

// Guards against a server that retries without a pause, and so takes the whole processor and floods the log,
// while its process has no free file descriptor.
TEST(http, server_without_free_descriptors_pauses_between_its_attempts_to_accept) {
  http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
    std::ignore = exchange.respond({200, {}, "x"});
  });
  int failures = 0;
  server.set_drop_observer([&](request_drop cause, std::string_view /*detail*/) {
    failures += cause == request_drop::accept_failure ? 1 : 0;
  });
  boost::asio::ip::tcp::socket waiting(m_runtime.context());
  waiting.open(boost::asio::ip::tcp::v4());
  const int first_free = ::dup(0);
  ::close(first_free);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  const rlimit none_free{static_cast<rlim_t>(first_free), before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none_free);
  io_wait wait;
  waiting.async_connect({boost::asio::ip::make_address("127.0.0.1"), server.port()}, wait.handler());
  std::ignore = wait.wait();
  boost::this_fiber::sleep_for(milliseconds(200));
  ::setrlimit(RLIMIT_NOFILE, &before);
  constexpr int max_failures = 20;
  CHECK(failures >= 1);
  CHECK(failures <= max_failures);
  LONGS_EQUAL(200,
              m_client.fetch(loopback_address(server), {"GET", "/", {}, {}}, milliseconds(1'000))->m_status);
}

// Guards against idle connections to servers that are gone, which keep file descriptors until the process has
// none left.
TEST(http, idle_connections_to_an_address_that_is_not_used_again_are_closed) {
  constexpr milliseconds max_idle_time{60};
  const auto respond = [](http_exchange& exchange) { std::ignore = exchange.respond({200, {}, "x"}); };
  http_server left(m_runtime, {.m_address = "127.0.0.1:0"}, respond);
  http_server used(m_runtime, {.m_address = "127.0.0.1:0"}, respond);
  http_client client(m_runtime, {.m_max_idle_time = max_idle_time});
  LONGS_EQUAL(200, client.fetch(loopback_address(left), {"GET", "/", {}, {}}, milliseconds(1'000))->m_status);
  UNSIGNED_LONGS_EQUAL(1, left.connections());
  boost::this_fiber::sleep_for(2 * max_idle_time);
  LONGS_EQUAL(200, client.fetch(loopback_address(used), {"GET", "/", {}, {}}, milliseconds(1'000))->m_status);
  boost::this_fiber::sleep_for(milliseconds(20));
  UNSIGNED_LONGS_EQUAL(0, left.connections());
}

// Guards against a process that ends because it counts no active request although one has arrived, on a
// connection that is open or one that waits to be accepted, since the event loop last ran.
TEST(http, request_that_arrives_while_the_event_loop_is_busy_is_unread_input) {
  constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const bool accepted : {true, false}) {
    http_server server(m_runtime, {.m_address = "127.0.0.1:0"}, [](http_exchange& exchange) {
      std::ignore = exchange.respond({200, {}, "ok"});
    });
    boost::this_fiber::sleep_for(milliseconds(10));
    boost::asio::ip::tcp::socket client(m_runtime.context());
    client.connect({boost::asio::ip::make_address("127.0.0.1"), server.port()});
    if (accepted) {
      boost::this_fiber::sleep_for(milliseconds(10));
      CHECK_FALSE(server.has_unread_input());
    }
    boost::asio::write(client, boost::asio::buffer(request)); // blocks the event loop
    std::this_thread::sleep_for(milliseconds(5));
    UNSIGNED_LONGS_EQUAL(0, server.active_requests());
    CHECK(server.has_unread_input());
    boost::this_fiber::sleep_for(milliseconds(10));
    CHECK_FALSE(server.has_unread_input());
    CHECK(client.available() > 0);
  }
}
