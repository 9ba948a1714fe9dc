#include "cardamompond/testing/hostile_crowd.hpp"

#include "cardamompond/core/time.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamompond::testing {
namespace {

// The crowd has finished when no client could send anything for this long.
constexpr milliseconds stalled_time{1'500};

sockaddr_in parse_socket_address(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
    throw std::runtime_error("invalid address " + address);
  }
  return parsed;
}

} // namespace

process_usage read_process_usage(pid_t pid) {
  constexpr std::size_t kib = 1024;
  process_usage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      usage.m_peak_bytes = std::stoul(line.substr(line.find_first_of("0123456789"))) * kib;
    }
  }
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder + "/fd", error)) {
    usage.m_descriptors += entry.path().empty() ? 0 : 1;
  }
  return usage;
}

hostile_crowd::datagram_sender::datagram_sender(const std::string& address)
    : m_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in target = parse_socket_address(address);
  ::connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

hostile_crowd::datagram_sender::~datagram_sender() {
  ::close(m_socket);
}

void hostile_crowd::datagram_sender::send(std::string_view bytes) const {
  if (::send(m_socket, bytes.data(), bytes.size(), 0) < 0 && errno != ECONNREFUSED) {
    throw std::runtime_error("a datagram could not be sent");
  }
}

hostile_crowd::hostile_crowd(const std::string& address, std::size_t count, bool reads)
    : m_reads(reads)
    , m_clients(count) {
  const sockaddr_in target = parse_socket_address(address);
  for (auto& each : m_clients) {
    each.m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(each.m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    boost::this_fiber::yield();
  }
}

hostile_crowd::~hostile_crowd() {
  for (const auto& each : m_clients) {
    if (each.m_socket >= 0) {
      ::close(each.m_socket);
    }
  }
}

bool hostile_crowd::send_piece(client& sender, std::string_view bytes, std::size_t piece_bytes) const {
  std::array<char, 4096> discard{};
  const auto received =
      ::recv(sender.m_socket, discard.data(), discard.size(), MSG_DONTWAIT | (m_reads ? 0 : MSG_PEEK));
  const auto is_temporary = [] { return errno == EAGAIN || errno == EINTR || errno == ENOTCONN; };
  bool closed = received == 0 || (received < 0 && !is_temporary());
  ssize_t sent = 0;
  if (!closed && sender.m_sent < bytes.size()) {
    const auto piece = bytes.substr(sender.m_sent, piece_bytes);
    sent = ::send(sender.m_socket, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    closed = sent < 0 && !is_temporary();
    sender.m_sent += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
  }
  if (closed) {
    ::close(sender.m_socket);
    sender.m_socket = -1;
  }
  return sent > 0;
}

void hostile_crowd::send(std::string_view bytes, std::size_t piece_bytes) {
  for (auto& each : m_clients) {
    each.m_sent = 0;
  }
  time_point progress_at = monotonic_now();
  bool unsent = true;
  while (unsent && monotonic_now() - progress_at < stalled_time) {
    unsent = false;
    for (auto& each : m_clients) {
      if (each.m_socket >= 0 && send_piece(each, bytes, piece_bytes)) {
        progress_at = monotonic_now();
      }
      unsent = unsent || (each.m_socket >= 0 && each.m_sent < bytes.size());
    }
    boost::this_fiber::sleep_for(milliseconds(1));
  }
  // The server has read what arrived when it has been idle for a moment, or has closed connections.
  const time_point until = monotonic_now() + stalled_time;
  while (monotonic_now() < until) {
    for (auto& each : m_clients) {
      if (each.m_socket >= 0) {
        send_piece(each, {}, 0);
      }
    }
    boost::this_fiber::sleep_for(milliseconds(10));
  }
}

std::size_t hostile_crowd::open_count() const {
  return static_cast<std::size_t>(std::count_if(m_clients.begin(), m_clients.end(),
                                                [](const client& each) { return each.m_socket >= 0; }));
}

std::string make_incomplete_request(std::string_view head, std::size_t body_bytes) {
  std::string text(head);
  text += "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  return text.append(body_bytes - 1, 'x');
}

std::string make_incomplete_chunked_request(std::string_view head, std::size_t body_bytes,
                                            std::size_t chunk_bytes) {
  std::string text(head);
  text += "Transfer-Encoding: chunked\r\n\r\n";
  std::array<char, 24> size_line{};
  for (std::size_t sent = 0; sent < body_bytes; sent += chunk_bytes) {
    const std::size_t size = std::min(chunk_bytes, body_bytes - sent);
    std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", size);
    text.append(size_line.data()).append(size, 'x').append("\r\n");
  }
  constexpr std::size_t chunk_end_bytes = 2;
  text.resize(text.size() - chunk_end_bytes - 1);
  return text;
}

} // namespace cardamompond::testing
