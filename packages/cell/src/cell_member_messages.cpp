#include "cell_member_impl.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamompond::cell {
namespace {

constexpr std::size_t relays_per_target = 2; // members that are asked to probe a silent one
// Limit of the probes kept in order to forward the responses to them; beyond it the oldest is dropped.
constexpr std::size_t max_relayed_probes = 64;

} // namespace

message_header cell_member::impl::make_header(object_version receiver_version) const {
  message_header header;
  header.m_from = name();
  header.m_incarnation = m_options.m_self.m_incarnation;
  header.m_epoch = m_epoch;
  header.m_record_version = m_known_record.m_version;
  header.m_revision = m_revision;
  header.m_fault_signals_version = m_fault_signals_version;
  if (receiver_version < m_known_record.m_version) {
    header.m_record = m_known_record;
  }
  return header;
}

void cell_member::impl::send(const std::string& to, message_body body) {
  if (const auto it = m_peers.find(to); it != m_peers.end()) {
    m_actions.emplace_back(
        send_action{to, it->second.m_address, {make_header(it->second.m_record_version), std::move(body)}});
  }
}

// Replies to senders that are not registered as well, so that a removed member learns that it is connected.
void cell_member::impl::reply(const message_header& header, message_body body) {
  const auto it = m_peers.find(header.m_from);
  m_actions.emplace_back(send_action{header.m_from,
                                     it == m_peers.end() ? std::string() : it->second.m_address,
                                     {make_header(header.m_record_version), std::move(body)}});
}

void cell_member::impl::send_heartbeats(time_point now) {
  heartbeat message;
  message.m_sent_at = static_cast<std::uint64_t>(now.time_since_epoch().count());
  message.m_state = !holds_lease(now)          ? owner_state::no_lease
                    : !grant_wait_is_over(now) ? owner_state::waiting
                                               : owner_state::granting;
  message.m_limits_version = m_sent_limits_version;
  message.m_platform_failed = m_platform_failed;
  for (const auto& [peer_name, peer] : m_peers) {
    message.m_limits.reset();
    if (peer.m_limits_version != m_sent_limits_version) {
      message.m_limits = m_limits;
    }
    send(peer_name, message);
  }
}

// Sends probes to all members, or to the one other than the owner that was probed least recently, chosen at
// random among equals. Probing the members in turn bounds the time in which two members do not hear each
// other.
void cell_member::impl::send_probes(time_point now, bool all) {
  std::vector<std::string> targets;
  for (const auto& [peer_name, peer] : m_peers) {
    if (all || peer_name != m_known_record.m_record.m_owner) {
      targets.push_back(peer_name);
    }
  }
  if (!all && !targets.empty()) {
    std::shuffle(targets.begin(), targets.end(), m_random);
    const auto next =
        std::min_element(targets.begin(), targets.end(), [&](const auto& left, const auto& right) {
          return m_peers.find(left)->second.m_last_probed < m_peers.find(right)->second.m_last_probed;
        });
    m_peers.find(*next)->second.m_last_probed = now;
    targets = {*next};
  }
  for (const auto& target : targets) {
    send(target, probe{m_next_sequence++});
  }
}

void cell_member::impl::request_relays(const std::string& target, time_point now) {
  std::vector<std::string> candidates;
  for (const auto& [peer_name, peer] : m_peers) {
    if (peer_name != target && heard_within(peer, now, m_options.m_timing.m_contact_timeout)) {
      candidates.push_back(peer_name);
    }
  }
  for (std::size_t i = 0; i < relays_per_target && !candidates.empty(); ++i) {
    const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_random() % candidates.size());
    send(*chosen, relay_request{m_next_sequence++, target});
    candidates.erase(chosen);
  }
}

std::optional<std::uint32_t> cell_member::impl::ms_since_owner_heard(time_point now) const {
  const auto heard = holds_lease(now) ? std::optional(now) : m_owner_last_heard;
  if (!heard) {
    return std::nullopt;
  }
  // Rounded up, so that the reported time is never too short.
  const auto age = std::chrono::ceil<milliseconds>(now - *heard).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age, std::numeric_limits<std::uint32_t>::max()));
}

void cell_member::impl::record_owner_heard(std::uint64_t epoch, std::optional<std::uint32_t> age_ms,
                                           time_point now) {
  if (epoch != m_epoch || !age_ms) {
    return;
  }
  const time_point heard = now - milliseconds(*age_ms);
  m_lease_last_seen = std::max(m_lease_last_seen.value_or(heard), heard);
  m_any_lease_last_seen = std::max(m_any_lease_last_seen.value_or(heard), heard);
  m_rejoin_delay = m_options.m_timing.m_initial_rejoin_delay;
}

void cell_member::impl::update_peer_versions(const message_header& header, peer_state& peer) {
  peer.m_record_version = std::max(peer.m_record_version, header.m_record_version);
  if (peer.m_revision != header.m_revision ||
      peer.m_fault_signals_version != header.m_fault_signals_version) {
    peer.m_revision = header.m_revision;
    peer.m_fault_signals_version = header.m_fault_signals_version;
    m_actions.emplace_back(
        peer_versions_action{header.m_from, header.m_revision, header.m_fault_signals_version});
  }
}

std::vector<cell_action> cell_member::impl::receive(const cell_message& message, time_point now) {
  update_clock(now);
  const auto& header = message.m_header;
  if (has_ended() || header.m_from == name()) {
    return collect_actions(now);
  }
  if (m_handed_over_at) {
    // Any message of the successor in the new epoch confirms the hand-over.
    m_left = m_left || (m_successor == header.m_from && header.m_epoch >= m_epoch);
    return collect_actions(now);
  }
  if (header.m_record) {
    adopt_record(header.m_record->m_record, header.m_record->m_version, now);
  }
  raise_epoch(header.m_epoch, now);
  const auto it = m_peers.find(header.m_from);
  peer_state* peer = nullptr;
  if (it != m_peers.end() && it->second.m_incarnation == header.m_incarnation) {
    peer = &it->second;
    peer->m_last_heard = now;
    update_peer_versions(header, *peer);
  } else if (it != m_peers.end() && it->second.m_incarnation > header.m_incarnation) {
    return collect_actions(now); // sent by a process that has been replaced
  } else if (m_is_owner) {
    m_early_read_requested = true; // the sender has registered since the last read or is about to
  }
  std::visit([&](const auto& body) { handle(header, body, peer, now); }, message.m_body);
  return collect_actions(now);
}

void cell_member::impl::handle(const message_header& header, const heartbeat& body, peer_state* peer,
                               time_point now) {
  // A member that knows a newer epoch does not acknowledge heartbeats of an older one. The majorities of the
  // two owners have a member in common, so the older lease cannot be renewed.
  const bool accepted = peer != nullptr && header.m_epoch == m_epoch &&
                        m_known_record.m_record.m_epoch == m_epoch &&
                        m_known_record.m_record.m_owner == header.m_from && m_registered;
  if (accepted) {
    m_owner_lacks_platform = body.m_platform_failed;
    if (body.m_state != owner_state::no_lease) {
      m_owner_last_heard = now;
      record_owner_heard(m_epoch, 0, now);
    }
    if (body.m_limits && body.m_limits_version != m_received_limits_version) {
      m_received_limits_version = body.m_limits_version;
      if (m_limits != *body.m_limits) {
        m_limits = *body.m_limits;
        m_actions.emplace_back(limits_action{m_limits});
      }
    }
  }
  reply(header, heartbeat_ack{body.m_sent_at, accepted, m_received_limits_version});
}

void cell_member::impl::handle(const message_header& header, const heartbeat_ack& body, peer_state* peer,
                               time_point now) {
  const time_point sent{duration(body.m_sent_at)};
  if (peer == nullptr || !m_is_owner || !body.m_accepted || header.m_epoch != m_epoch || sent > now) {
    return;
  }
  peer->m_acknowledged_heartbeat_sent_at =
      std::max(peer->m_acknowledged_heartbeat_sent_at.value_or(sent), sent);
  peer->m_limits_version = body.m_limits_version;
  update_lease(now);
}

void cell_member::impl::handle(const message_header& header, const probe& body, peer_state* /*peer*/,
                               time_point now) {
  reply(header, probe_ack{body.m_sequence, ms_since_owner_heard(now)});
}

void cell_member::impl::handle(const message_header& header, const probe_ack& body, peer_state* peer,
                               time_point now) {
  if (peer != nullptr) {
    peer->m_last_probe_ack = now;
  }
  record_owner_heard(header.m_epoch, body.m_ms_since_owner_heard, now);
  const auto it =
      std::find_if(m_relayed_probes.begin(), m_relayed_probes.end(),
                   [&](const relayed_probe& relayed) { return relayed.m_sequence == body.m_sequence; });
  if (it != m_relayed_probes.end()) {
    send(it->m_origin, relay_reply{it->m_origin_sequence, header.m_from, header.m_incarnation, header.m_epoch,
                                   body.m_ms_since_owner_heard});
    m_relayed_probes.erase(it);
  }
}

void cell_member::impl::handle(const message_header& header, const relay_request& body, peer_state* peer,
                               time_point /*now*/) {
  if (peer == nullptr || !m_peers.contains(body.m_target)) {
    return;
  }
  if (m_relayed_probes.size() == max_relayed_probes) {
    m_relayed_probes.pop_front();
  }
  m_relayed_probes.push_back({m_next_sequence, header.m_from, body.m_sequence});
  send(body.m_target, probe{m_next_sequence++});
}

void cell_member::impl::handle(const message_header& /*header*/, const relay_reply& body,
                               peer_state* /*peer*/, time_point now) {
  if (const auto it = m_peers.find(body.m_target);
      it != m_peers.end() && it->second.m_incarnation == body.m_target_incarnation) {
    it->second.m_heard_by_relay = now;
  }
  record_owner_heard(body.m_target_epoch, body.m_ms_since_owner_heard, now);
}

void cell_member::impl::handle(const message_header& header, const handover& body, peer_state* /*peer*/,
                               time_point now) {
  reply(header, probe_ack{0, ms_since_owner_heard(now)}); // makes the sender stop repeating the hand-over
  if (!body.m_earlier_leases_ended || !m_is_owner || header.m_epoch != m_epoch) {
    return;
  }
  m_skip_grant_wait = true;
  if (m_grant_allowed_from) {
    m_grant_allowed_from = std::min(*m_grant_allowed_from, now);
  }
}

void cell_member::impl::handle(const message_header& /*header*/, const leave_notice& /*body*/,
                               peer_state* /*peer*/, time_point /*now*/) {
  // Nothing to do: the record in the header has been adopted already.
}

} // namespace cardamompond::cell
