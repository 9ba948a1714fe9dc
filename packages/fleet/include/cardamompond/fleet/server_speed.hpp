#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>

namespace cardamompond::fleet {

// Speed of one backend server as the daemons tell one another.
struct speed_summary {
  double m_base_s = 0;             // to the first answer of a request without a prompt
  double m_prompt_s_per_token = 0; // added by each token of the prompt
  double m_event_s = 0;            // between two events of a stream
  double m_samples = 0;            // weight of this summary; 0: nothing was seen
};

// Learns how fast a backend server answers from what this daemon's requests saw. Old observations fade.
class server_speed {
public:
  // A request with that prompt had its first answer after that time.
  void note_first_answer(std::uint32_t prompt_tokens, duration took);

  // A stream made that many events in that time.
  void note_events(std::uint64_t events, duration took);

  speed_summary summary() const;

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
speed_summary combine(const speed_summary& a, const speed_summary& b);

// What is assumed of a server of which nothing was seen.
speed_summary assumed_speed();

} // namespace cardamompond::fleet
