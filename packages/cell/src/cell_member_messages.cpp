#include "cell_member_impl.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamompond::cell {
namespace {

constexpr std::size_t relays = 2;              // members asked to probe a silent one
constexpr std::size_t max_relayed_probes = 64; // kept for forwarding the answers; the oldest is dropped

} // namespace

message_header cell_member::impl::make_header(object_version receiver_version) const {
  message_header header;
  header.m_from = name();
  header.m_incarnation = m_options.m_self.m_incarnation;
  header.m_epoch = m_epoch;
  header.m_record_version = m_known.m_version;
  header.m_revision = m_revision;
  header.m_signals_version = m_signals_version;
  if (receiver_version < m_known.m_version) {
    header.m_record = m_known;
  }
  return header;
}

void cell_member::impl::send(const std::string& to, message_body body) {
  if (const auto it = m_peers.find(to); it != m_peers.end()) {
    m_actions.emplace_back(
        send_action{to, it->second.m_address, {make_header(it->second.m_record_version), std::move(body)}});
  }
}

// Answers also members that are not registered: a removed member learns from the answer that it is connected.
void cell_member::impl::reply(const message_header& header, message_body body) {
  const auto it = m_peers.find(header.m_from);
  m_actions.emplace_back(send_action{header.m_from,
                                     it == m_peers.end() ? std::string() : it->second.m_address,
                                     {make_header(header.m_record_version), std::move(body)}});
}

void cell_member::impl::send_heartbeats(time_point now) {
  heartbeat beat;
  beat.m_sent_at = static_cast<std::uint64_t>(now.time_since_epoch().count());
  beat.m_state = !holds_lease(now)    ? owner_state::no_lease
                 : !wait_is_over(now) ? owner_state::waiting
                                      : owner_state::granting;
  beat.m_limits_version = m_own_limits_version;
  beat.m_platform_failed = m_platform_failed;
  for (const auto& [peer_name, peer] : m_peers) {
    beat.m_limits.reset();
    if (peer.m_limits_version != m_own_limits_version) {
      beat.m_limits = m_limits;
    }
    send(peer_name, beat);
  }
}

// To all members, or to the one that has waited longest, at random among equals: taking turns bounds the time
// in which two members do not hear each other.
void cell_member::impl::send_probes(time_point now, bool all) {
  std::vector<std::string> targets;
  for (const auto& [peer_name, peer] : m_peers) {
    if (all || peer_name != m_known.m_record.m_owner) {
      targets.push_back(peer_name);
    }
  }
  if (!all && !targets.empty()) {
    std::shuffle(targets.begin(), targets.end(), m_random);
    const auto next =
        std::min_element(targets.begin(), targets.end(), [&](const auto& left, const auto& right) {
          return m_peers.find(left)->second.m_probed < m_peers.find(right)->second.m_probed;
        });
    m_peers.find(*next)->second.m_probed = now;
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
  for (std::size_t i = 0; i < relays && !candidates.empty(); ++i) {
    const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_random() % candidates.size());
    send(*chosen, relay_request{m_next_sequence++, target});
    candidates.erase(chosen);
  }
}

std::optional<std::uint32_t> cell_member::impl::owner_age_ms(time_point now) const {
  const auto heard = holds_lease(now) ? std::optional(now) : m_owner_heard;
  if (!heard) {
    return std::nullopt;
  }
  // Rounded up, so that the age is never too low.
  const auto age = std::chrono::ceil<milliseconds>(now - *heard).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(age, std::numeric_limits<std::uint32_t>::max()));
}

void cell_member::impl::note_owner_age(std::uint64_t epoch, std::optional<std::uint32_t> age_ms,
                                       time_point now) {
  if (epoch != m_epoch || !age_ms) {
    return;
  }
  const time_point heard = now - milliseconds(*age_ms);
  m_lease_evidence = std::max(m_lease_evidence.value_or(heard), heard);
  m_lease_known = std::max(m_lease_known.value_or(heard), heard);
  m_rejoin_wait = m_options.m_timing.m_initial_rejoin_delay;
}

void cell_member::impl::note_versions(const message_header& header, peer_state& peer) {
  peer.m_record_version = std::max(peer.m_record_version, header.m_record_version);
  if (peer.m_revision != header.m_revision || peer.m_signals_version != header.m_signals_version) {
    peer.m_revision = header.m_revision;
    peer.m_signals_version = header.m_signals_version;
    m_actions.emplace_back(peer_versions_action{header.m_from, header.m_revision, header.m_signals_version});
  }
}

std::vector<cell_action> cell_member::impl::receive(const cell_message& message, time_point now) {
  advance(now);
  const auto& header = message.m_header;
  if (ended() || header.m_from == name()) {
    return finish(now);
  }
  if (m_handed_over) {
    m_left = m_left || (m_heir == header.m_from && header.m_epoch >= m_epoch);
    return finish(now);
  }
  if (header.m_record) {
    adopt_record(header.m_record->m_record, header.m_record->m_version, now);
  }
  raise_epoch(header.m_epoch, now);
  const auto it = m_peers.find(header.m_from);
  peer_state* peer = nullptr;
  if (it != m_peers.end() && it->second.m_incarnation == header.m_incarnation) {
    peer = &it->second;
    peer->m_heard = now;
    note_versions(header, *peer);
  } else if (it != m_peers.end() && it->second.m_incarnation > header.m_incarnation) {
    return finish(now); // from a process that has been replaced
  } else if (m_owning) {
    m_read_soon = true; // the sender has registered since the last read, or is about to
  }
  std::visit([&](const auto& body) { handle(header, body, peer, now); }, message.m_body);
  return finish(now);
}

void cell_member::impl::handle(const message_header& header, const heartbeat& body, peer_state* peer,
                               time_point now) {
  // A member that has learned of a newer epoch acknowledges nothing of an older one: the two owners'
  // majorities have a member in common, so the older lease cannot be renewed.
  const bool accepted = peer != nullptr && header.m_epoch == m_epoch && m_known.m_record.m_epoch == m_epoch &&
                        m_known.m_record.m_owner == header.m_from && m_registered;
  if (accepted) {
    m_reading_for_owner = body.m_platform_failed;
    if (body.m_state != owner_state::no_lease) {
      m_owner_heard = now;
      note_owner_age(m_epoch, 0, now);
    }
    if (body.m_limits && body.m_limits_version != m_limits_version) {
      m_limits_version = body.m_limits_version;
      if (m_limits != *body.m_limits) {
        m_limits = *body.m_limits;
        m_actions.emplace_back(limits_action{m_limits});
      }
    }
  }
  reply(header, heartbeat_ack{body.m_sent_at, accepted, m_limits_version});
}

void cell_member::impl::handle(const message_header& header, const heartbeat_ack& body, peer_state* peer,
                               time_point now) {
  const time_point sent{duration(body.m_sent_at)};
  if (peer == nullptr || !m_owning || !body.m_accepted || header.m_epoch != m_epoch || sent > now) {
    return;
  }
  peer->m_acknowledged = std::max(peer->m_acknowledged.value_or(sent), sent);
  peer->m_limits_version = body.m_limits_version;
  update_lease(now);
}

void cell_member::impl::handle(const message_header& header, const probe& body, peer_state* /*peer*/,
                               time_point now) {
  reply(header, probe_ack{body.m_sequence, owner_age_ms(now)});
}

void cell_member::impl::handle(const message_header& header, const probe_ack& body, peer_state* peer,
                               time_point now) {
  if (peer != nullptr) {
    peer->m_reported = now;
  }
  note_owner_age(header.m_epoch, body.m_ms_since_owner_heard, now);
  const auto it = std::find_if(m_relayed.begin(), m_relayed.end(), [&](const relayed_probe& relayed) {
    return relayed.m_sequence == body.m_sequence;
  });
  if (it != m_relayed.end()) {
    send(it->m_origin, relay_reply{it->m_origin_sequence, header.m_from, header.m_incarnation, header.m_epoch,
                                   body.m_ms_since_owner_heard});
    m_relayed.erase(it);
  }
}

void cell_member::impl::handle(const message_header& header, const relay_request& body, peer_state* peer,
                               time_point /*now*/) {
  if (peer == nullptr || !m_peers.contains(body.m_target)) {
    return;
  }
  if (m_relayed.size() == max_relayed_probes) {
    m_relayed.pop_front();
  }
  m_relayed.push_back({m_next_sequence, header.m_from, body.m_sequence});
  send(body.m_target, probe{m_next_sequence++});
}

void cell_member::impl::handle(const message_header& /*header*/, const relay_reply& body,
                               peer_state* /*peer*/, time_point now) {
  if (const auto it = m_peers.find(body.m_target);
      it != m_peers.end() && it->second.m_incarnation == body.m_target_incarnation) {
    it->second.m_relayed = now;
  }
  note_owner_age(body.m_target_epoch, body.m_ms_since_owner_heard, now);
}

void cell_member::impl::handle(const message_header& header, const handover& body, peer_state* /*peer*/,
                               time_point now) {
  reply(header, probe_ack{0, owner_age_ms(now)}); // ends the repetition
  if (!body.m_earlier_leases_ended || !m_owning || header.m_epoch != m_epoch) {
    return;
  }
  m_skip_wait = true;
  if (m_grant_from) {
    m_grant_from = std::min(*m_grant_from, now);
  }
}

void cell_member::impl::handle(const message_header& /*header*/, const leave_notice& /*body*/,
                               peer_state* /*peer*/, time_point /*now*/) {
  // The record that comes with it has been adopted.
}

} // namespace cardamompond::cell
