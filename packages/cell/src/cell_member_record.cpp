#include "cell_member_impl.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace cardamompond::cell {
namespace {

// A platform call counts as failed if it has not completed after this many times its time-out.
constexpr int max_call_timeouts = 4;

// After each conflict a member waits for a random time before its next read. The maximum of this time grows
// by conflict_backoff with each conflict, at most max_conflict_backoffs times, which spreads members that
// register at the same time.
constexpr milliseconds conflict_backoff{50};
constexpr std::uint32_t max_conflict_backoffs = 8;

// Minimum time between two reads that are caused by the state of the peers.
constexpr milliseconds early_read_interval{150};

} // namespace

void cell_member::impl::record_platform_result(bool reachable, time_point now) {
  m_platform_failed = !reachable;
  if (reachable) {
    m_platform_last_answered = now;
  }
}

void cell_member::impl::start_read(time_point now) {
  m_early_read_requested = false;
  m_last_read_started = now;
  // The random part keeps the members of many cells from polling at the same time after an outage.
  const bool owner_with_lease = m_is_owner && holds_lease(now);
  const bool for_owner_without_platform = m_owner_lacks_platform && m_registered && !m_leaving_since;
  const duration poll_interval =
      for_owner_without_platform
          ? m_options.m_timing.m_owner_outage_read_interval + milliseconds(m_random() % 1000)
          : m_options.m_timing.m_poll_interval + milliseconds(m_random() % 250);
  m_next_read =
      now + (!m_is_owner && !m_polling_record            ? poll_interval
             : has_silent_peer(now) || !owner_with_lease ? m_options.m_timing.m_degraded_read_interval
                                                         : m_options.m_timing.m_owner_read_interval);
  m_platform_call = platform_call{m_next_request_id++, now, std::nullopt};
  m_actions.emplace_back(read_action{m_platform_call->m_request_id, cell_key(m_options.m_cell),
                                     m_options.m_timing.m_platform_timeout});
}

void cell_member::impl::start_write(cell_record proposed, time_point now) {
  m_platform_call = platform_call{m_next_request_id++, now, proposed};
  m_actions.emplace_back(write_action{m_platform_call->m_request_id, cell_key(m_options.m_cell),
                                      encode(proposed), m_known_record.m_version,
                                      m_options.m_timing.m_platform_timeout});
}

bool cell_member::impl::has_silent_peer(time_point now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
    return time_since_heard(entry.second, now) >= m_options.m_timing.m_suspicion_timeout;
  });
}

bool cell_member::impl::read_is_due(time_point now) const {
  if (m_early_read_requested && now - m_last_read_started >= early_read_interval) {
    return true;
  }
  // A member that may take over reads the record at once, unless the last platform call failed.
  if (!m_platform_failed && now - m_last_read_started >= early_read_interval && m_registered &&
      !m_leaving_since && decide_takeover(now)) {
    return true;
  }
  if (m_is_owner && now - m_last_read_started >= m_options.m_timing.m_degraded_read_interval &&
      has_silent_peer(now)) {
    return true;
  }
  if (now < m_next_read) {
    return false;
  }
  // A member that hears the owner reads the record only if the owner seems not to reach the platform.
  return m_is_owner || m_polling_record || m_owner_lacks_platform || !m_registered || m_leaving_since ||
         time_since_owner_lease(now) >= m_options.m_timing.m_takeover_timeout;
}

// Decides whether this member reads the cell record in addition to the owner. An owner that reaches the
// platform removes silent members before a minority may remove the members of the majority and take over. If
// a member has been silent for silence_limit, the owner may not reach the platform. Then the members must
// read the record to notice a newer epoch, after which they no longer acknowledge the old owner. They
// continue until they have heard all registered members, because a member that has restarted counts as silent
// from the start. silence_limit is at least two probe cycles, since the members of a large cell hear each
// other less often.
void cell_member::impl::update_record_polling(time_point now) {
  const auto& timing = m_options.m_timing;
  const duration two_probe_cycles = 2 * static_cast<int>(m_peers.size()) * timing.m_heartbeat_interval;
  // This member may learn of a new member up to this time after the new member has begun to count how long
  // the others are silent.
  const duration record_delay =
      timing.m_owner_read_interval + timing.m_platform_timeout + 2 * timing.m_heartbeat_interval;
  const duration silence_limit =
      std::max<duration>(timing.m_minority_removal_timeout - record_delay, two_probe_cycles);
  if (!m_polling_record) {
    m_polling_record = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
      return time_since_heard(entry.second, now) >= silence_limit;
    });
    m_early_read_requested = m_early_read_requested || m_polling_record;
  } else {
    m_polling_record = !std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
      return heard_within(entry.second, now, two_probe_cycles + timing.m_contact_timeout);
    });
  }
}

void cell_member::impl::poll_platform(time_point now) {
  update_record_polling(now);
  if (m_platform_call &&
      now - m_platform_call->m_started >= max_call_timeouts * m_options.m_timing.m_platform_timeout) {
    m_platform_call.reset();
    record_platform_result(false, now);
  }
  if (!m_platform_call && (read_is_due(now) || (m_leaving_since == now && m_early_read_requested))) {
    start_read(now);
  }
}

std::vector<cell_action> cell_member::impl::complete_read(std::uint64_t request_id,
                                                          const store_result<stored_value>& outcome,
                                                          time_point now) {
  update_clock(now);
  if (!m_platform_call || m_platform_call->m_request_id != request_id || m_platform_call->m_proposed_record) {
    return collect_actions(now);
  }
  m_platform_call.reset();
  if (outcome) {
    if (auto record = decode_cell_record(outcome->m_value)) {
      record_platform_result(true, now);
      adopt_record(*record, outcome->m_version, now);
      m_ownership_unconfirmed = false;
    } else {
      // A malformed record is not overwritten: an operator must look at it.
      record_platform_result(false, now);
      return collect_actions(now);
    }
  } else if (outcome.error().m_kind == store_error_kind::not_found) {
    record_platform_result(true, now);
    // The object was never created, or an operator has deleted it. The members create it again.
    m_known_record.m_version = 0;
    m_registered = false;
    m_is_owner = false;
  } else {
    record_platform_result(false, now);
    return collect_actions(now);
  }
  if (!has_ended()) {
    if (auto proposed = decide_write(now)) {
      start_write(std::move(*proposed), now);
    }
  }
  return collect_actions(now);
}

std::vector<cell_action> cell_member::impl::complete_write(std::uint64_t request_id,
                                                           const store_result<object_version>& outcome,
                                                           time_point now) {
  update_clock(now);
  if (!m_platform_call || m_platform_call->m_request_id != request_id ||
      !m_platform_call->m_proposed_record) {
    return collect_actions(now);
  }
  const cell_record proposed = std::move(*m_platform_call->m_proposed_record);
  m_platform_call.reset();
  const auto kind = outcome ? store_error_kind::conflict : outcome.error().m_kind;
  if (outcome) {
    record_platform_result(true, now);
    m_consecutive_conflicts = 0;
    adopt_record(proposed, *outcome, now);
    if (m_leaving_since && !has_ended() && proposed.find(name()) == nullptr) {
      finish_leaving(now);
    }
  } else if (kind == store_error_kind::conflict || kind == store_error_kind::not_found) {
    record_platform_result(true, now);
    m_consecutive_conflicts = std::min(m_consecutive_conflicts + 1, max_conflict_backoffs);
    m_next_read = now + milliseconds(m_random() % (conflict_backoff.count() * m_consecutive_conflicts));
  } else if (kind == store_error_kind::outcome_unknown) {
    m_next_read = now; // reading the record shows whether the write took effect
  } else {
    record_platform_result(false, now);
  }
  return collect_actions(now);
}

void cell_member::impl::raise_epoch(std::uint64_t epoch, time_point now) {
  if (epoch <= m_epoch) {
    return;
  }
  m_epochs_without_lease = m_lease_last_seen || m_held_lease_in_epoch ? 0 : m_epochs_without_lease + 1;
  m_held_lease_in_epoch = false;
  m_epoch = epoch;
  m_epoch_since = now;
  m_owner_last_heard.reset();
  m_lease_last_seen.reset();
  m_received_limits_version = 0;
  m_is_owner = false;
  m_lease_until = now;
  m_grant_allowed_from.reset();
  m_skip_grant_wait = false;
}

void cell_member::impl::adopt_record(const cell_record& record, object_version version, time_point now) {
  if (version <= m_known_record.m_version) {
    return;
  }
  m_known_record = {record, version};
  raise_epoch(record.m_epoch, now);
  const auto* self = record.find(name());
  m_superseded = self != nullptr && self->m_incarnation > m_options.m_self.m_incarnation;
  const bool registered = self != nullptr && self->m_incarnation == m_options.m_self.m_incarnation;
  if (registered && !m_registered) {
    m_registered_since = now;
    m_was_registered = true;
    m_any_lease_last_seen = m_any_lease_last_seen.value_or(now);
    m_newly_registered = true;
  } else if (!registered && m_registered) {
    m_rejoin_at = now + m_rejoin_delay;
  }
  m_registered = registered;
  synchronise_peers(now);
  if (std::exchange(m_newly_registered, false)) {
    // The others learn of this member from the record that the probes carry, and need not read it.
    send_probes(now, true);
  }
  if (!registered || record.m_owner != name() || record.m_epoch != m_epoch) {
    m_is_owner = false;
  } else if (!m_is_owner) {
    begin_ownership(now);
  } else {
    update_lease(now);
  }
}

void cell_member::impl::synchronise_peers(time_point now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const auto* member = m_known_record.m_record.find(it->first);
    if (member != nullptr && member->m_incarnation == it->second.m_incarnation) {
      ++it;
      continue;
    }
    if (m_is_owner && !it->second.m_reported_lost) {
      m_actions.emplace_back(member_lost_action{it->first, it->second.m_incarnation});
    }
    it = m_peers.erase(it);
  }
  for (const auto& member : m_known_record.m_record.m_members) {
    if (member.m_name != name()) {
      const auto [it, added] = m_peers.try_emplace(member.m_name);
      auto& peer = it->second;
      if (added) {
        m_last_member_added = now;
        peer.m_incarnation = member.m_incarnation;
        peer.m_known_since = now;
      }
      peer.m_address = member.m_address;
    }
  }
}

void cell_member::impl::begin_ownership(time_point now) {
  m_is_owner = true;
  m_owned_epoch = m_epoch;
  m_grant_allowed_from.reset();
  m_skip_grant_wait = false;
  m_ownership_unconfirmed = false;
  m_earlier_leases_ended = false;
  m_sent_limits_version = 1;
  for (auto& [peer_name, peer] : m_peers) {
    peer.m_acknowledged_heartbeat_sent_at.reset();
    peer.m_limits_version = 0;
    peer.m_reported_found = false;
    peer.m_reported_lost = false;
  }
  update_lease(now);
  if (!m_leaving_since) {
    m_next_periodic_send = now + m_options.m_timing.m_heartbeat_interval;
    send_heartbeats(now);
  }
}

void cell_member::impl::update_lease(time_point now) {
  const time_point previous = m_lease_until;
  const std::size_t required_acknowledgements = m_known_record.m_record.majority() - 1;
  if (required_acknowledgements == 0) {
    // A sole member renews its lease with each tick, so that it loses the lease if its process is paused.
    m_lease_until = now + m_options.m_timing.m_lease_duration;
  } else {
    std::vector<time_point> acknowledged;
    for (const auto& [peer_name, peer] : m_peers) {
      if (peer.m_acknowledged_heartbeat_sent_at) {
        acknowledged.push_back(*peer.m_acknowledged_heartbeat_sent_at);
      }
    }
    if (acknowledged.size() < required_acknowledgements) {
      m_lease_until = now;
      return;
    }
    std::nth_element(acknowledged.begin(),
                     acknowledged.begin() + static_cast<std::ptrdiff_t>(required_acknowledgements - 1),
                     acknowledged.end(), std::greater<>());
    m_lease_until = acknowledged[required_acknowledgements - 1] + m_options.m_timing.m_lease_duration;
  }
  if (!holds_lease(now)) {
    return;
  }
  // If the lease has been lost for at least cell_timing::m_removal_timeout, a minority may meanwhile have
  // removed the members that acknowledge these heartbeats, without their knowledge. Ownership must then be
  // confirmed by a read.
  if (m_grant_allowed_from && now - previous >= m_options.m_timing.m_removal_timeout) {
    m_ownership_unconfirmed = true;
    m_early_read_requested = true;
  }
  if (!m_grant_allowed_from) {
    // The wait starts with the first majority of this epoch rather than with the write, because a member that
    // does not know this epoch yet may still renew the lease of the previous one. The member that created the
    // object has no predecessor to wait for.
    const duration wait = m_options.m_timing.m_lease_duration + m_options.m_timing.m_permit_lifetime;
    m_grant_allowed_from = m_skip_grant_wait || m_epoch == 1 ? now : now + wait;
  }
}

} // namespace cardamompond::cell
