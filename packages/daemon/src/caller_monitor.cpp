#include "cardamompond/daemon/caller_monitor.hpp"

#include <utility>
#include <vector>

namespace cardamompond::daemon {

caller_monitor::watch::watch(caller_monitor& monitor, net::http_exchange& exchange,
                             std::function<void()> on_closed)
    : m_monitor(monitor)
    , m_exchange(exchange)
    , m_on_closed(std::move(on_closed))
    , m_position(monitor.m_watches.insert(monitor.m_watches.end(), this)) {}

caller_monitor::watch::~watch() {
  m_monitor.m_watches.erase(m_position);
}

void caller_monitor::watch::set_callback(std::function<void()> on_closed) {
  m_on_closed = std::move(on_closed);
  if (m_closed && m_on_closed) {
    std::exchange(m_on_closed, nullptr)();
  }
}

void caller_monitor::check() {
  // Callbacks only wake fibers and close sockets, so no watch is destroyed during the loop.
  for (watch* each : m_watches) {
    if (!each->m_closed && each->m_exchange.client_closed()) {
      each->m_closed = true;
      if (each->m_on_closed) {
        std::exchange(each->m_on_closed, nullptr)();
      }
    }
  }
}

} // namespace cardamompond::daemon
