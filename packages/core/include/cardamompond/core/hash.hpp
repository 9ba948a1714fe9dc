#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompond {

// Returns the 64-bit XXH3 hash of `data`.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

// A 128-bit hash value, used for the fingerprints of crash records and for the keys of claims.
struct hash128 {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
  friend auto operator<=>(const hash128&, const hash128&) = default;
};

// Returns the 128-bit XXH3 hash of `data`.
hash128 hash_content(std::string_view data);

// Returns the hash as 32 lower-case hexadecimal digits.
std::string to_hex(const hash128& hash);

} // namespace cardamompond
