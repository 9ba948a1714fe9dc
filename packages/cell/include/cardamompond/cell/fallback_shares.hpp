#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::cell {

// Returns the part of a backend server's limit that one member may use while the cell has no owner:
// floor(limit / N), plus one for the members that rank first by rendezvous hash until the remainder is used
// up. The shares of all N members add up to the limit. `members` lists the registered members; the result is
// 0 if `self` is not among them.
std::uint32_t fallback_share(std::string_view backend_server, std::uint32_t limit,
                             std::span<const std::string> members, std::string_view self);

} // namespace cardamompond::cell
