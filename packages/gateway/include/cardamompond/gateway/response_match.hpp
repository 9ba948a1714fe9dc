#pragma once

#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/http_client.hpp"

#include <string_view>

namespace cardamompond::gateway {

// Returns whether a response that arrives on a connection answers the request `own_id`, which was sent last;
// see net::answers_request(). Answers to requests are signed and those to reservations are not.
bool answers_request(const response_metadata& metadata, std::string_view own_id,
                     const net::connection_history& history);

// Notes a response that was taken for the answer to a request or a reservation.
void note_response(net::connection_history& history, const response_metadata& metadata);

// Notes that the server refused the request. A copy of the refusal carries the id, so the same request must
// not be sent on this connection again.
void note_refusal(net::connection_history& history, std::string_view request_id);

// Whether a late copy of a refusal of this request may arrive on the connection, or so many requests were
// refused on it that this is not known.
bool may_repeat_refusal(const net::connection_history& history, std::string_view request_id);

} // namespace cardamompond::gateway
