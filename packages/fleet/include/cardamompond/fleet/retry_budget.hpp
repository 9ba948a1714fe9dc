#pragma once

#include "cardamompond/core/time.hpp"

#include <array>
#include <cstdint>

namespace cardamompond::fleet {

// Limits the retries of requests of one service to a ratio of the requests in a sliding window plus a fixed
// number. Each daemon uses only its own part of the fixed number, so that the limit holds for all daemons
// together without communication.
class retry_budget {
public:
  struct limits {
    double m_ratio = 0.2;
    double m_fixed = 5; // this daemon's part
    duration m_window = seconds(10);
  };

  void set_limits(limits new_limits) { m_limits = new_limits; }

  // Records that a request for the service has arrived from a caller.
  void record_request(time_point now);

  // Whether a retry is left.
  bool available(time_point now);

  // Takes one retry out of the budget. Returns false if none is left.
  bool try_take(time_point now);

private:
  static constexpr std::int64_t slice_count = 20; // number of slices per window

  struct slice {
    std::int64_t m_index = -1;
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
  };

  slice& current_slice(time_point now);

  limits m_limits;
  std::array<slice, static_cast<std::size_t>(slice_count)> m_slices{};
};

} // namespace cardamompond::fleet
