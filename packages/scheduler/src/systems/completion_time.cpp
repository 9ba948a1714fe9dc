#include "systems/completion_time.hpp"

#include "systems/observations.hpp"
#include "systems/prefixes.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// Inference engines slow down as their batch grows. The measured averages already include the usual load, so
// the current load adds only this fraction when all slots are in use.
constexpr double slowdown_at_full_load = 0.3;
constexpr double default_total_us = 16'000'000;
constexpr double prefill_cost_factor = 3;

double expected_decode_us_per_token(const service_row& service, const server_row& server) {
  if (server.m_decode_us_per_token.m_denominator > 0) {
    return server.m_decode_us_per_token.value_or(default_decode_us_per_token);
  }
  if (server.m_reported_tokens_per_s > 0) {
    return 1e6 / server.m_reported_tokens_per_s;
  }
  return service.m_decode_us_per_token.value_or(default_decode_us_per_token);
}

} // namespace

double placement_cost_us(const scheduler_state& state, const request_row& request, row_index server_index) {
  const server_row& server = state.m_servers[server_index];
  const service_row& service = state.m_services[request.m_service];
  double uncached = request.m_prompt_tokens;
  if (!request.m_prefix_blocks.empty()) {
    const std::size_t matching = count_matching_blocks(state, server_index, request.m_prefix_blocks);
    uncached *= 1 - static_cast<double>(matching) / static_cast<double>(request.m_prefix_blocks.size());
  }
  const double prefill = server.m_prefill_us_per_token.value_or(
      service.m_prefill_us_per_token.value_or(default_prefill_us_per_token));
  const double unloaded_us =
      prefill_cost_factor * uncached * prefill +
      request.m_estimated_output_tokens * expected_decode_us_per_token(service, server);
  const double load = static_cast<double>(server.m_outstanding) / std::max(1U, server.m_slots);
  return unloaded_us * (1 + slowdown_at_full_load * load);
}

double expected_slot_wait_us(const scheduler_state& state, row_index server_index) {
  const server_row& server = state.m_servers[server_index];
  const std::uint32_t ahead =
      server.m_deferred_requests_tick == state.m_tick ? server.m_deferred_requests : 0;
  return server.m_total_time_us.value_or(default_total_us) * (1 + ahead) /
         std::max(1U, server.m_counted_limit);
}

} // namespace cardamompond::scheduler
