#pragma once

#include <string>
#include <string_view>

namespace cardamompond::declarations {

// Returns the SHA-256 hash of an API key as 64 lower-case hexadecimal digits, the form in which declarations
// list it under client_account.key_sha256.
std::string hash_api_key(std::string_view key);

} // namespace cardamompond::declarations
