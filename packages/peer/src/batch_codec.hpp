#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/peer/batches.hpp"

#include "peer.capnp.h"

#include <string>

namespace cardamompond::peer {

// Conversions between batches and their Cap'n Proto form. `now` is the current time of the local clock; ages
// and remaining times are relative to it. Decoding fails with an error message on out-of-range enumerators,
// oversized lists and unknown union members.
void encode(const event_batch& batch, time_point now, wire::EventBatch::Builder out);
result<event_batch, std::string> decode(wire::EventBatch::Reader in, time_point now);

void encode(const decision_batch& batch, wire::DecisionBatch::Builder out);

// `daemon` is the request_key::m_daemon of the receiver.
result<decision_batch, std::string> decode(wire::DecisionBatch::Reader in, std::uint64_t daemon);

} // namespace cardamompond::peer
