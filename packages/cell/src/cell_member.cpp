#include "cell_member_impl.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::cell {
namespace {

// Ticks come every 50 ms, so a gap longer than this means that this process was paused. Messages that did not
// arrive during the pause say nothing about the other members, so it does not count as their silence.
constexpr milliseconds pause_threshold{400};

constexpr milliseconds handover_resend{100}; // the hand-over is repeated at this interval until confirmed

} // namespace

cell_member::impl::impl(cell_member_options options, time_point now)
    : m_options(std::move(options))
    , m_random(m_options.m_seed)
    , m_now(now)
    , m_running_since(now)
    , m_next_periodic_send(now)
    , m_epoch_since(now)
    , m_lease_until(now)
    , m_next_read(now)
    , m_last_read_started(now)
    , m_last_member_added(now)
    , m_registered_since(now)
    , m_rejoin_at(now)
    , m_rejoin_delay(m_options.m_timing.m_initial_rejoin_delay) {}

void cell_member::impl::update_clock(time_point now) {
  if (now - m_now > pause_threshold) {
    m_running_since = now;
  }
  m_now = std::max(m_now, now);
}

std::vector<cell_action> cell_member::impl::collect_actions(time_point now) {
  update_status(now);
  if (m_is_owner) {
    report_member_changes(now);
  }
  return std::exchange(m_actions, {});
}

std::vector<cell_action> cell_member::impl::tick(time_point now) {
  update_clock(now);
  if (has_ended()) {
    return collect_actions(now);
  }
  if (m_handed_over_at) {
    if (!m_successor || now - *m_handed_over_at >= m_options.m_timing.m_takeover_timeout) {
      m_left = true;
    } else if (now >= m_next_periodic_send) {
      m_next_periodic_send = now + handover_resend;
      send(*m_successor, handover{m_earlier_leases_ended});
    }
    return collect_actions(now);
  }
  if (m_leaving_since && now - *m_leaving_since >= m_options.m_timing.m_leave_timeout) {
    m_left = true;
    return collect_actions(now);
  }
  if (now >= m_next_periodic_send) {
    m_next_periodic_send = now + m_options.m_timing.m_heartbeat_interval;
    send_periodic_messages(now);
  }
  if (m_is_owner && m_known_record.m_record.majority() == 1) {
    update_lease(now);
  }
  poll_platform(now);
  return collect_actions(now);
}

void cell_member::impl::send_periodic_messages(time_point now) {
  if (m_is_owner) {
    send_heartbeats(now);
    for (const auto& [peer_name, peer] : m_peers) {
      if (time_since_heard(peer, now) >= m_options.m_timing.m_suspicion_timeout) {
        request_relays(peer_name, now);
      }
    }
    return;
  }
  const bool suspects_owner =
      !m_registered || time_since_owner_lease(now) >= m_options.m_timing.m_suspicion_timeout;
  send_probes(now, suspects_owner);
  if (const auto& owner = m_known_record.m_record.m_owner; suspects_owner && m_peers.contains(owner)) {
    request_relays(owner, now);
  }
}

bool cell_member::impl::heard_within(const peer_state& peer, time_point now, duration limit) const {
  return peer.m_last_heard && now - *peer.m_last_heard <= limit;
}

// Returns how long the peer has been silent. Silence counts from the time at which the peer became known and
// from the end of the last pause of this process at the earliest.
duration cell_member::impl::time_since_heard(const peer_state& peer, time_point now) const {
  return now - std::max({peer.m_known_since, m_running_since, peer.m_last_heard.value_or(peer.m_known_since),
                         peer.m_heard_by_relay.value_or(peer.m_known_since)});
}

// Returns the time since the owner of the current epoch was last known to hold its lease, but at most the
// time since the epoch began or since the last pause of this process ended.
duration cell_member::impl::time_since_owner_lease(time_point now) const {
  return now - std::max({m_epoch_since, m_running_since, m_lease_last_seen.value_or(m_epoch_since)});
}

// Returns the number of live members, including this one.
std::size_t cell_member::impl::live_member_count(time_point now) const {
  return 1 + static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
           return heard_within(entry.second, now, m_options.m_timing.m_contact_timeout);
         }));
}

std::vector<std::string> cell_member::impl::live_members(time_point now) const {
  std::vector<std::string> names{name()};
  for (const auto& [peer_name, peer] : m_peers) {
    if (heard_within(peer, now, m_options.m_timing.m_contact_timeout)) {
      names.push_back(peer_name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

bool cell_member::impl::platform_reachable(time_point now) const {
  return !m_platform_failed || (m_platform_last_answered &&
                                now - *m_platform_last_answered < m_options.m_timing.m_no_lease_timeout);
}

bool cell_member::impl::may_grant(time_point now) const {
  return holds_lease(now) && grant_wait_is_over(now) && !m_ownership_unconfirmed && !m_leaving_since &&
         !has_ended();
}

void cell_member::impl::set_limits(std::vector<backend_limit> limits) {
  if (limits != m_limits) {
    m_limits = std::move(limits);
    ++m_sent_limits_version;
  }
}

std::vector<cell_action> cell_member::impl::leave(time_point now) {
  update_clock(now);
  if (!m_leaving_since && !has_ended()) {
    m_earlier_leases_ended = m_is_owner && grant_wait_is_over(now);
    m_leaving_since = now;
    m_early_read_requested = true;
    poll_platform(now);
  }
  return collect_actions(now);
}

cell_role cell_member::impl::role_without_lease(time_point now) const {
  const auto limit = m_options.m_timing.m_no_lease_timeout;
  if ((m_any_lease_last_seen && now - *m_any_lease_last_seen < limit) || platform_reachable(now)) {
    return m_is_owner ? cell_role::owner_waiting : cell_role::member;
  }
  const bool peer_heard = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
    return heard_within(entry.second, now, limit);
  });
  return peer_heard && m_registered ? cell_role::fallback : cell_role::isolated;
}

cell_status cell_member::impl::current_status(time_point now) const {
  cell_status status;
  status.m_epoch = m_epoch;
  if (has_ended()) {
    status.m_role = m_left ? cell_role::left : cell_role::superseded;
    return status;
  }
  if (m_leaving_since) {
    status.m_role = cell_role::leaving;
  } else if (!m_was_registered) {
    status.m_role = cell_role::starting;
  } else if (holds_lease(now)) {
    status.m_role =
        grant_wait_is_over(now) && !m_ownership_unconfirmed ? cell_role::owner : cell_role::owner_waiting;
  } else {
    status.m_role = role_without_lease(now);
  }
  if (m_is_owner) {
    status.m_owner = name();
    status.m_owner_address = m_options.m_self.m_address;
  } else if (const auto it = m_peers.find(m_known_record.m_record.m_owner);
             it != m_peers.end() && m_known_record.m_record.m_epoch == m_epoch && m_lease_last_seen &&
             now - *m_lease_last_seen < m_options.m_timing.m_no_lease_timeout) {
    status.m_owner = it->first;
    status.m_owner_address = it->second.m_address;
  }
  if (status.m_role == cell_role::fallback) {
    status.m_may_refuse_top_tier_from = m_status.m_role == cell_role::fallback
                                            ? m_status.m_may_refuse_top_tier_from
                                            : now + m_options.m_timing.m_fallback_refusal_delay;
  }
  return status;
}

void cell_member::impl::update_status(time_point now) {
  if (holds_lease(now)) {
    m_any_lease_last_seen = now;
    m_held_lease_in_epoch = true;
    m_rejoin_delay = m_options.m_timing.m_initial_rejoin_delay;
    // During fallback the members dispatched requests without this owner's knowledge, so it must wait again
    // while its tables are rebuilt.
    if (m_status.m_role == cell_role::fallback || m_status.m_role == cell_role::isolated) {
      m_grant_allowed_from = now + m_options.m_timing.m_lease_duration + m_options.m_timing.m_permit_lifetime;
    }
  }
  if (auto status = current_status(now); status != m_status) {
    m_status = std::move(status);
    m_actions.emplace_back(status_action{m_status});
  }
}

void cell_member::impl::report_member_changes(time_point now) {
  for (auto& [peer_name, peer] : m_peers) {
    if (heard_within(peer, now, m_options.m_timing.m_contact_timeout)) {
      if (!peer.m_reported_found || peer.m_reported_lost) {
        peer.m_reported_found = true;
        peer.m_reported_lost = false;
        m_actions.emplace_back(member_found_action{peer_name, peer.m_incarnation});
      }
    } else if (!peer.m_reported_lost &&
               time_since_heard(peer, now) >= m_options.m_timing.m_member_lost_timeout) {
      peer.m_reported_lost = true;
      m_actions.emplace_back(member_lost_action{peer_name, peer.m_incarnation});
    }
  }
}

cell_member::cell_member(cell_member_options options, time_point now)
    : m_impl(std::make_unique<impl>(std::move(options), now)) {}
cell_member::~cell_member() = default;
cell_member::cell_member(cell_member&&) noexcept = default;
cell_member& cell_member::operator=(cell_member&&) noexcept = default;

std::vector<cell_action> cell_member::tick(time_point now) {
  return m_impl->tick(now);
}
std::vector<cell_action> cell_member::receive(const cell_message& message, time_point now) {
  return m_impl->receive(message, now);
}
std::vector<cell_action> cell_member::complete_read(std::uint64_t request_id,
                                                    const store_result<stored_value>& outcome,
                                                    time_point now) {
  return m_impl->complete_read(request_id, outcome, now);
}
std::vector<cell_action> cell_member::complete_write(std::uint64_t request_id,
                                                     const store_result<object_version>& outcome,
                                                     time_point now) {
  return m_impl->complete_write(request_id, outcome, now);
}
std::vector<cell_action> cell_member::leave(time_point now) {
  return m_impl->leave(now);
}
void cell_member::set_local_versions(std::uint64_t revision, std::uint64_t fault_signals_version) {
  m_impl->m_revision = revision;
  m_impl->m_fault_signals_version = fault_signals_version;
}
void cell_member::set_limits(std::vector<backend_limit> limits) {
  m_impl->set_limits(std::move(limits));
}
bool cell_member::may_grant(time_point now) const {
  return m_impl->may_grant(now);
}
const cell_status& cell_member::status() const {
  return m_impl->m_status;
}
const cell_record& cell_member::record() const {
  return m_impl->m_known_record.m_record;
}
std::span<const backend_limit> cell_member::limits() const {
  return m_impl->m_limits;
}
std::vector<std::string> cell_member::live_members(time_point now) const {
  return m_impl->live_members(now);
}
bool cell_member::platform_reachable(time_point now) const {
  return m_impl->platform_reachable(now);
}

} // namespace cardamompond::cell
