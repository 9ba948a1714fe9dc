#include "http_server_impl.hpp"
#include "stream_tunnel.hpp"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view tunnel_response = "HTTP/1.1 200 OK\r\n\r\n";

// Time without a TCP acknowledgement after which an idle tunnel counts as lost.
constexpr milliseconds tunnel_loss_timeout{20'000};

io_error to_io_error(const boost::system::error_code& error) {
  return {error.message(), error == beast::error::timeout};
}

// The share of the idle timeout for which clients are told that they may leave a connection idle. The rest
// covers the way of their next request, and pauses of the event loop.
constexpr double stated_idle_share = 0.8;

// Returns a header "Keep-Alive: timeout=SECONDS", or nothing if the time is below a second.
std::string make_keep_alive_header(milliseconds idle_timeout) {
  const auto stated = std::chrono::floor<seconds>(idle_timeout * stated_idle_share);
  return stated.count() == 0 ? "" : "Keep-Alive: timeout=" + std::to_string(stated.count()) + "\r\n";
}

// Serialises the status line and headers of a response. Omits headers that contain line breaks, with which a
// backend server or a client could forge further headers.
std::string serialise_head(int status, const http_headers& headers, std::string_view connection_header,
                           std::string_view framing_header) {
  std::string head = "HTTP/1.1 ";
  head += std::to_string(status);
  head += ' ';
  head += std::string_view(http::obsolete_reason(static_cast<http::status>(status)));
  head += "\r\n";
  for (const auto& header : headers) {
    if (header.m_value.find_first_of("\r\n") != std::string::npos ||
        header.m_name.find_first_of("\r\n: ") != std::string::npos) {
      continue;
    }
    head.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
  }
  head.append(framing_header).append(connection_header).append("\r\n");
  return head;
}

} // namespace

io_result<success> http_server::impl::connection::write_buffers(std::span<const asio::const_buffer> buffers) {
  m_stream.expires_after(m_server->m_options.m_write_timeout);
  std::size_t written = 0;
  if (const auto error = m_stream.write(buffers, written); error) {
    m_close = true;
    return to_io_error(error);
  }
  return success{};
}

std::string http_server::impl::connection::announce_connection_use() {
  m_stated_open = m_request_keep_alive && !m_close && !m_server->m_draining;
  if (!m_stated_open) {
    return "Connection: close\r\n";
  }
  m_stated_timeout = m_server->m_options.m_idle_timeout;
  return make_keep_alive_header(m_stated_timeout);
}

io_result<success> http_server::impl::connection::respond(const http_response& response) {
  if (m_response_state != response_state::none) {
    return io_error{"answer already begun"};
  }
  const std::string head =
      serialise_head(response.m_status, response.m_headers, announce_connection_use(),
                     "Content-Length: " + std::to_string(response.m_body.size()) + "\r\n");
  const bool head_only = m_request.m_method == "HEAD";
  const bool is_long = !head_only && response.m_body.size() > fleet::input_budget::small_holding;
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head), head_only || is_long ? asio::const_buffer() : asio::buffer(response.m_body)};
  auto written = write_buffers(buffers);
  if (written && is_long) {
    written = write_long_body(response.m_body);
  }
  if (written) {
    m_response_state = response_state::finished;
  }
  return written;
}

bool http_server::impl::connection::reserve_response(std::size_t bytes) {
  const std::size_t needed =
      bytes > fleet::input_budget::small_holding ? bytes * m_server->m_options.m_body_copies : 0;
  if (!m_charge.request(m_charge.held() - m_reserved_response_bytes + needed, monotonic_now())) {
    return false;
  }
  m_reserved_response_bytes = needed;
  return true;
}

io_result<success> http_server::impl::connection::write_long_body(std::string_view body) {
  m_sends_long_response = true;
  m_charge.set_held(m_charge.held() - std::exchange(m_reserved_response_bytes, 0));
  m_charge.begin_response(body.size() * m_server->m_options.m_body_copies, monotonic_now());
  io_result<success> written = success{};
  for (std::size_t sent = 0; written && sent < body.size();) {
    const std::string_view piece = body.substr(sent, fleet::input_budget::small_holding);
    written = write_buffers(asio::buffer(piece.data(), piece.size()));
    sent += piece.size();
    m_charge.set_progress(sent);
  }
  m_sends_long_response = false;
  if (!written && m_charge.evicted()) {
    m_server->report_drop(request_drop::memory_exhausted, "the response was not read");
  }
  return written;
}

io_result<success> http_server::impl::connection::begin(int status, const http_headers& headers) {
  if (m_response_state != response_state::none) {
    return io_error{"answer already begun"};
  }
  const auto length = find_header(headers, "Content-Length");
  const bool bodiless = m_request.m_method == "HEAD" || status == 204 || status == 304;
  std::string_view framing;
  if (length || bodiless) {
    m_body_bytes_left = 0;
    if (length && !bodiless) {
      std::from_chars(length->data(), length->data() + length->size(), m_body_bytes_left);
    }
    m_response_state = response_state::fixed_length_body;
  } else if (m_client_reads_chunks) {
    framing = "Transfer-Encoding: chunked\r\n";
    m_response_state = response_state::chunked_body;
  } else {
    m_close = true;
    m_stream.set_reset_on_close(true); // until the body is complete
    m_response_state = response_state::body_to_end_of_connection;
  }
  const std::string head = serialise_head(status, headers, announce_connection_use(), framing);
  return write_buffers(asio::buffer(head));
}

io_result<success> http_server::impl::connection::write(std::span<const char> data) {
  if (data.empty()) {
    return success{};
  }
  if (m_response_state == response_state::fixed_length_body) {
    if (data.size() > m_body_bytes_left) {
      return io_error{"body longer than its Content-Length"};
    }
    m_body_bytes_left -= data.size();
    return write_buffers(asio::buffer(data.data(), data.size()));
  }
  if (m_response_state == response_state::body_to_end_of_connection) {
    return write_buffers(asio::buffer(data.data(), data.size()));
  }
  if (m_response_state != response_state::chunked_body) {
    return io_error{"no answer begun"};
  }
  std::array<char, 24> size_line{};
  const int length = std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", data.size());
  const std::array<asio::const_buffer, 3> buffers = {
      asio::buffer(size_line.data(), static_cast<std::size_t>(length)),
      asio::buffer(data.data(), data.size()), asio::buffer("\r\n", 2)};
  return write_buffers(buffers);
}

io_result<success> http_server::impl::connection::tunnel(std::string_view address,
                                                         milliseconds connect_timeout,
                                                         tunnel_activity& activity) {
  const auto endpoint = parse_address(address);
  if (!endpoint) {
    return io_error{"invalid address"};
  }
  fiber_stream server(m_server->m_runtime.context());
  server.expires_after(connect_timeout);
  if (const auto error = server.connect(*endpoint); error) {
    return to_io_error(error);
  }
  boost::system::error_code ignored;
  server.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  // A tunnel whose client or server has vanished must not stay for ever. No timeout ends one in use, since a
  // server may be silent for as long as the request allows.
  server.set_keep_alive_probes(tunnel_loss_timeout);
  m_stream.set_keep_alive_probes(tunnel_loss_timeout);
  m_close = true;
  m_response_state = response_state::finished;
  if (auto written = write_buffers(asio::buffer(tunnel_response)); !written) {
    return success{}; // the client has gone
  }
  std::string unread(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
  m_buffer.clear();
  activity = {false, monotonic_now()};
  std::make_shared<stream_tunnel>(m_stream.socket(), server.socket(), std::move(unread), activity)->run();
  return success{};
}

io_result<success> http_server::impl::connection::finish() {
  if (m_response_state == response_state::fixed_length_body) {
    if (m_body_bytes_left != 0) {
      m_close = true;
      return io_error{"body shorter than its Content-Length"};
    }
    m_response_state = response_state::finished;
    return success{};
  }
  if (m_response_state == response_state::body_to_end_of_connection) {
    if (!m_stream.socket().is_open()) {
      return io_error{"the connection was closed before the end of the body"};
    }
    m_stream.set_reset_on_close(false);
    m_response_state = response_state::finished;
    return success{};
  }
  if (m_response_state != response_state::chunked_body) {
    return io_error{"no answer begun"};
  }
  auto written = write_buffers(asio::buffer("0\r\n\r\n", 5));
  if (written) {
    m_response_state = response_state::finished;
  }
  return written;
}

} // namespace cardamompond::net
