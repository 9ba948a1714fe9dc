#include "systems/crashes.hpp"

#include "systems/queueing.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

constexpr std::chrono::minutes record_lifetime{10};
constexpr std::size_t min_crashed_servers_for_quarantine = 2;
// Bound the memory that records of broken connections and records from peers can occupy.
constexpr std::size_t max_crash_records = 4096;
constexpr std::size_t max_servers_per_record = 8;
constexpr std::size_t max_broken_dispatches_per_server = 4096;
// An unconfirmed suspicion lasts long enough for two load polls including their delay, and longer while the
// backend server does not answer at all.
constexpr seconds suspicion_timeout{5};
constexpr seconds suspicion_timeout_unreachable{60};

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

crash_row* find_or_add_crash(scheduler_state& state, const hash128& fingerprint) {
  if (fingerprint == hash128{}) {
    return nullptr; // an all-zero fingerprint means that none was computed
  }
  const auto found = state.m_crashes.find(fingerprint);
  if (found != state.m_crashes.end()) {
    return &found->second;
  }
  if (state.m_crashes.size() >= max_crash_records) {
    count_rejected(state, "too_many_crash_records");
    return nullptr;
  }
  crash_row& crash = state.m_crashes[fingerprint];
  crash.m_expires = state.m_now + record_lifetime;
  return &crash;
}

void mark_crashes_changed(scheduler_state& state) {
  ++state.m_fault_signals_version;
  state.m_crashes_changed = true;
}

void add_crashed_server(crash_row& crash, const std::string& server) {
  if (!contains(crash.m_crashed_servers, server) && crash.m_crashed_servers.size() < max_servers_per_record) {
    crash.m_crashed_servers.push_back(server);
  }
  crash.m_quarantined =
      crash.m_quarantined || crash.m_crashed_servers.size() >= min_crashed_servers_for_quarantine;
}

void confirm_crash(scheduler_state& state, const hash128& fingerprint, const std::string& server,
                   time_point broken_at) {
  crash_row* crash = find_or_add_crash(state, fingerprint);
  if (crash == nullptr || broken_at <= crash->m_cleared_at) {
    return; // the content has completed successfully since
  }
  std::erase_if(crash->m_unconfirmed, [&](const auto& pending) { return pending.m_server == server; });
  std::erase(crash->m_cleared_servers, server);
  add_crashed_server(*crash, server);
  crash->m_expires = state.m_now + record_lifetime;
  mark_crashes_changed(state);
}

void drop_unconfirmed(scheduler_state& state, const hash128& fingerprint, const std::string& server) {
  if (crash_row* crash = find_crash(state, fingerprint); crash != nullptr) {
    std::erase_if(crash->m_unconfirmed, [&](const auto& pending) { return pending.m_server == server; });
  }
}

bool is_unreachable(const scheduler_state& state, const std::string& name) {
  const row_index server_index = find_row(state.m_server_names, name);
  return server_index != no_row && (state.m_servers[server_index].m_failed_polls > 0 ||
                                    state.m_servers[server_index].m_refusing_connections);
}

bool is_removable(const crash_row& crash) {
  return !is_suspicious(crash) && !crash.m_quarantined && crash.m_cleared_servers.empty() &&
         crash.m_outstanding == 0;
}

bool merge_crash(scheduler_state& state, const crash_record& record) {
  if (record.m_expires <= state.m_now) {
    return false;
  }
  if (const crash_row* known = find_crash(state, record.m_fingerprint); known != nullptr) {
    const bool nothing_new = std::all_of(
        record.m_backend_servers.begin(), record.m_backend_servers.end(), [&](const auto& server) {
          return contains(known->m_crashed_servers, server) || contains(known->m_cleared_servers, server);
        });
    if (nothing_new && (known->m_quarantined || !record.m_quarantined)) {
      return false;
    }
  }
  crash_row* crash = find_or_add_crash(state, record.m_fingerprint);
  if (crash == nullptr) {
    return false;
  }
  for (const std::string& server : record.m_backend_servers) {
    if (!contains(crash->m_cleared_servers, server)) {
      add_crashed_server(*crash, server);
    }
  }
  crash->m_quarantined = crash->m_quarantined || record.m_quarantined;
  // A peer whose clock is wrong must not block content for longer than a locally observed crash would.
  const time_point latest = state.m_now + record_lifetime;
  crash->m_expires = std::min(latest, record.m_expires);
  return true;
}

} // namespace

crash_row* find_crash(scheduler_state& state, const hash128& fingerprint) {
  const auto found = state.m_crashes.find(fingerprint);
  return found == state.m_crashes.end() || found->second.m_expires <= state.m_now ? nullptr : &found->second;
}

const crash_row* find_crash(const scheduler_state& state, const hash128& fingerprint) {
  const auto found = state.m_crashes.find(fingerprint);
  return found == state.m_crashes.end() || found->second.m_expires <= state.m_now ? nullptr : &found->second;
}

bool is_suspicious(const crash_row& crash) {
  return !crash.m_crashed_servers.empty() || !crash.m_unconfirmed.empty();
}

void suspect_content(scheduler_state& state, const request_row& request) {
  server_row& server = state.m_servers[request.m_server];
  if (server.m_last_restart > request.m_granted) {
    // The load report that showed the restart arrived before the broken connection was noticed.
    confirm_crash(state, request.m_fingerprint, server.m_name, state.m_now);
    return;
  }
  crash_row* crash = find_or_add_crash(state, request.m_fingerprint);
  if (crash == nullptr || server.m_broken_dispatches.size() >= max_broken_dispatches_per_server) {
    return;
  }
  crash->m_unconfirmed.push_back({server.m_name, state.m_now});
  server.m_broken_dispatches.push_back({request.m_fingerprint, state.m_now});
  state.m_crashes_changed = true;
}

void confirm_crashes(scheduler_state& state, row_index server_index) {
  const std::vector<broken_dispatch> broken = std::move(state.m_servers[server_index].m_broken_dispatches);
  state.m_servers[server_index].m_broken_dispatches.clear();
  for (const broken_dispatch& dispatch : broken) {
    if (dispatch.m_broken_at + suspicion_timeout_unreachable > state.m_now) {
      confirm_crash(state, dispatch.m_fingerprint, state.m_servers[server_index].m_name,
                    dispatch.m_broken_at);
    }
  }
}

void drop_suspicions(scheduler_state& state, row_index server_index, time_point measured) {
  server_row& server = state.m_servers[server_index];
  std::erase_if(server.m_broken_dispatches, [&](const broken_dispatch& dispatch) {
    if (dispatch.m_broken_at >= measured) {
      return false;
    }
    drop_unconfirmed(state, dispatch.m_fingerprint, server.m_name);
    return true;
  });
}

void clear_suspicion(scheduler_state& state, const request_row& request) {
  crash_row* crash = find_crash(state, request.m_fingerprint);
  if (crash == nullptr || crash->m_quarantined || !is_suspicious(*crash)) {
    return;
  }
  for (std::string& server : crash->m_crashed_servers) {
    crash->m_cleared_servers.push_back(std::move(server));
  }
  crash->m_crashed_servers.clear();
  crash->m_unconfirmed.clear();
  crash->m_cleared_at = state.m_now;
  // The record is kept until the peers' records of these crashes have expired, too.
  crash->m_expires = state.m_now + record_lifetime;
  mark_crashes_changed(state);
}

void apply_crash_records_to_queue(scheduler_state& state) {
  if (!state.m_crashes_changed) {
    return;
  }
  state.m_crashes_changed = false;
  std::vector<request_key> quarantined;
  for (auto& [key, request] : state.m_requests) {
    if (request.m_state != request_state::waiting) {
      continue;
    }
    const crash_row* crash = find_crash(state, request.m_fingerprint);
    if (crash == nullptr) {
      continue;
    }
    if (crash->m_quarantined) {
      quarantined.push_back(key);
    } else if (is_suspicious(*crash) && !request.m_isolated) {
      isolate_request(state, request);
    }
  }
  std::sort(quarantined.begin(), quarantined.end(), [](const request_key& a, const request_key& b) {
    return std::tie(a.m_daemon, a.m_sequence) < std::tie(b.m_daemon, b.m_sequence);
  });
  for (const request_key key : quarantined) {
    dequeue(state, state.m_requests.at(key));
    refuse_request(state, key, error_code::crashing_request, "the content crashed two backend servers");
  }
}

void expire_crashes(scheduler_state& state) {
  for (auto entry = state.m_crashes.begin(); entry != state.m_crashes.end();) {
    crash_row& crash = entry->second;
    std::erase_if(crash.m_unconfirmed, [&](const unconfirmed_crash& pending) {
      const seconds timeout =
          is_unreachable(state, pending.m_server) ? suspicion_timeout_unreachable : suspicion_timeout;
      return pending.m_broken_at + timeout <= state.m_now;
    });
    const bool expired = crash.m_expires <= state.m_now && crash.m_outstanding == 0;
    state.m_fault_signals_version += expired ? 1 : 0;
    entry = expired || is_removable(crash) ? state.m_crashes.erase(entry) : std::next(entry);
  }
}

void merge_crashes(scheduler_state& state, const std::vector<crash_record>& records) {
  bool changed = false;
  for (const crash_record& record : records) {
    if (record.m_fingerprint == hash128{}) {
      count_rejected(state, "bad_crash_record");
      continue;
    }
    changed = merge_crash(state, record) || changed;
  }
  if (changed) {
    mark_crashes_changed(state);
  }
}

std::vector<crash_record> list_crash_records(const scheduler_state& state) {
  std::vector<crash_record> records;
  for (const auto& [fingerprint, crash] : state.m_crashes) {
    if ((crash.m_quarantined || !crash.m_crashed_servers.empty()) && crash.m_expires > state.m_now) {
      records.push_back({fingerprint, crash.m_crashed_servers, crash.m_quarantined, crash.m_expires});
    }
  }
  std::sort(records.begin(), records.end(), [](const crash_record& a, const crash_record& b) {
    return std::tie(a.m_fingerprint.m_high, a.m_fingerprint.m_low) <
           std::tie(b.m_fingerprint.m_high, b.m_fingerprint.m_low);
  });
  return records;
}

} // namespace cardamompond::scheduler
