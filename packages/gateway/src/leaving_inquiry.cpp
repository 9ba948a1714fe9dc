#include "cardamompond/gateway/leaving_inquiry.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace cardamompond::gateway {
namespace {

constexpr milliseconds inquiry_interval{100};

// A server that does not answer is asked again after this time, which doubles up to the limit.
constexpr milliseconds first_repetition{200};
constexpr milliseconds max_repetition{3'200};

// A sound server answers at once.
constexpr milliseconds answer_timeout{300};
constexpr std::size_t max_answer_bytes = 64U << 10U;

} // namespace

void leaving_inquiry::run() {
  while (true) {
    const auto servers = m_admission.dispatcher().unconfirmed_servers(monotonic_now());
    std::erase_if(m_asked, [&](const auto& asked) {
      return std::none_of(servers.begin(), servers.end(),
                          [&](const fleet::backend_server& each) { return each.m_id == asked.first; });
    });
    for (const auto& server : servers) {
      auto& [next_at, repetition] =
          m_asked.try_emplace(server.m_id, attempt{{}, first_repetition}).first->second;
      if (const time_point now = monotonic_now(); now >= next_at) {
        next_at = now + repetition;
        repetition = std::min(2 * repetition, max_repetition);
        ask(server);
      }
    }
    boost::this_fiber::sleep_for(inquiry_interval);
  }
}

void leaving_inquiry::ask(const fleet::backend_server& server) {
  const auto answer = m_client.fetch(server.m_address, m_protocol.make_probe_request(), answer_timeout,
                                     max_answer_bytes, net::http_client::connection_choice::fresh);
  if (!answer) {
    return;
  }
  const auto metadata = m_protocol.read_response_metadata(*answer);
  m_admission.record_notices(server, metadata);
  const bool leaves = metadata.m_leaving;
  m_admission.dispatcher().confirm_leaving(server, leaves);
  m_admission.deliver_decisions();
  log_event(
      log_level::info, "backend_server_asked",
      {{"backend_server", server.m_id}, {"started_unix_ms", server.m_started_unix_ms}, {"leaves", leaves}});
}

} // namespace cardamompond::gateway
