#pragma once

#include "cardamompond/cell/cell_member.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace cardamompond::cell {

// What is known about another registered member.
struct peer_state {
  std::uint64_t m_incarnation = 0;
  std::string m_address;
  time_point m_known_since;
  std::optional<time_point> m_heard;        // any message of this incarnation
  time_point m_probed;                      // in the turn of probes to one member each
  std::optional<time_point> m_relayed;      // a relay has reached it
  std::optional<time_point> m_reported;     // its last answer to a probe
  std::optional<time_point> m_acknowledged; // when the newest heartbeat that it acknowledged was sent
  object_version m_record_version = 0;
  std::uint64_t m_limits_version = 0;
  std::uint64_t m_revision = 0;
  std::uint64_t m_signals_version = 0;
  bool m_reported_found = false; // member_found was told since this daemon became owner
  bool m_reported_lost = false;
};

// Implementation of cell_member. cell_member.cpp: time and status; cell_member_messages.cpp: messages;
// cell_member_record.cpp: the platform object and ownership; cell_member_decisions.cpp: what to write to it.
class cell_member::impl {
public:
  impl(cell_member_options options, time_point now);

  std::vector<cell_action> tick(time_point now);
  std::vector<cell_action> receive(const cell_message& message, time_point now);
  std::vector<cell_action> complete_read(std::uint64_t request, const store_result<stored_value>& outcome,
                                         time_point now);
  std::vector<cell_action> complete_write(std::uint64_t request, const store_result<object_version>& outcome,
                                          time_point now);
  std::vector<cell_action> leave(time_point now);
  void set_limits(std::vector<backend_limit> limits);
  bool may_grant(time_point now) const;
  std::vector<std::string> live_members(time_point now) const;
  bool platform_reachable(time_point now) const;

  std::uint64_t m_revision = 0;
  std::uint64_t m_signals_version = 0;
  cell_status m_status;
  versioned_record m_known;
  std::vector<backend_limit> m_limits;

private:
  // A platform call that has not been completed.
  struct platform_call {
    std::uint64_t m_request_id = 0;
    time_point m_started;
    std::optional<cell_record> m_proposed; // for writes
  };
  struct relayed_probe {
    std::uint64_t m_sequence = 0;
    std::string m_origin;
    std::uint64_t m_origin_sequence = 0;
  };

  // Time and status.
  void advance(time_point now);
  std::vector<cell_action> finish(time_point now);
  void update_status(time_point now);
  cell_status current_status(time_point now) const;
  cell_role role_without_lease(time_point now) const;
  void report_members(time_point now);
  void send_periodic(time_point now);
  const std::string& name() const { return m_options.m_self.m_name; }
  bool ended() const { return m_superseded || m_left; }
  bool heard_within(const peer_state& peer, time_point now, duration limit) const;
  duration silence(const peer_state& peer, time_point now) const;
  duration owner_silence(time_point now) const;
  std::size_t contacts(time_point now) const;

  // Messages.
  void send(const std::string& to, message_body body);
  message_header make_header(object_version receiver_version) const;
  void send_heartbeats(time_point now);
  void send_probes(time_point now, bool all);
  void request_relays(const std::string& target, time_point now);
  std::optional<std::uint32_t> owner_age_ms(time_point now) const;
  void note_owner_age(std::uint64_t epoch, std::optional<std::uint32_t> age_ms, time_point now);
  void handle(const message_header& header, const heartbeat& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const heartbeat_ack& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const probe& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const probe_ack& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const relay_request& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const relay_reply& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const handover& body, peer_state* peer, time_point now);
  void handle(const message_header& header, const leave_notice& body, peer_state* peer, time_point now);
  void reply(const message_header& header, message_body body);
  void note_versions(const message_header& header, peer_state& peer);

  // The platform object and ownership.
  void start_read(time_point now);
  void start_write(cell_record proposed, time_point now);
  void poll_platform(time_point now);
  bool read_is_due(time_point now) const;
  void watch_for_removals(time_point now);
  bool degraded(time_point now) const;
  void note_platform(bool reachable, time_point now);
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
  std::string successor(time_point now) const;
  void finish_leaving(time_point now);
  bool holds_lease(time_point now) const { return m_owning && now < m_lease_until; }
  bool wait_is_over(time_point now) const { return m_grant_from && now >= *m_grant_from; }

  cell_member_options m_options;
  std::mt19937_64 m_random;
  std::vector<cell_action> m_actions;
  time_point m_now;
  time_point m_awake_since; // start, or the end of the last pause of this process
  time_point m_next_period;
  std::map<std::string, peer_state, std::less<>> m_peers; // registered members other than this one

  std::uint64_t m_epoch = 0; // highest epoch known; may be ahead of m_known
  time_point m_epoch_since;
  std::optional<time_point> m_owner_heard;    // the owner of m_epoch, directly, holding its lease
  std::optional<time_point> m_lease_evidence; // the same, or told by others
  std::optional<time_point> m_lease_known;    // evidence of any epoch, own lease included
  std::uint64_t m_limits_version = 0;         // of m_epoch

  bool m_owning = false; // owner of m_epoch
  std::uint64_t m_owned_epoch = 0;
  time_point m_lease_until;
  std::optional<time_point> m_grant_from; // end of the wait; none until the first majority
  bool m_skip_wait = false;
  bool m_unconfirmed = false;           // the platform must confirm the ownership before the next grant
  bool m_owner_had_lease = false;       // this daemon, in the current epoch
  std::uint32_t m_fruitless_epochs = 0; // in a row, in which no lease was seen here
  std::uint64_t m_own_limits_version = 0;

  std::optional<platform_call> m_call;
  std::uint64_t m_next_request = 1;
  time_point m_next_read;
  time_point m_last_attempt;
  bool m_read_soon = false;
  std::uint32_t m_conflicts = 0; // in a row
  std::optional<time_point> m_platform_answered;
  bool m_platform_failed = false; // outcome of the last call

  bool m_reading_for_owner = false; // the owner said that it does not reach the platform
  bool m_watching_record = false;   // the owner may not reach the platform: see watch_for_removals()
  time_point m_member_added;        // when a record with a further member was adopted
  time_point m_registered_since;

  bool m_registered = false;
  bool m_was_registered = false;
  bool m_newly_registered = false;
  time_point m_rejoin_at;
  duration m_rejoin_wait{};
  bool m_superseded = false;
  bool m_left = false;
  std::optional<time_point> m_leaving_since;
  bool m_stopped_cleanly = false;          // set by leave(): no lease of an earlier epoch was left
  std::optional<std::string> m_heir;       // new owner that has not confirmed the hand-over
  std::optional<time_point> m_handed_over; // when the next epoch was written

  std::uint64_t m_next_sequence = 1;
  std::deque<relayed_probe> m_relayed;
};

} // namespace cardamompond::cell
