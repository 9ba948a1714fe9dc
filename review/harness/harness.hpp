// Stand-ins for the scripts of the review: the platform's store, plain engines and clients, in one process
// that starts the project's daemons as child processes. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
inline const steady::time_point start_time = steady::now();

inline double now_s() {
  return std::chrono::duration<double>(steady::now() - start_time).count();
}
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at_s) {
  if (const double left = at_s - now_s(); left > 0) {
    sleep_s(left);
  }
}

// Writes record.txt, one line for each event.
class recorder {
public:
  explicit recorder(const std::string& file)
      : m_out(file) {}
  void line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", now_s());
    m_out << time << text << '\n';
    m_out.flush();
  }

private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

// ---- HTTP over blocking sockets ----

struct message {
  std::string m_first_line;
  std::map<std::string, std::string> m_headers; // names in lower case
  std::string m_body;
  std::string header(const std::string& name) const {
    const auto found = m_headers.find(name);
    return found == m_headers.end() ? std::string() : found->second;
  }
  std::string method() const { return m_first_line.substr(0, m_first_line.find(' ')); }
  std::string target() const {
    const auto begin = m_first_line.find(' ') + 1;
    return m_first_line.substr(begin, m_first_line.find(' ', begin) - begin);
  }
  int status() const { return std::atoi(m_first_line.substr(m_first_line.find(' ') + 1).c_str()); }
};

// Waits for input until the deadline. Returns false if none came.
inline bool wait_input(int fd, double until_s) {
  const double left = until_s - now_s();
  pollfd one{fd, POLLIN, 0};
  return ::poll(&one, 1, left <= 0 ? 0 : static_cast<int>(left * 1000) + 1) > 0;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto part = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (part <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(part);
  }
  return true;
}

// Reads one message with a length or in chunks. Returns false if the connection ended or the deadline passed.
inline bool read_message(int fd, std::string& buffer, message& into, double until_s, bool is_response) {
  const auto more = [&] {
    char bytes[8192];
    if (!wait_input(fd, until_s)) {
      return false;
    }
    const auto got = ::recv(fd, bytes, sizeof bytes, 0);
    if (got <= 0) {
      return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t head_end;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  into = {};
  std::istringstream head(buffer.substr(0, head_end));
  std::getline(head, into.m_first_line);
  if (!into.m_first_line.empty() && into.m_first_line.back() == '\r') {
    into.m_first_line.pop_back();
  }
  for (std::string text; std::getline(head, text);) {
    if (!text.empty() && text.back() == '\r') {
      text.pop_back();
    }
    const auto colon = text.find(':');
    std::string name = text.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto value = text.find_first_not_of(' ', colon + 1);
    into.m_headers[name] = value == std::string::npos ? "" : text.substr(value);
  }
  buffer.erase(0, head_end + 4);
  if (into.header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t line_end;
      while ((line_end = buffer.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return false;
        }
      }
      const auto size = std::strtoul(buffer.substr(0, line_end).c_str(), nullptr, 16);
      while (buffer.size() < line_end + 2 + size + 2) {
        if (!more()) {
          return false;
        }
      }
      into.m_body += buffer.substr(line_end + 2, size);
      buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const auto length = into.header("content-length");
  if (length.empty() && is_response) {
    while (more()) {
    }
    into.m_body = std::exchange(buffer, {});
    return true;
  }
  const auto size = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer.size() < size) {
    if (!more()) {
      return false;
    }
  }
  into.m_body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

inline sockaddr_in make_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline int connect_to(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = make_address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool is_free(const std::string& ip, int port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const auto address = make_address(ip, port);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

// Returns a port that is free at all of the addresses, for TCP and UDP, and that was not returned before.
inline int find_free_port(const std::vector<std::string>& ips) {
  static std::vector<int> returned;
  std::random_device random;
  for (int attempt = 0; attempt < 500; ++attempt) {
    const int port = 20000 + static_cast<int>(random() % 12000);
    const bool free = std::find(returned.begin(), returned.end(), port) == returned.end() &&
                      std::all_of(ips.begin(), ips.end(), [&](const std::string& ip) {
                        return is_free(ip, port, SOCK_STREAM) && is_free(ip, port, SOCK_DGRAM);
                      });
    if (free) {
      returned.push_back(port);
      return port;
    }
  }
  std::_Exit(2);
}

// A server that calls a handler for each request of each connection. The handler returns false to close the
// connection.
class server {
public:
  using handler = std::function<bool(int fd, const message& request)>;

  // `on_close` is called before a connection is closed, so that nothing is sent on its descriptor afterwards.
  server(const std::string& ip, int port, handler handle, std::function<void(int fd)> on_close = nullptr)
      : m_ip(ip)
      , m_handle(std::move(handle))
      , m_on_close(std::move(on_close)) {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = make_address(ip, port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(m_listener, 256) != 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread([this] { accept_all(); }).detach();
  }

  std::string address() const { return m_ip + ":" + std::to_string(m_port); }

  // Closes the listening socket and all connections, as the end of a process does.
  void stop() {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    for (const int fd : m_connections) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

private:
  void accept_all() {
    while (true) {
      const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
          ::close(fd);
          return;
        }
        m_connections.push_back(fd);
      }
      std::thread([this, fd] {
        std::string buffer;
        message request;
        while (read_message(fd, buffer, request, now_s() + 600, false) && m_handle(fd, request)) {
        }
        if (m_on_close) {
          m_on_close(fd);
        }
        const std::lock_guard lock(m_mutex);
        std::erase(m_connections, fd);
        ::close(fd);
      }).detach();
    }
  }

  std::string m_ip;
  handler m_handle;
  std::function<void(int)> m_on_close;
  int m_listener = -1;
  int m_port = 0;
  std::mutex m_mutex;
  bool m_stopped = false;
  std::vector<int> m_connections;
};

inline std::string make_response(int status, const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ----

// Objects by kind and name, one revision counter, watches. Only what the daemons use.
class store {
public:
  explicit store(const std::string& ip)
      : m_server(ip, 0, [this](int fd, const message& request) { return handle(fd, request); }) {}

  std::string address() const { return m_server.address(); }

  // Creates or replaces the spec of an object, given as JSON text. Returns when the change is acknowledged.
  void put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(m_mutex);
    put_locked(kind, name, spec);
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    remove_locked(kind, name);
  }
  // Whether the store still answers, and the names of a kind.
  std::size_t count(const std::string& kind) {
    const std::lock_guard lock(m_mutex);
    return m_objects[kind].size();
  }

private:
  struct object {
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    std::string m_spec;
    std::string m_status = "null";
  };
  struct change {
    std::uint64_t m_revision;
    std::string m_kind;
    std::string m_text;
    bool m_removed;
  };

  static std::string to_text(const std::string& name, const object& from) {
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(from.m_revision) +
           ",\"created\":" + std::to_string(from.m_created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + from.m_spec + ",\"status\":" + from.m_status +
           "}";
  }
  void record(const std::string& kind, const std::string& name, const object& from, bool removed) {
    m_changes.push_back({m_revision, kind, to_text(name, from), removed});
    m_changed.notify_all();
  }
  void put_locked(const std::string& kind, const std::string& name, const std::string& spec) {
    object& found = m_objects[kind][name];
    if (found.m_spec == spec) {
      return;
    }
    found.m_revision = ++m_revision;
    found.m_created = found.m_created == 0 ? m_revision : found.m_created;
    found.m_spec = spec;
    record(kind, name, found, false);
  }
  bool remove_locked(const std::string& kind, const std::string& name) {
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
      return false;
    }
    found->second.m_revision = ++m_revision;
    record(kind, name, found->second, true);
    m_objects[kind].erase(found);
    return true;
  }

  static std::uint64_t query_number(const std::string& target, const std::string& key, bool& present) {
    const auto at = target.find(key + "=");
    present = at != std::string::npos;
    return present ? std::strtoull(target.c_str() + at + key.size() + 1, nullptr, 10) : 0;
  }

  // Returns the text of a member of a JSON object that holds an object or a string.
  static std::string member_text(const std::string& body, const std::string& key) {
    auto at = body.find("\"" + key + "\":");
    if (at == std::string::npos) {
      return {};
    }
    at += key.size() + 3;
    if (body[at] == '"') {
      return body.substr(at + 1, body.find('"', at + 1) - at - 1);
    }
    int depth = 0;
    for (auto end = at; end < body.size(); ++end) {
      depth += body[end] == '{' ? 1 : body[end] == '}' ? -1 : 0;
      if (depth == 0) {
        return body.substr(at, end + 1 - at);
      }
    }
    return {};
  }

  bool handle(int fd, const message& request) {
    const std::string json = "Content-Type: application/json\r\n";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string prefix = "/objects/";
    const std::string rest = path.substr(std::min(path.size(), prefix.size()));
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
    std::unique_lock lock(m_mutex);
    std::string body;
    int status = 200;
    if (request.method() == "GET" && name.empty()) {
      bool watching = false;
      bool waits = false;
      const auto after = query_number(target, "watch", watching);
      const auto wait_ms = query_number(target, "wait_ms", waits);
      if (watching) {
        const auto find_events = [&] {
          std::string events;
          for (const auto& each : m_changes) {
            if (each.m_revision > after && each.m_kind == kind) {
              events += (events.empty() ? "" : ",") + ("{\"object\":" + each.m_text) +
                        ",\"removed\":" + (each.m_removed ? "true" : "false") + "}";
            }
          }
          return events;
        };
        std::string events;
        m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                           [&] { return !(events = find_events()).empty(); });
        body = "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}";
      } else {
        for (const auto& [each, found] : m_objects[kind]) {
          body += (body.empty() ? "" : ",") + to_text(each, found);
        }
        body = "{\"items\":[" + body + "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}";
      }
    } else if (request.method() == "POST") {
      const std::string created = member_text(request.m_body, "name");
      if (m_objects[kind].contains(created)) {
        status = 409;
      } else {
        put_locked(kind, created, member_text(request.m_body, "spec"));
        status = 201;
      }
      body = to_text(created, m_objects[kind][created]);
    } else if (request.method() == "DELETE") {
      status = remove_locked(kind, name) ? 200 : 404;
    } else {
      status = 404;
    }
    lock.unlock();
    return send_all(fd, make_response(status, body, json));
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_revision = 1;
  std::map<std::string, std::map<std::string, object>> m_objects;
  std::vector<change> m_changes;
  server m_server;
};

// ---- daemons ----

class daemon_process {
public:
  daemon_process(std::string program, std::string settings, std::string log)
      : m_program(std::move(program))
      , m_settings(std::move(settings))
      , m_log(std::move(log)) {}
  ~daemon_process() { stop(SIGKILL); }

  void start() {
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process, also when that is killed
      const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl(m_program.c_str(), m_program.c_str(), "--settings", m_settings.c_str(), nullptr);
      ::_exit(127);
    }
  }
  void signal(int number) {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  void stop(int number) {
    if (m_pid > 0) {
      ::kill(m_pid, number);
      ::waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  // Whether the process has ended by itself.
  bool ended() {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid < 0;
  }
  pid_t pid() const { return m_pid; }

private:
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

struct host {
  std::string m_name;
  std::string m_zone;
  std::string m_ip;
};

// Fills in deploy/settings.toml.template for one host.
inline std::string make_settings(const host& self, const std::vector<std::string>& seeds, int callers_port,
                                 int admin_port, int metrics_port, int exchange_port,
                                 const std::string& store_address) {
  std::string seed_list;
  for (const auto& ip : seeds) {
    seed_list += (seed_list.empty() ? "\"" : ", \"") + ip + ":" + std::to_string(exchange_port) + "\"";
  }
  const auto at = [&](int port) { return "\"" + self.m_ip + ":" + std::to_string(port) + "\"\n"; };
  return "scheduling = \"local\"\nname = \"" + self.m_name + "\"\navailability_zone = \"" + self.m_zone +
         "\"\n\n[listen]\ncallers = " + at(callers_port) + "admin = " + at(admin_port) +
         "metrics = " + at(metrics_port) + "exchange = " + at(exchange_port) + "\n[store]\naddress = \"" +
         store_address + "\"\n\n[group]\nseeds = [" + seed_list +
         "]\nretry_ratio = 0.2\nretry_fixed = 56\nretry_window_s = 10\n\n[drain]\ntime_s = 8\n\n[log]\nlevel "
         "= "
         "\"info\"\n";
}

inline int get_status(const std::string& ip, int port, const std::string& path, double timeout_s) {
  const int fd = connect_to(ip, port);
  if (fd < 0) {
    return 0;
  }
  std::string buffer;
  message response;
  const bool done =
      send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nConnection: close\r\n\r\n") &&
      read_message(fd, buffer, response, now_s() + timeout_s, true);
  ::close(fd);
  return done ? response.status() : 0;
}

} // namespace review
