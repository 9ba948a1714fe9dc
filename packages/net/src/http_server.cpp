#include "cardamompond/net/http_server.hpp"

#include "cardamompond/net/io_wait.hpp"
#include "http_server_impl.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>

#include <poll.h>

namespace cardamompond::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Pause after a connection could not be accepted.
constexpr milliseconds accept_retry_interval{20};

// Pause after a connection was closed to make room for another one, in which its fiber ends.
constexpr milliseconds close_interval{1};

} // namespace

bool http_server::impl::wait_for_room() {
  const auto is_full = [&] {
    return m_options.m_full_at_connections != 0 && m_connections.size() >= m_options.m_full_at_connections;
  };
  while (!m_stopping && is_full()) {
    io_wait wait;
    m_acceptor.async_wait(tcp::acceptor::wait_read, wait.handler());
    if (wait.wait()) {
      return false; // the acceptor was closed
    }
    if (!is_full()) {
      break;
    }
    if (m_runtime.input_budget().make_room_for_connection(m_budget_group, monotonic_now())) {
      boost::this_fiber::sleep_for(close_interval);
    } else {
      report_drop(request_drop::accepting_paused, m_options.m_address);
      boost::this_fiber::sleep_for(accept_retry_interval);
    }
  }
  return !m_stopping;
}

void http_server::impl::accept_loop() {
  while (!m_stopping) {
    if (!wait_for_room()) {
      return;
    }
    fiber_stream::socket_type socket(m_runtime.context());
    io_wait wait;
    m_acceptor.async_accept(socket, wait.handler());
    if (const auto error = wait.wait(); error) {
      if (m_stopping || error == asio::error::operation_aborted) {
        return;
      }
      report_drop(request_drop::accept_failure, error.message());
      boost::this_fiber::sleep_for(accept_retry_interval); // a free descriptor may be missing
      continue;
    }
    if (m_connections.size() >= m_options.m_max_connections) {
      report_drop(request_drop::too_many_connections, m_options.m_address);
      continue; // closes the socket, so that the load balancer tries another host
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<connection>(shared_from_this(), std::move(socket));
    if (!session->reserve()) {
      report_drop(request_drop::too_many_connections, "no memory for a connection");
      continue;
    }
    fiber_runtime::spawn([session] { session->serve(); }, m_options.m_stack_bytes);
  }
}

void http_server::impl::stop_accepting() {
  m_draining = true;
  m_stopping = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (auto* session : m_connections) {
    if (session->idle() && !session->has_unread_input()) {
      session->close();
    }
  }
}

bool http_server::impl::has_unread_input() {
  pollfd acceptor{m_acceptor.is_open() ? m_acceptor.native_handle() : -1, POLLIN, 0};
  return ::poll(&acceptor, 1, 0) > 0 ||
         std::any_of(m_connections.begin(), m_connections.end(),
                     [](connection* each) { return each->idle() && each->has_unread_input(); });
}

void http_server::impl::close_all() {
  stop_accepting();
  for (auto* session : m_connections) {
    session->close();
  }
}

http_server::http_server(fiber_runtime& runtime, http_server_options options, handler request_handler)
    : m_impl(std::make_shared<impl>(runtime, std::move(options), std::move(request_handler))) {
  fiber_runtime::spawn([server = m_impl] { server->accept_loop(); });
}

http_server::~http_server() {
  m_impl->close_all();
}

void http_server::set_parse_failure_responder(parse_failure_responder responder) {
  m_impl->m_parse_failure_responder = std::move(responder);
}

void http_server::set_drop_observer(drop_observer observer) {
  m_impl->m_drop_observer = std::move(observer);
}

void http_server::set_limits(std::uint32_t max_header_bytes, std::uint64_t max_body_bytes,
                             milliseconds header_timeout, milliseconds idle_timeout) {
  auto& options = m_impl->m_options;
  options.m_max_header_bytes = max_header_bytes;
  options.m_max_body_bytes = max_body_bytes;
  options.m_header_timeout = header_timeout;
  options.m_idle_timeout = idle_timeout;
}

std::uint16_t http_server::port() const {
  return m_impl->m_acceptor.local_endpoint().port();
}

void http_server::begin_drain() {
  m_impl->m_draining = true;
}

void http_server::stop_accepting() {
  m_impl->stop_accepting();
}

void http_server::close_all() {
  m_impl->close_all();
}

std::size_t http_server::connections() const {
  return m_impl->m_connections.size();
}

bool http_server::has_unread_input() const {
  return m_impl->has_unread_input();
}

std::size_t http_server::active_requests() const {
  return m_impl->m_active_requests;
}

} // namespace cardamompond::net
