#pragma once

// Engines that crash and come back, and clients of streams, for the cases of the second review.

#include "standins.hpp"

#include <algorithm>
#include <memory>
#include <set>

namespace review {

constexpr int chunk_interval_ms = 40;

inline std::string chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// One engine at one address, in one process after the other.
class engine {
public:
  // Serves one request after its instance was checked. Returns false to close the connection.
  using handler = std::function<bool(engine&, int fd, const message& request)>;

  struct options {
    std::string m_service;
    std::string m_zone = "zone-a";
    int m_slots = 12;
    int m_down_ms = 3'000;   // from a crash to the next start
    bool m_keeps_id = false; // starts again under the id that it had
  };

  engine(store& platform, record& out, std::string name, int port, options wanted, handler serve_request)
      : m_platform(platform)
      , m_out(out)
      , m_name(std::move(name))
      , m_port(port)
      , m_options(std::move(wanted))
      , m_handler(std::move(serve_request)) {
    start();
  }

  // Ends the process as a crash does: the kernel closes its sockets. It starts again after some time. Returns
  // false if the process has ended already.
  bool crash() {
    const std::lock_guard lock(m_mutex);
    if (m_listener < 0) {
      return false;
    }
    m_out.line("engine %s crashes", m_id.c_str());
    ++m_crashes;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    m_listener = -1;
    ++m_incarnation;
    for (const int fd : m_connections) {
      ::shutdown(fd, SHUT_RDWR);
    }
    m_connections.clear();
    std::thread([this, old_id = m_id] {
      sleep_ms(m_options.m_down_ms);
      start();
      if (old_id != id()) {
        sleep_ms(std::max(0, 3'600 - m_options.m_down_ms)); // three heartbeat intervals after the last one
        m_platform.remove("servers", old_id);
      }
    }).detach();
    return true;
  }

  std::string id() {
    const std::lock_guard lock(m_mutex);
    return m_id;
  }
  bool is_up() {
    const std::lock_guard lock(m_mutex);
    return m_listener >= 0;
  }
  int crashes() const { return m_crashes; }

private:
  void start() {
    const std::lock_guard lock(m_mutex);
    m_listener = listen_at("127.0.0.1", m_port);
    m_id = m_options.m_keeps_id ? m_name : m_name + "-" + std::to_string(m_incarnation);
    const auto born =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    m_platform.put("servers", m_id,
                   "{\"service\":\"" + m_options.m_service + "\",\"address\":\"127.0.0.1:" +
                       std::to_string(m_port) + "\",\"zone\":\"" + m_options.m_zone +
                       "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_options.m_slots) +
                       ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" +
                       std::to_string(born.count()) + "}");
    if (m_incarnation > 0) {
      m_out.line("engine %s has started again", m_id.c_str());
    }
    std::thread([this, listener = m_listener, incarnation = m_incarnation] {
      accept(listener, incarnation);
    }).detach();
  }

  void accept(int listener, int incarnation) {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(m_mutex);
        if (incarnation != m_incarnation) {
          ::close(fd);
          return;
        }
        m_connections.insert(fd);
      }
      std::thread([this, fd, incarnation] {
        serve(fd, incarnation);
        {
          const std::lock_guard lock(m_mutex);
          if (incarnation == m_incarnation) {
            m_connections.erase(fd);
          }
        }
        ::close(fd);
      }).detach();
    }
  }

  void serve(int fd, int incarnation) {
    reader requests(fd);
    while (const auto request = requests.read(60'000, false)) {
      std::string own_id;
      {
        const std::lock_guard lock(m_mutex);
        if (incarnation != m_incarnation) {
          return;
        }
        own_id = m_id;
      }
      const std::string echoed =
          "X-Cardamompond-Request-Id: " + request->header("X-Cardamompond-Request-Id") + "\r\n";
      if (request->target() == "/hold-take") {
        if (!send_all(fd, response(200, "Content-Type: application/json\r\n", "{\"hold\":\"h-1\"}"))) {
          return;
        }
        continue;
      }
      if (request->header("X-Cardamompond-Expect-Instance") != own_id) {
        if (!send_all(fd, response(421, echoed + "X-Cardamompond-Instance-Id: " + own_id + "\r\n", ""))) {
          return;
        }
        continue;
      }
      if (!m_handler(*this, fd, *request)) {
        return;
      }
    }
  }

  store& m_platform;
  record& m_out;
  std::string m_name;
  int m_port;
  options m_options;
  handler m_handler;
  std::mutex m_mutex;
  std::string m_id;
  int m_listener = -1;
  int m_incarnation = 0;
  std::set<int> m_connections;
  std::atomic<int> m_crashes{0};
};

inline std::string stream_head(const message& request) {
  return "HTTP/1.1 200 OK\r\nX-Cardamompond-Request-Id: " + request.header("X-Cardamompond-Request-Id") +
         "\r\nX-Cardamompond-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

// Writes a stream of that many events and its end. Returns false if the connection has ended.
inline bool write_stream(int fd, const message& request, int events) {
  if (!send_all(fd, stream_head(request))) {
    return false;
  }
  for (int i = 1; i <= events; ++i) {
    if (!send_all(fd, chunk(event(i)))) {
      return false;
    }
    sleep_ms(chunk_interval_ms);
  }
  return send_all(fd, "0\r\n\r\n");
}

struct answer {
  int m_status = 0; // 0: the connection ended without an answer
  bool m_complete = false;
  int m_events = 0;
  std::string m_retry_after;
};

// Sends one request on a new connection, as a client's attempt, and reads its answer.
inline answer ask(const std::string& ip, int port, const std::string& request, int timeout_ms) {
  answer result;
  const int fd = connect_to(ip, port, 1'000);
  if (fd < 0) {
    return result;
  }
  send_all(fd, request);
  reader answers(fd);
  if (const auto read = answers.read(timeout_ms, true)) {
    result.m_status = read->status();
    result.m_complete = read->m_complete;
    result.m_retry_after = read->header("Retry-After");
    for (std::size_t at = 0; (at = read->m_body.find("\n\n", at)) != std::string::npos; at += 2) {
      ++result.m_events;
    }
  }
  ::close(fd);
  return result;
}

} // namespace review
