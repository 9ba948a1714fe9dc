#pragma once

#include "cardamompond/daemon/settings.hpp"

#include <memory>

namespace cardamompond::daemon {

// One daemon process: owns all parts and wires them together.
class cell_daemon {
public:
  // Throws std::runtime_error with one line if an address cannot be bound.
  explicit cell_daemon(settings config);
  ~cell_daemon();

  // Serves until the process is asked to stop (SIGTERM or SIGINT) or a newer incarnation of this daemon is
  // registered. Returns the exit code: 0 after a graceful shutdown, 1 if requests were cut by a second signal
  // or by the drain timeout, 3 if it was superseded.
  int run();

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
