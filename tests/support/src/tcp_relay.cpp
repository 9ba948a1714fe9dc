#include "cardamompond/testing/tcp_relay.hpp"

#include "cardamompond/net/address.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "cardamompond/testing/environment.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

namespace cardamompond::testing {

using boost::asio::ip::tcp;

class tcp_relay::impl : public std::enable_shared_from_this<tcp_relay::impl> {
public:
  explicit impl(const std::string& target)
      : m_target(net::parse_address(target).value())
      , m_acceptor(test_runtime().context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
      , m_address("127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port())) {}

  void accept_loop() {
    while (m_acceptor.is_open()) {
      auto client = std::make_shared<tcp::socket>(test_runtime().context());
      net::io_wait wait;
      m_acceptor.async_accept(*client, wait.handler());
      if (wait.wait() || m_refusing) {
        continue;
      }
      net::fiber_runtime::spawn([self = shared_from_this(), client] { self->serve(client); });
    }
  }

  void close_all() {
    for (const auto& socket : m_sockets) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  }

  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::string m_address;
  bool m_partitioned = false;
  bool m_refusing = false;
  milliseconds m_delay{0};
  int m_repeat_interval = 0;
  std::uint64_t m_answers = 0;
  time_point m_paused_until;

private:
  using socket_ptr = std::shared_ptr<tcp::socket>;

  void serve(const socket_ptr& client) {
    m_sockets.insert(client);
    wait_while_partitioned();
    auto server = std::make_shared<tcp::socket>(test_runtime().context());
    net::io_wait wait;
    server->async_connect(m_target, wait.handler());
    if (wait.wait()) {
      m_sockets.erase(client);
      return;
    }
    m_sockets.insert(server);
    auto answer = std::make_shared<std::string>(); // to the last request
    net::fiber_runtime::spawn([self = shared_from_this(), client, server, answer] {
      self->forward(server, client, [&](std::string_view bytes) {
        if (self->m_repeat_interval > 0) {
          answer->append(bytes);
        }
      });
    });
    forward(client, server, [&](std::string_view) {
      const std::string copy = std::exchange(*answer, {});
      if (!copy.empty() && m_repeat_interval > 0 && ++m_answers % m_repeat_interval == 0) {
        net::io_wait written;
        boost::asio::async_write(*client, boost::asio::buffer(copy), written.handler());
        std::ignore = written.wait();
      }
    });
  }

  // Calls `on_bytes` before each part is forwarded.
  template <typename Function>
  void forward(const socket_ptr& from, const socket_ptr& to, const Function& on_bytes) {
    std::array<char, 16384> buffer{};
    while (true) {
      net::io_wait read_wait;
      from->async_read_some(boost::asio::buffer(buffer), read_wait.handler());
      if (read_wait.wait()) {
        break;
      }
      wait_while_partitioned();
      if (m_delay.count() > 0) {
        boost::this_fiber::sleep_for(m_delay);
      }
      on_bytes(std::string_view(buffer.data(), read_wait.bytes()));
      net::io_wait write_wait;
      boost::asio::async_write(*to, boost::asio::buffer(buffer.data(), read_wait.bytes()),
                               write_wait.handler());
      if (write_wait.wait()) {
        break;
      }
    }
    wait_while_partitioned(); // a partition also hides that one side has closed its connection
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
    m_sockets.erase(from);
  }

  void wait_while_partitioned() const {
    while (m_partitioned || monotonic_now() < m_paused_until) {
      boost::this_fiber::sleep_for(milliseconds(10));
    }
  }

  std::set<socket_ptr> m_sockets;
};

tcp_relay::tcp_relay(std::string target)
    : m_impl(std::make_shared<impl>(target)) {
  net::fiber_runtime::spawn([relay = m_impl] { relay->accept_loop(); });
}

tcp_relay::~tcp_relay() {
  boost::system::error_code ignored;
  m_impl->m_partitioned = false;
  m_impl->m_paused_until = {};
  m_impl->m_acceptor.close(ignored);
  m_impl->close_all();
}

const std::string& tcp_relay::address() const {
  return m_impl->m_address;
}

void tcp_relay::set_partitioned(bool partitioned) {
  m_impl->m_partitioned = partitioned;
}

void tcp_relay::pause(milliseconds length) {
  m_impl->m_paused_until = std::max(m_impl->m_paused_until, monotonic_now() + length);
}

void tcp_relay::set_refusing(bool refusing) {
  m_impl->m_refusing = refusing;
  if (refusing) {
    m_impl->close_all();
  }
}

void tcp_relay::set_delay(milliseconds delay) {
  m_impl->m_delay = delay;
}

void tcp_relay::repeat_answers(int interval) {
  m_impl->m_repeat_interval = interval;
}

} // namespace cardamompond::testing
