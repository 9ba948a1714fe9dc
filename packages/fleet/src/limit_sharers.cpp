#include "limit_sharers.hpp"

#include <utility>

namespace cardamompond::fleet {
namespace {

// A daemon with fewer requests per second leaves the limits to others. With the time constant of the demand,
// it counts for 15 s after a single request.
constexpr double min_demand = 0.02;

} // namespace

limit_sharers::limit_sharers(sharing_daemon self, std::string own_zone,
                             std::set<std::string, std::less<>> server_zones, double live_share)
    : m_self(self)
    , m_own_zone(std::move(own_zone))
    , m_server_zones(std::move(server_zones))
    , m_live_share(live_share) {
  if (m_self.m_demand < min_demand) {
    m_self.m_demand = 0;
  }
  m_count = m_self.m_demand > 0 ? 1 : 0;
}

void limit_sharers::add(sharing_daemon daemon, std::string_view zone) {
  if (daemon.m_demand < min_demand) {
    return;
  }
  ++m_count;
  m_groups.clear();
  auto found = m_by_zone.find(zone);
  if (found == m_by_zone.end()) {
    found = m_by_zone.emplace(zone, daemons()).first;
  }
  found->second.push_back(daemon);
}

sharing_group limit_sharers::group_for(std::string_view zone) {
  auto found = m_groups.find(zone);
  if (found == m_groups.end()) {
    found = m_groups.emplace(zone, zone_group()).first;
    auto& [preferred, others] = found->second;
    for (const auto& [daemon_zone, members] : m_by_zone) {
      auto& to = is_preferred(daemon_zone, zone) ? preferred : others;
      to.insert(to.end(), members.begin(), members.end());
    }
  }
  return {m_self, is_preferred(m_own_zone, zone), found->second.m_preferred, found->second.m_others};
}

} // namespace cardamompond::fleet
