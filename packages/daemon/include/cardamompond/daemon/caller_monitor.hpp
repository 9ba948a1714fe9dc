#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <list>

namespace cardamompond::daemon {

// Detects callers that have closed their connection, by polling. Without it a cancelled request would stay in
// the queue, or occupy its slot on a backend server, until the daemon next writes to the connection.
class caller_monitor {
public:
  // Watches the connection of one caller for the lifetime of the object. The callback is called at most once.
  class watch {
  public:
    watch(caller_monitor& monitor, net::http_exchange& exchange, std::function<void()> on_closed);
    ~watch();
    watch(const watch&) = delete;
    watch& operator=(const watch&) = delete;

    bool closed() const { return m_closed; }

    // Replaces the callback. It is called immediately if the connection is already known to be closed.
    void set_callback(std::function<void()> on_closed);

  private:
    friend class caller_monitor;
    caller_monitor& m_monitor;
    net::http_exchange& m_exchange;
    std::function<void()> m_on_closed;
    bool m_closed = false;
    std::list<watch*>::iterator m_position;
  };

  // Checks all watched connections once. Call it every 50 ms.
  void check();

private:
  std::list<watch*> m_watches;
};

} // namespace cardamompond::daemon
