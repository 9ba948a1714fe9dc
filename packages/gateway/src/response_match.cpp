#include "cardamompond/gateway/response_match.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/net/response_match.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>

namespace cardamompond::gateway {
namespace {

// Connections on which more requests were unsuccessful are closed rather than searched for an id.
constexpr std::size_t max_noted_requests = 32;

// The id that a response states is external input. Longer ones are cut in the log.
constexpr std::size_t max_logged_id = 64;

} // namespace

bool answers_request(const response_metadata& metadata, std::string_view own_id,
                     const net::connection_history& history) {
  return net::answers_request({metadata.m_request_id, metadata.m_has_server_stamp}, own_id, history);
}

void note_response(net::connection_history& history, const response_metadata& metadata) {
  net::note_response(history, {metadata.m_request_id, metadata.m_has_server_stamp});
}

void note_unsuccessful(net::connection_history& history, std::string_view request_id) {
  if (history.m_unsuccessful_requests.size() <= max_noted_requests) {
    history.m_unsuccessful_requests.push_back(hash64(request_id));
  }
}

bool may_repeat_response(const net::connection_history& history, std::string_view request_id) {
  const auto& noted = history.m_unsuccessful_requests;
  return noted.size() > max_noted_requests ||
         std::find(noted.begin(), noted.end(), hash64(request_id)) != noted.end();
}

response_metadata lasting_statements(const response_metadata& metadata) {
  response_metadata lasting;
  lasting.m_leaving = metadata.m_leaving;
  lasting.m_misdirected = metadata.m_misdirected;
  lasting.m_server_id = metadata.m_server_id;
  return lasting;
}

void log_skipped_response(std::string_view own_id, std::string_view server_id, std::string_view awaiting,
                          const response_metadata& metadata, int status) {
  const std::string_view stated_id =
      metadata.m_request_id ? std::string_view(*metadata.m_request_id) : std::string_view();
  log_event(log_level::info, "response_skipped",
            {{"request_id", own_id},
             {"backend_server", server_id},
             {"awaiting", awaiting},
             {"reason", metadata.m_request_id ? "other_request" : "no_id"},
             {"stated_id", stated_id.substr(0, max_logged_id)},
             {"status", status},
             {"states_not_run", metadata.m_not_run}});
}

} // namespace cardamompond::gateway
