#pragma once

#include "cardamompond/net/http_client.hpp"

#include <string_view>

namespace cardamompond::daemon {

// The header with which a request is sent to a backend server, and which the server repeats in its response.
inline constexpr std::string_view request_id_header = "Cardamompond-Request-Id";

// The head of the answer to a request.
struct backend_answer {
  net::http_response m_head;
  bool m_identified = false; // the server states the id of the request
};

// Reads the head of the answer to the request that was sent last on the call, and skips late copies of the
// answers to earlier ones. Fails after a bounded number and size of them; the request may have run then.
net::call_result<backend_answer> read_answer(net::http_call& call, std::string_view request_id,
                                             std::string_view backend_address, milliseconds timeout);

// Returns whether the server states that it did not run the request.
bool is_refusal(const net::http_response& head);

} // namespace cardamompond::daemon
