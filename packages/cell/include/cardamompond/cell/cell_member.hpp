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
  std::uint64_t m_seed = 0; // for the choice of probed members and relays
  cell_timing m_timing;
};

// Membership and ownership of one daemon in its cell: registration, heartbeats, owner lease, takeover,
// hand-over, fallback and isolation. See docs/design.md, section 5. Pure: time comes as an argument and must
// not go back; everything it wants done comes back as actions, in order. Not thread-safe. At most one
// platform call is outstanding.
class cell_member {
public:
  cell_member(cell_member_options options, time_point now);
  ~cell_member();
  cell_member(cell_member&&) noexcept;
  cell_member& operator=(cell_member&&) noexcept;

  // Call at least every 50 ms.
  std::vector<cell_action> tick(time_point now);

  std::vector<cell_action> receive(const cell_message& message, time_point now);

  // Outcome of a read_action. Outcomes of calls that were given up are ignored.
  std::vector<cell_action> complete_read(std::uint64_t request_id, const store_result<stored_value>& outcome,
                                         time_point now);

  // Outcome of a write_action.
  std::vector<cell_action> complete_write(std::uint64_t request_id,
                                          const store_result<object_version>& outcome, time_point now);

  // Begins a graceful exit: stops granting at once, hands over if this is the owner, removes itself from the
  // record. The status becomes `left` at the latest after cell_timing::m_leave_timeout.
  std::vector<cell_action> leave(time_point now);

  // Configuration revision and signal set version of this daemon; carried by the next messages.
  void set_local_versions(std::uint64_t revision, std::uint64_t signals_version);

  // For the owner: current limits of the backend servers; sent to members that do not have them yet.
  void set_limits(std::vector<backend_limit> limits);

  // The owner lease: true only on an owner whose epoch was acknowledged by more than half of the registered
  // members within the lease time, and whose wait for earlier epochs is over. Check before each grant with
  // the current time.
  bool may_grant(time_point now) const;

  // As of the last call that took a time.
  const cell_status& status() const;

  // The cell record as known here, and the limits last received or set.
  const cell_record& record() const;
  std::span<const backend_limit> limits() const;

  // Names of the members heard within cell_timing::m_contact_timeout, this one included, in name order.
  std::vector<std::string> live_members(time_point now) const;

  // Whether the platform answered within cell_timing::m_no_lease_timeout; true before the first attempt has
  // failed.
  bool platform_reachable(time_point now) const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::cell
