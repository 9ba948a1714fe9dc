#include "configure.hpp"

#include "servers.hpp"
#include "systems/breakers.hpp"
#include "systems/prefixes.hpp"
#include "systems/queueing.hpp"
#include "systems/rollouts.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::scheduler {

namespace {

// No real backend server has more slots; a higher declared number is treated as a mistake and reduced to
// this.
constexpr std::uint32_t max_slots = 4096;
constexpr std::uint32_t max_rank = 63;
constexpr std::uint32_t max_queue_limit = 1'000'000;
constexpr double min_share = 0.001;
constexpr double max_share = 1e6;

double clamp_or_default(scheduler_state& state, double value, double low, double high, double fallback,
                        std::string_view reason) {
  if (std::isfinite(value) && value >= low && value <= high) {
    return value;
  }
  count_rejected(state, reason);
  return std::isfinite(value) ? std::clamp(value, low, high) : fallback;
}

std::uint32_t clamp_to_max(scheduler_state& state, std::uint32_t value, std::uint32_t high,
                           std::string_view reason) {
  if (value > high) {
    count_rejected(state, reason);
  }
  return std::min(value, high);
}

void apply_tiers(scheduler_state& state, const configuration& config) {
  std::uint32_t ranks = static_cast<std::uint32_t>(state.m_tiers.size());
  for (const tier_configuration& tier : config.m_tiers) {
    if (tier.m_rank <= max_rank) {
      ranks = std::max(ranks, tier.m_rank + 1);
    }
  }
  state.m_tiers.resize(std::max(1U, ranks));
  for (const tier_configuration& tier : config.m_tiers) {
    if (tier.m_rank > max_rank) {
      count_rejected(state, "bad_tier_rank");
      continue;
    }
    tier_row& entry = state.m_tiers[tier.m_rank];
    entry.m_name = tier.m_name;
    entry.m_queue_share = clamp_or_default(state, tier.m_queue_share, 0, 1, 1, "bad_queue_share");
  }
}

void apply_accounts(scheduler_state& state, const configuration& config) {
  for (account_row& account : state.m_accounts) {
    account.m_declared = false;
  }
  for (const client_account_configuration& declared : config.m_client_accounts) {
    const auto [found, is_new] =
        state.m_account_names.try_emplace(declared.m_name, static_cast<row_index>(state.m_accounts.size()));
    if (is_new) {
      state.m_accounts.emplace_back();
    }
    account_row& account = state.m_accounts[found->second];
    account.m_name = declared.m_name;
    account.m_declared = true;
    account.m_rank = declared.m_tier_rank;
    if (account.m_rank >= state.m_tiers.size()) {
      count_rejected(state, "bad_tier_rank");
      account.m_rank = static_cast<std::uint32_t>(state.m_tiers.size()) - 1;
    }
    account.m_share = clamp_or_default(state, declared.m_share, min_share, max_share, 1, "bad_share");
    account.m_max_outstanding = declared.m_max_outstanding;
  }
}

row_index find_or_add_version(scheduler_state& state, row_index service, const std::string& name) {
  const auto [found, is_new] =
      state.m_version_names.try_emplace({service, name}, static_cast<row_index>(state.m_versions.size()));
  if (is_new) {
    version_row& version = state.m_versions.emplace_back();
    version.m_name = name;
    version.m_service = service;
    state.m_services[service].m_versions.push_back(found->second);
  }
  return found->second;
}

void apply_service(scheduler_state& state, const service_configuration& declared) {
  const auto [found, is_new] =
      state.m_service_names.try_emplace(declared.m_name, static_cast<row_index>(state.m_services.size()));
  if (is_new) {
    state.m_services.emplace_back();
  }
  service_row& service = state.m_services[found->second];
  service.m_name = declared.m_name;
  service.m_declared = true;
  service.m_queue_limit = clamp_to_max(state, declared.m_queue_limit, max_queue_limit, "bad_queue_limit");
  service.m_long_request_tokens = declared.m_long_request_tokens;
  service.m_long_share = clamp_or_default(state, declared.m_long_share, 0, 1, 0.5, "bad_long_share");
  const row_index active = declared.m_active_version.empty()
                               ? no_row
                               : find_or_add_version(state, found->second, declared.m_active_version);
  if (active != service.m_active_version) {
    service.m_previous_version = service.m_active_version;
    service.m_active_version = active;
  }
}

void apply_services(scheduler_state& state, const configuration& config) {
  for (service_row& service : state.m_services) {
    service.m_declared = false;
  }
  for (const service_configuration& declared : config.m_services) {
    apply_service(state, declared);
  }
  for (service_row& service : state.m_services) {
    service.m_tiers.resize(state.m_tiers.size());
  }
}

void apply_versions(scheduler_state& state, const configuration& config) {
  for (const version_configuration& declared : config.m_versions) {
    const row_index service = find_row(state.m_service_names, declared.m_service);
    if (service == no_row) {
      count_rejected(state, "unknown_service");
      continue;
    }
    set_attempt(state, find_or_add_version(state, service, declared.m_name), declared.m_attempt);
  }
}

row_index find_or_add_server(scheduler_state& state, const std::string& name) {
  if (const row_index known = find_row(state.m_server_names, name); known != no_row) {
    return known;
  }
  row_index server_index = static_cast<row_index>(state.m_servers.size());
  if (state.m_unused_server_rows.empty()) {
    state.m_servers.emplace_back();
  } else {
    server_index = state.m_unused_server_rows.back();
    state.m_unused_server_rows.pop_back();
    state.m_servers[server_index] = server_row{};
  }
  state.m_servers[server_index].m_name = name;
  state.m_server_names.emplace(name, server_index);
  return server_index;
}

// Assigns the backend server to a service and version. If the version changes, the server starts cold.
void assign_version(scheduler_state& state, row_index server_index, row_index service, row_index version) {
  server_row& server = state.m_servers[server_index];
  if (server.m_version == version) {
    return;
  }
  server.m_declared = false;
  update_server_indexes(state, server_index);
  clear_cached_blocks(state, server_index);
  if (server.m_version != no_row) {
    std::erase(state.m_versions[server.m_version].m_servers, server_index);
  }
  server.m_service = service;
  server.m_version = version;
  state.m_versions[version].m_servers.push_back(server_index);
}

void apply_server(scheduler_state& state, const backend_server_configuration& declared) {
  const row_index service = find_row(state.m_service_names, declared.m_service);
  if (service == no_row) {
    count_rejected(state, "unknown_service");
    return;
  }
  const row_index server_index = find_or_add_server(state, declared.m_name);
  assign_version(state, server_index, service, find_or_add_version(state, service, declared.m_version));
  server_row& server = state.m_servers[server_index];
  if (!server.m_address.empty() && server.m_address != declared.m_address) {
    server.m_was_in_service = false; // a different address means a different process
    clear_cached_blocks(state, server_index);
  }
  server.m_address = declared.m_address;
  server.m_zone = declared.m_availability_zone;
  if (declared.m_slots == 0) {
    count_rejected(state, "bad_slots");
  }
  server.m_slots = clamp_to_max(state, declared.m_slots, max_slots, "bad_slots");
  server.m_cold_limit = std::clamp(declared.m_cold_limit, 1U, std::max(1U, server.m_slots));
  server.m_limit = std::min(server.m_limit, server.m_slots);
  server.m_declared = true;
  server.m_declared_in_service = declared.m_in_service;
  update_server_indexes(state, server_index);
}

// Removes a backend server that is no longer declared. While requests are outstanding on it, its row is kept
// out of service, and the next configuration tries to remove it again.
void remove_server(scheduler_state& state, row_index server_index) {
  server_row& server = state.m_servers[server_index];
  update_server_indexes(state, server_index);
  if (server.m_outstanding > 0) {
    return;
  }
  clear_cached_blocks(state, server_index);
  std::erase(state.m_versions[server.m_version].m_servers, server_index);
  state.m_server_names.erase(server.m_name);
  server = server_row{};
  state.m_unused_server_rows.push_back(server_index);
}

void apply_servers(scheduler_state& state, const configuration& config) {
  std::vector<bool> seen(state.m_servers.size() + config.m_backend_servers.size(), false);
  for (const backend_server_configuration& declared : config.m_backend_servers) {
    apply_server(state, declared);
    if (const row_index server_index = find_row(state.m_server_names, declared.m_name);
        server_index != no_row) {
      seen[server_index] = true;
    }
  }
  for (row_index server_index = 0; server_index < state.m_servers.size(); ++server_index) {
    if (!seen[server_index] && state.m_servers[server_index].m_version != no_row) {
      state.m_servers[server_index].m_declared = false;
      remove_server(state, server_index);
    }
  }
}

void apply_rollouts(scheduler_state& state, const configuration& config) {
  for (const service_configuration& declared : config.m_services) {
    apply_rollout(state, find_row(state.m_service_names, declared.m_name), declared.m_rollout);
  }
}

void refuse_requests_of_removed_services(scheduler_state& state) {
  for (row_index service_index = 0; service_index < state.m_services.size(); ++service_index) {
    if (state.m_services[service_index].m_declared) {
      continue;
    }
    for (tier_queue& queue : state.m_services[service_index].m_tiers) {
      while (!queue.m_by_deadline.empty()) {
        request_row& request = *queue.m_by_deadline.begin()->m_request;
        const request_key key = request.m_key;
        dequeue(state, request);
        refuse_request(state, key, error_code::not_found, "the service is no longer declared");
      }
    }
  }
}

} // namespace

void apply_configuration(scheduler_state& state, const configuration& config) {
  if (state.m_configured && config.m_revision < state.m_revision) {
    count_rejected(state, "old_revision");
    return;
  }
  state.m_configured = true;
  state.m_revision = config.m_revision;
  apply_tiers(state, config);
  apply_accounts(state, config);
  apply_services(state, config);
  apply_versions(state, config);
  apply_servers(state, config);
  apply_rollouts(state, config);
  refuse_requests_of_removed_services(state);
  for (row_index service = 0; service < state.m_services.size(); ++service) {
    shed_excess(state, service);
  }
}

} // namespace cardamompond::scheduler
