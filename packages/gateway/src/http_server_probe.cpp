#include "cardamompond/gateway/http_server_probe.hpp"

namespace cardamompond::gateway {
namespace {

probe_result to_probe_result(const net::call_error& error) {
  return error.m_refused            ? probe_result::refused
         : error.m_reset            ? probe_result::reset
         : error.m_closed_by_server ? probe_result::closed
                                    : probe_result::failed;
}

} // namespace

probe_result http_server_probe::probe(const fleet::backend_server& server, time_point until) {
  const auto left = std::chrono::ceil<milliseconds>(until - monotonic_now());
  if (left <= milliseconds(0)) {
    return probe_result::failed;
  }
  const auto opened = m_client.open(server.m_address, {.m_max_idle_time = milliseconds(0),
                                                       .m_connect_timeout = left,
                                                       .m_opened_after = {},
                                                       .m_isolated = true});
  if (!opened) {
    return to_probe_result(opened.error());
  }
  net::http_call& call = **opened;
  call.set_deadline(until);
  if (const auto sent = call.send(m_protocol.make_probe_request(), left); !sent) {
    return to_probe_result(sent.error());
  }
  const auto head = call.read_head(left);
  call.abort();
  if (!head) {
    return to_probe_result(head.error());
  }
  const auto metadata = m_protocol.read_response_metadata(*head);
  return metadata.m_server_id && *metadata.m_server_id != server.m_id ? probe_result::other_server
                                                                      : probe_result::answered;
}

} // namespace cardamompond::gateway
