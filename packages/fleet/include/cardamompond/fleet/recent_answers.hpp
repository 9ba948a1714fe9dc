#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace cardamompond::fleet {

// Remembers which prompt parts were answered lately, and when. Holds a bounded number of parts in two
// generations: when the newer one is full or has lasted its time, it replaces the older one.
class recent_answers {
public:
  // Records that a server answered a request with these parts.
  void record(std::span<const std::uint64_t> parts, time_point now);

  // Returns when a request with the part was last answered; none: not within memory.
  std::optional<time_point> find(std::uint64_t part) const;

private:
  std::unordered_map<std::uint64_t, time_point> m_newer;
  std::unordered_map<std::uint64_t, time_point> m_older;
  time_point m_newer_since;
};

} // namespace cardamompond::fleet
