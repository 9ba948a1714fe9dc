#include "cardamompond/gateway/response_match.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/net/response_match.hpp"

#include <algorithm>

namespace cardamompond::gateway {
namespace {

// Connections on which more requests were refused are closed rather than searched for an id.
constexpr std::size_t max_noted_refusals = 32;

} // namespace

bool answers_request(const response_metadata& metadata, std::string_view own_id,
                     const net::connection_history& history) {
  return net::answers_request({metadata.m_request_id, metadata.m_has_server_stamp}, own_id, history);
}

void note_response(net::connection_history& history, const response_metadata& metadata) {
  net::note_response(history, {metadata.m_request_id, metadata.m_has_server_stamp});
}

void note_refusal(net::connection_history& history, std::string_view request_id) {
  if (history.m_refused_requests.size() <= max_noted_refusals) {
    history.m_refused_requests.push_back(hash64(request_id));
  }
}

bool may_repeat_refusal(const net::connection_history& history, std::string_view request_id) {
  const auto& refused = history.m_refused_requests;
  return refused.size() > max_noted_refusals ||
         std::find(refused.begin(), refused.end(), hash64(request_id)) != refused.end();
}

} // namespace cardamompond::gateway
