#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/zone_load.hpp"

#include <array>
#include <cstddef>

namespace cardamompond::fleet {

// Rate of the requests for one service that reach this daemon, as an exponential moving average. Daemons
// share limits by their demands, so a daemon must not count on more than its peers have heard of: it tells
// them the latest published value, and uses the lowest one of those that they may have.
class demand_meter {
public:
  demand_meter();

  void record_request(time_point now);

  // Publishes the present rate; to be called once a second.
  void publish(time_point now);

  // Returns the latest published rate, in requests per second.
  double published() const { return m_published.front(); }

  // Returns the lowest rate that was in force in the last seconds, at most `max_delay_s` of them.
  double lowest_published(std::size_t max_delay_s) const;

private:
  decaying_rate m_rate;
  std::array<double, 4> m_published{}; // the latest first
};

} // namespace cardamompond::fleet
