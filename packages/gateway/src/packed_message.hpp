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

// Limit on the words of eight bytes that decoding a message may read; far above what daemons send.
inline constexpr std::uint64_t max_message_words = 4U << 20U;

inline std::string serialize_packed(capnp::MallocMessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Decodes a message with `read`; fails if the bytes are not a message.
template <typename T, typename Read>
result<T, malformed_message> decode(std::span<const char> bytes, Read read) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    capnp::PackedMessageReader message(in, options);
    return read(message);
  } catch (const kj::Exception& error) {
    return malformed_message{error.getDescription().cStr()};
  }
}

} // namespace cardamompond::gateway
