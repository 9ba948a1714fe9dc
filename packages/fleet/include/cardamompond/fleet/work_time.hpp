#pragma once

#include "cardamompond/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cardamompond::fleet {

// Values of a stated work time outside of this range are treated as absent.
constexpr std::uint32_t min_work_time_percent = 5;
constexpr std::uint32_t max_work_time_percent = 10'000;

// How long work takes on a backend server at a moment, as the server stated it.
struct work_time_statement {
  std::uint32_t m_percent = 0; // 100: as usual; 0: nothing was stated
  duration m_age{};
};

// Follows the work time that one backend server states, which changes many times a second. It distinguishes
// the lasting speed of the machine from disturbances, which end by themselves. Reads no clock.
class work_time {
public:
  // Records a statement. Statements older than the latest one are ignored, so that reports of several peers
  // may arrive in any order.
  void record(std::uint32_t percent, time_point stated);

  // Whether the server has stated its work time.
  bool known() const { return m_sample_count > 0; }

  // Returns the lasting work time relative to the usual one; 1 if nothing was stated.
  double lasting() const { return m_lasting; }

  // Returns the work time that is expected now relative to the usual one. It decays from the stated to the
  // lasting value within the time in which the statements are seen to change.
  double expected(time_point now) const;

  // Whether the server is expected to be slower now than it lastingly is.
  bool is_disturbed(time_point now) const;

  // Returns the age of the latest statement, or nothing without any.
  std::optional<duration> age(time_point now) const;

private:
  static constexpr std::size_t max_samples = 9;

  void update_lasting(std::uint32_t percent, time_point stated);
  void update_change_time(double stated_ratio, time_point stated);

  std::array<std::uint32_t, max_samples> m_samples{}; // a ring of statements at intervals
  std::size_t m_sample_count = 0;
  std::size_t m_next_sample = 0;
  time_point m_last_sample;
  double m_lasting = 1;
  double m_latest = 1;
  time_point m_stated;
  std::optional<time_point> m_change_began; // the statements differ from the lasting value since then
  double m_change_s = 1;                    // mean length of a change
};

} // namespace cardamompond::fleet
