#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>

namespace cardamompond::fleet {

// Speed of one backend server as the daemons tell one another.
struct speed_estimate {
  double m_base_s = 0;             // to the first answer of a request without a prompt
  double m_prompt_s_per_token = 0; // added by each token of the prompt
  double m_event_interval_s = 0;   // between two events of a stream
  double m_samples = 0;            // weight of this summary; 0: nothing was seen
};

// Learns how fast a backend server answers from what this daemon's requests saw. Old observations fade.
class speed_estimator {
public:
  // A request with that prompt had its first answer after that time.
  void record_first_answer(std::uint32_t prompt_tokens, duration took);

  // A stream made that many events in that time.
  void record_events(std::uint64_t events, duration took);

  speed_estimate summary() const;

private:
  // Sums of a weighted linear regression of the time to the first answer over the prompt's length.
  double m_weight = 0;
  double m_tokens = 0;
  double m_seconds = 0;
  double m_tokens_squared = 0;
  double m_tokens_seconds = 0;
  double m_event_weight = 0;
  double m_event_seconds = 0;
};

// The mean of two summaries by their samples.
speed_estimate combine(const speed_estimate& a, const speed_estimate& b);

// What is assumed of a server of which nothing was seen.
speed_estimate assumed_speed();

} // namespace cardamompond::fleet
