#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// The dispatches of a lost member keep their slots for this long (section 5 of the design).
constexpr seconds lost_member_slot_timeout{10};

// Orphans are the dispatches of lost members. `measured` is the time of the newest load report of the backend
// server. If it is later than the expiry of the last permits that the members held when they were lost, the
// server cannot have more orphans left than the running and queued requests that it reports. The slots of the
// others are released at the next tick.
void release_finished_orphans(scheduler_state& state, row_index server, time_point measured);

} // namespace cardamompond::scheduler
