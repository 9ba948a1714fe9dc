#include "scheduler_state.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

namespace {

// Keys of finished requests are remembered for this long. Members stop retransmitting an event well before
// that.
constexpr seconds finished_key_lifetime{60};
// Bounds the memory for the keys of finished requests to about 20 MB.
constexpr std::size_t max_finished_keys = 262'144;
// Weight of the newest sample. An average reflects roughly the last ten samples.
constexpr double newest_sample_weight = 0.1;

std::uint32_t retry_after_s(error_code code) {
  return code == error_code::account_limit ? 2 : 1;
}

} // namespace

void moving_average::add(double sample) {
  ++m_samples;
  const double weight = std::max(newest_sample_weight, 1.0 / m_samples);
  m_value += weight * (sample - m_value);
}

void moving_ratio::add(double numerator, double denominator) {
  m_numerator = (1 - newest_sample_weight) * m_numerator + numerator;
  m_denominator = (1 - newest_sample_weight) * m_denominator + denominator;
}

void outcome_window::add(bool failed) {
  m_failed.push_back(failed);
  m_failures += failed ? 1 : 0;
  if (m_failed.size() > size) {
    m_failures -= m_failed.front() ? 1 : 0;
    m_failed.pop_front();
  }
}

void count_rejected(scheduler_state& state, std::string_view reason) {
  const auto found = state.m_rejected_inputs.find(reason);
  if (found != state.m_rejected_inputs.end()) {
    ++found->second;
    return;
  }
  state.m_rejected_inputs.emplace(reason, 1);
}

row_index find_row(const name_index& index, std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? no_row : found->second;
}

void finish_request(scheduler_state& state, request_key key) {
  state.m_requests.erase(key);
  if (state.m_finished.insert(key).second) {
    state.m_finished_order.emplace_back(state.m_now, key);
  }
  while (!state.m_finished_order.empty() &&
         (state.m_finished_order.size() > max_finished_keys ||
          state.m_finished_order.front().first + finished_key_lifetime < state.m_now)) {
    state.m_finished.erase(state.m_finished_order.front().second);
    state.m_finished_order.pop_front();
  }
}

void refuse_request(scheduler_state& state, request_key key, error_code code, std::string_view message) {
  state.m_decisions.emplace_back(refusal{key, code, retry_after_s(code), std::string(message)});
  if (const auto found = state.m_requests.find(key); found != state.m_requests.end()) {
    if (found->second.m_account != no_row) {
      --state.m_accounts[found->second.m_account].m_outstanding;
    }
  }
  finish_request(state, key);
}

} // namespace cardamompond::scheduler
