#pragma once

#include "exchange.capnp.h"
#include "packed_message.hpp"

namespace cardamompond::gateway {

// Returns what a message states about usage.
fleet::usage_statement read_usage(wire::UsageStatement::Reader from);

} // namespace cardamompond::gateway
