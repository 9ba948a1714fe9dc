#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// The dispatches of a lost member keep their slots for this long (section 5 of the design).
constexpr seconds lost_member_slot_timeout{10};

// Releases slots of orphans, the dispatches of lost members. `measured` is the time of the newest load report
// of the backend server. If the report was measured after the loss, the server cannot have more orphans left
// than the total of running and queued requests that it reports, so the slots of the others are released.
void release_finished_orphans(scheduler_state& state, row_index server, time_point measured);

} // namespace cardamompond::scheduler
