#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// The dispatches of a lost member keep their slots for this long (section 5 of the design).
constexpr seconds lost_member_slot_timeout{10};

// Orphans are dispatches of lost members. Releases the slots of orphans that have ended according to a load
// report of the backend server that was measured after the loss: no more of them can be left than the server
// runs and queues in total.
void release_finished_orphans(scheduler_state& state, row_index server, time_point measured);

} // namespace cardamompond::scheduler
