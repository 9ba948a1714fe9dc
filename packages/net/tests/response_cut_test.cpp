#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::net;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::string_view request_1_1 = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view request_1_0 = "GET / HTTP/1.0\r\nHost: h\r\n\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

// More than the buffers of a connection take while its client does not read.
const std::string large_part(16U << 20U, 'x');

fiber_runtime& test_runtime() {
  static fiber_runtime runtime;
  return runtime;
}

// What a client received until its connection ended.
struct received_response {
  std::string m_bytes;
  bool m_reset = false;

  std::string_view body() const {
    const auto head_end = m_bytes.find("\r\n\r\n");
    return head_end == std::string::npos ? std::string_view()
                                         : std::string_view(m_bytes).substr(head_end + 4);
  }
  bool has_last_chunk() const { return m_bytes.ends_with(last_chunk); }
};

// A client that sends any bytes, and reads only when it is told to.
class raw_client {
public:
  explicit raw_client(const http_server& server)
      : m_socket(test_runtime().context()) {
    io_wait wait;
    m_socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), server.port()}, wait.handler());
    CHECK_FALSE(wait.wait());
  }

  void write(std::string_view bytes) {
    io_wait wait;
    boost::asio::async_write(m_socket, boost::asio::buffer(bytes), wait.handler());
    CHECK_FALSE(wait.wait());
  }

  void shut_down_sending() { m_socket.shutdown(tcp::socket::shutdown_send); }

  received_response read_to_end() {
    received_response response;
    std::array<char, 64U << 10U> bytes{};
    while (true) {
      io_wait wait;
      m_socket.async_read_some(boost::asio::buffer(bytes), wait.handler());
      const auto error = wait.wait();
      response.m_bytes.append(bytes.data(), wait.bytes());
      if (error) {
        response.m_reset = error != boost::asio::error::eof;
        return response;
      }
    }
  }

private:
  tcp::socket m_socket;
};

} // namespace

// How a client sees a response that ends before its handler has finished it.
TEST_GROUP(response_cut) {
  std::unique_ptr<http_server> m_server;

  void start(http_server::handler handler, http_server_options options = {.m_address = "127.0.0.1:0"}) {
    m_server = std::make_unique<http_server>(test_runtime(), options, std::move(handler));
  }

  // Returns what a client receives of a response in parts of which the last one is not sent, for each of the
  // ways in which a response can be cut.
  std::vector<received_response> cut_responses(std::string_view request) {
    std::vector<received_response> responses;
    const auto exchange_with = [&](http_server::handler handler, milliseconds read_after = {},
                                   milliseconds write_timeout = milliseconds(2'000)) {
      start(std::move(handler), {.m_address = "127.0.0.1:0", .m_write_timeout = write_timeout});
      raw_client client(*m_server);
      client.write(request);
      boost::this_fiber::sleep_for(read_after);
      responses.push_back(client.read_to_end());
    };
    exchange_with([](http_exchange& exchange) { // the handler gives up
      std::ignore = exchange.begin(200, {});
      std::ignore = exchange.write(std::string_view("part"));
    });
    exchange_with([](http_exchange& exchange) { // the handler fails
      std::ignore = exchange.begin(200, {});
      std::ignore = exchange.write(std::string_view("part"));
      throw std::runtime_error("failed");
    });
    exchange_with([this](http_exchange& exchange) { // the server closes its connections between two parts
      std::ignore = exchange.begin(200, {});
      std::ignore = exchange.write(std::string_view("part"));
      m_server->close_all();
      std::ignore = exchange.write(std::string_view("rest"));
      CHECK_FALSE(exchange.finish().has_value());
    });
    exchange_with([this](http_exchange& exchange) { // or before the end is written
      std::ignore = exchange.begin(200, {});
      std::ignore = exchange.write(std::string_view("part"));
      m_server->close_all();
      CHECK_FALSE(exchange.finish().has_value());
    });
    exchange_with( // or inside a part
        [this](http_exchange& exchange) {
          fiber_runtime::spawn([this] {
            boost::this_fiber::sleep_for(milliseconds(50));
            m_server->close_all();
          });
          std::ignore = exchange.begin(200, {});
          CHECK_FALSE(exchange.write(large_part).has_value());
          CHECK_FALSE(exchange.finish().has_value());
        },
        milliseconds(100));
    exchange_with( // the client does not read
        [](http_exchange& exchange) {
          std::ignore = exchange.begin(200, {});
          CHECK_FALSE(exchange.write(large_part).has_value());
          CHECK_FALSE(exchange.finish().has_value());
        },
        milliseconds(150), milliseconds(50));
    return responses;
  }
};

// Guards against a response that looks complete to a client although its handler did not finish it.
TEST(response_cut, cut_chunked_response_has_no_last_chunk) {
  for (const auto& response : cut_responses(request_1_1)) {
    CHECK(response.m_bytes.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(response.body().size() > 4);
    CHECK_FALSE(response.has_last_chunk());
  }
}

// Guards against a response that looks complete to a client of HTTP/1.0, for which the end of the connection
// is the end of the body.
TEST(response_cut, cut_response_to_a_client_without_chunks_is_reset) {
  for (const auto& response : cut_responses(request_1_0)) {
    CHECK_TEXT(response.m_reset, "the response looks complete");
  }
}

// Guards against chunk headers in the body that a client of HTTP/1.0 reads, and against a whole response that
// is reset.
TEST(response_cut, response_to_a_client_without_chunks_ends_with_its_connection) {
  start([](http_exchange& exchange) {
    std::ignore = exchange.begin(200, {});
    std::ignore = exchange.write(std::string_view("part"));
    std::ignore = exchange.write(large_part);
    CHECK(exchange.finish().has_value());
  });
  raw_client client(*m_server);
  client.write("GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
  const auto response = client.read_to_end();
  CHECK_FALSE(response.m_reset);
  CHECK(response.m_bytes.find("Transfer-Encoding") == std::string::npos);
  CHECK(response.m_bytes.find("Connection: close\r\n") != std::string::npos);
  CHECK(response.body() == "part" + large_part);
}

// Guards against a response that is cut or mixed up because the client sends its next request, or closes its
// sending side, while the response is being written.
TEST(response_cut, input_during_a_response_leaves_it_whole) {
  start([](http_exchange& exchange) {
    std::ignore = exchange.begin(200, {});
    for (int i = 0; i < 3; ++i) {
      std::ignore = exchange.write(std::string_view("part"));
      boost::this_fiber::sleep_for(milliseconds(20));
    }
    CHECK(exchange.finish().has_value());
  });
  raw_client client(*m_server);
  client.write(request_1_1);
  boost::this_fiber::sleep_for(milliseconds(10));
  client.write(request_1_1);
  boost::this_fiber::sleep_for(milliseconds(80));
  client.shut_down_sending();
  const auto response = client.read_to_end();
  CHECK_FALSE(response.m_reset);
  const std::string whole_body = "4\r\npart\r\n4\r\npart\r\n4\r\npart\r\n0\r\n\r\n";
  CHECK(response.body().starts_with(whole_body + "HTTP/1.1 200 OK\r\n"));
  CHECK(response.body().ends_with("\r\n\r\n" + whole_body));
}
