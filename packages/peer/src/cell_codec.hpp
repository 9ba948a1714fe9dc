#pragma once

#include "cardamompond/cell/messages.hpp"
#include "cardamompond/core/result.hpp"

#include "peer.capnp.h"

#include <string>

namespace cardamompond::peer {

// Conversions between membership messages and their Cap'n Proto form. Decoding fails with an error message on
// out-of-range enumerators and oversized lists.
void encode(const cell::cell_message& message, wire::CellMessage::Builder out);
result<cell::cell_message, std::string> decode(wire::CellMessage::Reader in);

} // namespace cardamompond::peer
