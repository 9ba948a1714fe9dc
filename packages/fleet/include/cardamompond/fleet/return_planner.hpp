#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/zone_load.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace cardamompond::fleet {

// Answers bursts over capacity in which most callers would be refused twice: a refused caller is told to
// return when there will probably be room. The predicted room of the coming seconds is divided among the
// daemons of the zone, and each one promises its own share, in a schedule of short buckets. A daemon that
// stops loses its schedule, which leaves only the share of one daemon unpromised. Reads no clock.
class return_planner {
public:
  // What a refused caller needs.
  struct request {
    double m_work_ms = 0;
    duration m_limit{}; // longest time after which the caller still returns
  };

  // Returns the time after which the caller should return, and counts the room that it is promised. Returns
  // the limit if there will be no room within it. `daemons` is the number of daemons that share the room.
  duration plan(const request& refused, const zone_load& load, std::size_t daemons, std::mt19937_64& random,
                time_point now);

private:
  static constexpr std::size_t bucket_count = 64;

  void advance(std::int64_t first_bucket);

  std::array<double, bucket_count> m_promised{}; // work in the buckets from m_first_bucket on, as a ring
  std::int64_t m_first_bucket = 0;               // number of the current bucket
  std::optional<double> m_begin_share;           // part of the work of the next promise before its begin
};

} // namespace cardamompond::fleet
