#include "cardamompond/gateway/response_match.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <random>

namespace cardamompond::gateway {
namespace {

// Connections on which more requests were refused are closed rather than searched for an id.
constexpr std::size_t max_noted_refusals = 32;

} // namespace

bool answers_request(const response_metadata& metadata, std::string_view own_id,
                     const net::connection_history& history) {
  if (metadata.m_request_id) {
    return *metadata.m_request_id == own_id;
  }
  return !history.m_states_request_ids &&
         !(metadata.m_has_server_stamp ? history.m_has_unidentified_signed : history.m_has_unidentified);
}

void note_response(net::connection_history& history, const response_metadata& metadata) {
  if (!metadata.m_request_id) {
    history.m_has_unidentified = true;
    history.m_has_unidentified_signed = history.m_has_unidentified_signed || metadata.m_has_server_stamp;
  }
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

std::string make_exchange_id() {
  static const std::uint64_t process_id = std::random_device{}() | std::uint64_t{std::random_device{}()}
                                                                       << 32U;
  static std::atomic<std::uint64_t> last_number{0};
  std::array<char, 64> text{};
  const int length = std::snprintf(text.data(), text.size(), "hold-%016llx-%llx",
                                   static_cast<unsigned long long>(process_id),
                                   static_cast<unsigned long long>(++last_number));
  return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace cardamompond::gateway
