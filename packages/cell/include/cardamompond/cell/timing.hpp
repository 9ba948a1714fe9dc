#pragma once

#include "cardamompond/core/time.hpp"

namespace cardamompond::cell {

// Times of the membership and ownership protocol. docs/design.md, section 5, gives the reasons.
struct cell_timing {
  milliseconds m_heartbeat_interval{250};
  milliseconds m_lease_duration{750};    // counted from the sending of the acknowledged heartbeat
  milliseconds m_permit_lifetime{500};   // a new owner waits for the sum of m_lease_duration and this
  milliseconds m_suspicion_timeout{500}; // after this silence of the owner, members probe it through relays
  milliseconds m_takeover_timeout{1000}; // after this silence of the owner, a member may take over
  // Time between the takeover attempts of two members that follow each other in name order.
  milliseconds m_takeover_stagger{150};
  milliseconds m_contact_timeout{1000};  // a peer heard within this time counts as live
  milliseconds m_no_lease_timeout{3000}; // after this time without a known lease: fallback or isolation
  // After this time in fallback, requests of the top tier may be refused.
  milliseconds m_fallback_refusal_delay{3000};
  milliseconds m_member_lost_timeout{3000}; // after this silence the owner reports a member as lost
  milliseconds m_removal_timeout{10'000};   // after this silence the owner removes a member
  // A minority waits longer than the owner before it removes members, so that an owner which has a majority
  // and reaches the platform removes the members of the minority first.
  milliseconds m_minority_removal_timeout{12'000};
  milliseconds m_owner_read_interval{2000}; // interval at which the owner reads the cell record
  // The owner reads more often while a member is silent, because the old owner must see a newer epoch before
  // the owner of that epoch may grant.
  milliseconds m_degraded_read_interval{500};
  milliseconds m_poll_interval{1000}; // interval at which members without an owner read the cell record
  // While the owner does not reach the platform, members read the cell record at this interval, because they
  // would not notice a newer epoch otherwise. It is well below m_minority_removal_timeout. In a platform
  // outage that affects all daemons, 2,400 daemons make 700 calls per second for this.
  milliseconds m_owner_outage_read_interval{3000};
  milliseconds m_platform_timeout{500}; // for each read and write of the cell record
  milliseconds m_leave_timeout{5000};   // after this time a leaving member stops waiting for the platform
  // Delay before a removed member that hears no other member registers again. It doubles with each attempt,
  // because each attempt may cost a cell of two members its majority for m_minority_removal_timeout.
  milliseconds m_initial_rejoin_delay{60'000};
  milliseconds m_max_rejoin_delay{600'000};
};

} // namespace cardamompond::cell
