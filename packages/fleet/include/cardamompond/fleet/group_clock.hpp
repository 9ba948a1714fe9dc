#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Estimates true time as the median of the wall clocks of a group, so that a minority of clocks that are
// wrong or jump does no harm. A clock is known by its offset, the difference between its wall time and the
// local boot time at the same moment. The boot time does not jump and also counts while the host is
// suspended.
class group_clock {
public:
  // Records the offset of another daemon's clock, as a report shows it that arrived at `now` (boot time). The
  // way of a report makes the clock seem to be behind, so the highest of the latest offsets counts.
  void record(std::string_view daemon, duration offset, duration now);

  // Removes a daemon that no longer reports.
  void forget(std::string_view daemon);

  // Returns the median of the offsets, the local one included. With an even number of clocks it is the lower
  // one of the middle two.
  duration median_offset(duration own_offset) const;

  std::size_t peer_count() const { return m_offsets.size(); }

private:
  struct observed {
    duration m_period_start{};
    duration m_highest{};        // in the current period
    duration m_highest_before{}; // in the period before it
  };

  std::map<std::string, observed, std::less<>> m_offsets; // by name of the daemon
};

} // namespace cardamompond::fleet
