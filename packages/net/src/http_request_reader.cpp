#include "http_server_impl.hpp"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// After the close of a connection, a request that the client sent before it noticed the close arrives in this
// time.
constexpr milliseconds crossing_time{500};

// After an error response, what the client is still sending is read up to this amount, for this long in all,
// and as long as it does not pause.
constexpr std::size_t max_discarded_bytes = 1U << 20U;
constexpr milliseconds max_discard_time{2'000};
constexpr milliseconds max_discard_pause{500};

// Memory of a connection beside its buffers: the stack of its fiber and its objects. 600 connections without
// a request took 10 KB each; a handler touches more of the stack, which then stays in memory.
constexpr std::size_t connection_bytes = 32U << 10U;

// The read buffer of a body that is not small, and the size above which the buffer of an idle connection is
// freed.
constexpr std::size_t large_read_bytes = 16U << 10U;
constexpr std::size_t max_idle_buffer_bytes = 4U << 10U;

} // namespace

bool http_server::impl::connection::serve_one() {
  m_in_request = false;
  m_response_state = response_state::none;
  if (m_buffer.size() == 0 && !wait_for_request()) {
    return false;
  }
  if (m_charge.evicted()) {
    return false;
  }
  m_in_request = true;
  m_charge.begin_request(monotonic_now());
  ++m_server->m_active_requests;
  try {
    if (read_request()) {
      m_server->m_handler(*this);
    }
  } catch (const std::exception& error) {
    m_close = true; // the client must not take a partial response for a complete one
    m_server->report_drop(request_drop::handler_failure, error.what());
  }
  stop_watching_disconnect();
  --m_server->m_active_requests;
  m_in_request = false;
  m_idle_since = monotonic_now();
  m_request = {};
  trim_buffer();
  m_reserved_response_bytes = 0;
  m_charge.set_held(held_bytes(0));
  m_charge.end_request(m_idle_since);
  // In a drain, a client whose response had begun before may still use the connection for another request.
  return m_response_state == response_state::finished && m_stated_open && !m_server->m_stopping;
}

bool http_server::impl::connection::wait_for_request() {
  // The limit may become longer during the wait. A shorter one holds from the next response on.
  const auto idle_until = [&] {
    return m_idle_since + std::max(m_stated_timeout, m_server->m_options.m_idle_timeout);
  };
  while (!m_stream.wait_readable_until(idle_until())) {
    if (monotonic_now() >= idle_until()) {
      return false;
    }
  }
  return true;
}

void http_server::impl::connection::close_gracefully() {
  boost::system::error_code error;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
  const time_point closed_at = monotonic_now();
  if (error || !m_stream.wait_readable_until(closed_at + crossing_time)) {
    return;
  }
  if (const std::size_t bytes = m_stream.socket().available(error); !error && bytes > 0) {
    const auto to_ms = [](duration value) {
      return std::to_string(std::chrono::duration_cast<milliseconds>(value).count());
    };
    m_server->report_drop(request_drop::crossed_close, std::to_string(bytes) + " bytes arrived " +
                                                           to_ms(monotonic_now() - closed_at) +
                                                           " ms after the close; the last request ended " +
                                                           to_ms(closed_at - m_idle_since) + " ms before it");
  }
}

// Reads of a request. They charge the read buffer, which the caller has enlarged before, and fail with
// asio::error::no_memory if there is no room or the request was evicted.
class http_server::impl::connection::reader {
public:
  explicit reader(connection& owner)
      : m_owner(owner) {}

  template <typename Buffers>
  std::size_t read_some(const Buffers& buffers, boost::system::error_code& error) {
    auto& charge = m_owner.m_charge;
    if (!charge.request(m_owner.held_bytes(m_owner.m_unfinished_body->m_data.capacity()), monotonic_now())) {
      error = asio::error::no_memory;
      return 0;
    }
    const std::size_t bytes = m_owner.m_stream.read_some(buffers, error);
    if (charge.evicted()) {
      error = asio::error::no_memory;
      return 0;
    }
    m_received += bytes;
    charge.set_progress(m_received);
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
  connection& m_owner;
  std::uint64_t m_received = 0;
};

std::size_t http_server::impl::connection::held_bytes(std::size_t body_bytes) const {
  // The parser holds the header a second time.
  return connection_bytes + 2 * m_buffer.capacity() + body_bytes;
}

bool http_server::impl::connection::reserve_body(std::size_t bytes) {
  return m_charge.request(held_bytes(bytes), monotonic_now());
}

void http_server::impl::connection::release_input() {
  if (m_unfinished_body != nullptr) {
    std::string().swap(m_unfinished_body->m_data);
  }
  m_charge.set_held(held_bytes(0));
}

void http_server::impl::connection::trim_buffer() {
  if (m_buffer.size() == 0 && m_buffer.capacity() > max_idle_buffer_bytes) {
    m_buffer.shrink_to_fit();
  }
}

void http_server::impl::connection::evict(fleet::eviction kind) {
  if (!m_in_request) {
    m_charge.set_held(0); // the fiber ends as soon as it runs
    close();
    return;
  }
  release_input();
  if (kind == fleet::eviction::close || m_sends_long_response) {
    close();
  } else {
    m_stream.cancel();
  }
}

bool http_server::impl::connection::read_request() {
  bool header_done = false;
  const auto error = read_message(header_done);
  m_unfinished_body = nullptr;
  if (error) {
    handle_read_error(error, header_done);
  }
  return !error;
}

boost::system::error_code http_server::impl::connection::read_message(bool& header_done) {
  http::request_parser<charged_body> parser;
  parser.header_limit(m_server->m_options.m_max_header_bytes);
  parser.body_limit(m_server->m_options.m_max_body_bytes);
  m_unfinished_body = &parser.get().body();
  m_unfinished_body->m_memory = this;
  reader input(*this);
  // The buffer must be able to hold a whole header. Larger bodies pass through it in pieces.
  m_buffer.max_size(m_server->m_options.m_max_header_bytes + (64U << 10U));
  boost::system::error_code error;
  m_stream.expires_after(m_server->m_options.m_header_timeout);
  http::read_header(input, m_buffer, parser, error);
  header_done = parser.is_header_done();
  if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!write_buffers(asio::buffer(continue_response.data(), continue_response.size()))) {
      return asio::error::connection_aborted;
    }
  }
  while (!error && !parser.is_done()) {
    if (m_unfinished_body->m_data.size() > max_idle_buffer_bytes && m_buffer.capacity() < large_read_bytes) {
      m_buffer.reserve(large_read_bytes);
    }
    m_stream.expires_after(m_server->m_options.m_idle_timeout);
    http::read_some(input, m_buffer, parser, error);
  }
  if (error) {
    return error;
  }
  auto message = parser.release();
  m_unfinished_body = &message.body();
  m_request_keep_alive = message.keep_alive();
  constexpr unsigned first_version_with_chunks = 11; // HTTP/1.1
  m_client_reads_chunks = message.version() >= first_version_with_chunks;
  m_request.m_method = message.method_string();
  m_request.m_target = message.target();
  m_request.m_headers.clear();
  for (const auto& field : message) {
    m_request.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  std::string& body = message.body().m_data;
  const std::size_t copies =
      body.capacity() > fleet::input_budget::small_holding ? m_server->m_options.m_body_copies : 1;
  if (!m_charge.request(held_bytes(body.capacity() * copies), monotonic_now())) {
    return asio::error::no_memory;
  }
  m_charge.complete_request();
  m_request.m_body = std::move(body);
  return {};
}

void http_server::impl::connection::handle_read_error(const boost::system::error_code& error,
                                                      bool header_done) {
  if (error == beast::error::timeout) {
    m_server->report_drop(header_done ? request_drop::body_timeout : request_drop::header_timeout,
                          error.message());
    return; // the stream has closed the socket
  }
  if (error == asio::error::no_memory) {
    m_server->report_drop(request_drop::memory_exhausted, m_charge.evicted() ? "evicted" : "no room");
    if (m_stream.socket().is_open()) {
      respond_to_parse_failure(http_parse_failure::memory_exhausted);
    }
  } else if (error == http::error::body_limit) {
    respond_to_parse_failure(http_parse_failure::body_too_large);
  } else if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    respond_to_parse_failure(http_parse_failure::header_too_large);
  } else if (error.category() == http::make_error_code(http::error::bad_target).category() &&
             error != http::error::end_of_stream && error != http::error::partial_message) {
    respond_to_parse_failure(http_parse_failure::bad_request);
  } else if (error != http::error::end_of_stream && m_stream.socket().is_open()) {
    m_server->report_drop(request_drop::client_closed, error.message());
  }
}

void http_server::impl::connection::respond_to_parse_failure(http_parse_failure failure) {
  m_close = true;
  m_request_keep_alive = false;
  http_response response;
  if (m_server->m_parse_failure_responder) {
    response = m_server->m_parse_failure_responder(failure);
  } else {
    response.m_status = failure == http_parse_failure::bad_request        ? 400
                        : failure == http_parse_failure::body_too_large   ? 413
                        : failure == http_parse_failure::memory_exhausted ? 503
                                                                          : 431;
    if (failure == http_parse_failure::memory_exhausted) {
      response.m_headers.push_back({"Retry-After", "1"});
    }
  }
  // Nothing that has arrived is needed any more.
  m_buffer.clear();
  m_buffer.shrink_to_fit();
  m_charge.set_held(held_bytes(0));
  if (respond(response)) {
    discard_input();
  }
}

// Closing a socket with unread data would reset the connection, and the client could lose the response before
// it has read it.
void http_server::impl::connection::discard_input() {
  boost::system::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> discard{};
  const time_point until = monotonic_now() + max_discard_time;
  for (std::size_t total = 0; total < max_discarded_bytes && !ignored;) {
    m_stream.expires_at(std::min<time_point>(monotonic_now() + max_discard_pause, until));
    total += m_stream.read_some(asio::buffer(discard), ignored);
  }
}

void http_server::impl::connection::notify_on_disconnect(std::function<void()> on_disconnect) {
  m_on_disconnect = std::move(on_disconnect);
  if (m_buffer.size() > 0) {
    return; // the next request has already arrived
  }
  m_stream.socket().async_wait(fiber_stream::socket_type::wait_read,
                               [self = shared_from_this()](boost::system::error_code error) {
                                 if (!error && self->m_on_disconnect && self->client_closed()) {
                                   std::exchange(self->m_on_disconnect, nullptr)();
                                 }
                               });
}

void http_server::impl::connection::stop_watching_disconnect() {
  if (m_on_disconnect) {
    m_on_disconnect = nullptr;
    m_stream.cancel();
  }
}

bool http_server::impl::connection::client_closed() {
  return m_stream.input_ended();
}

} // namespace cardamompond::net
