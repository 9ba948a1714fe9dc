#include "backend_answer.hpp"

#include "cardamompond/net/response_match.hpp"
#include "cardamompond/telemetry/log.hpp"

namespace cardamompond::daemon {
namespace {

constexpr int max_skipped_responses = 2;
constexpr std::size_t max_skipped_body_bytes = 4U << 20U;

// The id that a response states is external input. Longer ones are cut in the log.
constexpr std::size_t max_logged_id = 64;

constexpr int status_unavailable = 503;

void log_skipped_response(std::string_view request_id, std::string_view backend_address,
                          const net::http_response& head) {
  const auto stated_id = net::find_header(head.m_headers, request_id_header);
  log_event(log_level::info, "response_skipped",
            {{"request_id", request_id},
             {"backend_server", backend_address},
             {"awaiting", "answer"},
             {"reason", stated_id ? "other_request" : "no_id"},
             {"stated_id", stated_id.value_or("").substr(0, max_logged_id)},
             {"status", head.m_status},
             {"states_not_run", is_refusal(head)}});
}

} // namespace

net::call_result<backend_answer> read_answer(net::http_call& call, std::string_view request_id,
                                             std::string_view backend_address, milliseconds timeout) {
  for (int skipped = 0; skipped <= max_skipped_responses; ++skipped) {
    auto head = call.read_head(timeout);
    if (!head) {
      return head.error();
    }
    const net::response_identity identity{net::find_header(head->m_headers, request_id_header)};
    auto& history = call.history();
    if (net::answers_request(identity, request_id, history)) {
      const bool identified = identity.m_request_id.has_value();
      history.m_states_request_ids |= identified;
      net::note_response(history, identity);
      return backend_answer{std::move(*head), identified};
    }
    log_skipped_response(request_id, backend_address, *head);
    if (const auto body_skipped = net::skip_body(call, max_skipped_body_bytes, timeout); !body_skipped) {
      return body_skipped.error();
    }
  }
  return net::call_error{"only answers to other requests came", true};
}

bool is_refusal(const net::http_response& head) {
  return head.m_status == status_unavailable && net::find_header(head.m_headers, "X-Not-Run");
}

} // namespace cardamompond::daemon
