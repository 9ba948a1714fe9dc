#include "cardamompond/gateway/earlier_era.hpp"

#include <utility>

namespace cardamompond::gateway {
namespace {

// The copy of the store is some seconds old, and the store may be away as long.
constexpr duration removal_memory = seconds(60);

} // namespace

void earlier_era::record_removal(std::string_view name, std::int64_t started, time_point now) {
  std::erase_if(m_removals, [&](const auto& each) { return now - each.second.m_when > removal_memory; });
  m_removals.insert_or_assign(std::string(name), removal{now, started});
}

void earlier_era::begin(store_version listed_at, std::span<const fleet::backend_server> servers,
                        time_point now) {
  std::erase_if(m_removals, [&](const auto& each) { return now - each.second.m_when > removal_memory; });
  m_listed_at = listed_at;
  m_servers.clear();
  for (const auto& each : servers) {
    m_servers.emplace(each.m_id, each);
  }
  m_active = true;
}

bool earlier_era::end() {
  m_servers.clear();
  return std::exchange(m_active, false);
}

bool earlier_era::is_removed(std::string_view name, std::int64_t started, store_version changed_at) const {
  if (!m_active || changed_at > m_listed_at) {
    return false;
  }
  const auto found = m_removals.find(name);
  return found != m_removals.end() && started <= found->second.m_started;
}

fleet::backend_server earlier_era::resolve(const fleet::backend_server& listed) const {
  const auto found = m_servers.find(listed.m_id);
  if (!m_active || found == m_servers.end()) {
    return listed;
  }
  const fleet::backend_server& known = found->second;
  const bool same_process =
      known.m_started_unix_ms == listed.m_started_unix_ms && known.m_address == listed.m_address;
  const bool newer = known.m_started_unix_ms > listed.m_started_unix_ms ||
                     (same_process && known.m_draining && !listed.m_draining);
  return newer ? known : listed;
}

} // namespace cardamompond::gateway
