#pragma once

#include "rate_sharing.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::fleet {

// The live daemons that have requests for one service. For the servers of each zone, those of the same zone
// and of zones without servers come first.
class limit_sharers {
public:
  // `server_zones` are those with servers in service; `live_share` is the part of the registered daemons that
  // this daemon hears. A daemon without demand is no sharer.
  limit_sharers(sharing_daemon self, std::string own_zone, std::set<std::string, std::less<>> server_zones,
                double live_share);

  // Adds the other daemons of a zone.
  void add(std::vector<sharing_daemon> daemons, std::string_view zone);

  // Returns the daemons for a server of that zone, of which `max_daemons` may send. Those that do not come
  // first are left out if the others are enough. The result is valid until the next call.
  sharing_group group_for(std::string_view zone, std::size_t max_daemons);

  std::size_t count() const { return m_count; }
  double live_share() const { return m_live_share; }

private:
  // The daemons of zones without servers count as daemons of every zone.
  bool is_preferred(std::string_view daemon_zone, std::string_view server_zone) const {
    return daemon_zone == server_zone || !m_server_zones.contains(daemon_zone);
  }

  struct zone_group {
    std::vector<sharing_daemon> m_preferred;
    std::vector<sharing_daemon> m_others;
    bool m_has_others = false; // m_others is filled, which is seldom necessary
  };

  // Returns the daemons that come first for the servers of that zone, or the others.
  std::vector<sharing_daemon> collect(std::string_view zone, bool preferred) const;

  sharing_daemon m_self;
  std::string m_own_zone;
  std::set<std::string, std::less<>> m_server_zones;
  double m_live_share = 1;
  std::size_t m_count = 0; // this daemon included
  std::map<std::string, std::vector<sharing_daemon>, std::less<>> m_by_zone;
  std::map<std::string, zone_group, std::less<>> m_groups; // by zone of the servers, filled when needed
};

} // namespace cardamompond::fleet
