#pragma once

#include "cardamompond/declarations/codec.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

// Maximum size of the part of the snapshot in one chunk. The object API accepts values of up to 1 MB.
inline constexpr std::size_t max_chunk_bytes = 900'000;

// Encodes a snapshot and splits it into chunks for the object API. Each chunk begins with the line
// "REVISION INDEX COUNT". Chunks of different revisions therefore have different keys, and erasing an old
// base never removes a chunk of a newer one.
std::vector<std::string> encode_base(const snapshot& base, std::size_t chunk_bytes = max_chunk_bytes);

// Joins the chunks of the base at `revision` and decodes them. At revision 0 the list of chunks is empty and
// the result is an empty snapshot.
decode_result<snapshot> decode_base(std::span<const std::string> chunks, std::uint64_t revision);

// Returns the object API key of a chunk: "config/base/" and the hash of its content in hexadecimal digits.
std::string chunk_key(std::string_view chunk);

} // namespace cardamompond::declarations
