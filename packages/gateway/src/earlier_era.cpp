#include "cardamompond/gateway/earlier_era.hpp"

#include <algorithm>

namespace cardamompond::gateway {
namespace {

// The copy of the store is some seconds old, and the store may be away as long.
constexpr duration removal_memory = seconds(60);

} // namespace

void earlier_era::record_removal(std::string_view name, std::int64_t started, time_point now) {
  std::erase_if(m_removals, [&](const auto& each) { return now - each.second.m_when > removal_memory; });
  m_removals.insert_or_assign(std::string(name), removal{now, started});
}

void earlier_era::forget_removal(std::string_view name) {
  if (const auto found = m_removals.find(name); found != m_removals.end()) {
    m_removals.erase(found);
  }
}

void earlier_era::begin(store_version listed_at, std::span<const fleet::backend_server> servers,
                        time_point kept_until, time_point until) {
  std::erase_if(m_removals, [&](const auto& each) { return until - each.second.m_when > removal_memory; });
  m_listed_at = listed_at;
  m_kept_until = kept_until;
  m_until = until;
  m_kept_expired = false;
  m_servers.clear();
  for (const auto& each : servers) {
    m_servers.emplace(each.m_id, each);
  }
  m_active = true;
}

std::optional<time_point> earlier_era::next_expiry() const {
  if (!m_active) {
    return std::nullopt;
  }
  return m_kept_expired ? m_until : std::min(m_kept_until, m_until);
}

earlier_era::expiry earlier_era::expire(time_point now) {
  expiry ended;
  if (m_active && !m_kept_expired && now >= m_kept_until) {
    m_kept_expired = true;
    ended.m_kept = true;
  }
  if (m_active && now >= m_until) {
    m_active = false;
    m_servers.clear();
    ended.m_all = true;
  }
  return ended;
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
