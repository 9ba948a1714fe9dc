#pragma once

#include "cardamompond/daemon/settings.hpp"

#include <memory>

namespace cardamompond::daemon {

// The daemon process of a cell member: obtains permits from the owner of its cell. Owns and connects all
// components of the process.
class cell_daemon {
public:
  // Throws std::runtime_error with a one-line message if an address cannot be bound.
  explicit cell_daemon(settings config);
  ~cell_daemon();

  // Serves until the process is asked to stop (SIGTERM or SIGINT) or a newer incarnation of this daemon is
  // registered. Returns the exit code: 0 after a graceful shutdown, 1 if requests were aborted because of a
  // second signal or the drain timeout, 3 if it was superseded.
  int run();

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
