#pragma once

#include "cardamompond/gateway/gateway_settings.hpp"

#include <memory>
#include <string>

namespace cardamompond::daemon {

// A daemon that schedules its own requests on what it and its peers know, with the platform's store and
// protocol.
class entry_daemon {
public:
  // `settings_file` is read again when it changes.
  entry_daemon(gateway::gateway_settings settings, std::string settings_file);
  ~entry_daemon();
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  // Serves until SIGTERM and drains; returns the exit code. Throws std::runtime_error if it cannot listen.
  int run();

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
