#include "systems/cold_start.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

void begin_cold_start(scheduler_state& state, server_row& server) {
  server.m_limit = std::min(server.m_cold_limit, server.m_slots);
  server.m_ramp_successes = 0;
  server.m_slow_first_tokens = 0;
  server.m_cold_since = state.m_now;
  server.m_restart_possible = false;
  ++server.m_cold_epoch;
}

void count_ramp_success(server_row& server, const request_row& request) {
  if (request.m_cold_epoch != server.m_cold_epoch || server.m_limit >= server.m_slots) {
    return;
  }
  if (++server.m_ramp_successes >= server.m_limit) {
    server.m_ramp_successes = 0;
    server.m_limit = std::min(server.m_slots, server.m_limit * 2);
  }
}

} // namespace cardamompond::scheduler
