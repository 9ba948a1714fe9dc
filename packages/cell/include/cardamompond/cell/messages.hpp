#pragma once

#include "cardamompond/cell/cell_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamompond::cell {

// The current limit of a backend server as set by the cell owner; needed for static shares.
struct backend_limit {
  std::string m_backend_server;
  std::uint32_t m_limit = 0;
  friend bool operator==(const backend_limit&, const backend_limit&) = default;
};

// Comes with every message between the members of a cell.
struct message_header {
  std::string m_from;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_epoch = 0;           // highest epoch the sender knows
  object_version m_record_version = 0; // of the cell record the sender knows
  std::uint64_t m_revision = 0;        // configuration revision of the sender
  std::uint64_t m_signals_version = 0; // of the sender's signal set
  // The cell record itself, if the sender has reason to think that the receiver has an older one.
  std::optional<versioned_record> m_record;
};

// What the owner of an epoch may do, as told in its heartbeats.
enum class owner_state : std::uint8_t {
  no_lease, // not acknowledged by a majority
  waiting,  // holds the lease, and waits until the leases and permits of earlier epochs have expired
  granting,
};

// Owner to member, every heartbeat period.
struct heartbeat {
  std::uint64_t m_sent_at = 0; // the owner's own clock; comes back unchanged in the acknowledgement
  owner_state m_state = owner_state::no_lease;
  std::uint64_t m_limits_version = 0;
  std::optional<std::vector<backend_limit>> m_limits; // when the member does not know this version
  bool m_platform_failed = false; // the owner's last platform call failed: members read the record meanwhile
};

// Member to owner. Not accepted means that the member knows a higher epoch or does not know the sender as the
// owner of this epoch.
struct heartbeat_ack {
  std::uint64_t m_sent_at = 0;
  bool m_accepted = false;
  std::uint64_t m_limits_version = 0;
};

// Asks a member whether it is alive and hears the owner.
struct probe {
  std::uint64_t m_sequence = 0;
};

// Answer to a probe.
struct probe_ack {
  std::uint64_t m_sequence = 0;
  // Milliseconds since the sender itself last heard the owner of header.m_epoch hold its lease; none if
  // never.
  std::optional<std::uint32_t> m_ms_since_owner_heard;
};

// Asks the receiver to probe `m_target` for the sender.
struct relay_request {
  std::uint64_t m_sequence = 0;
  std::string m_target;
};

// The relay's answer; sent only if the target answered.
struct relay_reply {
  std::uint64_t m_sequence = 0;
  std::string m_target;
  std::uint64_t m_target_incarnation = 0;
  std::uint64_t m_target_epoch = 0;
  std::optional<std::uint32_t> m_ms_since_owner_heard; // the target's answer
};

// From an owner that leaves, after it has written the next epoch. The header carries the record.
struct handover {
  // The sender grants no more, and no lease of an earlier epoch is left: the new owner need not wait.
  bool m_earlier_leases_ended = false;
};

// From a member that has removed itself from the record, to everyone.
struct leave_notice {};

using message_body = std::variant<heartbeat, heartbeat_ack, probe, probe_ack, relay_request, relay_reply,
                                  handover, leave_notice>;

// One message between members of a cell. May be lost, delayed, doubled or reordered.
struct cell_message {
  message_header m_header;
  message_body m_body;
};

} // namespace cardamompond::cell
