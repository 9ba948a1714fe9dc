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
constexpr int stalled_receive_buffer_bytes = 4096;

// Interval at which a thread that waits for a response checks whether the load has ended.
constexpr std::chrono::milliseconds end_check_interval{200};

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
  clock::time_point m_measurement_begin;
  clock::time_point m_end;

  bool is_measured(clock::time_point time) const { return time >= m_measurement_begin && time < m_end; }
};

// Sends the requests of one connection on its own thread and collects the measurements of the connection.
class load_connection {
public:
  load_connection(const load_options& options, const tcp::endpoint& endpoint, const std::string& request,
                  load_window window, std::uint64_t seed)
      : m_options(options)
      , m_endpoint(endpoint)
      , m_request(request)
      , m_window(window)
      , m_random(seed) {}

  void run() {
    // A random delay before the first request keeps the connections from sending in lockstep.
    sleep_seconds(std::uniform_real_distribution<>(0, 0.02)(m_random));
    auto next_send = clock::now();
    while (clock::now() < m_window.m_end) {
      if (m_options.m_rate_per_s > 0) {
        const double rate_per_connection = m_options.m_rate_per_s / m_options.m_connections;
        next_send += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(std::exponential_distribution<>(rate_per_connection)(m_random)));
        std::this_thread::sleep_until(std::min(next_send, m_window.m_end));
        // Avoids a burst after a long response.
        next_send = std::max(next_send, clock::now() - std::chrono::milliseconds(5));
      }
      if (!m_socket.is_open() && !connect()) {
        count_broken_connection();
        sleep_seconds(0.05);
        continue;
      }
      if (m_options.m_mode == load_mode::stalled) {
        send_and_stall();
      } else if (!send_and_receive()) {
        m_socket = tcp::socket(m_context);
        m_buffer.clear();
      }
    }
  }

  load_report& report() { return m_report; }

private:
  static void sleep_seconds(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }

  bool connect() {
    boost::system::error_code error;
    m_socket.open(m_endpoint.protocol(), error);
    if (m_options.m_mode == load_mode::stalled) {
      m_socket.set_option(asio::socket_base::receive_buffer_size(stalled_receive_buffer_bytes), error);
    }
    m_socket.connect(m_endpoint, error);
    if (error) {
      m_socket = tcp::socket(m_context);
      return false;
    }
    m_socket.set_option(tcp::no_delay(true), error);
    return true;
  }

  void count_broken_connection() {
    m_report.m_broken_connections += m_window.is_measured(clock::now()) ? 1 : 0;
  }

  bool send() {
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(m_request), error);
    return !error;
  }

  void send_and_stall() {
    if (!send()) {
      count_broken_connection();
    }
    std::this_thread::sleep_until(m_window.m_end);
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

  // Waits until the socket is readable, and returns false if the load ends first. Asio's blocking reads have
  // no timeout.
  bool wait_until_readable() {
    pollfd descriptor{m_socket.native_handle(), POLLIN, 0};
    while (::poll(&descriptor, 1, static_cast<int>(end_check_interval.count())) == 0) {
      if (clock::now() >= m_window.m_end) {
        return false;
      }
    }
    return true;
  }

  // Sends a request and reads the response. Returns false if the connection cannot be used again.
  bool send_and_receive() {
    const auto begin = clock::now();
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    if (!send() || !wait_until_readable()) {
      count_broken_connection();
      return false;
    }
    http::read_header(m_socket, m_buffer, parser, error);
    std::array<char, 16384> part_buffer{};
    auto last_part_time = clock::time_point();
    while (!error && !parser.is_done()) {
      parser.get().body().data = part_buffer.data();
      parser.get().body().size = part_buffer.size();
      if (clock::now() >= m_window.m_end || (m_buffer.size() == 0 && !wait_until_readable())) {
        return false; // the load ended during the response, which does not count as broken
      }
      http::read_some(m_socket, m_buffer, parser, error);
      if (error == http::error::need_buffer) {
        error = {};
      }
      if (const std::size_t received_bytes = part_buffer.size() - parser.get().body().size;
          received_bytes > 0) {
        record_body_part({part_buffer.data(), received_bytes}, begin, last_part_time);
      }
    }
    const auto end = clock::now();
    if (error) {
      count_broken_connection();
      return false;
    }
    if (m_window.is_measured(end)) {
      ++m_report.m_responses;
      ++m_report.m_responses_by_status[parser.get().result_int()];
      m_report.m_response_us.add(microseconds_between(begin, end));
    }
    return parser.get().keep_alive();
  }

  void record_body_part(std::string_view part, clock::time_point begin, clock::time_point& last_part_time) {
    const auto now = clock::now();
    if (m_window.is_measured(now)) {
      m_report.m_body_bytes += part.size();
      if (last_part_time == clock::time_point()) {
        m_report.m_first_part_us.add(microseconds_between(begin, now));
      } else if (m_options.m_mode == load_mode::stream) {
        m_report.m_part_interval_us.add(microseconds_between(last_part_time, now));
      }
      if (m_options.m_mode == load_mode::stream) {
        // An event is missed only if a part ends within its "data:".
        for (auto position = part.find("data:"); position != std::string_view::npos;
             position = part.find("data:", position + 5)) {
          ++m_report.m_stream_events;
        }
      }
    }
    last_part_time = now;
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

void merge(load_report& merged, load_report& part) {
  merged.m_responses += part.m_responses;
  merged.m_broken_connections += part.m_broken_connections;
  merged.m_stream_events += part.m_stream_events;
  merged.m_body_bytes += part.m_body_bytes;
  for (const auto& [status, count] : part.m_responses_by_status) {
    merged.m_responses_by_status[status] += count;
  }
  merged.m_response_us.add(part.m_response_us);
  merged.m_first_part_us.add(part.m_first_part_us);
  merged.m_part_interval_us.add(part.m_part_interval_us);
}

} // namespace

void time_samples::add(const time_samples& samples) {
  m_values.insert(m_values.end(), samples.m_values.begin(), samples.m_values.end());
}

double time_samples::quantile(double fraction) {
  if (m_values.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(m_values.size() - 1));
  std::nth_element(m_values.begin(), m_values.begin() + index, m_values.end());
  return m_values[static_cast<std::size_t>(index)];
}

std::uint64_t load_report::count_responses(unsigned status) const {
  const auto found = m_responses_by_status.find(status);
  return found == m_responses_by_status.end() ? 0 : found->second;
}

load_report run_load(const load_options& options) {
  const tcp::endpoint endpoint = parse_endpoint(options.m_address);
  const std::string request = serialise_request(options);
  const auto begin = clock::now();
  const auto time_after = [&](double seconds) {
    return begin + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(seconds));
  };
  const load_window window{time_after(options.m_warm_up_s),
                           time_after(options.m_warm_up_s + options.m_measured_s)};
  load_report total;
  total.m_elapsed_s = options.m_measured_s;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(options.m_connections);
  for (std::uint32_t number = 0; number < options.m_connections; ++number) {
    threads.emplace_back([&, number] {
      load_connection connection(options, endpoint, request, window, options.m_seed * 1'000'003 + number);
      connection.run();
      const std::lock_guard lock(mutex);
      merge(total, connection.report());
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
