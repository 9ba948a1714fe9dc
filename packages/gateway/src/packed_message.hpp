#pragma once

#include "cardamompond/gateway/peer_report.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstdint>
#include <span>
#include <string>

namespace cardamompond::gateway {

// Limits on the words of eight bytes that decoding a message may read; far above what daemons send. A
// datagram of 16 KB that consists of zeros would otherwise unpack to 32 MB, and to several times that once it
// is read.
inline constexpr std::uint64_t max_snapshot_words = 4U << 20U;
inline constexpr std::uint64_t max_datagram_words = 16U << 10U;

inline std::string serialize_packed(capnp::MallocMessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Decodes a message of at most `max_words` with `read`; fails if the bytes are not a message.
template <typename T, typename Read>
result<T, malformed_message> decode(std::span<const char> bytes, std::uint64_t max_words, Read read) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_words;
    capnp::PackedMessageReader message(in, options);
    return read(message);
  } catch (const kj::Exception& error) {
    return malformed_message{error.getDescription().cStr()};
  }
}

} // namespace cardamompond::gateway
