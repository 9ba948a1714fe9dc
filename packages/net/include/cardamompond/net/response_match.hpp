#pragma once

#include "cardamompond/net/http_client.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace cardamompond::net {

// What a response states about the request that it answers.
struct response_identity {
  std::optional<std::string_view> m_request_id; // as the server repeats it
  bool m_signed = false;                        // the response carries the server's signature
};

// Returns whether a response that arrives on a connection answers the request `own_id`, which was sent last.
// Servers state the id of the request in their responses, and a late copy of an earlier response may arrive
// where the next one is due. A response without an id may be such a copy if the connection carried another
// one without an id. Signed and unsigned responses answer different kinds of requests, so that neither can be
// a copy of the other. Once the server has stated the id of a request, no response without an id is taken for
// the answer to one.
bool answers_request(const response_identity& identity, std::string_view own_id,
                     const connection_history& history);

// Notes a response that was taken for the answer to the request that was sent last.
void note_response(connection_history& history, const response_identity& identity);

// Reads the rest of a response that answers another request and returns its length in bytes. `timeout` holds
// for each read. A longer body than `max_body_bytes` is an error.
call_result<std::size_t> skip_body(http_call& call, std::size_t max_body_bytes, milliseconds timeout);

} // namespace cardamompond::net
