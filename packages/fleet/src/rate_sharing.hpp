#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace cardamompond::fleet {

// Answers a server that states how many requests per second it takes from all daemons together, mostly fewer
// than there are daemons. Each daemon decides on its own, and those with the same information agree, how the
// rate is shared: by a few daemons, in proportion to their demand.

// A daemon that has requests for the service.
struct sharing_daemon {
  std::uint64_t m_hash = 0; // of its name
  double m_demand = 0;      // requests per second
};

// The daemons that may share the rate of one server. Those of its zone, and of zones without servers, come
// first, because they know its state best.
struct sharing_group {
  sharing_daemon m_self;
  bool m_self_preferred = false;
  std::span<const sharing_daemon> m_preferred; // without this daemon
  std::span<const sharing_daemon> m_others;    // likewise
};

// Returns how many daemons may share the rate. `live_share` is the part of the registered daemons that hear
// each other.
std::size_t max_sending_daemons(double requests_per_s, double live_share);

// Returns the time between two requests of this daemon to the server if it is among the first `max_daemons`
// by rendezvous hashing, and nothing otherwise. The rate is positive.
std::optional<duration> find_sending_interval(std::uint64_t server, double requests_per_s,
                                              std::size_t max_daemons, const sharing_group& group);

} // namespace cardamompond::fleet
