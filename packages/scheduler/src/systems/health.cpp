#include "systems/health.hpp"

#include "servers.hpp"
#include "systems/cold_start.hpp"
#include "systems/crashes.hpp"
#include "systems/orphans.hpp"
#include "systems/prefixes.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamompond::scheduler {

namespace {

// Larger counts in a load report are treated as errors; no inference engine holds as many requests.
constexpr std::int64_t max_reported_count = 1'000'000;
constexpr double max_tokens_per_s = 1e9;
// Earlier boot identifiers are remembered so that a delayed report of an earlier process is not mistaken for
// a restart.
constexpr std::size_t max_past_boot_ids = 8;
constexpr std::size_t max_boot_id_length = 256;
// If no load report arrives, a backend server that refused a connection is tried again after this time.
constexpr seconds connect_retry_interval{1};
// Covers two load polls including their delay. A backend server that has not reported by then is assumed to
// publish no load reports.
constexpr seconds verification_timeout{5};
// A cold start is assumed when the time to first token exceeds the average by this factor, this many times in
// a row.
constexpr double slow_first_token_factor = 4;
constexpr std::uint32_t slow_first_tokens_in_a_row = 3;
// An average over fewer samples is too uncertain for a comparison.
constexpr std::uint32_t min_first_token_samples = 5;

bool is_valid_count(std::int64_t value) {
  return value >= 0 && value <= max_reported_count;
}

// Updates the boot identifier and handles a restart. Returns false if the report comes from an earlier
// process.
bool update_boot_id(scheduler_state& state, row_index server_index, const load_report_event& report) {
  server_row& server = state.m_servers[server_index];
  if (report.m_boot_id.empty() || report.m_boot_id == server.m_boot_id) {
    return true;
  }
  if (report.m_boot_id.size() > max_boot_id_length) {
    count_rejected(state, "bad_boot_id");
    return true;
  }
  const auto& past = server.m_past_boot_ids;
  if (std::find(past.begin(), past.end(), report.m_boot_id) != past.end()) {
    count_rejected(state, "old_incarnation");
    return false;
  }
  const bool restarted = !server.m_boot_id.empty();
  if (restarted) {
    server.m_past_boot_ids.push_back(std::move(server.m_boot_id));
    if (server.m_past_boot_ids.size() > max_past_boot_ids) {
      server.m_past_boot_ids.erase(server.m_past_boot_ids.begin());
    }
  }
  server.m_boot_id = report.m_boot_id;
  if (restarted) {
    server.m_last_restart = state.m_now;
    begin_cold_start(state, server);
    confirm_crashes(state, server_index);
    clear_cached_blocks(state, server_index);
  }
  return true;
}

void update_reported_counts(scheduler_state& state, row_index server_index, const load_report_event& report,
                            time_point measured) {
  server_row& server = state.m_servers[server_index];
  if (is_valid_count(report.m_running) && is_valid_count(report.m_waiting)) {
    server.m_reported_running = static_cast<std::uint32_t>(report.m_running);
    server.m_reported_waiting = static_cast<std::uint32_t>(report.m_waiting);
    release_finished_orphans(state, server_index, measured);
  } else {
    count_rejected(state, "bad_reported_load");
  }
  if (is_valid_count(report.m_slots) && report.m_slots > 0) {
    server.m_reported_slots = static_cast<std::uint32_t>(report.m_slots);
  } else {
    count_rejected(state, "bad_reported_slots");
  }
  if (std::isfinite(report.m_tokens_per_s) && report.m_tokens_per_s >= 0 &&
      report.m_tokens_per_s <= max_tokens_per_s) {
    server.m_reported_tokens_per_s = report.m_tokens_per_s;
  } else {
    count_rejected(state, "bad_reported_speed");
  }
}

void update_reported_state(scheduler_state& state, server_row& server, reported_state reported,
                           time_point measured) {
  const bool cold = reported == reported_state::cold;
  // Only the first report of the cold state begins a cold start. Repeated reports must not reset the limit,
  // which may have grown since.
  if (cold && !server.m_reported_cold && measured > server.m_cold_since) {
    begin_cold_start(state, server);
  }
  server.m_reported_cold = cold;
  server.m_reported_leaving = reported == reported_state::leaving;
}

bool has_pending_timeout(const server_row& server) {
  return server.m_refusing_connections || server.m_restart_possible;
}

} // namespace

void handle_load_report(scheduler_state& state, const load_report_event& report) {
  const row_index server_index = find_row(state.m_server_names, report.m_backend_server);
  if (server_index == no_row) {
    count_rejected(state, "unknown_backend_server");
    return;
  }
  server_row& server = state.m_servers[server_index];
  time_point measured = report.m_measured;
  if (measured > state.m_now) {
    count_rejected(state, "report_from_future");
    measured = state.m_now; // otherwise a single wrong timestamp would make all later reports look old
  }
  if (measured < server.m_last_report_measured) {
    count_rejected(state, "old_report");
    return;
  }
  if (!update_boot_id(state, server_index, report)) {
    return;
  }
  server.m_last_report_measured = measured;
  drop_suspicions(state, server_index, measured);
  server.m_failed_polls = 0;
  if (measured > server.m_refused_at) {
    server.m_refusing_connections = false;
  }
  if (measured > server.m_restart_possible_since) {
    server.m_restart_possible = false;
  }
  update_reported_counts(state, server_index, report, measured);
  update_reported_state(state, server, report.m_state, measured);
  if (!has_pending_timeout(server)) {
    state.m_servers_with_timeouts.erase(server_index);
  }
  update_server_indexes(state, server_index);
}

void handle_unreachable(scheduler_state& state, const unreachable_event& observed) {
  const row_index server_index = find_row(state.m_server_names, observed.m_backend_server);
  if (server_index == no_row) {
    count_rejected(state, "unknown_backend_server");
    return;
  }
  server_row& server = state.m_servers[server_index];
  if (server.m_failed_polls < std::numeric_limits<std::uint32_t>::max()) {
    ++server.m_failed_polls;
  }
  update_server_indexes(state, server_index);
}

void handle_host_state(scheduler_state& state, const host_state_event& observed) {
  const row_index server_index = find_row(state.m_server_names, observed.m_backend_server);
  if (server_index == no_row) {
    count_rejected(state, "unknown_backend_server");
    return;
  }
  state.m_servers[server_index].m_host_leaving = observed.m_leaving;
  update_server_indexes(state, server_index);
}

void record_connect_failure(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  server.m_refusing_connections = true;
  server.m_refused_at = state.m_now;
  server.m_retry_at = state.m_now + connect_retry_interval;
  state.m_servers_with_timeouts.insert(server_index);
  update_server_indexes(state, server_index);
}

void record_broken_connection(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  const std::uint32_t limit = std::max(std::min(server.m_cold_limit, server.m_slots), server.m_outstanding);
  server.m_restart_possible_limit =
      server.m_restart_possible ? std::min(server.m_restart_possible_limit, limit) : limit;
  server.m_restart_possible = true;
  server.m_restart_possible_since = state.m_now;
  state.m_servers_with_timeouts.insert(server_index);
  update_server_indexes(state, server_index);
}

void record_time_to_first_token(scheduler_state& state, row_index server_index, const request_row& request,
                                duration time_to_first_token) {
  server_row& server = state.m_servers[server_index];
  if (time_to_first_token <= duration{0} || request.m_cold_epoch != server.m_cold_epoch) {
    return;
  }
  const auto sample = static_cast<double>(time_to_first_token.count());
  const moving_average& average = server.m_time_to_first_token_us;
  if (average.m_samples < min_first_token_samples || sample <= slow_first_token_factor * average.m_value) {
    server.m_slow_first_tokens = 0;
    server.m_time_to_first_token_us.add(sample);
    return;
  }
  // Slow samples are left out of the average; after several in a row the average is discarded.
  if (++server.m_slow_first_tokens >= slow_first_tokens_in_a_row) {
    server.m_time_to_first_token_us = {};
    begin_cold_start(state, server);
    update_server_indexes(state, server_index);
  }
}

void expire_health_timeouts(scheduler_state& state) {
  const std::vector<row_index> server_indexes(state.m_servers_with_timeouts.begin(),
                                              state.m_servers_with_timeouts.end());
  for (const row_index server_index : server_indexes) {
    server_row& server = state.m_servers[server_index];
    if (server.m_refusing_connections && server.m_retry_at <= state.m_now) {
      server.m_refusing_connections = false;
    }
    if (server.m_restart_possible && server.m_restart_possible_since + verification_timeout <= state.m_now) {
      server.m_restart_possible = false;
      if (server.m_restart_possible_limit <= server.m_cold_limit) {
        begin_cold_start(state, server); // all connections broke and no load report has ruled out a restart
      }
    }
    if (!has_pending_timeout(server)) {
      state.m_servers_with_timeouts.erase(server_index);
    }
    update_server_indexes(state, server_index);
  }
}

} // namespace cardamompond::scheduler
