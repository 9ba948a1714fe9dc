#pragma once

// Stand-ins for the users' platform, its engines and its clients, for the cases of the second review. They
// use blocking sockets and a thread for each connection, and speak what PROTOCOL.md says.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point process_start = clock::now();

inline double seconds_since_start() {
  return std::chrono::duration<double>(clock::now() - process_start).count();
}

inline void sleep_ms(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// The record of what was sent, answered and run. Thread-safe.
class record {
public:
  explicit record(const std::string& file)
      : m_file(std::fopen(file.c_str(), "w")) {
    if (m_file == nullptr) {
      std::perror("record.txt");
      std::_Exit(2);
    }
  }
  ~record() { std::fclose(m_file); }

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f s  ", seconds_since_start());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::mutex m_mutex;
  std::FILE* m_file;
};

// ---- sockets ----

inline sockaddr_in make_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline bool is_free(const std::string& ip, int port, int type) {
  const int fd = ::socket(AF_INET, type, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = make_address(ip, port);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  ::close(fd);
  return free;
}

// Returns the first of `count` ports in a row that are free at all addresses.
inline int find_free_ports(const std::vector<std::string>& ips, int count) {
  for (int base = 20'000 + (::getpid() * 37) % 9'000; base < 32'000; base += count) {
    bool free = true;
    for (const auto& ip : ips) {
      for (int i = 0; free && i < count; ++i) {
        free = is_free(ip, base + i, SOCK_STREAM) && is_free(ip, base + i, SOCK_DGRAM);
      }
    }
    if (free) {
      return base;
    }
  }
  std::fprintf(stderr, "no free ports\n");
  std::_Exit(2);
}

inline int listen_at(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = make_address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 1024) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  return fd;
}

// Returns -1 on failure.
inline int connect_to(const std::string& ip, int port, int timeout_ms = 1'000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  const auto address = make_address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof error;
    if (error != 0 || ::poll(&wait, 1, timeout_ms) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  ::fcntl(fd, F_SETFL, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// ---- HTTP ----

struct message {
  std::string m_first_line;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  bool m_complete = false; // the whole body, to its stated end
  bool m_reset = false;    // the connection was reset
  bool m_timeout = false;

  std::string header(std::string_view name) const {
    for (const auto& [key, value] : m_headers) {
      if (key.size() == name.size() && ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string word(int index) const {
    std::size_t begin = 0;
    for (int i = 0; i < index; ++i) {
      begin = m_first_line.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return m_first_line.substr(begin, m_first_line.find(' ', begin) - begin);
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return std::atoi(word(1).c_str()); }
};

// Reads messages from one connection.
class reader {
public:
  explicit reader(int fd)
      : m_fd(fd) {}

  // Reads one message. Returns nullopt if the connection ends before a whole head.
  std::optional<message> read(int timeout_ms, bool is_response) {
    m_until = clock::now() + milliseconds(timeout_ms);
    message read;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(read)) {
        m_last = read;
        return std::nullopt;
      }
    }
    std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    std::size_t line_begin = head.find("\r\n");
    read.m_first_line = head.substr(0, line_begin);
    for (line_begin += 2; line_begin < head.size();) {
      const std::size_t line_end = head.find("\r\n", line_begin);
      const std::string line = head.substr(line_begin, line_end - line_begin);
      const std::size_t colon = line.find(':');
      std::size_t value = colon == std::string::npos ? line.size() : colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      read.m_headers.emplace_back(line.substr(0, colon), line.substr(value));
      line_begin = line_end + 2;
    }
    if (read.header("Transfer-Encoding") == "chunked") {
      read_chunks(read);
    } else if (const auto length = read.header("Content-Length"); !length.empty()) {
      const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
      while (m_buffer.size() < size && fill(read)) {
      }
      read.m_complete = m_buffer.size() >= size;
      read.m_body = m_buffer.substr(0, size);
      m_buffer.erase(0, size);
    } else if (is_response) {
      while (fill(read)) {
      }
      read.m_complete = !read.m_reset && !read.m_timeout;
      read.m_body = std::exchange(m_buffer, {});
    } else {
      read.m_complete = true;
    }
    return read;
  }

  const message& last_failure() const { return m_last; }

private:
  bool fill(message& read) {
    const auto left = std::chrono::duration_cast<milliseconds>(m_until - clock::now()).count();
    pollfd wait{m_fd, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
      read.m_timeout = true;
      return false;
    }
    char bytes[65'536];
    const auto received = ::recv(m_fd, bytes, sizeof bytes, 0);
    if (received <= 0) {
      read.m_reset = received < 0;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(received));
    return true;
  }

  void read_chunks(message& read) {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill(read)) {
          return;
        }
      }
      const auto size = static_cast<std::size_t>(std::strtoull(m_buffer.c_str(), nullptr, 16));
      while (m_buffer.size() < line_end + 2 + size + 2) {
        if (!fill(read)) {
          return;
        }
      }
      read.m_body.append(m_buffer, line_end + 2, size);
      m_buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        read.m_complete = true;
        return;
      }
    }
  }

  int m_fd;
  std::string m_buffer;
  clock::time_point m_until;
  message m_last;
};

// Accepts connections and runs the handler in a thread for each.
class server {
public:
  server(std::string ip, int port, std::function<void(int)> handler)
      : m_listener(listen_at(ip, port))
      , m_handler(std::move(handler)) {
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          sleep_ms(5);
          continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
          m_handler(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }

private:
  int m_listener;
  std::function<void(int)> m_handler;
};

inline std::string response(int status, const std::string& headers, const std::string& body) {
  const char* reason = status < 300 ? "OK" : "Status";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the platform's store ----

// Returns the text of the value of a top-level field of a JSON object, or an empty text.
inline std::string json_field(const std::string& object, const std::string& name) {
  int depth = 0;
  for (std::size_t at = 0; at < object.size(); ++at) {
    const char c = object[at];
    if (c == '"') {
      std::size_t end = at + 1;
      while (end < object.size() && object[end] != '"') {
        end += object[end] == '\\' ? 2 : 1;
      }
      const std::string text = object.substr(at + 1, end - at - 1);
      at = end;
      if (depth == 1 && text == name && object[end + 1] == ':') {
        std::size_t begin = end + 2;
        int inner = 0;
        bool quoted = false;
        std::size_t stop = begin;
        for (; stop < object.size(); ++stop) {
          const char d = object[stop];
          if (quoted) {
            if (d == '\\') {
              ++stop;
            } else if (d == '"') {
              quoted = false;
            }
          } else if (d == '"') {
            quoted = true;
          } else if (d == '{' || d == '[') {
            ++inner;
          } else if (d == '}' || d == ']') {
            if (inner-- == 0) {
              break;
            }
          } else if (d == ',' && inner == 0) {
            break;
          }
        }
        return object.substr(begin, stop - begin);
      }
    } else if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return {};
}

inline std::string unquote(const std::string& text) {
  return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

class store {
public:
  store(std::string ip, int port)
      : m_server(std::move(ip), port, [this](int fd) { serve(fd); }) {}

  // Creates or replaces an object as an operator or an engine does.
  std::uint64_t put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(m_mutex);
    auto& object = m_objects[kind][name];
    object.m_spec = spec;
    return touch(kind, name, object);
  }

  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(m_mutex);
    erase(kind, name);
  }

  std::size_t count(const std::string& kind) {
    const std::lock_guard lock(m_mutex);
    return m_objects[kind].size();
  }

private:
  struct object {
    std::string m_spec = "null";
    std::string m_status = "null";
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
  };
  struct change {
    std::uint64_t m_revision;
    std::string m_kind;
    std::string m_text;
    bool m_removed;
  };

  static std::string text(const std::string& name, const object& from) {
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(from.m_revision) +
           ",\"created\":" + std::to_string(from.m_created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + from.m_spec + ",\"status\":" + from.m_status +
           "}";
  }
  std::uint64_t touch(const std::string& kind, const std::string& name, object& changed) {
    changed.m_revision = ++m_revision;
    if (changed.m_created == 0) {
      changed.m_created = m_revision;
    }
    m_changes.push_back({m_revision, kind, text(name, changed), false});
    m_changed.notify_all();
    return m_revision;
  }
  void erase(const std::string& kind, const std::string& name) {
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end()) {
      return;
    }
    found->second.m_revision = ++m_revision;
    m_changes.push_back({m_revision, kind, text(name, found->second), true});
    m_objects[kind].erase(found);
    m_changed.notify_all();
  }

  void serve(int fd) {
    reader requests(fd);
    while (const auto request = requests.read(120'000, false)) {
      if (!send_all(fd, handle(*request))) {
        return;
      }
    }
  }

  static std::string query(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    return at == std::string::npos
               ? std::string()
               : target.substr(at + name.size() + 1, target.find('&', at) - at - name.size() - 1);
  }

  std::string handle(const message& request) {
    const std::string json = "Content-Type: application/json\r\n";
    std::string path = request.target().substr(0, request.target().find('?'));
    const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return response(404, json, "{}");
    }
    path.erase(0, prefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : std::string();
    const bool is_status = name.size() > 7 && name.ends_with("/status");
    if (is_status) {
      name.resize(name.size() - 7);
    }
    std::unique_lock lock(m_mutex);
    auto& objects = m_objects[kind];
    if (request.method() == "GET" && name.empty()) {
      if (const auto watch = query(request.target(), "watch"); !watch.empty()) {
        return watch_changes(lock, kind, std::strtoull(watch.c_str(), nullptr, 10),
                             std::atoi(query(request.target(), "wait_ms").c_str()));
      }
      std::string items;
      for (const auto& [each, of] : objects) {
        items += (items.empty() ? "" : ",") + text(each, of);
      }
      return response(200, json,
                      "{\"items\":[" + items +
                          "],\"has_more\":false,\"as_of\":" + std::to_string(m_revision) + "}");
    }
    if (request.method() == "POST") {
      const std::string metadata = json_field(request.m_body, "metadata");
      name = unquote(json_field(metadata, "name"));
      if (objects.count(name) > 0) {
        return response(409, json, text(name, objects[name]));
      }
      auto& created = objects[name];
      created.m_spec = json_field(request.m_body, "spec");
      touch(kind, name, created);
      return response(200, json, text(name, created));
    }
    const auto found = objects.find(name);
    if (found == objects.end()) {
      return response(404, json, "{}");
    }
    if (request.method() == "PUT") {
      const std::string revision = json_field(json_field(request.m_body, "metadata"), "revision");
      if (!revision.empty() && std::strtoull(revision.c_str(), nullptr, 10) != found->second.m_revision) {
        return response(409, json, text(name, found->second));
      }
      (is_status ? found->second.m_status : found->second.m_spec) =
          json_field(request.m_body, is_status ? "status" : "spec");
      touch(kind, name, found->second);
    } else if (request.method() == "DELETE") {
      const std::string body = text(name, found->second);
      erase(kind, name);
      return response(200, json, body);
    }
    return response(200, json, text(name, found->second));
  }

  std::string watch_changes(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t after,
                            int wait_ms) {
    const auto until = clock::now() + milliseconds(wait_ms);
    std::string events;
    while (true) {
      for (const auto& each : m_changes) {
        if (each.m_revision > after && each.m_kind == kind) {
          events += std::string(events.empty() ? "" : ",") +
                    "{\"removed\":" + (each.m_removed ? "true" : "false") + ",\"object\":" + each.m_text +
                    "}";
        }
      }
      if (!events.empty() || clock::now() >= until) {
        break;
      }
      m_changed.wait_until(lock, until);
    }
    return response(200, "Content-Type: application/json\r\n",
                    "{\"events\":[" + events + "],\"as_of\":" + std::to_string(m_revision) + "}");
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, object>> m_objects;
  std::deque<change> m_changes;
  std::uint64_t m_revision = 100;
  server m_server;
};

// ---- the daemon ----

struct daemon_settings {
  std::string m_name = "front-a-1";
  std::string m_zone = "zone-a";
  std::string m_ip = "127.0.0.1";
  int m_port = 0; // callers; the next three ports are readiness, metrics and exchange
  std::string m_store_address;
  std::vector<std::string> m_seeds; // "IP:PORT" of control addresses
  int m_memory_mb = 110;
  int m_max_descriptors = 4'100;
  int m_grace_s = 8;
};

class entry_daemon {
public:
  entry_daemon(daemon_settings settings, std::string folder)
      : m_settings(std::move(settings))
      , m_folder(std::move(folder)) {}
  ~entry_daemon() { kill(SIGKILL); }

  // As deploy/system.toml starts it: target/bin/cardamompondd --settings FILE, in the root of the repository.
  void start() {
    const std::string file = m_folder + "/" + m_settings.m_name + ".conf";
    std::ofstream out(file);
    const auto port = [&](int offset) {
      return m_settings.m_ip + ":" + std::to_string(m_settings.m_port + offset);
    };
    out << "scheduling = \"local\"\nname = \"" << m_settings.m_name << "\"\navailability_zone = \""
        << m_settings.m_zone << "\"\n\n[listen]\ncallers = \"" << port(0) << "\"\nadmin = \"" << port(1)
        << "\"\nmetrics = \"" << port(2) << "\"\nexchange = \"" << port(3) << "\"\n\n[store]\naddress = \""
        << m_settings.m_store_address << "\"\n\n[group]\nseeds = [";
    for (std::size_t i = 0; i < m_settings.m_seeds.size(); ++i) {
      out << (i > 0 ? ", " : "") << '"' << m_settings.m_seeds[i] << '"';
    }
    out << "]\nretry_ratio = 0.2\nretry_fixed = 56\nretry_window_s = 10\n\n[drain]\ntime_s = "
        << m_settings.m_grace_s << "\n\n[limits]\nmemory_mb = " << m_settings.m_memory_mb
        << "\nmax_descriptors = " << m_settings.m_max_descriptors << "\n\n[log]\nlevel = \"info\"\n";
    out.close();
    const std::string log = m_folder + "/" + m_settings.m_name + ".log";
    const int log_fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
      sigset_t none;
      ::sigemptyset(&none);
      ::sigprocmask(SIG_SETMASK, &none, nullptr);
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no daemon outlives the case, however it ends
      ::dup2(log_fd, 1);
      ::dup2(log_fd, 2);
      ::execl("target/bin/cardamompondd", "target/bin/cardamompondd", "--settings", file.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(127);
    }
    ::close(log_fd);
  }

  bool wait_ready(int timeout_ms) {
    const auto until = clock::now() + milliseconds(timeout_ms);
    while (clock::now() < until) {
      if (is_ready()) {
        return true;
      }
      sleep_ms(50);
    }
    return false;
  }

  bool is_ready() {
    const int fd = connect_to(m_settings.m_ip, m_settings.m_port + 1, 300);
    if (fd < 0) {
      return false;
    }
    send_all(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    reader answers(fd);
    const auto answer = answers.read(500, true);
    ::close(fd);
    return answer && answer->status() == 200;
  }

  // Returns whether the process has ended by itself.
  bool has_ended() {
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
      m_pid = -1;
      m_end_status = status;
    }
    return m_pid <= 0;
  }
  int end_status() const { return m_end_status; }

  void signal(int number) {
    if (m_pid > 0) {
      ::kill(m_pid, number);
    }
  }
  void kill(int number) {
    if (m_pid > 0) {
      ::kill(m_pid, number);
      ::waitpid(m_pid, &m_end_status, 0);
      m_pid = -1;
    }
  }

  // In units of 1,048,576 bytes, the larger reading of the limit in MB.
  double memory_mb() const {
    if (m_pid <= 0) {
      return 0;
    }
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    long size = 0;
    long resident = 0;
    in >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1'048'576;
  }

  const daemon_settings& settings() const { return m_settings; }
  pid_t pid() const { return m_pid; }

private:
  daemon_settings m_settings;
  std::string m_folder;
  pid_t m_pid = -1;
  int m_end_status = 0;
};

// A temporary folder. KEEP=1 keeps it, with the logs of the daemons.
class temporary_folder {
public:
  temporary_folder() {
    // SIGTERM and SIGINT remove the folder too. All threads of the case inherit the mask.
    sigset_t stop;
    ::sigemptyset(&stop);
    ::sigaddset(&stop, SIGTERM);
    ::sigaddset(&stop, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &stop, nullptr);
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
      std::perror("mkdtemp");
      std::_Exit(2);
    }
    m_path = pattern;
    std::thread([this, stop] {
      int number = 0;
      ::sigwait(&stop, &number);
      finish(2);
    }).detach();
  }
  // Removes the folder and ends the process at once, because threads still use the stand-ins.
  [[noreturn]] void finish(int exit_code) const {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(m_path, ignored);
    }
    std::_Exit(exit_code);
  }
  const std::string& path() const { return m_path; }

private:
  std::string m_path;
};

// Whether the disruption of the case takes place.
inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
