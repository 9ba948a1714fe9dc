#include "fallback_configuration.hpp"

#include "cardamompond/cell/fallback_shares.hpp"

#include <algorithm>
#include <limits>

namespace cardamompond::daemon {

scheduler::configuration make_fallback_configuration(const scheduler::configuration& config,
                                                     const std::vector<std::string>& registered_members,
                                                     std::string_view self,
                                                     std::span<const cell::backend_limit> limits,
                                                     bool may_refuse_top_tier) {
  scheduler::configuration fallback = config;
  for (auto& server : fallback.m_backend_servers) {
    const auto known_limit = std::find_if(limits.begin(), limits.end(), [&](const auto& limit) {
      return limit.m_backend_server == server.m_name;
    });
    // A server whose limit no owner has announced may be cold.
    const std::uint32_t limit = known_limit == limits.end() ? server.m_cold_limit : known_limit->m_limit;
    const std::uint32_t share = cell::fallback_share(server.m_name, limit, registered_members, self);
    server.m_slots = std::max(share, 1U);
    server.m_cold_limit = server.m_slots; // the limit already accounts for a cold server
    server.m_in_service = server.m_in_service && share > 0;
  }
  if (!may_refuse_top_tier) {
    for (auto& service : fallback.m_services) {
      service.m_queue_limit = std::numeric_limits<std::uint32_t>::max();
    }
  }
  return fallback;
}

bool is_in_highest_tier(const scheduler::configuration& config, std::string_view account) {
  const auto found = std::find_if(config.m_client_accounts.begin(), config.m_client_accounts.end(),
                                  [&](const auto& row) { return row.m_name == account; });
  return found != config.m_client_accounts.end() &&
         std::all_of(config.m_tiers.begin(), config.m_tiers.end(),
                     [&](const auto& tier) { return found->m_tier_rank <= tier.m_rank; });
}

} // namespace cardamompond::daemon
