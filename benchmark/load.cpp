#include "load.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>

#include <poll.h>

namespace cardamompond::benchmark {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;

// Size of the receive buffer of a stalled connection. It is small so that the sender has to stop after few
// bytes.
constexpr int stalled_receive_bytes = 4096;

// Interval at which a thread that waits for a response checks whether the load has ended.
constexpr std::chrono::milliseconds end_check{200};

tcp::endpoint parse_endpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || port == 0) {
    throw std::runtime_error("invalid address " + address);
  }
  return {ip, port};
}

double microseconds_between(clock::time_point from, clock::time_point to) {
  return std::chrono::duration<double, std::micro>(to - from).count();
}

std::string serialise_request(const load_options& options) {
  std::string text = options.m_method + " " + options.m_target + " HTTP/1.1\r\nHost: " + options.m_address;
  for (const auto& [name, value] : options.m_headers) {
    text += "\r\n" + name + ": " + value;
  }
  if (!options.m_body.empty() || options.m_method == "POST") {
    text += "\r\nContent-Length: " + std::to_string(options.m_body.size());
  }
  return text + "\r\n\r\n" + options.m_body;
}

struct load_window {
  clock::time_point m_measure_from;
  clock::time_point m_end;

  bool measured(clock::time_point at) const { return at >= m_measure_from && at < m_end; }
};

// Sends the requests of one connection on its own thread and collects the measurements of the connection.
class connection_load {
public:
  connection_load(const load_options& options, const tcp::endpoint& endpoint, const std::string& request,
                  load_window window, std::uint64_t seed)
      : m_options(options)
      , m_endpoint(endpoint)
      , m_request(request)
      , m_window(window)
      , m_random(seed) {}

  void run() {
    // A random delay before the first request keeps the connections from sending in lockstep.
    pause(std::uniform_real_distribution<>(0, 0.02)(m_random));
    auto next = clock::now();
    while (clock::now() < m_window.m_end) {
      if (m_options.m_rate_per_s > 0) {
        const double per_connection = m_options.m_rate_per_s / m_options.m_connections;
        next += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(std::exponential_distribution<>(per_connection)(m_random)));
        std::this_thread::sleep_until(std::min(next, m_window.m_end));
        // Avoids a burst after a long response.
        next = std::max(next, clock::now() - std::chrono::milliseconds(5));
      }
      if (!m_socket.is_open() && !connect()) {
        note_broken();
        pause(0.05);
        continue;
      }
      if (m_options.m_mode == load_mode::stalled) {
        stall();
      } else if (!exchange()) {
        m_socket = tcp::socket(m_context);
        m_buffer.clear();
      }
    }
  }

  load_report& report() { return m_report; }

private:
  static void pause(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

  bool connect() {
    boost::system::error_code error;
    m_socket.open(m_endpoint.protocol(), error);
    if (m_options.m_mode == load_mode::stalled) {
      m_socket.set_option(asio::socket_base::receive_buffer_size(stalled_receive_bytes), error);
    }
    m_socket.connect(m_endpoint, error);
    if (error) {
      m_socket = tcp::socket(m_context);
      return false;
    }
    m_socket.set_option(tcp::no_delay(true), error);
    return true;
  }

  void note_broken() { m_report.m_broken += m_window.measured(clock::now()) ? 1 : 0; }

  bool send() {
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(m_request), error);
    return !error;
  }

  void stall() {
    if (!send()) {
      note_broken();
    }
    std::this_thread::sleep_until(m_window.m_end);
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  // Waits until the socket is readable, and returns false if the load ends first. Asio's blocking reads have
  // no timeout.
  bool wait_readable() {
    pollfd waiting{m_socket.native_handle(), POLLIN, 0};
    while (::poll(&waiting, 1, static_cast<int>(end_check.count())) == 0) {
      if (clock::now() >= m_window.m_end) {
        return false;
      }
    }
    return true;
  }

  // Sends a request and reads the response. Returns false if the connection cannot be used again.
  bool exchange() {
    const auto begin = clock::now();
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    if (!send() || !wait_readable()) {
      note_broken();
      return false;
    }
    http::read_header(m_socket, m_buffer, parser, error);
    std::array<char, 16384> part{};
    auto last_part = clock::time_point();
    while (!error && !parser.is_done()) {
      parser.get().body().data = part.data();
      parser.get().body().size = part.size();
      if (clock::now() >= m_window.m_end || (m_buffer.size() == 0 && !wait_readable())) {
        return false; // the load ended during the response, which does not count as broken
      }
      http::read_some(m_socket, m_buffer, parser, error);
      if (error == http::error::need_buffer) {
        error = {};
      }
      if (const std::size_t got = part.size() - parser.get().body().size; got > 0) {
        note_part({part.data(), got}, begin, last_part);
      }
    }
    const auto end = clock::now();
    if (error) {
      note_broken();
      return false;
    }
    if (m_window.measured(end)) {
      ++m_report.m_answers;
      ++m_report.m_statuses[parser.get().result_int()];
      m_report.m_answer_us.add(microseconds_between(begin, end));
    }
    return parser.get().keep_alive();
  }

  void note_part(std::string_view part, clock::time_point begin, clock::time_point& last_part) {
    const auto now = clock::now();
    if (m_window.measured(now)) {
      m_report.m_bytes += part.size();
      if (last_part == clock::time_point()) {
        m_report.m_first_part_us.add(microseconds_between(begin, now));
      } else if (m_options.m_mode == load_mode::stream) {
        m_report.m_gap_us.add(microseconds_between(last_part, now));
      }
      if (m_options.m_mode == load_mode::stream) {
        // An event is missed only if a part ends within its "data:".
        for (auto at = part.find("data:"); at != std::string_view::npos; at = part.find("data:", at + 5)) {
          ++m_report.m_events;
        }
      }
    }
    last_part = now;
  }

  const load_options& m_options;
  const tcp::endpoint& m_endpoint;
  const std::string& m_request;
  load_window m_window;
  std::mt19937_64 m_random;
  asio::io_context m_context;
  tcp::socket m_socket{m_context};
  boost::beast::flat_buffer m_buffer;
  load_report m_report;
};

void merge(load_report& into, load_report& part) {
  into.m_answers += part.m_answers;
  into.m_broken += part.m_broken;
  into.m_events += part.m_events;
  into.m_bytes += part.m_bytes;
  for (const auto& [status, count] : part.m_statuses) {
    into.m_statuses[status] += count;
  }
  into.m_answer_us.add(part.m_answer_us);
  into.m_first_part_us.add(part.m_first_part_us);
  into.m_gap_us.add(part.m_gap_us);
}

} // namespace

void time_samples::add(const time_samples& others) {
  m_values.insert(m_values.end(), others.m_values.begin(), others.m_values.end());
}

double time_samples::percentile(double share) {
  if (m_values.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(m_values.size() - 1));
  std::nth_element(m_values.begin(), m_values.begin() + place, m_values.end());
  return m_values[static_cast<std::size_t>(place)];
}

std::uint64_t load_report::answers_with(unsigned status) const {
  const auto found = m_statuses.find(status);
  return found == m_statuses.end() ? 0 : found->second;
}

load_report run_load(const load_options& options) {
  const tcp::endpoint endpoint = parse_endpoint(options.m_address);
  const std::string request = serialise_request(options);
  const auto begin = clock::now();
  const auto after = [&](double seconds) {
    return begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds));
  };
  const load_window window{after(options.m_warm_up_s), after(options.m_warm_up_s + options.m_measured_s)};
  load_report total;
  total.m_elapsed_s = options.m_measured_s;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(options.m_connections);
  for (std::uint32_t number = 0; number < options.m_connections; ++number) {
    threads.emplace_back([&, number] {
      connection_load load(options, endpoint, request, window, options.m_seed * 1'000'003 + number);
      load.run();
      const std::lock_guard lock(mutex);
      merge(total, load.report());
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return total;
}

std::pair<std::string, std::string> parse_header(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    throw std::runtime_error("invalid header, expected \"Name: value\"");
  }
  const auto value = text.find_first_not_of(' ', colon + 1);
  return {std::string(text.substr(0, colon)),
          value == std::string_view::npos ? std::string() : std::string(text.substr(value))};
}

} // namespace cardamompond::benchmark
