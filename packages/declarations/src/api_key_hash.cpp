#include "cardamompond/declarations/api_key_hash.hpp"

#include <array>

#include <openssl/sha.h>

namespace cardamompond::declarations {

std::string hash_api_key(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
  }
  return text;
}

} // namespace cardamompond::declarations
