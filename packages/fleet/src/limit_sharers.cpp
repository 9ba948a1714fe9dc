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

void limit_sharers::add(std::vector<sharing_daemon> daemons, std::string_view zone) {
  std::erase_if(daemons, [](const sharing_daemon& each) { return each.m_demand < min_demand; });
  m_count += daemons.size();
  m_groups.clear();
  m_by_zone.insert_or_assign(std::string(zone), std::move(daemons));
}

std::vector<sharing_daemon> limit_sharers::collect(std::string_view zone, bool preferred) const {
  std::vector<sharing_daemon> collected;
  for (const auto& [daemon_zone, daemons] : m_by_zone) {
    if (is_preferred(daemon_zone, zone) == preferred) {
      collected.insert(collected.end(), daemons.begin(), daemons.end());
    }
  }
  return collected;
}

sharing_group limit_sharers::group_for(std::string_view zone, std::size_t max_daemons) {
  auto found = m_groups.find(zone);
  if (found == m_groups.end()) {
    found = m_groups.emplace(zone, zone_group{collect(zone, true), {}, false}).first;
  }
  auto& [preferred, others, has_others] = found->second;
  if (!has_others && preferred.size() < max_daemons) {
    others = collect(zone, false);
    has_others = true;
  }
  return {m_self, is_preferred(m_own_zone, zone), preferred, others};
}

} // namespace cardamompond::fleet
