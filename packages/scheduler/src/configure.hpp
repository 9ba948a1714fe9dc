#pragma once

#include "tables.hpp"

namespace cardamompond::scheduler {

// Brings the tables in line with a configuration; what is observed of entities that stay is kept.
void apply_configuration(scheduler_state& state, const configuration& config);

} // namespace cardamompond::scheduler
