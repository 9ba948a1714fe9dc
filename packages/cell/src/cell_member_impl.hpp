#pragma once

#include "cardamompond/cell/cell_member.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace cardamompond::cell {

// State of another registered member as known to this one.
struct peer_state {
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  time_point m_known_since;
  std::optional<time_point> m_last_heard;     // last message of this incarnation
  time_point m_last_probed;                   // last regular probe to this member alone
  std::optional<time_point> m_heard_by_relay; // last time that a relay reported its response
  std::optional<time_point> m_last_probe_ack; // last response to a probe
  // When the newest heartbeat that the peer has acknowledged was sent.
  std::optional<time_point> m_acknowledged_heartbeat_sent_at;
  object_version m_record_version = 0;
  std::uint64_t m_limits_version = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_fault_signals_version = 0;
  bool m_reported_found = false; // member_found_action was emitted since this daemon became owner
  bool m_reported_lost = false;
};

// Implementation of cell_member. cell_member.cpp contains time and status, cell_member_messages.cpp the
// messages, cell_member_record.cpp the platform object and ownership, and cell_member_decisions.cpp the
// decisions on what to write to the object.
class cell_member::impl {
public:
  impl(cell_member_options options, time_point now);

  std::vector<cell_action> tick(time_point now);
  std::vector<cell_action> receive(const cell_message& message, time_point now);
  std::vector<cell_action> complete_read(std::uint64_t request_id, const store_result<stored_value>& outcome,
                                         time_point now);
  std::vector<cell_action> complete_write(std::uint64_t request_id,
                                          const store_result<object_version>& outcome, time_point now);
  std::vector<cell_action> leave(time_point now);
  void set_limits(std::vector<backend_limit> limits);
  bool may_grant(time_point now) const;
  std::vector<std::string> live_members(time_point now) const;
  bool platform_reachable(time_point now) const;

  std::uint64_t m_revision = 0;
  std::uint64_t m_fault_signals_version = 0;
  cell_status m_status;
  versioned_record m_known_record;
  std::vector<backend_limit> m_limits;

private:
  // A platform call that is not completed yet.
  struct platform_call {
    std::uint64_t m_request_id = 0;
    time_point m_started;
    std::optional<cell_record> m_proposed_record; // set for writes
  };
  // A probe that this member has sent for another one.
  struct relayed_probe {
    std::uint64_t m_sequence = 0;
    std::string m_origin; // member that has sent the relay_request
    std::uint64_t m_origin_sequence = 0;
  };

  // Time and status.
  void update_clock(time_point now);
  std::vector<cell_action> collect_actions(time_point now);
  void update_status(time_point now);
  cell_status current_status(time_point now) const;
  cell_role role_without_lease(time_point now) const;
  void report_member_changes(time_point now);
  void send_periodic_messages(time_point now);
  const std::string& name() const { return m_options.m_self.m_name; }
  bool has_ended() const { return m_superseded || m_left; }
  bool heard_within(const peer_state& peer, time_point now, duration limit) const;
  duration time_since_heard(const peer_state& peer, time_point now) const;
  duration time_since_owner_lease(time_point now) const;
  std::size_t live_member_count(time_point now) const;

  // Messages.
  void send(const std::string& to, message_body body);
  message_header make_header(object_version receiver_version) const;
  void send_heartbeats(time_point now);
  void send_probes(time_point now, bool all);
  void request_relays(const std::string& target, time_point now);
  std::optional<std::uint32_t> ms_since_owner_heard(time_point now) const;
  void record_owner_heard(std::uint64_t epoch, std::optional<std::uint32_t> age_ms, time_point now);
  void handle(const message_header& header, const heartbeat& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const heartbeat_ack& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const probe& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const probe_ack& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const relay_request& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const relay_reply& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const handover& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const leave_notice& body, peer_state* peer, time_point now);
  void reply(const message_header& header, message_body body);
  void update_peer_versions(const message_header& header, peer_state& peer);

  // The platform object and ownership.
  void start_read(time_point now);
  void start_write(cell_record proposed, time_point now);
  void poll_platform(time_point now);
  bool read_is_due(time_point now) const;
  void update_record_polling(time_point now);
  bool has_silent_peer(time_point now) const;
  void record_platform_result(bool reachable, time_point now);
  void raise_epoch(std::uint64_t epoch, time_point now);
  void adopt_record(const cell_record& record, object_version version, time_point now);
  void synchronise_peers(time_point now);
  void begin_ownership(time_point now);
  void update_lease(time_point now);
  std::optional<cell_record> decide_write(time_point now);
  std::optional<cell_record> decide_leave(time_point now);
  std::optional<cell_record> decide_registration(time_point now);
  std::optional<cell_record> decide_removal(time_point now) const;
  std::optional<cell_record> decide_takeover(time_point now) const;
  std::string choose_successor(time_point now) const;
  void finish_leaving(time_point now);
  bool holds_lease(time_point now) const { return m_is_owner && now < m_lease_until; }
  bool grant_wait_is_over(time_point now) const {
    return m_grant_allowed_from && now >= *m_grant_allowed_from;
  }

  cell_member_options m_options;
  std::mt19937_64 m_random;
  std::vector<cell_action> m_actions;
  time_point m_now;
  time_point m_running_since; // start of this process, or the end of its last pause
  time_point m_next_periodic_send;
  std::map<std::string, peer_state, std::less<>> m_peers; // registered members except this one

  std::uint64_t m_epoch = 0; // highest epoch known; may be higher than that of m_known_record
  time_point m_epoch_since;
  std::optional<time_point> m_owner_last_heard; // last heartbeat of the owner of m_epoch with its lease held
  // The latest time at which the owner of m_epoch held its lease, as heard from it or from other members.
  std::optional<time_point> m_lease_last_seen;
  // The latest time at which an owner of any epoch, or this one, held its lease.
  std::optional<time_point> m_any_lease_last_seen;
  std::uint64_t m_received_limits_version = 0; // version of the limits received in m_epoch

  bool m_is_owner = false;         // this member is the owner of m_epoch
  std::uint64_t m_owned_epoch = 0; // last epoch of which this member is or was the owner
  time_point m_lease_until;
  // End of the wait before the first grant; empty until the first majority.
  std::optional<time_point> m_grant_allowed_from;
  bool m_skip_grant_wait = false;
  // Ownership must be confirmed by a read of the platform before the next grant.
  bool m_ownership_unconfirmed = false;
  bool m_held_lease_in_epoch = false;       // this daemon held the lease in the current epoch
  std::uint32_t m_epochs_without_lease = 0; // consecutive epochs in which this daemon saw no lease
  // Version of the limits that this member sends as owner; starts at 1 in each epoch.
  std::uint64_t m_sent_limits_version = 0;

  std::optional<platform_call> m_platform_call;
  std::uint64_t m_next_request_id = 1;
  time_point m_next_read;
  time_point m_last_read_started;
  bool m_early_read_requested = false;       // read the record before m_next_read, see early_read_interval
  std::uint32_t m_consecutive_conflicts = 0; // write conflicts since the last successful write
  std::optional<time_point> m_platform_last_answered;
  bool m_platform_failed = false; // the last platform call failed

  bool m_owner_lacks_platform = false; // the owner has announced that it does not reach the platform
  // This member reads the record, although it is not the owner, because the owner may not reach the platform.
  bool m_polling_record = false;
  time_point m_last_member_added; // when a record with an additional member was adopted
  time_point m_registered_since;

  bool m_registered = false;
  bool m_was_registered = false;
  bool m_newly_registered = false;
  time_point m_rejoin_at;
  duration m_rejoin_delay{};
  bool m_superseded = false;
  bool m_left = false;
  std::optional<time_point> m_leaving_since;
  bool m_earlier_leases_ended = false;        // set by leave(): all leases of earlier epochs had expired
  std::optional<std::string> m_successor;     // new owner, which has not confirmed the hand-over yet
  std::optional<time_point> m_handed_over_at; // when the record without this member was adopted

  std::uint64_t m_next_sequence = 1;
  std::deque<relayed_probe> m_relayed_probes;
};

} // namespace cardamompond::cell
