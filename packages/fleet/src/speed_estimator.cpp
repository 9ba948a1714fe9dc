#include "cardamompond/fleet/speed_estimator.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Factor by which each new observation reduces the weight of the older ones. About the last thirty count.
constexpr double retained = 0.97;

// Values of an average engine in the documentation of the platform: it processes 112 prompt tokens per
// millisecond, and an event has about six output tokens of 3.41 ms or more each.
constexpr double assumed_base_s = 0.05;
constexpr double assumed_prompt_s_per_token = 1.0 / 112'000;
constexpr double assumed_event_s = 0.03;

// The regression starts from two points at the assumed speed, without a prompt and with one of this length,
// so that the first observations cannot give absurd slopes.
constexpr double prior_weight = 1.0;
constexpr double prior_tokens = 8'000;

double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

speed_estimate assumed_speed() {
  return {assumed_base_s, assumed_prompt_s_per_token, assumed_event_s, 0};
}

void speed_estimator::record_first_token(std::uint32_t prompt_tokens, duration took) {
  const double tokens = prompt_tokens;
  const double seconds = to_seconds(took);
  m_weight = m_weight * retained + 1;
  m_tokens = m_tokens * retained + tokens;
  m_seconds = m_seconds * retained + seconds;
  m_tokens_squared = m_tokens_squared * retained + tokens * tokens;
  m_tokens_seconds = m_tokens_seconds * retained + tokens * seconds;
}

void speed_estimator::record_events(std::uint64_t events, duration took) {
  if (events == 0) {
    return;
  }
  m_event_weight = m_event_weight * retained + 1;
  m_event_seconds = m_event_seconds * retained + to_seconds(took) / static_cast<double>(events);
}

speed_estimate speed_estimator::estimate() const {
  speed_estimate estimate = assumed_speed();
  // The observed time per event relative to the assumed one. It scales the prior of the regression.
  const double scale = m_event_weight > 0 ? (m_event_seconds / m_event_weight) / assumed_event_s : 1.0;
  if (m_event_weight > 0) {
    estimate.m_event_interval_s = m_event_seconds / m_event_weight;
  }
  const double prior_first_answer_s = (assumed_base_s + assumed_prompt_s_per_token * prior_tokens) * scale;
  const double weight = m_weight + 2 * prior_weight;
  const double tokens = m_tokens + prior_weight * prior_tokens;
  const double seconds = m_seconds + prior_weight * (assumed_base_s * scale + prior_first_answer_s);
  const double tokens_squared = m_tokens_squared + prior_weight * prior_tokens * prior_tokens;
  const double tokens_seconds = m_tokens_seconds + prior_weight * prior_tokens * prior_first_answer_s;
  const double determinant = weight * tokens_squared - tokens * tokens;
  const double slope = (weight * tokens_seconds - tokens * seconds) / determinant;
  const double min_slope = assumed_prompt_s_per_token * 0.1;
  const double max_slope = assumed_prompt_s_per_token * 20;
  estimate.m_prompt_s_per_token = std::clamp(slope, min_slope, max_slope);
  estimate.m_base_s = std::max(0.001, (seconds - estimate.m_prompt_s_per_token * tokens) / weight);
  estimate.m_samples = std::max(m_weight, m_event_weight);
  return estimate;
}

speed_estimate combine(const speed_estimate& a, const speed_estimate& b) {
  const double samples = a.m_samples + b.m_samples;
  if (samples <= 0) {
    return a;
  }
  const auto mean = [&](double left, double right) {
    return (left * a.m_samples + right * b.m_samples) / samples;
  };
  return {mean(a.m_base_s, b.m_base_s), mean(a.m_prompt_s_per_token, b.m_prompt_s_per_token),
          mean(a.m_event_interval_s, b.m_event_interval_s), samples};
}

} // namespace cardamompond::fleet
