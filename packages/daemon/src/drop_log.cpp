#include "cardamompond/daemon/drop_log.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <utility>

namespace cardamompond::daemon {
namespace {

constexpr duration line_interval = seconds(60);

} // namespace

std::string_view to_string(net::request_drop cause) {
  switch (cause) {
  case net::request_drop::header_timeout:
    return "header_timeout";
  case net::request_drop::body_timeout:
    return "body_timeout";
  case net::request_drop::client_closed:
    return "client_closed";
  case net::request_drop::crossed_close:
    return "crossed_close";
  case net::request_drop::memory_exhausted:
    return "memory_exhausted";
  case net::request_drop::too_many_connections:
    return "too_many_connections";
  case net::request_drop::accepting_paused:
    return "accepting_paused";
  case net::request_drop::accept_failure:
    return "accept_failure";
  case net::request_drop::handler_failure:
    break;
  }
  return "handler_failure";
}

void drop_log::record(net::request_drop cause, std::string_view detail, time_point now) {
  auto& state = m_causes.at(static_cast<std::size_t>(cause));
  ++state.m_since_line;
  m_metrics.set_counter("cardamompond_requests_dropped_total", "cause", to_string(cause),
                        static_cast<double>(++state.m_total));
  if (now >= state.m_next_line) {
    state.m_next_line = now + line_interval;
    log_event(
        log_level::warning, "request_dropped",
        {{"cause", to_string(cause)}, {"reason", detail}, {"count", std::exchange(state.m_since_line, 0)}});
  }
}

} // namespace cardamompond::daemon
