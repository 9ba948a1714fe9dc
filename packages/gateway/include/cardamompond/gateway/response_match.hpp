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

// Notes that the request was refused or failed, after which it may come again with the same id. A copy of the
// response carries the id, so the request must not be sent on this connection again.
void note_unsuccessful(net::connection_history& history, std::string_view request_id);

// Whether a late copy of a response to this request may arrive on the connection, or so many requests were
// unsuccessful on it that this is not known.
bool may_repeat_response(const net::connection_history& history, std::string_view request_id);

// Returns what a response states that holds for as long as the process of the server runs: that it leaves.
// Only this may be taken from a late copy. A pause, the load and the like describe the moment of the first
// response.
response_metadata lasting_statements(const response_metadata& metadata);

// Logs that a response to another request, or one that may be a late copy, was skipped on the connection of
// the request `own_id`. `awaiting` names what was expected: "reservation" or "answer".
void log_skipped_response(std::string_view own_id, std::string_view server_id, std::string_view awaiting,
                          const response_metadata& metadata, int status);

} // namespace cardamompond::gateway
