#include "cell_member_impl.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::cell {
namespace {

// Limits the takeover delay to 8 times cell_timing::m_takeover_timeout.
constexpr std::uint32_t max_epochs_without_lease = 4;

} // namespace

std::optional<cell_record> cell_member::impl::decide_write(time_point now) {
  if (m_leaving_since) {
    return decide_leave(now);
  }
  if (!m_registered) {
    return decide_registration(now);
  }
  if (holds_lease(now)) {
    return decide_removal(now);
  }
  return decide_takeover(now);
}

// Returns the live member whose acknowledged heartbeat was sent last, or an empty name if no live member has
// acknowledged one.
std::string cell_member::impl::choose_successor(time_point now) const {
  std::string best;
  std::optional<time_point> best_time;
  for (const auto& [peer_name, peer] : m_peers) {
    if (heard_within(peer, now, m_options.m_timing.m_contact_timeout) &&
        peer.m_acknowledged_heartbeat_sent_at &&
        (!best_time || *peer.m_acknowledged_heartbeat_sent_at > *best_time)) {
      best = peer_name;
      best_time = peer.m_acknowledged_heartbeat_sent_at;
    }
  }
  return best;
}

std::optional<cell_record> cell_member::impl::decide_leave(time_point now) {
  if (!m_registered) {
    finish_leaving(now); // the reply to the write was lost, or another member has removed this one
    return std::nullopt;
  }
  cell_record next = m_known_record.m_record;
  next.remove(name());
  if (m_is_owner) {
    ++next.m_epoch;
    next.m_owner = choose_successor(now);
  }
  return next;
}

void cell_member::impl::finish_leaving(time_point now) {
  // As the owner, this member knew that all leases before its epoch had expired. It does not know this of an
  // epoch that another member has begun since.
  const bool successor_may_skip_wait =
      m_earlier_leases_ended && m_known_record.m_record.m_epoch == m_owned_epoch + 1;
  m_handed_over_at = now;
  m_next_periodic_send = now + m_options.m_timing.m_heartbeat_interval / 2;
  for (const auto& [peer_name, peer] : m_peers) {
    if (successor_may_skip_wait && peer_name == m_known_record.m_record.m_owner) {
      m_successor = peer_name;
      send(peer_name, handover{true});
    } else {
      send(peer_name, leave_notice{});
    }
  }
  m_left = !m_successor;
}

std::optional<cell_record> cell_member::impl::decide_registration(time_point now) {
  if (m_was_registered && m_known_record.m_version != 0) {
    // This member was removed while it was alive. If it hears no other member, it would only be removed
    // again.
    const bool connected = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
      return heard_within(entry.second, now, m_options.m_timing.m_contact_timeout);
    });
    if (!connected && now < m_rejoin_at) {
      return std::nullopt;
    }
    m_rejoin_delay = std::min<duration>(2 * m_rejoin_delay, m_options.m_timing.m_max_rejoin_delay);
    m_rejoin_at = now + m_rejoin_delay;
  }
  cell_record next = m_known_record.m_version == 0 ? cell_record{m_epoch, {}, {}} : m_known_record.m_record;
  if (next.m_owner == name()) {
    next.m_owner.clear(); // the owner is an older incarnation, which this process replaces
  }
  next.set(m_options.m_self);
  if (next.m_members.size() == 1) {
    ++next.m_epoch;
    next.m_owner = name();
  }
  return next;
}

std::optional<cell_record> cell_member::impl::decide_removal(time_point now) const {
  cell_record next = m_known_record.m_record;
  for (const auto& [peer_name, peer] : m_peers) {
    if (time_since_heard(peer, now) >= m_options.m_timing.m_removal_timeout) {
      next.remove(peer_name);
    }
  }
  if (next.m_members.size() == m_known_record.m_record.m_members.size()) {
    return std::nullopt;
  }
  return next;
}

std::optional<cell_record> cell_member::impl::decide_takeover(time_point now) const {
  const auto& timing = m_options.m_timing;
  cell_record next = m_known_record.m_record;
  if (holds_lease(now)) {
    return std::nullopt;
  }
  // If the record names no owner, there is no owner to wait for. Several consecutive epochs without a lease
  // mean that takeovers do not help, so the delay is doubled to bound the number of writes.
  const auto doublings = std::clamp(m_epochs_without_lease, 1U, max_epochs_without_lease) - 1;
  const duration takeover_delay = m_known_record.m_record.m_owner.empty()
                                      ? duration{}
                                      : duration(timing.m_takeover_timeout) * (1U << doublings);
  // This check comes before any removal of members, because the owner must not be removed if only this member
  // does not hear it.
  if (time_since_owner_lease(now) < takeover_delay) {
    return std::nullopt;
  }
  const std::size_t live_count = live_member_count(now);
  if (live_count < next.majority()) {
    // Silence counts only since the owner's epoch began and since this member registered. Earlier silence
    // says nothing about the owner, which may have been alive when it removed this member, and which may read
    // the record only every cell_timing::m_owner_read_interval.
    if (now - std::max(m_epoch_since, m_registered_since) < timing.m_minority_removal_timeout) {
      return std::nullopt;
    }
    for (const auto& [peer_name, peer] : m_peers) {
      if (time_since_heard(peer, now) >= timing.m_minority_removal_timeout) {
        next.remove(peer_name);
      }
    }
    if (live_count < next.majority()) {
      return std::nullopt;
    }
  } else if (m_is_owner) {
    return std::nullopt; // a majority is live, and its acknowledgements will renew the lease
  }
  const auto names = live_members(now);
  const auto before_self = std::count_if(names.begin(), names.end(), [&](const std::string& other) {
    return other < name() && other != m_known_record.m_record.m_owner;
  });
  if (time_since_owner_lease(now) < takeover_delay + before_self * timing.m_takeover_stagger) {
    return std::nullopt;
  }
  // The live majority may include recently added members that the owner does not know yet, so the owner may
  // still hold its lease by a majority of the older record. The takeover is delayed so that the owner reads
  // the record or loses its lease before the wait of its successor is over.
  if (!next.m_owner.empty() && now - m_last_member_added < timing.m_takeover_timeout) {
    return std::nullopt;
  }
  // A takeover needs a recent response of another member to a probe. It says when the other member last heard
  // the owner, which time_since_owner_lease() takes into account.
  const bool confirmed =
      live_count == 1 || std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        return entry.second.m_last_probe_ack &&
               now - *entry.second.m_last_probe_ack <= timing.m_contact_timeout;
      });
  if (!confirmed) {
    return std::nullopt;
  }
  next.m_epoch = std::max(next.m_epoch, m_epoch) + 1;
  next.m_owner = name();
  return next;
}

} // namespace cardamompond::cell
