#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>

namespace cardamompond::fleet {

// Estimated speed of one backend server, as exchanged between daemons.
struct speed_estimate {
  double m_base_s = 0;             // time to the first part of the response to a request without a prompt
  double m_prompt_s_per_token = 0; // additional time for each token of the prompt
  double m_event_interval_s = 0;   // time between two events of a stream
  double m_samples = 0;            // weight of this estimate; 0: no observations
};

// Estimates the speed of a backend server from the requests of this daemon. The weight of old observations
// decays.
class speed_estimator {
public:
  // Records that the first part of the response to a request with a prompt of this length took this time.
  void record_first_token(std::uint32_t prompt_tokens, duration took);

  // Records that a stream delivered `events` events in the time `took`.
  void record_events(std::uint64_t events, duration took);

  speed_estimate estimate() const;

  // Whether the estimate differs from the assumed speed.
  bool has_observations() const { return m_weight > 0 || m_event_weight > 0; }

private:
  // Sums of a weighted linear regression of the time to the first part of the response over the prompt
  // length.
  double m_weight = 0;
  double m_tokens = 0;
  double m_seconds = 0;
  double m_tokens_squared = 0;
  double m_tokens_seconds = 0;
  double m_event_weight = 0;
  double m_event_seconds = 0;
};

// Returns the mean of two estimates, weighted by their samples.
speed_estimate combine(const speed_estimate& a, const speed_estimate& b);

// Returns the speed that is assumed for a server without observations.
speed_estimate assumed_speed();

} // namespace cardamompond::fleet
