#pragma once

#include "cardamompond/core/time.hpp"

namespace cardamompond::cell {

// Constants of membership and ownership; docs/design.md, section 5, gives the reasons.
struct cell_timing {
  milliseconds m_heartbeat_interval{250};
  milliseconds m_lease_duration{750};  // counted from when the acknowledged heartbeat was sent
  milliseconds m_permit_lifetime{500}; // a new owner waits lease + permit lifetime
  milliseconds m_suspicion_timeout{
      500}; // silence of the owner after which members check on it through relays
  milliseconds m_takeover_timeout{1000};       // silence of the owner after which a member may take over
  milliseconds m_takeover_stagger{150};        // between takeover attempts, in name order of the live members
  milliseconds m_contact_timeout{1000};        // a peer heard within this time counts as in contact
  milliseconds m_no_lease_timeout{3000};       // without a known lease for this long: fallback or isolation
  milliseconds m_fallback_refusal_delay{3000}; // in fallback for this long: the top tier may be refused
  milliseconds m_member_lost_timeout{3000};    // silence after which the owner reports a member as lost
  milliseconds m_removal_timeout{10'000};      // silence after which the owner removes a member
  // A minority waits longer than the owner, so that an owner with a majority and the platform removes first.
  milliseconds m_minority_removal_timeout{12'000};
  milliseconds m_owner_read_interval{2000}; // the owner re-reads the cell object
  // With a silent member the owner reads more often: a newer epoch must be seen before its owner may grant.
  milliseconds m_degraded_read_interval{500};
  milliseconds m_poll_interval{1000}; // members without an owner read the cell object
  // While the owner does not reach the platform, members read the cell object at this interval, well within
  // m_minority_removal_timeout: a newer epoch would not be noticed otherwise. In an outage for all, 2,400
  // daemons make 700 calls a second of it.
  milliseconds m_owner_outage_read_interval{3000};
  milliseconds m_platform_timeout{500}; // for each read and write
  milliseconds m_leave_timeout{5000};   // a leaving member gives up on the platform after this
  // A removed member that hears nobody registers again after this, then doubles; each such attempt may cost a
  // cell of two members its majority for m_minority_removal_timeout.
  milliseconds m_initial_rejoin_delay{60'000};
  milliseconds m_max_rejoin_delay{600'000};
};

} // namespace cardamompond::cell
