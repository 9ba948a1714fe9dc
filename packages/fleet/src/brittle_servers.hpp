#pragma once

#include "cardamompond/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace cardamompond::fleet {

// What one process of a server stated about the rejections that it withstands.
struct brittle_notice {
  std::optional<std::uint32_t> m_max_rejections; // in a second; nothing: none stated
  std::optional<time_point> m_stated;            // last statement to any daemon, with a number or without
  std::optional<time_point> m_changed;           // last one that changed the number
  std::optional<time_point> m_own_stated;        // last statement to this daemon
};

// The part of a server's slots that is this daemon's alone, and whether it may use the others.
struct brittle_share {
  std::uint32_t m_slots = 0;
  bool m_may_borrow = false;
};

// Divides the slots of a server among the daemons that use it. `sharers` are the other daemons that have
// slots of their own there, `active` are the other daemons that
// have requests. The parts of all daemons that know the same members
// add up to the slots. No more daemons than about half of `max_rejections` may use slots of others. Daemons
// are identified by the hashes of their names.
brittle_share find_brittle_share(std::uint32_t slots, std::uint32_t max_rejections, std::uint64_t server,
                                 std::uint64_t self, bool shares, std::span<const std::uint64_t> sharers,
                                 std::span<const std::uint64_t> active);

// The load of a server at the moment, as this daemon knows it.
struct brittle_load {
  std::uint32_t m_slots = 0;
  std::uint32_t m_own_running = 0;
  std::uint32_t m_peer_running = 0;
  std::uint32_t m_peer_rejections = 0; // in the last second, by the reports
};

// Decides which requests may be sent to one server that falls over if it has to reject too many requests in a
// second. The load that it answers: a burst that reaches many daemons at the same time, none of which knows
// what the others are about to send. Reads no clock.
class brittle_server {
public:
  // Counts a request of this daemon that the server rejected for lack of room.
  void record_rejection(time_point now);

  // Counts a request that is sent although no slot of this daemon is free.
  void record_sending(const brittle_share& share, const brittle_load& load, time_point now);

  // Returns the number of rejections of this daemon in the last second.
  std::uint32_t count_rejections(time_point now) const;

  // Takes note of the load. To be called several times a second, so that slots are found that stay unused.
  void observe(const brittle_load& load, time_point now);

  // Whether a request may be sent. `report_delay` is the time within which reports of other daemons arrive.
  bool allows(std::uint32_t max_rejections, const brittle_share& share, const brittle_load& load,
              duration report_delay, time_point now) const;

private:
  static constexpr std::size_t max_counted = 8; // more rejections than that close the server in any case

  std::array<std::optional<time_point>, max_counted> m_rejections; // the latest ones, in a ring
  std::size_t m_next_rejection = 0;
  std::optional<time_point> m_unused_since; // nothing: the server was full, or nearly so, when last observed
  std::optional<time_point> m_last_borrowed;
};

} // namespace cardamompond::fleet
