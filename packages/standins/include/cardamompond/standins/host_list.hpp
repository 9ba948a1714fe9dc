#pragma once

#include "cardamompond/standins/standin.hpp"

#include <map>
#include <string>
#include <vector>

namespace cardamompond::standins {

// Stand-in for the platform's list of backend hosts, which shows arrivals and departures with a lag.
//
// GET /hosts returns the list; POST /hosts {"address","state":"live|leaving|gone"} reports a change.
//
// Parameters:
// - arrival_lag_ms: lag of hosts that become live.
// - departure_lag_ms: lag of all other changes.
// - outage: both requests get 503.
// - live: addresses, separated by commas, that are listed without a lag. Setting it again adds hosts
//   and keeps the earlier ones.
class host_list final : public standin {
public:
  explicit host_list(std::uint64_t seed);

  void handle(net::http_exchange& exchange) override;
  void on_parameters_changed(const boost::json::object& values) override;

private:
  struct change {
    time_point m_visible_at{};
    std::string m_state;
  };

  void record_change(net::http_exchange& exchange);

  std::map<std::string, std::vector<change>> m_hosts;
  std::int64_t m_arrival_lag_ms = 0;
  std::int64_t m_departure_lag_ms = 0;
  bool m_outage = false;
  std::string m_live;
};

} // namespace cardamompond::standins
