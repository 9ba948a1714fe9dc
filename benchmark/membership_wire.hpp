#pragma once

#include "cardamompond/cell/messages.hpp"

#include <cstddef>

namespace cardamompond::benchmark {

// Returns the number of bytes that a membership message takes on a connection between daemons. This includes
// the Cap'n Proto RPC messages Call (with the encoded message), Return and Finish, but not the headers of TCP
// and IP.
std::size_t wire_size_bytes(const cell::cell_message& message);

// Encodes the message, as the sending daemon does.
void encode_message(const cell::cell_message& message);

// Decodes the message, as the receiving daemon does. The message is encoded first, so that the time of a call
// includes that of encode_message(). Throws std::runtime_error if the encoded message cannot be decoded.
void encode_and_decode_message(const cell::cell_message& message);

} // namespace cardamompond::benchmark
