#pragma once

#include "exchange.capnp.h"

#include "cardamompond/fleet/brittle_statement.hpp"
#include "cardamompond/fleet/stated_limit.hpp"

#include <span>
#include <vector>

namespace cardamompond::gateway {

// Adds statements of servers and demands to a report: the first max_reported_limits of each. Those whose rate
// is negative or not finite are left out.
void encode_limits(std::span<const fleet::limit_statement> from, wire::Report::Builder to);
void encode_demands(std::span<const fleet::service_demand> from, wire::Report::Builder to);

// Adds statements about rejections: the first max_reported_limits.
void encode_brittle(std::span<const fleet::brittle_statement> from, wire::Report::Builder to);

// Read the first max_reported_limits entries, with rates up to max_stated_limit.
std::vector<fleet::limit_statement> read_limits(wire::Report::Reader from);
std::vector<fleet::service_demand> read_demands(wire::Report::Reader from);
std::vector<fleet::brittle_statement> read_brittle(wire::Report::Reader from);

} // namespace cardamompond::gateway
