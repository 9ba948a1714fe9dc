#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/duty_claim.hpp"
#include "cardamompond/fleet/group_clock.hpp"
#include "cardamompond/gateway/peer_report.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::gateway {

// What the reports of peers say about clocks and about the holders of duties, and what this daemon reports
// about its own.
class duty_peers {
public:
  using held_duties = std::vector<std::pair<fleet::duty, std::uint64_t>>;

  explicit duty_peers(std::string availability_zone)
      : m_availability_zone(std::move(availability_zone)) {}

  // Sets the function that returns the duties that this daemon holds, with their tokens.
  void set_held_duties(std::function<held_duties()> held) { m_held_duties = std::move(held); }

  // `received` is the time of monotonic_now() at which the report was current.
  void handle_report(const peer_report& report, time_point received);

  // Removes a peer that is silent or leaves.
  void forget(std::string_view daemon);

  void add_to_report(peer_report& report) const;

  // A peer that states that it holds a duty.
  struct announcement {
    std::string m_holder;
    std::string m_availability_zone;
    std::uint64_t m_token = 0;
    time_point m_heard_at; // of monotonic_now()
  };

  // Returns the announcement with the highest token that is not outdated.
  std::optional<announcement> holder_of(fleet::duty which, time_point now) const;

  // Returns the zone of the daemon that last announced the duty; empty if none did.
  std::string_view last_zone_of(fleet::duty which) const;

  // Returns the true time since 1970: the median of the group's clocks.
  duration true_now() const;

  // Keeps what peers report to run on each server. Off by default, since only one duty needs it.
  void keep_loads() { m_keeps_loads = true; }

  // Returns the number of requests that peers run on each server, by fleet::server_id_hash.
  std::map<std::uint32_t, std::uint64_t> running_by_server() const;

  const fleet::group_clock& clocks() const { return m_clocks; }

private:
  std::string m_availability_zone;
  std::function<held_duties()> m_held_duties = [] { return held_duties(); };
  fleet::group_clock m_clocks;      // of all peers
  fleet::group_clock m_zone_clocks; // of those in the own zone
  std::map<fleet::duty, announcement> m_announcements;
  std::map<fleet::duty, std::string> m_last_zones;
  bool m_keeps_loads = false;
  std::map<std::string, std::vector<std::pair<std::uint32_t, std::uint32_t>>, std::less<>>
      m_loads; // server and running requests, by name of the daemon
};

// Returns the difference between the wall clock and boot_now().
duration wall_clock_offset();

} // namespace cardamompond::gateway
