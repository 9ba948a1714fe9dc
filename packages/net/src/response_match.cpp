#include "cardamompond/net/response_match.hpp"

#include <array>

namespace cardamompond::net {

bool answers_request(const response_identity& identity, std::string_view own_id,
                     const connection_history& history) {
  if (identity.m_request_id) {
    return *identity.m_request_id == own_id;
  }
  return !history.m_states_request_ids &&
         !(identity.m_signed ? history.m_has_unidentified_signed : history.m_has_unidentified);
}

void note_response(connection_history& history, const response_identity& identity) {
  if (!identity.m_request_id) {
    history.m_has_unidentified = true;
    history.m_has_unidentified_signed = history.m_has_unidentified_signed || identity.m_signed;
  }
}

call_result<std::size_t> skip_body(http_call& call, std::size_t max_body_bytes, milliseconds timeout) {
  std::array<char, 4096> skipped{};
  std::size_t skipped_bytes = 0;
  while (true) {
    const auto part = call.read_some(skipped, timeout);
    if (!part) {
      return part.error();
    }
    if (part->empty()) {
      return skipped_bytes;
    }
    if ((skipped_bytes += part->size()) > max_body_bytes) {
      return call_error{"the answer to another request is too large", true};
    }
  }
}

} // namespace cardamompond::net
