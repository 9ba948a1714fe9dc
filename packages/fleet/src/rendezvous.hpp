#pragma once

#include "cardamompond/core/hash.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string_view>

namespace cardamompond::fleet {

// Returns a pseudo-random weight of the pair for rendezvous hashing.
inline std::uint64_t rendezvous_weight(std::uint64_t key, std::uint64_t server) {
  const std::uint64_t pair[2] = {key, server};
  return hash64(std::string_view(reinterpret_cast<const char*>(pair), sizeof pair));
}

// Returns how many of the other daemons rank higher for a server than this one, and stops at `enough` of
// them. All daemons that know the same members agree about the ranks. Daemons are identified by the hashes of
// their names.
template <typename Daemons, typename Hash = std::identity>
std::size_t count_higher_ranked(const Daemons& others, std::uint64_t self, std::uint64_t server,
                                std::size_t enough = std::numeric_limits<std::size_t>::max(),
                                Hash hash = {}) {
  const std::uint64_t own_weight = rendezvous_weight(self, server);
  std::size_t higher = 0;
  for (const auto& each : others) {
    if (higher >= enough) {
      break;
    }
    higher += rendezvous_weight(std::invoke(hash, each), server) > own_weight ? 1 : 0;
  }
  return higher;
}

} // namespace cardamompond::fleet
