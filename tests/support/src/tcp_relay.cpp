#include "cardamompond/testing/tcp_relay.hpp"

#include "cardamompond/net/address.hpp"
#include "cardamompond/net/io_wait.hpp"
#include "cardamompond/testing/environment.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <random>
#include <set>
#include <string_view>
#include <utility>

namespace cardamompond::testing {

using boost::asio::ip::tcp;

namespace {

// Returns whether the bytes, which begin with an HTTP answer, are that whole answer.
bool is_whole_answer(std::string_view bytes) {
  constexpr std::string_view length_name = "\r\nContent-Length: ";
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string_view::npos) {
    return false;
  }
  const auto length = bytes.substr(0, head_end).find(length_name);
  return length == std::string_view::npos
             ? bytes.ends_with("\r\n0\r\n\r\n")
             : bytes.size() ==
                   head_end + 4 + std::stoul(std::string(bytes.substr(length + length_name.size(), 20)));
}

} // namespace

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
  time_point m_paused_until;
  bool m_reads_answers = false; // from the first call of set_late_copies() on
  double m_copied_share = 0;
  std::uint64_t m_late_copies = 0;
  std::mt19937_64 m_random;

private:
  using socket_ptr = std::shared_ptr<tcp::socket>;

  // The answers on one connection.
  struct answer_stream {
    boost::fibers::mutex m_mutex; // held while a whole answer or a copy is written
    std::string m_answer;         // what has been forwarded of it
    std::string m_copy;           // sent with the next answer
  };

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
    net::fiber_runtime::spawn([self = shared_from_this(), client, server] {
      self->forward(server, client, std::make_shared<answer_stream>());
    });
    forward(client, server, nullptr);
  }

  // Sends the copy of an answer late, or keeps it for the next answer.
  void plan_copy(const socket_ptr& to, const std::shared_ptr<answer_stream>& answers) {
    if (std::generate_canonical<double, 16>(m_random) >= m_copied_share) {
      return;
    }
    if (m_random() % 2 == 0) {
      answers->m_copy = answers->m_answer;
      return;
    }
    const milliseconds late(20 + m_random() % 381);
    net::fiber_runtime::spawn([self = shared_from_this(), to, answers, late, copy = answers->m_answer] {
      boost::this_fiber::sleep_for(late);
      self->wait_while_partitioned();
      const std::lock_guard lock(answers->m_mutex);
      net::io_wait wait;
      boost::asio::async_write(*to, boost::asio::buffer(copy), wait.handler());
      self->m_late_copies += wait.wait() ? 0U : 1U;
    });
  }

  // `answers` is null in the direction of requests.
  void forward(const socket_ptr& from, const socket_ptr& to, const std::shared_ptr<answer_stream>& answers) {
    std::array<char, 16384> buffer{};
    std::unique_lock<boost::fibers::mutex> lock;
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
      std::string_view piece(buffer.data(), read_wait.bytes());
      std::string with_copy;
      if (answers && m_reads_answers && (lock || piece.starts_with("HTTP/1.1 "))) {
        if (!lock) {
          lock = std::unique_lock(answers->m_mutex);
          with_copy = std::exchange(answers->m_copy, {});
          m_late_copies += with_copy.empty() ? 0U : 1U;
        }
        answers->m_answer += piece;
        piece = with_copy += piece;
      }
      net::io_wait write_wait;
      boost::asio::async_write(*to, boost::asio::buffer(piece), write_wait.handler());
      if (write_wait.wait()) {
        break;
      }
      if (lock && is_whole_answer(answers->m_answer)) {
        plan_copy(to, answers);
        answers->m_answer.clear();
        lock.unlock();
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

tcp_relay::tcp_relay(const std::string& target)
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

void tcp_relay::set_late_copies(double share, std::uint64_t seed) {
  m_impl->m_reads_answers = true;
  m_impl->m_copied_share = share;
  m_impl->m_random.seed(seed);
}

std::uint64_t tcp_relay::late_copies() const {
  return m_impl->m_late_copies;
}

} // namespace cardamompond::testing
