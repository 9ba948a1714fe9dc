#include "cardamompond/cell/fallback_shares.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::cell {

std::uint32_t fallback_share(std::string_view backend_server, std::uint32_t limit,
                             std::span<const std::string> members, std::string_view self) {
  if (std::find(members.begin(), members.end(), self) == members.end()) {
    return 0;
  }
  const auto count = static_cast<std::uint32_t>(members.size());
  // Ties are broken by name, so that all members agree on the order.
  const auto weight = [&](std::string_view name) {
    return std::pair(hash64(name, hash64(backend_server)), name);
  };
  const auto self_weight = weight(self);
  const auto members_ahead = std::count_if(
      members.begin(), members.end(), [&](const std::string& name) { return weight(name) > self_weight; });
  return limit / count + (static_cast<std::uint32_t>(members_ahead) < limit % count ? 1 : 0);
}

} // namespace cardamompond::cell
