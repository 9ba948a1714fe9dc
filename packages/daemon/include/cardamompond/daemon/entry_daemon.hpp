#pragma once

#include "cardamompond/gateway/gateway_settings.hpp"

#include <memory>
#include <string>

namespace cardamompond::daemon {

// A daemon that schedules its own requests, based on its own observations and those reported by its peers.
// Uses the object store and the request protocol of the platform.
class entry_daemon {
public:
  // `settings_file` is the path of the settings; the file is read again whenever it changes. Throws
  // std::runtime_error if an address cannot be bound.
  entry_daemon(gateway::gateway_settings settings, std::string settings_file);
  ~entry_daemon();
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  // Serves until SIGTERM or SIGINT, then drains. Returns the exit code.
  int run();

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
