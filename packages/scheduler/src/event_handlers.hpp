#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Validates one event and updates the state.
void handle_event(scheduler_state& state, const event& input);

} // namespace cardamompond::scheduler
