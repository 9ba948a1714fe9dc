#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

using namespace cardamompond;
using namespace cardamompond::net;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr milliseconds timeout{2'000};

fiber_runtime& test_runtime() {
  static fiber_runtime runtime;
  return runtime;
}

// A server that serves one connection, in steps that the test takes one by one.
class stepwise_server {
public:
  stepwise_server()
      : m_acceptor(test_runtime().context(), {boost::asio::ip::make_address("127.0.0.1"), 0})
      , m_socket(test_runtime().context()) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

  // Accepts the connection and reads a part of the request.
  void accept() {
    io_wait accepted;
    m_acceptor.async_accept(m_socket, accepted.handler());
    CHECK_FALSE(accepted.wait());
    std::array<char, 1024> request{};
    io_wait read;
    m_socket.async_read_some(boost::asio::buffer(request), read.handler());
    CHECK_FALSE(read.wait());
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

  void close() { m_socket.close(); }

  // Closes the sending side only.
  void shut_down_sending() { m_socket.shutdown(tcp::socket::shutdown_send); }

private:
  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
};

constexpr std::string_view half_response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";

} // namespace

// Where a response without a length ends. Such a response is complete only if the server closed its
// connection in an orderly way.
TEST_GROUP(response_end) {
  http_client m_client{test_runtime()};
  stepwise_server m_server;
  std::unique_ptr<http_call> m_call;
  std::array<char, 64> m_buffer{};

  void send(const std::string& body) {
    auto opened = m_client.open(m_server.address());
    CHECK(opened.has_value());
    m_call = std::move(*opened);
    CHECK(m_call->send({"POST", "/", {}, body}, timeout).has_value());
  }

  // Sends a request whose body the server does not read, and skips a response to an earlier request that
  // comes meanwhile. Then the server sends half a response and ends the connection.
  void skip_response_during_upload(const std::function<void()>& end_connection) {
    fiber_runtime::spawn([this] {
      m_server.accept();
      m_server.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    });
    send(std::string(16U << 20U, 'x')); // exceeds the socket buffers
    CHECK(m_call->read_head(timeout).has_value());
    CHECK(m_call->read_some(m_buffer, timeout).has_value());
    m_server.write(half_response);
    end_connection();
    boost::this_fiber::sleep_for(milliseconds(50)); // the end arrives
  }

  void read_half_response() {
    const auto head = m_call->read_head(timeout);
    CHECK(head.has_value());
    LONGS_EQUAL(200, head->m_status);
    CHECK(m_call->ends_with_connection());
    const auto part = m_call->read_some(m_buffer, timeout);
    CHECK(part.has_value());
    STRCMP_EQUAL("half", std::string(part->begin(), part->end()).c_str());
  }

  // Sends a request, reads half of its response and waits for the end of the connection.
  void read_until_the_connection_ends(const std::function<void()>& end_connection) {
    fiber_runtime::spawn([this] {
      m_server.accept();
      m_server.write(half_response);
    });
    send("b");
    read_half_response();
    CHECK_FALSE(m_call->input_ended());
    end_connection();
    CHECK(m_call->wait_for_input(monotonic_now() + timeout));
  }
};

// Guards against a response that is cut off by a reset and passes for complete, because a look at whether the
// connection has ended took the error off the socket before the next read.
TEST(response_end, a_reset_that_was_noticed_before_the_read_cuts_the_response_off) {
  read_until_the_connection_ends([this] { m_server.reset(); });
  CHECK(m_call->input_ended());
  CHECK(m_call->input_ended());
  const auto end = m_call->read_some(m_buffer, timeout);
  CHECK_FALSE(end.has_value());
  CHECK(end.error().m_closed_by_server);
}

// Guards against a whole response that fails because its orderly end is taken for a reset.
TEST(response_end, an_orderly_end_that_was_noticed_before_the_read_completes_the_response) {
  read_until_the_connection_ends([this] { m_server.close(); });
  CHECK(m_call->input_ended());
  const auto end = m_call->read_some(m_buffer, timeout);
  CHECK(end.has_value());
  CHECK(end->empty());
}

// Guards against an end of the connection that is reported while bytes of the response are still unread.
TEST(response_end, unread_bytes_come_before_the_end_of_the_connection) {
  read_until_the_connection_ends([this] {
    m_server.write("more");
    m_server.close();
  });
  CHECK_FALSE(m_call->input_ended());
  CHECK(m_call->read_some(m_buffer, timeout).has_value());
  CHECK(m_call->wait_for_input(monotonic_now() + timeout));
  CHECK(m_call->input_ended());
}

// Guards against a part of a response that passes for complete: the server reset the connection while an
// upload was written, so that the write got the error and the next read saw an end without one.
TEST(response_end, a_reset_that_ended_a_write_cuts_the_response_off) {
  skip_response_during_upload([this] { m_server.reset(); });
  read_half_response();
  const auto end = m_call->read_some(m_buffer, timeout);
  CHECK_FALSE(end.has_value());
  CHECK(end.error().m_closed_by_server);
}

// Guards against a whole response that fails because its server, which had ended it in an orderly way, does
// not read the rest of the upload.
TEST(response_end, a_reset_after_an_orderly_end_leaves_the_response_complete) {
  skip_response_during_upload([this] {
    m_server.shut_down_sending();
    boost::this_fiber::sleep_for(milliseconds(50));
    m_server.reset();
  });
  read_half_response();
  const auto end = m_call->read_some(m_buffer, timeout);
  CHECK(end.has_value());
  CHECK(end->empty());
}

// Guards against a part of a response that passes for complete when it comes while the upload is written,
// with no other response before it.
TEST(response_end, a_response_that_is_reset_during_the_upload_is_cut_off) {
  fiber_runtime::spawn([this] {
    m_server.accept();
    m_server.write(half_response);
    boost::this_fiber::sleep_for(milliseconds(50));
    m_server.reset();
  });
  send(std::string(16U << 20U, 'x'));
  read_half_response();
  CHECK(m_call->wait_for_input(monotonic_now() + timeout));
  CHECK_FALSE(m_call->read_some(m_buffer, timeout).has_value());
}
