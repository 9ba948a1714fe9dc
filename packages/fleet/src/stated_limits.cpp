#include "dispatcher_impl.hpp"

namespace cardamompond::fleet {

limit_change dispatcher::record_limit(const backend_server& /*server*/,
                                      std::optional<double> /*requests_per_s*/, time_point /*now*/) {
  return limit_change::none;
}

std::vector<limit_statement> dispatcher::set_peer_limits(std::string_view /*daemon*/,
                                                         std::span<const limit_statement> /*statements*/,
                                                         std::span<const service_demand> /*demands*/,
                                                         time_point /*received*/) {
  return {};
}

std::vector<limit_statement> dispatcher::limit_statements(limit_scope /*scope*/, time_point /*now*/) const {
  return {};
}

std::vector<service_demand> dispatcher::own_demands(time_point /*now*/) const {
  return {};
}

dispatcher::limit_totals dispatcher::count_limits() const {
  return {};
}

} // namespace cardamompond::fleet
