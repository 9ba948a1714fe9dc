#pragma once

#include "cardamompond/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace cardamompond::gateway {

// Limits the rate at which large snapshots are sent. When all daemons of a group start at once, those that
// have a collection already are asked by all others. A link that carries many snapshots at a time finishes
// none before its receiver gives up, and none of the receivers can pass it on. With a limit, the first ones
// finish soon, and the number of daemons that can serve the collection grows with each of them.
class send_budget {
public:
  explicit send_budget(double bytes_per_s)
      : m_bytes_per_s(bytes_per_s) {}

  // Returns whether the bytes may be sent now. One snapshot may follow another that is still being sent, so
  // that the link is not idle between them.
  bool try_take(std::size_t bytes, time_point now) {
    const duration length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / m_bytes_per_s));
    if (m_busy_until > now + length) {
      return false;
    }
    m_busy_until = std::max(m_busy_until, now) + length;
    return true;
  }

private:
  double m_bytes_per_s;
  time_point m_busy_until;
};

} // namespace cardamompond::gateway
