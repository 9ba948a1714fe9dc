#pragma once

#include "cardamompond/core/hash.hpp"

#include <charconv>
#include <optional>
#include <string_view>

namespace cardamompond::cell {

// Parses the output of to_hex(): exactly 32 lower-case hexadecimal digits.
inline std::optional<hash128> parse_hex(std::string_view text) {
  constexpr std::size_t half = 16;
  if (text.size() != 2 * half || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
    return std::nullopt;
  }
  hash128 hash;
  std::from_chars(text.data(), text.data() + half, hash.m_high, 16);
  std::from_chars(text.data() + half, text.data() + 2 * half, hash.m_low, 16);
  return hash;
}

} // namespace cardamompond::cell
