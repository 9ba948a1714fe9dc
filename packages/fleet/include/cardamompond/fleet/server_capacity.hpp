#pragma once

#include "cardamompond/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cardamompond::fleet {

// Learns how many requests at a time a backend server handles well, from how long its work takes at different
// numbers of running requests. The limit is where more requests no longer add throughput. A change that
// concerns all numbers of requests alike, such as a disturbance or a slow machine, does not change it. The
// class reads no clock.
class server_capacity {
public:
  // Sets the number of slots of the server. Observations are kept only if it does not change.
  void set_slots(std::uint32_t slots);

  // Records that work took `seconds` while `running` requests were running. The unit of work is that of the
  // caller, such as an event of a stream or a response.
  void record(std::uint32_t running, double seconds, time_point now);

  // Returns the learned limit, which is at most the number of slots, or nothing without evidence.
  std::optional<std::uint32_t> learned_limit(time_point now) const;

  // Returns how long work takes at this number of running requests, relative to the mean of what was
  // observed; 1 without evidence.
  double relative_time(std::uint32_t running, time_point now) const;

private:
  // Servers with more slots have several numbers of requests in one class.
  static constexpr std::size_t max_classes = 16;

  // What was observed with similar numbers of running requests.
  struct observations {
    double m_count = 0;
    double m_weight = 0; // at the time of the last one
    time_point m_last;
    double m_log_time = 0; // mean of the natural logarithm of the time
  };

  std::size_t class_count() const;
  std::size_t class_of(std::uint32_t running) const;
  double running_of(std::size_t index) const; // largest number of requests of a class
  double weight(std::size_t index, time_point now) const;
  bool saturates_at(std::size_t index, time_point now) const;

  double standard_error(double first_weight, double second_weight) const;

  std::uint32_t m_slots = 0;
  double m_variance = 0.1; // of the logarithms of the times around the means of their classes
  std::array<observations, max_classes> m_classes{};
};

} // namespace cardamompond::fleet
