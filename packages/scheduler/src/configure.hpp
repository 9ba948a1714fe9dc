#pragma once

#include "scheduler_state.hpp"

namespace cardamompond::scheduler {

// Updates the state to match a configuration. Observations of entities that remain declared are kept.
void apply_configuration(scheduler_state& state, const configuration& config);

} // namespace cardamompond::scheduler
