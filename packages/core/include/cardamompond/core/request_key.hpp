#pragma once

#include "cardamompond/core/hash.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace cardamompond {

// Identifies a request within a cell by the incarnation of the daemon that received it and by a sequence
// number of that incarnation.
struct request_key {
  std::uint64_t m_daemon = 0; // hash of the daemon's name and incarnation
  std::uint64_t m_sequence = 0;
  friend auto operator<=>(const request_key&, const request_key&) = default;
};

// Returns the value of request_key::m_daemon for an incarnation of the daemon `name`.
inline std::uint64_t make_daemon_key(std::string_view name, std::uint64_t incarnation) {
  return hash64(name, incarnation);
}

} // namespace cardamompond

template <> struct std::hash<cardamompond::request_key> {
  std::size_t operator()(const cardamompond::request_key& key) const noexcept {
    return static_cast<std::size_t>(key.m_daemon ^ (key.m_sequence * 0x9e3779b97f4a7c15ULL));
  }
};
