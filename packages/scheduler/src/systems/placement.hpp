#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Grants waiting requests to backend servers with free slots, tier by tier.
void place_requests(scheduler_state& state);

// Releases the slots of lost members' dispatches whose timeout has expired.
void release_expired_orphans(scheduler_state& state);

// Releases the slots of grants that were neither used nor declined within 10.5 s. This happens when the
// member was lost or removed before it received the grant.
void release_unanswered_grants(scheduler_state& state);

} // namespace cardamompond::scheduler
