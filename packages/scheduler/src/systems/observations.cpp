#include "systems/observations.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

constexpr std::uint32_t max_tokens = 100'000'000;
constexpr std::chrono::hours max_request_duration{24};
// Cost of a prompt token relative to an output token, used until both speeds have been measured.
constexpr double default_prompt_token_weight = 0.0025;

std::uint32_t uncached_tokens(const completed_event& completed) {
  return completed.m_prompt_tokens - std::min(completed.m_prompt_tokens, completed.m_cached_tokens);
}

// Shorter prompts are not used to measure the time per prompt token, because the first decoding step and the
// network latency dominate their time to first token.
constexpr std::uint32_t min_prefill_tokens = 256;

// Returns true if the response was not streamed, i.e. if it has several tokens and the first of them arrived
// in the last hundredth of the total time.
bool is_unstreamed(const completed_event& completed) {
  return completed.m_output_tokens > 1 &&
         completed.m_total_time - completed.m_time_to_first_token < completed.m_total_time / 100;
}

// Returns the time spent on decoding output tokens. It does not include the first token of a streamed
// response, because the decoding step of that token is part of the time to first token.
double decoding_us(const service_row& service, const completed_event& completed) {
  if (!is_unstreamed(completed)) {
    return static_cast<double>((completed.m_total_time - completed.m_time_to_first_token).count());
  }
  const double prefill = uncached_tokens(completed) * service.m_prefill_us_per_token.value_or(0);
  return std::max(0.0, static_cast<double>(completed.m_total_time.count()) - prefill);
}

// Derives the time per prompt token from the time to first token.
void observe_prefill(server_row& server, service_row& service, const completed_event& completed) {
  const std::uint32_t uncached = uncached_tokens(completed);
  if (completed.m_time_to_first_token <= duration{0} || uncached < min_prefill_tokens ||
      is_unstreamed(completed)) {
    return;
  }
  const double first_decode_step_us =
      server.m_decode_us_per_token.value_or(service.m_decode_us_per_token.value_or(0));
  const double prefill_us =
      std::max(0.0, static_cast<double>(completed.m_time_to_first_token.count()) - first_decode_step_us);
  server.m_prefill_us_per_token.add(prefill_us, uncached);
  service.m_prefill_us_per_token.add(prefill_us, uncached);
}

} // namespace

bool is_plausible(const completed_event& completed) {
  return completed.m_prompt_tokens <= max_tokens && completed.m_output_tokens <= max_tokens &&
         completed.m_cached_tokens <= completed.m_prompt_tokens &&
         completed.m_time_to_first_token >= duration{0} &&
         completed.m_time_to_first_token <= completed.m_total_time &&
         completed.m_total_time <= max_request_duration;
}

void observe_completion(scheduler_state& state, const request_row& request,
                        const completed_event& completed) {
  service_row& service = state.m_services[request.m_service];
  server_row& server = state.m_servers[request.m_server];
  observe_prefill(server, service, completed);
  server.m_total_time_us.add(static_cast<double>(completed.m_total_time.count()));
  const double decode_time_us = decoding_us(service, completed);
  server.m_decode_us_per_token.add(decode_time_us, completed.m_output_tokens);
  service.m_decode_us_per_token.add(decode_time_us, completed.m_output_tokens);
  if (completed.m_output_tokens > 0) {
    service.m_output_tokens.add(completed.m_output_tokens);
    if (request.m_max_output_tokens > 0) {
      service.m_output_ratio.add(
          std::min(1.0, static_cast<double>(completed.m_output_tokens) / request.m_max_output_tokens));
    }
  }
}

double us_per_token(const service_row& service, const completed_event& completed) {
  double prompt_token_weight = default_prompt_token_weight;
  if (service.m_decode_us_per_token.m_denominator > 0 && service.m_prefill_us_per_token.m_denominator > 0) {
    prompt_token_weight =
        service.m_prefill_us_per_token.value_or(0) / std::max(1.0, service.m_decode_us_per_token.value_or(1));
  }
  const double tokens = completed.m_output_tokens + prompt_token_weight * uncached_tokens(completed);
  return static_cast<double>(completed.m_total_time.count()) / std::max(1.0, tokens);
}

} // namespace cardamompond::scheduler
