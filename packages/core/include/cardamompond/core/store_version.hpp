#pragma once

#include <compare>
#include <cstdint>

namespace cardamompond {

// The position of a state or a change in the history of the platform's store. Revisions order all changes
// within one era. The store begins a new era when it comes back from a copy that lacks its latest changes,
// and gives their revisions out again; anything of a later era is newer. A store that states no era is in era
// 0.
struct store_version {
  constexpr store_version() = default;

  // A revision of a store that states no era.
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions)
  constexpr store_version(std::uint64_t revision)
      : m_revision(revision) {}

  constexpr store_version(std::uint64_t era, std::uint64_t revision)
      : m_era(era)
      , m_revision(revision) {}

  std::uint64_t m_era = 0;
  std::uint64_t m_revision = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy takes the comparison with 0 for a pointer
  friend constexpr auto operator<=>(const store_version&, const store_version&) = default;
};

} // namespace cardamompond
