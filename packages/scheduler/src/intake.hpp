#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Takes in one event: checks it and changes the tables.
void handle_event(scheduler_state& state, const event& input);

} // namespace cardamompond::scheduler
