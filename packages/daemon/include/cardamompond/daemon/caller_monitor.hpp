#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <list>

namespace cardamompond::daemon {

// Looks regularly whether callers have closed their connections, so that a cancelled request releases its
// place in the queue or its backend server even while nothing is written to it.
class caller_monitor {
public:
  // Watches one caller as long as it lives. The callback is called at most once.
  class watch {
  public:
    watch(caller_monitor& monitor, net::http_exchange& exchange, std::function<void()> on_closed);
    ~watch();
    watch(const watch&) = delete;
    watch& operator=(const watch&) = delete;

    bool closed() const { return m_closed; }

    // Replaces the callback; called at once if the caller has been found closed already.
    void set_callback(std::function<void()> on_closed);

  private:
    friend class caller_monitor;
    caller_monitor& m_monitor;
    net::http_exchange& m_exchange;
    std::function<void()> m_on_closed;
    bool m_closed = false;
    std::list<watch*>::iterator m_position;
  };

  // Checks all callers once. Call it every 50 ms.
  void check();

private:
  std::list<watch*> m_watches;
};

} // namespace cardamompond::daemon
