#pragma once

#include "dispatch_tables.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Answers bursts over capacity and the loss of many servers at once: free slots then go to the requests that
// are worth most, on whichever daemon they wait (trunk reservation). No daemon sees the queues of the others,
// but each one reports how many of its requests were blocked, that is, found no free slot. A request leaves
// as many slots free as more urgent requests were blocked lately. Late requests leave slots for all that are
// on time, because their callers gain little from them.

// Returns the level of urgency of a request: by the tier, then by the rank of its route.
std::size_t urgency_level(const dispatch_tables& tables, const submission& request);

// Returns the number of slots that must remain free after the request was granted one.
double required_free_slots(const dispatch_tables& tables, const waiting_request& waiting, time_point now);

// Numbers of slots of several servers.
struct slot_pool {
  double m_free = 0;
  double m_slots = 0;
};

// The free slots of the batching servers of a service, as this daemon knows them. In a small group they form
// one pool. In a large group each availability zone has its own, because the reports of other zones are
// older. Pools are counted when they are first asked for. Valid until the state of the servers changes.
class spare_capacity {
public:
  spare_capacity(const dispatch_tables& tables, std::string_view service, time_point now);

  // Whether a request may take a slot of the server if it has to leave `required_free` slots free. In another
  // zone it must leave more, so that the urgent requests of that zone come first.
  bool allows(const server_row& server, double required_free);

  // Counts a slot of the server as taken.
  void take(const server_row& server);

private:
  const slot_pool& own_pool();
  const slot_pool& other_pool(std::string_view zone);
  void add(const server_row& server, slot_pool& to) const;
  bool is_in_own_pool(const server_row& server) const;

  const dispatch_tables& m_tables;
  time_point m_now;
  const server_lists* m_servers = nullptr;
  std::optional<slot_pool> m_own_pool;
  std::map<std::string_view, slot_pool> m_other_pools; // by availability zone; empty: not counted
};

} // namespace cardamompond::fleet
