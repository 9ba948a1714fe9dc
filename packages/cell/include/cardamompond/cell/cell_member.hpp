#pragma once

#include "cardamompond/cell/actions.hpp"
#include "cardamompond/cell/timing.hpp"
#include "cardamompond/core/object_store.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cardamompond::cell {

struct cell_member_options {
  std::string m_cell;
  member_record m_self;
  std::uint64_t m_seed = 0; // for the random choice of members to probe and of relays
  cell_timing m_timing;
};

// Manages the membership and ownership of one daemon in its cell: registration, heartbeats, owner lease,
// takeover, hand-over, fallback and isolation. See docs/design.md, section 5. The class does no I/O and reads
// no clock: callers pass the time, which must not go back, and carry out the returned actions in order. Not
// thread-safe. At most one platform call is outstanding.
class cell_member {
public:
  cell_member(cell_member_options options, time_point now);
  ~cell_member();
  cell_member(cell_member&&) noexcept;
  cell_member& operator=(cell_member&&) noexcept;

  // Sends the messages and starts the platform calls that are due, and updates the status. Must be called at
  // least every 50 ms.
  std::vector<cell_action> tick(time_point now);

  std::vector<cell_action> receive(const cell_message& message, time_point now);

  // Processes the outcome of a read_action. Outcomes of calls that have timed out are ignored.
  std::vector<cell_action> complete_read(std::uint64_t request_id, const store_result<stored_value>& outcome,
                                         time_point now);

  // Processes the outcome of a write_action. Outcomes of calls that have timed out are ignored.
  std::vector<cell_action> complete_write(std::uint64_t request_id,
                                          const store_result<object_version>& outcome, time_point now);

  // Begins a graceful exit: the member stops granting at once, hands over ownership if it is the owner, and
  // removes itself from the record. The status becomes `left` after the sum of cell_timing::m_leave_timeout
  // and cell_timing::m_takeover_timeout at the latest.
  std::vector<cell_action> leave(time_point now);

  // Sets the configuration revision and the fault signal set version of this daemon, which its next messages
  // carry.
  void set_local_versions(std::uint64_t revision, std::uint64_t fault_signals_version);

  // Sets the current limits of the backend servers. The owner sends them to the members that do not have them
  // yet.
  void set_limits(std::vector<backend_limit> limits);

  // Returns whether this member may grant. True only on an owner whose epoch was acknowledged by more than
  // half of the registered members within the lease time, and which has waited until the leases and permits
  // of earlier epochs expired. Must be checked before each grant with the current time.
  bool may_grant(time_point now) const;

  // Returns the status at the time passed to the last call that returned actions.
  const cell_status& status() const;

  // Returns the latest cell record known to this member.
  const cell_record& record() const;
  std::span<const backend_limit> limits() const;

  // Returns the names of the members heard within cell_timing::m_contact_timeout, including this one, sorted.
  std::vector<std::string> live_members(time_point now) const;

  // Returns true if the last platform call succeeded, if none has ended yet, or if the platform answered
  // within cell_timing::m_no_lease_timeout. A cell record that cannot be decoded counts as a failed call.
  bool platform_reachable(time_point now) const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::cell
