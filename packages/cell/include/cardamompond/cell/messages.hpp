#pragma once

#include "cardamompond/cell/cell_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamompond::cell {

// The limit of a backend server as set by the cell owner. Members compute their static shares from it.
struct backend_limit {
  std::string m_backend_server;
  std::uint32_t m_limit = 0;
  friend bool operator==(const backend_limit&, const backend_limit&) = default;
};

// Part of every message between the members of a cell.
struct message_header {
  std::string m_from;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_epoch = 0;                 // highest epoch known to the sender
  object_version m_record_version = 0;       // version of the cell record known to the sender
  std::uint64_t m_revision = 0;              // configuration revision of the sender
  std::uint64_t m_fault_signals_version = 0; // version of the sender's fault signal set
  // The cell record, included if the receiver probably has an older version.
  std::optional<versioned_record> m_record;
};

// Whether the owner of an epoch may grant, as announced in its heartbeats.
enum class owner_state : std::uint8_t {
  no_lease, // the epoch is not acknowledged by a majority
  waiting, // The owner holds the lease and waits until the leases and permits of earlier epochs have expired.
  granting,
};

// Sent by the owner to each member in every heartbeat interval.
struct heartbeat {
  // Time of the owner's clock in microseconds; returned unchanged in the acknowledgement.
  std::uint64_t m_sent_at = 0;
  owner_state m_state = owner_state::no_lease;
  std::uint64_t m_limits_version = 0;
  std::optional<std::vector<backend_limit>> m_limits; // set if the member does not have this version
  // The owner's last platform call failed. Members then read the cell record themselves.
  bool m_platform_failed = false;
};

// Response of a member to a heartbeat. A heartbeat is not accepted if the member knows a higher epoch, does
// not know the sender as the owner of this epoch, or is not registered.
struct heartbeat_ack {
  std::uint64_t m_sent_at = 0;
  bool m_accepted = false;
  std::uint64_t m_limits_version = 0; // version of the limits that the member has
};

// Asks a member whether it is alive and when it last heard the owner.
struct probe {
  std::uint64_t m_sequence = 0;
};

// Response to a probe.
struct probe_ack {
  std::uint64_t m_sequence = 0;
  // Milliseconds since the sender itself last heard that the owner of m_header.m_epoch held its lease. Empty
  // if the sender has never heard this.
  std::optional<std::uint32_t> m_ms_since_owner_heard;
};

// Asks the receiver to probe `m_target` on behalf of the sender.
struct relay_request {
  std::uint64_t m_sequence = 0;
  std::string m_target;
};

// Response to a relay_request. Sent only if the target has responded to the probe.
struct relay_reply {
  std::uint64_t m_sequence = 0;
  std::string m_target;
  std::uint64_t m_target_incarnation = 0;
  std::uint64_t m_target_epoch = 0;
  std::optional<std::uint32_t> m_ms_since_owner_heard; // as in the target's response
};

// Sent by a leaving owner after it has written the next epoch. The header carries the new record.
struct handover {
  // True if the sender no longer grants and all leases of earlier epochs have expired, so that the new owner
  // can grant without waiting.
  bool m_earlier_leases_ended = false;
};

// Sent by a leaving member, after it has removed itself from the record, to all that get no handover.
struct leave_notice {};

using message_body = std::variant<heartbeat, heartbeat_ack, probe, probe_ack, relay_request, relay_reply,
                                  handover, leave_notice>;

// A message between members of a cell. It may be lost, delayed, duplicated or reordered.
struct cell_message {
  message_header m_header;
  message_body m_body;
};

} // namespace cardamompond::cell
