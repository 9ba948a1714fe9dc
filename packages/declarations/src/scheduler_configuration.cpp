#include "cardamompond/declarations/scheduler_configuration.hpp"

#include "cardamompond/declarations/rfc3339.hpp"

#include <algorithm>

namespace cardamompond::declarations {
namespace {

scheduler::rollout_configuration make_rollout_configuration(const service& entry, clock_reading now,
                                                            const scheduler::configuration* previous) {
  const auto& declared = *entry.m_rollout;
  scheduler::rollout_configuration rollout;
  rollout.m_target_version = declared.m_target_version;
  rollout.m_steps_percent = declared.m_steps_percent;
  rollout.m_started = now.m_monotonic;
  rollout.m_due = now.m_monotonic;
  if (const auto due = parse_rfc3339(declared.m_due)) {
    rollout.m_due += std::chrono::duration_cast<duration>(*due - now.m_wall);
  }
  if (previous != nullptr) {
    const auto previous_service =
        std::find_if(previous->m_services.begin(), previous->m_services.end(),
                     [&](const auto& other) { return other.m_name == entry.m_name; });
    if (previous_service != previous->m_services.end() && previous_service->m_rollout &&
        previous_service->m_rollout->m_target_version == rollout.m_target_version &&
        previous_service->m_active_version == entry.m_active_version) {
      rollout.m_started = previous_service->m_rollout->m_started;
    }
  }
  return rollout;
}

} // namespace

scheduler::configuration make_scheduler_configuration(const snapshot& value, std::string_view cell,
                                                      clock_reading now,
                                                      const scheduler::configuration* previous) {
  const auto& objects = value.m_objects;
  scheduler::configuration config;
  config.m_revision = value.m_revision;
  for (const auto& [name, entry] : objects.m_tiers) {
    config.m_tiers.push_back({name, entry.m_rank, entry.m_queue_share});
  }
  std::sort(config.m_tiers.begin(), config.m_tiers.end(),
            [](const auto& a, const auto& b) { return a.m_rank < b.m_rank; });
  for (const auto& [name, entry] : objects.m_client_accounts) {
    const auto tier = objects.m_tiers.find(entry.m_tier);
    if (tier != objects.m_tiers.end()) {
      config.m_client_accounts.push_back({name, tier->second.m_rank, entry.m_share, entry.m_max_outstanding});
    }
  }
  for (const auto& [name, entry] : objects.m_services) {
    scheduler::service_configuration service;
    service.m_name = name;
    service.m_active_version = entry.m_active_version;
    service.m_queue_limit = entry.m_queue_limit;
    service.m_long_request_tokens = entry.m_long_request_tokens;
    service.m_long_share = entry.m_long_share;
    if (entry.m_rollout) {
      service.m_rollout = make_rollout_configuration(entry, now, previous);
    }
    config.m_services.push_back(std::move(service));
  }
  for (const auto& [name, entry] : objects.m_versions) {
    config.m_versions.push_back({name, entry.m_service, entry.m_attempt});
  }
  for (const auto& [name, entry] : objects.m_backend_servers) {
    if (entry.m_cell != cell) {
      continue;
    }
    const auto zone = objects.m_availability_zones.find(entry.m_availability_zone);
    const bool zone_in_service = zone != objects.m_availability_zones.end() && zone->second.m_in_service;
    config.m_backend_servers.push_back({name, entry.m_service, entry.m_version, entry.m_availability_zone,
                                        entry.m_address, entry.m_slots, entry.m_cold_limit,
                                        zone_in_service && entry.m_state == backend_server_state::serving});
  }
  return config;
}

} // namespace cardamompond::declarations
