#pragma once

#include "cardamompond/cell/messages.hpp"
#include "cardamompond/scheduler/configuration.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::daemon {

// Makes the configuration of this member's engine while the cell has no owner. Each backend server gets this
// member's static share of its last known limit, so that the members together never exceed the limit. While
// `may_refuse_top_tier` is false, queues are unbounded: as long as other members may still admit lower tiers,
// no request of the top tier may be refused because a queue is full.
scheduler::configuration make_fallback_configuration(const scheduler::configuration& config,
                                                     const std::vector<std::string>& registered_members,
                                                     std::string_view self,
                                                     std::span<const cell::backend_limit> limits,
                                                     bool may_refuse_top_tier);

// Returns whether the account is in the highest declared tier; false for an unknown account.
bool is_in_highest_tier(const scheduler::configuration& config, std::string_view account);

} // namespace cardamompond::daemon
