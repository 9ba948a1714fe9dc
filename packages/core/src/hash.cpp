#include "cardamompond/core/hash.hpp"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace cardamompond {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

hash128 hash_content(std::string_view data) {
  const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
  return {hash.high64, hash.low64};
}

std::string to_hex(const hash128& hash) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.m_high),
                static_cast<unsigned long long>(hash.m_low));
  return {text.data(), 32};
}

} // namespace cardamompond
