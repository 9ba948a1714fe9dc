#include "cardamompond/net/http_client.hpp"

#include "cardamompond/net/address.hpp"
#include "fiber_stream.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <map>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Idle connections are dropped this long before the server's Keep-Alive timeout, so that no request is sent
// while the server closes the connection.
constexpr milliseconds keep_alive_safety_margin{500};

// A call whose deadline passed while the process was stopped may read for this long, so that a response that
// has already arrived is delivered.
constexpr milliseconds late_read_time{50};

constexpr duration max_expiry_check_interval = seconds(1);

// Bytes of chunk headers and trailers that a response may have for each byte of its body, beside a fixed
// number. The header of a chunk with a single byte takes six bytes or more.
constexpr std::uint64_t max_framing_bytes_per_body_byte = 16;

// A proxy opens its own connection to the server before it responds.
constexpr milliseconds proxy_response_timeout{500};
constexpr std::size_t max_proxy_head_bytes = 2U << 10U;
constexpr int status_ok = 200;

struct idle_connection {
  std::unique_ptr<fiber_stream> m_stream;
  std::string m_proxy; // through which the connection leads; empty: direct
  time_point m_opened_at;
  time_point m_idle_since;
  duration m_max_idle_time{};
  connection_history m_history;
};

// Returns how long a connection may stay idle according to "Keep-Alive: timeout=SECONDS", less the safety
// margin. Returns nullopt if the header has no timeout.
std::optional<duration> parse_keep_alive_timeout(std::string_view keep_alive) {
  constexpr std::string_view key = "timeout=";
  const auto position = keep_alive.find(key);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  unsigned timeout_s = 0;
  const char* const begin = keep_alive.data() + position + key.size();
  const char* const end = keep_alive.data() + keep_alive.size();
  if (std::from_chars(begin, end, timeout_s).ec != std::errc()) {
    return std::nullopt;
  }
  return std::max<duration>(duration::zero(), seconds(timeout_s) - keep_alive_safety_margin);
}

call_error to_call_error(const boost::system::error_code& error, bool sent) {
  const bool closed_by_server = error == asio::error::eof || error == asio::error::connection_reset ||
                                error == asio::error::broken_pipe || error == http::error::end_of_stream ||
                                error == http::error::partial_message;
  return {error.message(),
          sent,
          error == beast::error::timeout,
          closed_by_server,
          error == asio::error::connection_refused,
          error == asio::error::connection_reset};
}

bool is_interim_status(unsigned status) {
  return status >= 100 && status < 200;
}

bool is_final_status(unsigned status) {
  return status >= 200 && status < 600;
}

call_error make_framing_error() {
  return {"the chunk headers or trailers of the response are too large", true};
}

// Passes reads on to a stream until a limit on their bytes is reached. The parser itself limits only the part
// of a head that it has not consumed yet.
class limited_reader {
public:
  explicit limited_reader(fiber_stream& stream)
      : m_stream(stream) {}

  // Sets the number of bytes after which reads fail with http::error::header_limit. The last read may exceed
  // it.
  void set_limit(std::size_t bytes) { m_bytes_left = bytes; }

  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers, boost::system::error_code& error) {
    if (m_bytes_left == 0) {
      error = http::error::header_limit;
      return 0;
    }
    const std::size_t bytes = m_stream.read_some(buffers, error);
    m_bytes_left -= std::min(bytes, m_bytes_left);
    return bytes;
  }

  template <typename Buffers> std::size_t read_some(const Buffers& buffers) {
    boost::system::error_code error;
    const std::size_t bytes = read_some(buffers, error);
    if (error) {
      throw boost::system::system_error(error);
    }
    return bytes;
  }

private:
  fiber_stream& m_stream;
  std::size_t m_bytes_left = 0;
};

std::string serialise_request(const http_request& request, std::string_view address) {
  std::string head;
  head.reserve(256);
  head.append(request.m_method).append(" ").append(request.m_target).append(" HTTP/1.1\r\n");
  if (!find_header(request.m_headers, "Host")) {
    head.append("Host: ").append(address).append("\r\n");
  }
  for (const auto& header : request.m_headers) {
    head.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
  }
  if (!request.m_body.empty() || request.m_method == "POST" || request.m_method == "PUT" ||
      request.m_method == "PATCH") {
    head.append("Content-Length: ").append(std::to_string(request.m_body.size())).append("\r\n");
  }
  head.append("\r\n");
  return head;
}

} // namespace

std::string_view to_string(body_framing framing) {
  constexpr std::string_view names[] = {"none", "chunks", "length", "connection"};
  return names[static_cast<std::size_t>(framing)];
}

class http_client::impl : public std::enable_shared_from_this<http_client::impl> {
public:
  impl(fiber_runtime& runtime, http_client_options options)
      : m_runtime(runtime)
      , m_options(options) {}

  // Removes and returns an idle connection that can be reused, if there is one. Drops those that the server
  // has closed, that have been idle for too long or that were opened too early.
  std::optional<idle_connection> take_idle(const std::string& address, const connection_options& options,
                                           const connection_route& route);

  // Keeps a connection for reuse, or drops it if the address has enough idle connections.
  void put_idle(const std::string& address, std::string proxy, std::unique_ptr<fiber_stream> stream,
                time_point opened_at, duration max_idle_time, connection_history history);

  std::size_t count_idle() const;

  // Opens a connection to the address.
  call_result<std::unique_ptr<fiber_stream>> connect(std::string_view address, milliseconds timeout);

  // Opens a connection to the address through the first of the proxies that opens it; `proxy` receives which.
  call_result<std::unique_ptr<fiber_stream>> connect_through(std::string_view address,
                                                             const connection_route& route,
                                                             milliseconds timeout, std::string& proxy);

  // Closes the idle connections that have been idle for too long, to whatever address. Servers come and go,
  // so that the address of an idle connection may never be asked for again.
  void close_expired(time_point now);

  connection_router* m_router = nullptr;
  std::uint64_t m_connections_opened = 0;
  fiber_runtime& m_runtime;
  http_client_options m_options;
  time_point m_close_expired_at;
  std::map<std::string, std::vector<idle_connection>> m_idle;
};

std::optional<idle_connection> http_client::impl::take_idle(const std::string& address,
                                                            const connection_options& options,
                                                            const connection_route& route) {
  const auto is_usable = [&](const std::string& proxy) {
    return proxy.empty()
               ? route.m_reuses_direct
               : std::find(route.m_proxies.begin(), route.m_proxies.end(), proxy) != route.m_proxies.end();
  };
  auto& idle = m_idle[address];
  const time_point now = monotonic_now();
  while (!idle.empty()) {
    idle_connection connection = std::move(idle.back());
    idle.pop_back();
    const duration age = now - connection.m_idle_since;
    if (is_usable(connection.m_proxy) && age < connection.m_max_idle_time && age < options.m_max_idle_time &&
        connection.m_opened_at >= options.m_opened_after && !connection.m_stream->input_ended() &&
        !connection.m_stream->readable()) { // no data without a request
      return connection;
    }
  }
  return std::nullopt;
}

void http_client::impl::close_expired(time_point now) {
  if (now < m_close_expired_at) {
    return;
  }
  m_close_expired_at = now + std::min<duration>(m_options.m_max_idle_time / 2, max_expiry_check_interval);
  for (auto address = m_idle.begin(); address != m_idle.end();) {
    std::erase_if(address->second, [&](const idle_connection& connection) {
      return now - connection.m_idle_since >= connection.m_max_idle_time;
    });
    address = address->second.empty() ? m_idle.erase(address) : std::next(address);
  }
}

std::size_t http_client::impl::count_idle() const {
  return std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0},
                         [](std::size_t sum, const auto& address) { return sum + address.second.size(); });
}

void http_client::impl::put_idle(const std::string& address, std::string proxy,
                                 std::unique_ptr<fiber_stream> stream, time_point opened_at,
                                 duration max_idle_time, connection_history history) {
  close_expired(monotonic_now());
  auto& idle = m_idle[address];
  if (idle.size() < m_options.m_max_idle_per_address &&
      (m_options.m_max_idle == 0 || count_idle() < m_options.m_max_idle)) {
    stream->expires_never();
    stream->on_silence({}, {}, nullptr);
    stream->watch_reads_at(time_point::max());
    stream->set_connection_loss_timeout(m_options.m_connection_loss_timeout);
    stream->set_keep_alive_probes(m_options.m_connection_loss_timeout);
    idle.push_back({std::move(stream), std::move(proxy), opened_at, monotonic_now(),
                    std::min<duration>(max_idle_time, m_options.m_max_idle_time), std::move(history)});
  }
}

call_result<std::unique_ptr<fiber_stream>> http_client::impl::connect(std::string_view address,
                                                                      milliseconds timeout) {
  const auto endpoint = parse_address(address);
  if (!endpoint) {
    return call_error{"invalid address " + std::string(address)};
  }
  auto stream = std::make_unique<fiber_stream>(m_runtime.context());
  stream->expires_after(timeout);
  if (const auto error = stream->connect(*endpoint); error) {
    return to_call_error(error, false);
  }
  ++m_connections_opened;
  boost::system::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  if (m_options.m_connection_loss_timeout > milliseconds(0)) {
    stream->set_connection_loss_timeout(m_options.m_connection_loss_timeout);
    stream->set_keep_alive_probes(m_options.m_connection_loss_timeout);
  }
  return stream;
}

namespace {

// Asks a proxy to connect to the address. Returns its status, or 0 and an error if it gave none. Nothing must
// follow its response before the client has sent something.
int request_tunnel(fiber_stream& stream, std::string_view address, std::string& reason) {
  const std::string host(address);
  const std::string request = "CONNECT " + host + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
  stream.expires_after(proxy_response_timeout);
  const std::array<asio::const_buffer, 1> buffers = {asio::buffer(request)};
  std::size_t written = 0;
  if (const auto error = stream.write(buffers, written); error) {
    reason = error.message();
    return 0;
  }
  beast::flat_buffer buffer;
  buffer.max_size(max_proxy_head_bytes);
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  boost::system::error_code error;
  http::read_header(stream, buffer, parser, error);
  if (error) {
    reason = error.message();
    return 0;
  }
  const int status = static_cast<int>(parser.get().result_int());
  if (status != status_ok) {
    reason = "the proxy answered " + std::to_string(status);
  } else if (buffer.size() > 0) {
    reason = "the proxy sent unexpected data";
    return 0;
  }
  return status;
}

} // namespace

call_result<std::unique_ptr<fiber_stream>> http_client::impl::connect_through(std::string_view address,
                                                                              const connection_route& route,
                                                                              milliseconds timeout,
                                                                              std::string& proxy) {
  std::string last_reason;
  for (const auto& each : route.m_proxies) {
    auto stream = connect(each, timeout);
    int status = 0;
    if (!stream) {
      last_reason = stream.error().m_message;
    } else {
      status = request_tunnel(**stream, address, last_reason);
    }
    if (status == status_ok) {
      proxy = each;
      m_router->record_proxied(each, address);
      return stream;
    }
    m_router->record_proxy_failure(each, address, status, last_reason);
  }
  return call_error{"no peer opened a connection to the server: " + last_reason};
}

namespace {

class client_call final : public http_call {
public:
  using release_callback = std::function<void(std::unique_ptr<fiber_stream>, duration, connection_history)>;

  client_call(std::unique_ptr<fiber_stream> stream, std::optional<connection_history> reused_history,
              std::string address, std::string proxy, const http_client_options& options,
              connection_router* router, release_callback release_connection)
      : m_stream(std::move(stream))
      , m_reused(reused_history.has_value())
      , m_history(std::move(reused_history).value_or(connection_history{}))
      , m_address(std::move(address))
      , m_proxy(std::move(proxy))
      , m_max_header_bytes(options.m_max_header_bytes)
      , m_connection_loss_timeout(options.m_connection_loss_timeout)
      , m_router(router)
      , m_release_connection(std::move(release_connection)) {
    m_buffer.max_size(m_max_header_bytes + (16U << 10U));
    prepare_parser();
  }

  ~client_call() override {
    if (m_reusable && m_buffer.size() == 0) {
      m_release_connection(std::move(m_stream), m_max_idle_time, std::move(m_history));
    }
  }

  void set_deadline(time_point deadline) override {
    m_deadline = deadline;
    m_deadline_extended = false;
  }

  void keep_connection_until(time_point until) override {
    if (m_connection_loss_timeout > milliseconds(0)) {
      m_stream->set_connection_loss_timeout(
          std::max<duration>(m_connection_loss_timeout, until - monotonic_now()));
      m_stream->set_keep_alive_probes({});
    }
  }

  bool reused() const override { return m_reused; }
  std::string_view proxy() const override { return m_proxy; }
  connection_history& history() override { return m_history; }
  body_framing framing() const override {
    return !m_parser->is_header_done() ? body_framing::none
           : m_parser->need_eof()      ? body_framing::connection
           : m_parser->chunked()       ? body_framing::chunks
                                       : body_framing::length;
  }
  bool body_bytes_due() const override {
    return m_chunk_bytes_left > 0 ||
           (framing() == body_framing::length && m_parser->content_length_remaining().value_or(0) > 0);
  }
  bool reusable() const override { return m_reusable && m_buffer.size() == 0; }

  call_result<success> send(const http_request& request, milliseconds timeout) override {
    m_is_head_request = request.m_method == "HEAD";
    const std::string head = serialise_request(request, m_address);
    if (monotonic_now() >= m_deadline || !begin_operation(timeout)) {
      return to_call_error(beast::error::timeout, false);
    }
    if (m_parser->is_done()) {
      prepare_parser(); // the next response is the one to this request
    }
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(request.m_body)};
    std::size_t written = 0;
    if (const auto error = m_stream->write(buffers, written, true); error) {
      record_failure();
      return to_call_error(error, written > 0);
    }
    if (m_router != nullptr) {
      m_router->record_sent();
    }
    m_unsent_bytes.clear();
    if (written < head.size()) {
      m_unsent_bytes.append(head, written).append(request.m_body);
    } else {
      m_unsent_bytes.append(request.m_body, written - head.size());
    }
    return success{};
  }

  call_result<http_response> read_head(milliseconds timeout) override {
    if (m_interrupted) {
      return call_error{"interrupted", true};
    }
    if (!begin_operation(timeout)) {
      return to_call_error(beast::error::timeout, true);
    }
    if (m_parser->is_done()) {
      prepare_parser();
      continue_sending();
    }
    m_parser->skip(m_is_head_request);
    limited_reader reader(*m_stream);
    reader.set_limit(m_max_header_bytes);
    boost::system::error_code error;
    http::read_header(reader, m_buffer, *m_parser, error);
    while (!error && is_interim_status(m_parser->get().result_int())) {
      prepare_parser(); // skips interim (1xx) responses, which carry nothing for the caller
      m_parser->skip(m_is_head_request);
      continue_sending();
      http::read_header(reader, m_buffer, *m_parser, error);
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
      return call_error{"the head of the response is too large", true};
    }
    if (error) {
      record_failure();
      return to_call_error(error, true);
    }
    record_input();
    const unsigned status = m_parser->get().result_int();
    if (!is_final_status(status)) {
      return call_error{"the response has the status " + std::to_string(status) + ", which does not exist",
                        true};
    }
    http_response response;
    response.m_status = static_cast<int>(status);
    for (const auto& field : m_parser->get()) {
      response.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (m_parser->is_done()) {
      on_response_end();
    }
    return response;
  }

  call_result<std::span<const char>> read_some(std::span<char> buffer, milliseconds timeout) override {
    while (!m_parser->is_done()) {
      if (m_interrupted) {
        return call_error{"interrupted", true};
      }
      m_parser->get().body().data = buffer.data();
      m_parser->get().body().size = buffer.size();
      if (!begin_operation(timeout)) {
        return to_call_error(beast::error::timeout, true);
      }
      boost::system::error_code error;
      const std::size_t consumed = http::read_some(*m_stream, m_buffer, *m_parser, error);
      if (error == http::error::buffer_overflow) {
        return make_framing_error();
      }
      if (error && error != http::error::need_buffer) {
        return to_call_error(error, true);
      }
      const std::size_t received = buffer.size() - m_parser->get().body().size;
      m_chunk_bytes_left -= std::min<std::uint64_t>(received, m_chunk_bytes_left);
      if (received > 0) {
        record_input();
      }
      m_body_bytes += received;
      m_framing_bytes += consumed - received;
      if (m_framing_bytes > m_max_header_bytes + max_framing_bytes_per_body_byte * m_body_bytes) {
        return make_framing_error();
      }
      if (m_parser->is_done()) {
        on_response_end();
      }
      if (received > 0) {
        return std::span<const char>(buffer.data(), received);
      }
    }
    return std::span<const char>();
  }

  void on_silence(duration timeout, duration interval, std::function<bool()> give_up) override {
    m_stream->on_silence(timeout, interval, std::move(give_up));
  }

  void watch_response_at(time_point at) override { m_stream->watch_reads_at(at); }

  bool response_went_on() const override { return m_stream->waited_when_watched(); }

  bool wait_for_input(time_point until) override { return m_stream->wait_readable_until(until); }

  bool has_input() override { return m_stream->readable(); }

  bool input_ended() override { return m_stream->input_ended(); }

  void abort() override {
    m_reusable = false;
    m_aborted = true;
    boost::system::error_code ignored;
    m_stream->socket().close(ignored);
  }

  void interrupt() override {
    m_interrupted = true;
    m_stream->cancel();
  }

  void cancel(milliseconds timeout) override {
    m_reusable = false;
    boost::system::error_code ignored;
    m_stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
    const time_point until = monotonic_now() + timeout;
    std::array<char, 4096> discard{};
    while (!ignored && monotonic_now() < until) {
      m_stream->expires_at(until);
      m_stream->read_some(asio::buffer(discard), ignored);
    }
    m_stream->socket().close(ignored);
  }

private:
  // Sets the timeout of the stream. Returns false if the deadline of the call has passed.
  bool begin_operation(milliseconds timeout) {
    const time_point now = monotonic_now();
    if (now >= m_deadline) {
      if (std::exchange(m_deadline_extended, true)) {
        return false;
      }
      m_deadline = now + late_read_time;
    }
    m_stream->expires_at(std::min<time_point>(now + timeout, m_deadline));
    return true;
  }

  // Writes the rest of a request whose sending stopped for a response that the caller skips. If the server
  // has closed the connection, its response may still be readable, so errors are left to the next read.
  void continue_sending() {
    if (m_unsent_bytes.empty() || m_buffer.size() > 0) {
      return;
    }
    const std::array<asio::const_buffer, 1> buffers = {asio::buffer(m_unsent_bytes)};
    std::size_t written = 0;
    std::ignore = m_stream->write(buffers, written, true);
    m_unsent_bytes.erase(0, written);
  }

  void record_input() {
    if (m_router == nullptr) {
      return;
    }
    if (!m_reused && !std::exchange(m_has_input, true)) {
      m_router->record_reached(m_address);
    }
    m_router->record_received();
  }

  // Records that the connection failed or was silent for too long, unless it had been of use before.
  void record_failure() {
    if (m_router != nullptr && !m_reused && !m_interrupted && !m_aborted && !m_has_input) {
      m_router->record_unreached(m_address);
    }
  }

  void prepare_parser() {
    m_reusable = false;
    m_body_bytes = 0;
    m_framing_bytes = 0;
    m_parser.emplace();
    m_parser->header_limit(m_max_header_bytes);
    m_parser->body_limit(boost::none);
    m_chunk_bytes_left = 0;
    m_parser->on_chunk_header(m_note_chunk);
  }

  void on_response_end() {
    m_reusable = m_parser->keep_alive() && !m_parser->need_eof() && m_unsent_bytes.empty();
    const auto server_timeout = parse_keep_alive_timeout(m_parser->get()[http::field::keep_alive]);
    m_max_idle_time = server_timeout.value_or(duration::max());
  }

  std::unique_ptr<fiber_stream> m_stream;
  bool m_reused;
  connection_history m_history;
  std::string m_address;
  std::string m_proxy;
  std::uint32_t m_max_header_bytes;
  milliseconds m_connection_loss_timeout;
  connection_router* m_router; // null: the connection leads through a proxy, or there is no router
  release_callback m_release_connection;
  duration m_max_idle_time = duration::max();
  time_point m_deadline = time_point::max();
  bool m_deadline_extended = false;
  std::uint64_t m_body_bytes = 0;       // of the current response
  std::uint64_t m_framing_bytes = 0;    // chunk headers and trailers of the current response
  std::uint64_t m_chunk_bytes_left = 0; // of the current chunk
  std::function<void(std::uint64_t, beast::string_view, boost::system::error_code&)> m_note_chunk =
      [this](std::uint64_t bytes, beast::string_view, boost::system::error_code&) {
        m_chunk_bytes_left = bytes;
      };
  // The rest of a request that the server responded to before all of it was written. With such a rest the
  // connection must not be reused: the server would read the next request as part of this one.
  std::string m_unsent_bytes;
  beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  bool m_reusable = false;
  bool m_is_head_request = false;
  bool m_interrupted = false;
  bool m_aborted = false;
  bool m_has_input = false; // data has arrived during this call
};

} // namespace

http_client::http_client(fiber_runtime& runtime, http_client_options options)
    : m_impl(std::make_shared<impl>(runtime, options)) {}

http_client::~http_client() = default;

call_result<std::unique_ptr<http_call>> http_client::open(std::string_view address) {
  return open(address, {m_impl->m_options.m_max_idle_time, m_impl->m_options.m_connect_timeout});
}

call_result<std::unique_ptr<http_call>> http_client::open(std::string_view address,
                                                          connection_options options) {
  std::string key(address);
  connection_router* const router = options.m_isolated ? nullptr : m_impl->m_router;
  const connection_route route = router != nullptr ? router->choose_route(address) : connection_route{};
  auto idle = options.m_isolated ? std::nullopt : m_impl->take_idle(key, options, route);
  const bool reused = idle.has_value();
  const time_point opened_at = reused ? idle->m_opened_at : monotonic_now();
  std::string proxy = reused ? std::move(idle->m_proxy) : std::string();
  auto stream = reused ? std::move(idle->m_stream) : nullptr;
  if (!stream) {
    auto opened = route.m_proxies.empty()
                      ? m_impl->connect(address, options.m_connect_timeout)
                      : m_impl->connect_through(address, route, options.m_connect_timeout, proxy);
    if (!opened) {
      if (router != nullptr && route.m_proxies.empty()) {
        router->record_unreached(address);
      }
      return opened.error();
    }
    stream = std::move(*opened);
  }
  auto release_connection = [pool = std::weak_ptr<impl>(m_impl), key, proxy,
                             opened_at](std::unique_ptr<fiber_stream> released, duration max_idle_time,
                                        connection_history history) {
    if (const auto alive = pool.lock()) {
      alive->put_idle(key, proxy, std::move(released), opened_at, max_idle_time, std::move(history));
    }
  };
  auto history = reused ? std::optional(std::move(idle->m_history)) : std::nullopt;
  return std::unique_ptr<http_call>(
      std::make_unique<client_call>(std::move(stream), std::move(history), key, proxy, m_impl->m_options,
                                    proxy.empty() ? router : nullptr, std::move(release_connection)));
}

void http_client::set_router(connection_router* router) {
  m_impl->m_router = router;
}

std::uint64_t http_client::connections_opened() const {
  return m_impl->m_connections_opened;
}

call_result<http_response> http_client::fetch(std::string_view address, const http_request& request,
                                              milliseconds timeout, std::size_t max_body_bytes,
                                              connection_choice connection) {
  const time_point deadline = monotonic_now() + timeout;
  const milliseconds max_idle_time =
      connection == connection_choice::fresh ? milliseconds(0) : m_impl->m_options.m_max_idle_time;
  auto opened = open(address, {max_idle_time, m_impl->m_options.m_connect_timeout});
  if (!opened) {
    return opened.error();
  }
  const auto left = std::chrono::ceil<milliseconds>(deadline - monotonic_now());
  auto response = exchange_over(**opened, request, left, max_body_bytes);
  if (connection == connection_choice::fresh) {
    (*opened)->abort();
  }
  return response;
}

call_result<http_response> exchange_over(http_call& call, const http_request& request, milliseconds timeout,
                                         std::size_t max_body_bytes) {
  call.set_deadline(monotonic_now() + timeout);
  if (auto sent = call.send(request, timeout); !sent) {
    return sent.error();
  }
  auto head = call.read_head(timeout);
  if (!head) {
    return head.error();
  }
  http_response response = std::move(*head);
  std::array<char, 8192> buffer{};
  while (true) {
    auto part = call.read_some(buffer, timeout);
    if (!part) {
      return part.error();
    }
    if (part->empty()) {
      return response;
    }
    if (response.m_body.size() + part->size() > max_body_bytes) {
      return call_error{"response over " + std::to_string(max_body_bytes) + " bytes", true};
    }
    response.m_body.append(part->data(), part->size());
  }
}

} // namespace cardamompond::net
