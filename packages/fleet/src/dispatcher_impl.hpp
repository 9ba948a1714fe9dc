#pragma once

#include "dispatch_tables.hpp"
#include "overload_control.hpp"

namespace cardamompond::fleet {

class dispatcher::impl {
public:
  dispatch_tables m_tables;
  time_point m_peer_loads_expired; // last call of expire_peer_loads
  time_point m_speeds_updated;     // last call of update_combined_speeds
  time_point m_limits_updated;     // last call of update_limits
  time_point m_last_tick;

  void erase_unlisted_servers();

  // Erases the row of a server that is no longer listed, after its last request.
  void erase_if_unused(const server_row& server) {
    if (!server.m_listed && server.m_own_running == 0) {
      erase_unlisted_servers();
    }
  }

  // Removes a running request. Returns its server, or null if the request is unknown or the server is gone.
  server_row* erase_running(ticket request);

  // Records that the server did not take a running request that is about to be removed.
  void withdraw_grant(ticket request, time_point now) {
    if (const auto found = m_tables.m_running.find(request); found != m_tables.m_running.end()) {
      withdraw_controlled_grant(m_tables, found->second, now);
    }
  }
};

} // namespace cardamompond::fleet
