// Stand-ins for the cases of the third review: the platform's store, engines, clients, and the daemon as a
// separate process. Everything listens on loopback addresses and runs on the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

inline const clock::time_point process_start = clock::now();

inline long now_ms() {
  return std::chrono::duration_cast<milliseconds>(clock::now() - process_start).count();
}

inline void sleep_ms(long ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

inline bool trouble_enabled() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// Writes what was sent, answered and run to the record file, one line each with the time in ms.
class record_file {
public:
  static record_file& instance() {
    static record_file file;
    return file;
  }
  void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }
  void write(const char* format, va_list arguments) {
    const std::lock_guard lock(m_mutex);
    if (m_file == nullptr) {
      return;
    }
    std::fprintf(m_file, "%7ld ", now_ms());
    std::vfprintf(m_file, format, arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file = nullptr;
};

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  va_list arguments;
  va_start(arguments, format);
  record_file::instance().write(format, arguments);
  va_end(arguments);
}

// Ends the process with a verdict. Child processes and the temporary folder are removed by `cleanup`.
inline std::function<void()>& cleanup() {
  static std::function<void()> function = [] {};
  return function;
}

[[noreturn]] inline void finish(int code, const std::string& reason) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  const char* verdict = code == exit_held ? "HELD" : code == exit_broken ? "BROKEN" : "COULD NOT RUN";
  record("%s: %s", verdict, reason.c_str());
  std::printf("%s: %s\n", verdict, reason.c_str());
  std::fflush(stdout);
  cleanup()();
  std::_Exit(code);
}

// ---------------------------------------------------------------------------------------------- sockets

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Returns a listening socket on a loopback port; 0 picks a free one.
inline int listen_on(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    finish(exit_not_run, std::string("cannot listen: ") + std::strerror(errno));
  }
  return fd;
}

inline std::uint16_t port_of(int fd) {
  sockaddr_in address{};
  socklen_t length = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

// Whether nothing is bound to the port.
inline bool is_free(std::uint16_t port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return bound;
}

// Returns a port that is free for TCP and UDP, below those that the kernel gives to connections.
inline std::uint16_t free_port() {
  constexpr int first = 20'000;
  constexpr int count = 12'000;
  static int next = static_cast<int>(::getpid()) * 61 % count;
  while (true) {
    const auto port = static_cast<std::uint16_t>(first + next++ % count);
    if (is_free(port, SOCK_STREAM) && is_free(port, SOCK_DGRAM)) {
      return port;
    }
  }
}

inline std::string address_of(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      if (sent < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// ------------------------------------------------------------------------------------------------- HTTP

using headers = std::vector<std::pair<std::string, std::string>>;

inline const std::string* find_header(const headers& all, const char* name) {
  for (const auto& [key, value] : all) {
    if (::strcasecmp(key.c_str(), name) == 0) {
      return &value;
    }
  }
  return nullptr;
}

enum class read_end { complete, closed, reset, timed_out, malformed };

inline const char* to_string(read_end end) {
  constexpr const char* names[] = {"complete", "closed", "reset", "timed_out", "malformed"};
  return names[static_cast<int>(end)];
}

// Reads HTTP messages from a socket.
class http_reader {
public:
  explicit http_reader(int fd)
      : m_fd(fd) {}

  void set_deadline(long ms) { m_deadline = ms; }

  bool has_buffered() const { return !m_buffer.empty(); }

  read_end read_head(std::string& first_line, headers& all) {
    all.clear();
    while (true) {
      const auto end = m_buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, first_line);
        trim_end(first_line);
        while (std::getline(lines, line)) {
          trim_end(line);
          const auto colon = line.find(':');
          if (colon == std::string::npos) {
            return read_end::malformed;
          }
          auto begin = line.find_first_not_of(' ', colon + 1);
          begin = begin == std::string::npos ? line.size() : begin;
          all.emplace_back(line.substr(0, colon), line.substr(begin));
        }
        return read_end::complete;
      }
      if (const read_end end_of_input = fill(); end_of_input != read_end::complete) {
        return end_of_input;
      }
    }
  }

  // Reads a body by its length or chunks, or to the end of the connection if `until_close`. Calls `on_data`
  // for each part.
  read_end read_body(const headers& all, bool until_close,
                     const std::function<void(std::string_view)>& on_data) {
    const auto* encoding = find_header(all, "Transfer-Encoding");
    if (encoding != nullptr && ::strcasecmp(encoding->c_str(), "chunked") == 0) {
      return read_chunks(on_data);
    }
    if (const auto* length = find_header(all, "Content-Length")) {
      return read_bytes(std::strtoull(length->c_str(), nullptr, 10), on_data);
    }
    if (!until_close) {
      return read_end::complete;
    }
    while (true) {
      if (!m_buffer.empty()) {
        on_data(m_buffer);
        m_buffer.clear();
      }
      if (const read_end end = fill(); end != read_end::complete) {
        return end == read_end::closed ? read_end::complete : end;
      }
    }
  }

private:
  static void trim_end(std::string& line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.pop_back();
    }
  }

  read_end fill() {
    while (true) {
      pollfd waited{m_fd, POLLIN, 0};
      const long left = m_deadline < 0 ? 1'000 : m_deadline - now_ms();
      if (m_deadline >= 0 && left <= 0) {
        return read_end::timed_out;
      }
      if (::poll(&waited, 1, static_cast<int>(std::min(left, 1'000L))) <= 0) {
        continue;
      }
      char bytes[16'384];
      const ssize_t count = ::recv(m_fd, bytes, sizeof bytes, 0);
      if (count == 0) {
        return read_end::closed;
      }
      if (count < 0) {
        return read_end::reset;
      }
      m_buffer.append(bytes, static_cast<std::size_t>(count));
      return read_end::complete;
    }
  }

  read_end read_bytes(std::size_t count, const std::function<void(std::string_view)>& on_data) {
    while (count > 0) {
      if (m_buffer.empty()) {
        if (const read_end end = fill(); end != read_end::complete) {
          return end;
        }
      }
      const std::size_t part = std::min(count, m_buffer.size());
      on_data(std::string_view(m_buffer).substr(0, part));
      m_buffer.erase(0, part);
      count -= part;
    }
    return read_end::complete;
  }

  read_end read_chunks(const std::function<void(std::string_view)>& on_data) {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos) {
        if (const read_end end = fill(); end != read_end::complete) {
          return end;
        }
      }
      const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
      m_buffer.erase(0, line_end + 2);
      if (const read_end end = read_bytes(size, on_data); end != read_end::complete) {
        return end;
      }
      while (m_buffer.size() < 2) {
        if (const read_end end = fill(); end != read_end::complete) {
          return end;
        }
      }
      if (m_buffer.compare(0, 2, "\r\n") != 0) {
        return read_end::malformed;
      }
      m_buffer.erase(0, 2);
      if (size == 0) {
        return read_end::complete;
      }
    }
  }

  int m_fd;
  long m_deadline = -1;
  std::string m_buffer;
};

struct request {
  std::string m_method;
  std::string m_target;
  headers m_headers;
  std::string m_body;

  std::string header(const char* name) const {
    const auto* value = find_header(m_headers, name);
    return value == nullptr ? std::string() : *value;
  }
  std::string path() const { return m_target.substr(0, m_target.find('?')); }
  std::string query(const std::string& name) const {
    const auto mark = m_target.find('?');
    std::istringstream pairs(mark == std::string::npos ? "" : m_target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        return pair.substr(name.size() + 1);
      }
    }
    return {};
  }
};

// Accepts connections and serves each on its own thread. The handler gets one request after the other and
// returns whether the connection stays open.
class http_listener {
public:
  using handler = std::function<bool(int fd, const request&)>;

  explicit http_listener(handler serve)
      : m_serve(std::move(serve))
      , m_fd(listen_on(0))
      , m_port(port_of(m_fd)) {
    start();
  }

  std::uint16_t port() const { return m_port; }

  // Stops listening and resets all connections, as a server that has gone. New connections are refused.
  void go_down() {
    const std::lock_guard lock(m_mutex);
    m_down = true;
    ::shutdown(m_fd, SHUT_RDWR);
    for (const int fd : m_open) {
      const linger hard{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::shutdown(fd, SHUT_RDWR);
    }
  }

  // Listens again at the same address.
  void come_back() {
    {
      const std::lock_guard lock(m_mutex);
      m_down = false;
      m_fd = listen_on(m_port);
    }
    start();
  }

private:
  void start() {
    std::thread([this, listener = m_fd] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          const std::lock_guard lock(m_mutex);
          if (m_down || listener != m_fd) {
            ::close(listener);
            return;
          }
          continue;
        }
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
          const std::lock_guard lock(m_mutex);
          m_open.insert(fd);
        }
        std::thread([this, fd] { serve_connection(fd); }).detach();
      }
    }).detach();
  }

  void serve_connection(int fd) {
    http_reader reader(fd);
    while (true) {
      request message;
      std::string first_line;
      if (reader.read_head(first_line, message.m_headers) != read_end::complete) {
        break;
      }
      std::istringstream words(first_line);
      words >> message.m_method >> message.m_target;
      const auto append = [&](std::string_view part) { message.m_body += part; };
      if (reader.read_body(message.m_headers, false, append) != read_end::complete || !m_serve(fd, message)) {
        break;
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      m_open.erase(fd);
    }
    ::close(fd);
  }

  handler m_serve;
  std::mutex m_mutex;
  std::set<int> m_open;
  int m_fd;
  std::uint16_t m_port;
  bool m_down = false;
};

struct answer {
  int m_status = 0;
  headers m_headers;
  std::string m_body;
  read_end m_end = read_end::closed;
  long m_sent_at = 0;
  long m_ended_at = 0;

  bool complete() const { return m_end == read_end::complete; }
  std::string header(const char* name) const {
    const auto* value = find_header(m_headers, name);
    return value == nullptr ? std::string() : *value;
  }
};

inline answer read_answer(http_reader& reader) {
  answer received;
  std::string first_line;
  received.m_end = reader.read_head(first_line, received.m_headers);
  if (received.m_end == read_end::complete) {
    if (first_line.rfind("HTTP/1.1 ", 0) != 0) {
      received.m_end = read_end::malformed;
    } else {
      received.m_status = std::atoi(first_line.c_str() + 9);
      received.m_end =
          reader.read_body(received.m_headers, true, [&](std::string_view part) { received.m_body += part; });
    }
  }
  received.m_ended_at = now_ms();
  return received;
}

// Sends one request on a new connection and reads the answer.
inline answer call(std::uint16_t port, const std::string& bytes, long timeout_ms) {
  answer received;
  received.m_sent_at = now_ms();
  const int fd = connect_to(port);
  if (fd < 0) {
    received.m_end = read_end::reset;
    received.m_ended_at = now_ms();
    return received;
  }
  const long sent_at = now_ms();
  send_all(fd, bytes);
  http_reader reader(fd);
  reader.set_deadline(sent_at + timeout_ms);
  received = read_answer(reader);
  received.m_sent_at = sent_at;
  ::close(fd);
  return received;
}

inline std::string next_request_id() {
  static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(::getpid()) << 24U};
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// -------------------------------------------------------------------------------------------------- JSON

// Returns the end of the JSON value that begins at `at`.
inline std::size_t json_value_end(std::string_view text, std::size_t at) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = at; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
        if (depth == 0) {
          return i + 1;
        }
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      if (depth == 0) {
        return i;
      }
      if (--depth == 0) {
        return i + 1;
      }
    } else if (depth == 0 && c == ',') {
      return i;
    }
  }
  return text.size();
}

// Returns the text of a member of a JSON object without blanks between its tokens; empty if there is none.
inline std::string json_member(std::string_view object, std::string_view key) {
  std::size_t at = 1;
  while (at < object.size() && object[at] == '"') {
    const std::size_t key_end = json_value_end(object, at);
    const std::string_view name = object.substr(at + 1, key_end - at - 2);
    const std::size_t value_end = json_value_end(object, key_end + 1);
    if (name == key) {
      return std::string(object.substr(key_end + 1, value_end - key_end - 1));
    }
    at = value_end + 1;
  }
  return {};
}

inline std::string unquote(const std::string& text) {
  return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

// ------------------------------------------------------------------------------------------------- store

// The platform's store with lists, watches and conditional writes. It can come back from an earlier copy:
// what was written since is gone, revisions go back, and the header Store-Era rises.
class store {
public:
  store()
      : m_listener([this](int fd, const request& message) { return serve(fd, message); }) {}

  std::string address() const { return address_of(m_listener.port()); }

  // What the operator and the engines write. A write that changes nothing does not raise the revision.
  // Returns the revision after the write, or 0 if the store is away.
  std::uint64_t put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(m_mutex);
    if (m_away) {
      return 0;
    }
    auto& objects = m_state.m_kinds[kind];
    const auto known = objects.find(name);
    if (known != objects.end() && known->second.m_spec == spec) {
      return m_state.m_revision;
    }
    object& written = objects[name];
    write(kind, name, written, spec, written.m_status);
    return m_state.m_revision;
  }

  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    remove_locked(kind, name);
  }

  std::uint64_t revision() {
    const std::lock_guard lock(m_mutex);
    return m_state.m_revision;
  }

  void take_copy() {
    const std::lock_guard lock(m_mutex);
    m_copy = m_state;
  }

  void go_away() {
    {
      const std::lock_guard lock(m_mutex);
      m_away = true;
    }
    m_changed.notify_all();
    m_listener.go_down();
  }

  // Comes back from the copy.
  void come_back_from_copy() {
    {
      const std::lock_guard lock(m_mutex);
      m_state = m_copy;
      ++m_era;
      m_away = false;
    }
    m_listener.come_back();
  }

  // Comes back with everything that was written.
  void come_back() {
    {
      const std::lock_guard lock(m_mutex);
      m_away = false;
    }
    m_listener.come_back();
  }

private:
  struct object {
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    std::string m_spec = "null";
    std::string m_status = "null";
  };
  struct event {
    std::uint64_t m_revision;
    std::string m_kind;
    std::string m_object;
    bool m_removed;
  };
  struct state {
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, object>> m_kinds;
    std::deque<event> m_history;
  };

  static std::string serialise(const std::string& name, const object& each) {
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(each.m_revision) +
           ",\"created\":" + std::to_string(each.m_created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + each.m_spec + ",\"status\":" + each.m_status +
           "}";
  }

  void write(const std::string& kind, const std::string& name, object& to, const std::string& spec,
             const std::string& status) {
    to.m_spec = spec;
    to.m_status = status;
    to.m_revision = ++m_state.m_revision;
    if (to.m_created == 0) {
      to.m_created = to.m_revision;
    }
    m_state.m_history.push_back({to.m_revision, kind, serialise(name, to), false});
    m_changed.notify_all();
  }

  void remove_locked(const std::string& kind, const std::string& name) {
    auto& objects = m_state.m_kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return;
    }
    found->second.m_revision = ++m_state.m_revision;
    m_state.m_history.push_back({m_state.m_revision, kind, serialise(name, found->second), true});
    objects.erase(found);
    m_changed.notify_all();
  }

  bool respond(int fd, int status, const std::string& body) const {
    return send_all(fd,
                    "HTTP/1.1 " + std::to_string(status) +
                        " X\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(m_era.load()) +
                        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  // Counts the call. Returns false if it is beyond the rate that all daemons together may use.
  bool take_call(bool reads) {
    const std::lock_guard lock(m_mutex);
    if (const long second = now_ms() / 1'000; second != m_second) {
      if (m_reads + m_writes > 50) {
        record("store: %d reading and %d writing calls in a second", m_reads, m_writes);
      }
      m_second = second;
      m_reads = m_writes = 0;
    }
    return reads ? ++m_reads <= reads_per_s : ++m_writes <= writes_per_s;
  }

  bool serve(int fd, const request& message) {
    constexpr std::string_view prefix = "/objects/";
    const std::string path = message.path();
    if (path.rfind(prefix, 0) != 0) {
      return respond(fd, 404, "{}");
    }
    if (!take_call(message.m_method == "GET")) {
      return respond(fd, 429, "{}");
    }
    const std::string rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (message.m_method == "GET" && name.empty()) {
      return message.query("watch").empty() ? list(fd, kind) : watch(fd, kind, message);
    }
    return change(fd, kind, name, message);
  }

  bool list(int fd, const std::string& kind) {
    std::string items;
    std::uint64_t as_of = 0;
    {
      const std::lock_guard lock(m_mutex);
      for (const auto& [name, each] : m_state.m_kinds[kind]) {
        items += (items.empty() ? "" : ",") + serialise(name, each);
      }
      as_of = m_state.m_revision;
    }
    return respond(fd, 200,
                   "{\"items\":[" + items + "],\"has_more\":false,\"as_of\":" + std::to_string(as_of) + "}");
  }

  bool watch(int fd, const std::string& kind, const request& message) {
    const std::uint64_t after = std::strtoull(message.query("watch").c_str(), nullptr, 10);
    const long wait = std::min(30'000L, std::strtol(message.query("wait_ms").c_str(), nullptr, 10));
    const auto until = clock::now() + milliseconds(wait);
    std::string events;
    std::uint64_t as_of = 0;
    {
      std::unique_lock lock(m_mutex);
      if (after > m_state.m_revision) { // a revision that this store does not have
        lock.unlock();
        return respond(fd, 410, "{}");
      }
      const int era = m_era;
      while (true) {
        if (m_away || era != m_era) {
          return false;
        }
        for (const auto& each : m_state.m_history) {
          if (each.m_revision > after && each.m_kind == kind) {
            events += std::string(events.empty() ? "" : ",") +
                      "{\"removed\":" + (each.m_removed ? "true" : "false") + ",\"object\":" + each.m_object +
                      "}";
          }
        }
        as_of = m_state.m_revision;
        if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
    }
    return respond(fd, 200, "{\"events\":[" + events + "],\"as_of\":" + std::to_string(as_of) + "}");
  }

  bool change(int fd, const std::string& kind, std::string name, const request& message) {
    std::unique_lock lock(m_mutex);
    const bool of_status = name.size() > 7 && name.compare(name.size() - 7, 7, "/status") == 0;
    if (of_status) {
      name.resize(name.size() - 7);
    }
    const std::string metadata = json_member(message.m_body, "metadata");
    if (message.m_method == "POST") {
      name = unquote(json_member(metadata, "name"));
    }
    auto& objects = m_state.m_kinds[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    record("store %s %s/%s %s", message.m_method.c_str(), kind.c_str(), name.c_str(),
           exists ? "exists" : "new");
    int status = 200;
    std::string body = "{}";
    const std::string revision = json_member(metadata, "revision");
    if (message.m_method == "GET") {
      status = exists ? 200 : 404;
    } else if (message.m_method == "POST" ? exists : !exists) {
      status = exists ? 409 : 404;
    } else if (exists && !revision.empty() &&
               std::strtoull(revision.c_str(), nullptr, 10) != found->second.m_revision) {
      status = 409;
    } else if (message.m_method == "DELETE") {
      remove_locked(kind, name);
    } else {
      object& written = objects[name];
      if (of_status) {
        write(kind, name, written, written.m_spec, json_member(message.m_body, "status"));
      } else {
        write(kind, name, written, json_member(message.m_body, "spec"), written.m_status);
      }
    }
    if (const auto shown = objects.find(name); shown != objects.end()) {
      body = serialise(name, shown->second);
    }
    lock.unlock();
    return respond(fd, status, body);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  state m_state;
  state m_copy;
  static constexpr int reads_per_s = 2'000; // as on the small sites
  static constexpr int writes_per_s = 400;
  long m_second = 0;
  int m_reads = 0;
  int m_writes = 0;
  std::atomic<int> m_era{1};
  bool m_away = false;
  http_listener m_listener; // last, since its thread uses the members above
};

// ------------------------------------------------------------------------------------------------ engines

inline std::string engine_spec(const std::string& service, std::uint16_t port, const std::string& zone,
                               int slots, const std::string& state = "ready") {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address_of(port) + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
         "\",\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
         "\"adapters\":[]}]"
         ",\"sequence\":1}";
}

inline std::string stamp_of(const std::string& engine, const std::string& request_id) {
  return engine + "." + request_id + ".c9f2a4d1";
}

// The head of an answer that an engine gives to a request, without its framing and its last line break.
inline std::string engine_head(const std::string& engine, const std::string& request_id, int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Cardamompond-Request-Id: " + request_id +
         "\r\nX-Cardamompond-Server-Stamp: " + stamp_of(engine, request_id) + "\r\n";
}

// Answers with 421 if the request expects another engine, and with 404 to calls that the cases do not use.
// Returns whether it has answered.
inline bool answer_other_calls(int fd, const std::string& engine, const request& message, bool& keep) {
  const std::string expected = message.header("X-Cardamompond-Expect-Instance");
  if (!expected.empty() && expected != engine) {
    keep = send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Cardamompond-Request-Id: " +
                            message.header("X-Cardamompond-Request-Id") +
                            "\r\nX-Cardamompond-Instance-Id: " + engine + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  if (message.path() == "/hold-take") {
    keep = send_all(
        fd,
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"hold\":\"h\"}");
    return true;
  }
  if (message.header("X-Cardamompond-Request-Id").empty()) {
    keep = send_all(
        fd, "HTTP/1.1 400 Bad Request\r\nX-Cardamompond-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  return false;
}

// ------------------------------------------------------------------------------------------------- daemon

// The daemon under test, started with the command of the deploy file.
class daemon_process {
public:
  daemon_process(std::string folder, std::string name, std::string zone, std::string store_address,
                 std::vector<std::string> seeds, int memory_mb = 260)
      : m_folder(std::move(folder))
      , m_name(std::move(name))
      , m_zone(std::move(zone))
      , m_store(std::move(store_address))
      , m_seeds(std::move(seeds))
      , m_memory_mb(memory_mb)
      , m_callers(free_port())
      , m_admin(free_port())
      , m_metrics(free_port())
      , m_exchange(free_port())
      , m_control(free_port()) {}

  std::uint16_t callers() const { return m_callers; }
  // The address that the platform lists as a seed. The daemon does not listen there.
  std::string control() const { return address_of(m_control); }
  const std::string& name() const { return m_name; }
  pid_t pid() const { return m_pid; }
  std::string log_path() const { return m_folder + "/" + m_name + ".log"; }
  void set_seeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

  void start() {
    const std::string settings = m_folder + "/" + m_name + ".toml";
    std::ofstream file(settings);
    file << "scheduling = \"local\"\nname = \"" << m_name << "\"\navailability_zone = \"" << m_zone
         << "\"\n\n[listen]\ncallers = \"" << address_of(m_callers) << "\"\nadmin = \"" << address_of(m_admin)
         << "\"\nmetrics = \"" << address_of(m_metrics) << "\"\nexchange = \"" << address_of(m_exchange)
         << "\"\n\n[store]\naddress = \"" << m_store << "\"\n\n[group]\nseeds = [";
    for (std::size_t i = 0; i < m_seeds.size(); ++i) {
      file << (i == 0 ? "" : ",") << '"' << m_seeds[i] << '"';
    }
    file << "]\nretry_ratio = 0.2\nretry_fixed = 56\nretry_window_s = 10\n\n[drain]\ntime_s = 8\n\n"
         << "[limits]\nmemory_mb = " << m_memory_mb
         << "\nmax_descriptors = 4100\n\n[log]\nlevel = \"info\"\n";
    file.close();
    m_pid = ::fork();
    if (m_pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      sigset_t none;
      sigemptyset(&none);
      ::sigprocmask(SIG_SETMASK, &none, nullptr);
      const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::setenv("CARDAMOMPOND_SETTINGS", settings.c_str(), 1);
      ::execl("target/bin/cardamompondd", "target/bin/cardamompondd", "--settings", settings.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    record("daemon %s started: pid %d, callers at %u", m_name.c_str(), m_pid, m_callers);
  }

  // Waits until /readyz answers 200.
  void wait_ready() {
    for (const long until = now_ms() + 15'000; now_ms() < until; sleep_ms(50)) {
      if (call(m_admin, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 500).m_status ==
          200) {
        record("daemon %s is ready", m_name.c_str());
        return;
      }
    }
    finish(exit_not_run, "daemon " + m_name + " did not become ready");
  }

  // Whether the process still runs. Afterwards, exit_status() tells how it ended.
  bool runs() {
    if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid > 0;
  }
  int exit_status() const { return m_status; }

  // Returns a line of /proc/PID/status in KB, such as VmHWM.
  long memory_kb(const std::string& key) const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind(key + ":", 0) == 0) {
        return std::atol(line.c_str() + key.size() + 1);
      }
    }
    return -1;
  }

  void signal(int number) {
    if (m_pid > 0) {
      record("daemon %s gets signal %d", m_name.c_str(), number);
      ::kill(m_pid, number);
    }
  }

  void end() {
    if (m_pid > 0) {
      ::kill(m_pid, SIGKILL);
      ::waitpid(m_pid, &m_status, 0);
      m_pid = -1;
    }
  }

private:
  std::string m_folder, m_name, m_zone, m_store;
  std::vector<std::string> m_seeds;
  int m_memory_mb;
  std::uint16_t m_callers, m_admin, m_metrics, m_exchange, m_control;
  pid_t m_pid = -1;
  int m_status = 0;
};

inline std::string make_folder() {
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review-3-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    finish(exit_not_run, "no temporary folder");
  }
  return path;
}

// Registers what ends the daemons and removes the folder; KEEP=1 keeps the folder with the daemons' logs.
inline void end_with(std::vector<daemon_process*> daemons, std::string folder) {
  cleanup() = [daemons = std::move(daemons), folder = std::move(folder)] {
    for (auto* each : daemons) {
      each->end();
    }
    if (std::getenv("KEEP") != nullptr) {
      std::printf("logs: %s\n", folder.c_str());
      return;
    }
    for (auto* each : daemons) {
      ::unlink((folder + "/" + each->name() + ".toml").c_str());
      ::unlink(each->log_path().c_str());
    }
    ::rmdir(folder.c_str());
  };
}

// Ends a case that takes too long, or that gets SIGTERM or SIGINT. Must be called before threads are started.
inline void limit_duration(long ms) {
  sigset_t ending;
  sigemptyset(&ending);
  sigaddset(&ending, SIGTERM);
  sigaddset(&ending, SIGINT);
  ::sigprocmask(SIG_BLOCK, &ending, nullptr);
  std::thread([ms, ending] {
    const timespec timeout{ms / 1'000, ms % 1'000 * 1'000'000};
    const bool signalled = ::sigtimedwait(&ending, nullptr, &timeout) > 0;
    finish(exit_not_run, signalled ? "ended by a signal" : "the case took too long");
  }).detach();
}

} // namespace review
