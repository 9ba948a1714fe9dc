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
#include <cstring>
#include <filesystem>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

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

// Returns the inodes of the sockets of a process, by which Linux names them.
std::set<std::uint32_t> socket_inodes(pid_t process) {
  std::set<std::uint32_t> inodes;
  std::error_code error;
  for (const auto& each :
       std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error)) {
    const std::string target = std::filesystem::read_symlink(each.path(), error).string();
    constexpr std::string_view prefix = "socket:[";
    if (!error && target.starts_with(prefix)) {
      inodes.insert(static_cast<std::uint32_t>(std::stoul(target.substr(prefix.size()))));
    }
  }
  return inodes;
}

// Returns the inode of the socket at the other end of a loopback connection, or 0. Asks the kernel for this
// one connection, because listing those of the whole machine takes long if there are many.
std::uint32_t client_inode(const tcp::socket& accepted) {
  boost::system::error_code error;
  const auto client = accepted.remote_endpoint(error);
  const auto server = accepted.local_endpoint(error);
  const int netlink = error ? -1 : ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (netlink < 0) {
    return 0;
  }
  struct {
    nlmsghdr m_header{};
    inet_diag_req_v2 m_query{};
  } request;
  request.m_header.nlmsg_len = sizeof request;
  request.m_header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.m_header.nlmsg_flags = NLM_F_REQUEST;
  request.m_query.sdiag_family = AF_INET;
  request.m_query.sdiag_protocol = IPPROTO_TCP;
  request.m_query.idiag_states = ~0U;
  request.m_query.id.idiag_sport = htons(client.port());
  request.m_query.id.idiag_dport = htons(server.port());
  request.m_query.id.idiag_src[0] = htonl(client.address().to_v4().to_uint());
  request.m_query.id.idiag_dst[0] = htonl(server.address().to_v4().to_uint());
  request.m_query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.m_query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  alignas(nlmsghdr) std::array<char, 1024> answer{};
  std::uint32_t inode = 0;
  if (::send(netlink, &request, sizeof request, 0) == static_cast<ssize_t>(sizeof request)) {
    const auto length = ::recv(netlink, answer.data(), answer.size(), 0); // the kernel answers at once
    nlmsghdr header{};
    inet_diag_msg found{};
    if (length >= static_cast<ssize_t>(NLMSG_HDRLEN + sizeof found)) {
      std::memcpy(&header, answer.data(), sizeof header);
      std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof found);
      inode = header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? found.idiag_inode : 0;
    }
  }
  ::close(netlink);
  return inode;
}

bool is_client(const tcp::socket& accepted, pid_t process) {
  return socket_inodes(process).contains(client_inode(accepted));
}

void reset_connection(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
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
      const std::uint16_t port = client->remote_endpoint().port();
      if (m_partition != partition_kind::none && is_client(*client, m_partitioned_process)) {
        m_partitioned_ports.insert(port);
        if (m_partition != partition_kind::hang) {
          reset_connection(*client);
          continue;
        }
      }
      net::fiber_runtime::spawn([self = shared_from_this(), client, port] { self->serve(client, port); });
    }
  }

  void close_all() {
    for (const auto& socket : m_sockets) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  }

  void partition_process(pid_t process, partition_kind kind) {
    m_partition = kind;
    m_partitioned_process = process;
    m_partitioned_ports.clear();
    if (kind == partition_kind::none) {
      return;
    }
    const auto inodes = socket_inodes(process);
    for (const auto& socket : m_sockets) {
      boost::system::error_code error;
      const auto remote = socket->remote_endpoint(error);
      if (!error && inodes.contains(client_inode(*socket))) {
        m_partitioned_ports.insert(remote.port());
        if (kind == partition_kind::reset) {
          reset_connection(*socket);
        }
      }
    }
  }

  tcp::endpoint m_target;
  tcp::acceptor m_acceptor;
  std::string m_address;
  bool m_partitioned = false;
  bool m_refusing = false;
  partition_kind m_partition = partition_kind::none;
  pid_t m_partitioned_process = 0;
  std::set<std::uint16_t> m_partitioned_ports; // of clients
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

  void serve(const socket_ptr& client, std::uint16_t port) {
    m_sockets.insert(client);
    wait_while_partitioned(port);
    auto server = std::make_shared<tcp::socket>(test_runtime().context());
    net::io_wait wait;
    server->async_connect(m_target, wait.handler());
    if (wait.wait()) {
      m_sockets.erase(client);
      return;
    }
    m_sockets.insert(server);
    net::fiber_runtime::spawn([self = shared_from_this(), client, server, port] {
      self->forward(server, client, port, std::make_shared<answer_stream>());
    });
    forward(client, server, port, nullptr);
  }

  // Sends the copy of an answer late, or keeps it for the next answer.
  void plan_copy(const socket_ptr& to, std::uint16_t port, const std::shared_ptr<answer_stream>& answers) {
    if (std::generate_canonical<double, 16>(m_random) >= m_copied_share) {
      return;
    }
    if (m_random() % 2 == 0) {
      answers->m_copy = answers->m_answer;
      return;
    }
    const milliseconds late(20 + m_random() % 381);
    net::fiber_runtime::spawn([self = shared_from_this(), to, port, answers, late, copy = answers->m_answer] {
      boost::this_fiber::sleep_for(late);
      self->wait_while_partitioned(port);
      const std::lock_guard lock(answers->m_mutex);
      net::io_wait wait;
      boost::asio::async_write(*to, boost::asio::buffer(copy), wait.handler());
      self->m_late_copies += wait.wait() ? 0U : 1U;
    });
  }

  // `answers` is null in the direction of requests.
  void forward(const socket_ptr& from, const socket_ptr& to, std::uint16_t port,
               const std::shared_ptr<answer_stream>& answers) {
    std::array<char, 16384> buffer{};
    std::unique_lock<boost::fibers::mutex> lock;
    while (true) {
      net::io_wait read_wait;
      from->async_read_some(boost::asio::buffer(buffer), read_wait.handler());
      if (read_wait.wait()) {
        break;
      }
      wait_while_partitioned(port);
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
        plan_copy(to, port, answers);
        answers->m_answer.clear();
        lock.unlock();
      }
    }
    wait_while_partitioned(port); // a partition also hides that one side has closed its connection
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
    m_sockets.erase(from);
  }

  void wait_while_partitioned(std::uint16_t port) const {
    const auto is_cut = [&] {
      return m_partition == partition_kind::hang && m_partitioned_ports.contains(port);
    };
    while (m_partitioned || is_cut() || monotonic_now() < m_paused_until) {
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
  m_impl->m_partition = partition_kind::none;
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

void tcp_relay::partition_process(pid_t process, partition_kind kind) {
  m_impl->partition_process(process, kind);
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
