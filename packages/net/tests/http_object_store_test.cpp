#include "cardamompond/net/http_object_store.hpp"
#include "cardamompond/net/io_wait.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::net;
using boost::asio::ip::tcp;

namespace {

fiber_runtime& test_runtime() {
  static fiber_runtime runtime;
  return runtime;
}

struct scripted_object_api {
  tcp::acceptor m_acceptor{test_runtime().context(), {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::vector<std::string> m_responses; // to the requests in the order of their arrival

  // Serves one connection after the other. A late copy of each response precedes the next one on its
  // connection.
  void serve() {
    std::size_t served = 0;
    while (served < m_responses.size()) {
      tcp::socket socket(test_runtime().context());
      io_wait accepted;
      m_acceptor.async_accept(socket, accepted.handler());
      bool connected = !accepted.wait();
      std::string copy;
      while (connected && served < m_responses.size()) {
        std::array<char, 4'096> request{};
        io_wait received;
        socket.async_read_some(boost::asio::buffer(request), received.handler());
        connected = !received.wait();
        if (connected) {
          const std::string bytes = std::exchange(copy, m_responses[served]) + m_responses[served];
          ++served;
          io_wait written;
          boost::asio::async_write(socket, boost::asio::buffer(bytes), written.handler());
          connected = !written.wait();
        }
      }
    }
  }
};

} // namespace

TEST_GROUP(http_object_store){};

// Guards against a late copy of an answer of the object API that passes for the answer to the next call: a
// claim that another daemon holds would be believed to be held, and would be read as another object.
TEST(http_object_store, late_copy_does_not_answer_the_next_call) {
  const auto api = std::make_shared<scripted_object_api>();
  api->m_responses = {"HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n",
                      "HTTP/1.1 412 Conflict\r\nETag: \"2\"\r\nContent-Length: 0\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nETag: \"2\"\r\nContent-Length: 4\r\n\r\nheld",
                      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
  fiber_runtime::spawn([api] { api->serve(); });
  http_object_store store(
      test_runtime(), {.m_address = "127.0.0.1:" + std::to_string(api->m_acceptor.local_endpoint().port())});
  CHECK(store.put("claims/a", "x", 0, seconds(2)).has_value());
  const auto second = store.put("claims/b", "x", 0, seconds(2));
  CHECK(!second && second.error().m_kind == store_error_kind::conflict);
  STRCMP_EQUAL("held", store.get("claims/b", seconds(2))->m_value.c_str());
  CHECK_FALSE(store.get("claims/c", seconds(2)).has_value());
}
