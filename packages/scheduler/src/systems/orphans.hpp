#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Slots of a lost member's dispatches count this long (section 5 of the design).
constexpr seconds lost_member_grace{10};

// Frees slots of lost members' dispatches that a backend server's load report, measured after the loss, shows
// to be over: it cannot still run more of them than it runs and queues in all.
void release_finished_orphans(scheduler_state& state, row_index server, time_point measured);

} // namespace cardamompond::scheduler
