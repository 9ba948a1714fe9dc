#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Grants waiting requests to backend servers with free slots, tier by tier.
void place_requests(scheduler_state& state);

// Frees the slots of lost members whose grace has passed.
void release_expired_orphans(scheduler_state& state);

// Frees the slots of grants that were neither used nor declined long after they expired: their member was
// lost, or removed, before it got them.
void release_unanswered_grants(scheduler_state& state);

} // namespace cardamompond::scheduler
