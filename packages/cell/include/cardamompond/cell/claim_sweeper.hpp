#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace cardamompond::cell {

struct claim_sweeper_options {
  std::chrono::hours m_max_claim_age{24};
  double m_calls_per_s = 5;              // platform calls, on average
  milliseconds m_list_interval{600'000}; // at least this long between two listings
  milliseconds m_timeout{1000};
};

// Deletes claims that were last written more than 24 h ago, at a bounded rate of platform calls. Only the
// cell owner runs it. Object versions increase over the whole store, so the oldest claims are read first, and
// the first one that is young enough ends the pass.
class claim_sweeper {
public:
  explicit claim_sweeper(object_store& store, claim_sweeper_options options = {});

  // Does as much as the rate allows; call it about once a second. `wall_clock_ms` is milliseconds since 1970.
  // Returns the number of claims deleted. Claims that cannot be decoded or bear a date in the future are left
  // alone.
  std::size_t sweep(time_point now, std::int64_t wall_clock_ms);

private:
  object_store& m_store;
  claim_sweeper_options m_options;
  double m_available_calls = 1;
  std::optional<time_point> m_last_sweep;
  std::optional<time_point> m_last_listing;
  std::vector<stored_key> m_queue; // oldest last
};

} // namespace cardamompond::cell
