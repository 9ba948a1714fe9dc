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
  double m_calls_per_s = 5;              // average rate of platform calls
  milliseconds m_list_interval{600'000}; // minimum time between two listings
  milliseconds m_timeout{1000};          // for each platform call
};

// Deletes claims that were last written more than claim_sweeper_options::m_max_claim_age (24 h) ago, at a
// bounded rate of platform calls. Only the cell owner runs it. Object versions increase over the whole store,
// so the claims with the lowest versions are read first, and the first one that is not old enough ends the
// pass.
class claim_sweeper {
public:
  explicit claim_sweeper(object_store& store, claim_sweeper_options options = {});

  // Makes as many platform calls as the rate allows; to be called about once a second. `wall_clock_ms` is in
  // milliseconds since 1970. Returns the number of claims deleted. Claims that cannot be decoded or are dated
  // in the future are kept.
  std::size_t sweep(time_point now, std::int64_t wall_clock_ms);

private:
  object_store& m_store;
  claim_sweeper_options m_options;
  double m_available_calls = 1;
  std::optional<time_point> m_last_sweep;
  std::optional<time_point> m_last_listing;
  std::vector<stored_key> m_queue; // from the last listing, newest first
};

} // namespace cardamompond::cell
