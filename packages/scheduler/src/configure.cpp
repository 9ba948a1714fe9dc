#include "configure.hpp"

#include "servers.hpp"
#include "systems/breakers.hpp"
#include "systems/moves.hpp"
#include "systems/prefixes.hpp"
#include "systems/queueing.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::scheduler {

namespace {

// Above any real backend server; a declared number over it is taken for a mistake and cut.
constexpr std::uint32_t max_slots = 4096;
constexpr std::uint32_t max_rank = 63;
constexpr std::uint32_t max_queue_limit = 1'000'000;
constexpr double min_share = 0.001;
constexpr double max_share = 1e6;

double checked(tables& t, double value, double low, double high, double fallback, std::string_view reason) {
  if (std::isfinite(value) && value >= low && value <= high) {
    return value;
  }
  reject(t, reason);
  return std::isfinite(value) ? std::clamp(value, low, high) : fallback;
}

std::uint32_t at_most(tables& t, std::uint32_t value, std::uint32_t high, std::string_view reason) {
  if (value > high) {
    reject(t, reason);
  }
  return std::min(value, high);
}

void apply_tiers(tables& t, const configuration& config) {
  std::uint32_t ranks = static_cast<std::uint32_t>(t.m_tiers.size());
  for (const tier_configuration& tier : config.m_tiers) {
    if (tier.m_rank <= max_rank) {
      ranks = std::max(ranks, tier.m_rank + 1);
    }
  }
  t.m_tiers.resize(std::max(1U, ranks));
  for (const tier_configuration& tier : config.m_tiers) {
    if (tier.m_rank > max_rank) {
      reject(t, "bad_tier_rank");
      continue;
    }
    tier_row& entry = t.m_tiers[tier.m_rank];
    entry.m_name = tier.m_name;
    entry.m_queue_share = checked(t, tier.m_queue_share, 0, 1, 1, "bad_queue_share");
  }
}

void apply_accounts(tables& t, const configuration& config) {
  for (account_row& account : t.m_accounts) {
    account.m_declared = false;
  }
  for (const client_account_configuration& declared : config.m_client_accounts) {
    const auto [found, is_new] =
        t.m_account_names.try_emplace(declared.m_name, static_cast<row>(t.m_accounts.size()));
    if (is_new) {
      t.m_accounts.emplace_back();
    }
    account_row& account = t.m_accounts[found->second];
    account.m_name = declared.m_name;
    account.m_declared = true;
    account.m_rank = declared.m_tier_rank;
    if (account.m_rank >= t.m_tiers.size()) {
      reject(t, "bad_tier_rank");
      account.m_rank = static_cast<std::uint32_t>(t.m_tiers.size()) - 1;
    }
    account.m_share = checked(t, declared.m_share, min_share, max_share, 1, "bad_share");
    account.m_max_outstanding = declared.m_max_outstanding;
  }
}

row version_row_of(tables& t, row service, const std::string& name) {
  const auto [found, is_new] =
      t.m_version_names.try_emplace({service, name}, static_cast<row>(t.m_versions.size()));
  if (is_new) {
    version_row& version = t.m_versions.emplace_back();
    version.m_name = name;
    version.m_service = service;
    t.m_services[service].m_versions.push_back(found->second);
  }
  return found->second;
}

void apply_service(tables& t, const service_configuration& declared) {
  const auto [found, is_new] =
      t.m_service_names.try_emplace(declared.m_name, static_cast<row>(t.m_services.size()));
  if (is_new) {
    t.m_services.emplace_back();
  }
  service_row& service = t.m_services[found->second];
  service.m_name = declared.m_name;
  service.m_declared = true;
  service.m_queue_limit = at_most(t, declared.m_queue_limit, max_queue_limit, "bad_queue_limit");
  service.m_long_request_tokens = declared.m_long_request_tokens;
  service.m_long_share = checked(t, declared.m_long_share, 0, 1, 0.5, "bad_long_share");
  const row active = declared.m_active_version.empty()
                         ? no_row
                         : version_row_of(t, found->second, declared.m_active_version);
  if (active != service.m_active) {
    service.m_previous = service.m_active;
    service.m_active = active;
  }
}

void apply_services(tables& t, const configuration& config) {
  for (service_row& service : t.m_services) {
    service.m_declared = false;
  }
  for (const service_configuration& declared : config.m_services) {
    apply_service(t, declared);
  }
  for (service_row& service : t.m_services) {
    service.m_tiers.resize(t.m_tiers.size());
  }
}

void apply_versions(tables& t, const configuration& config) {
  for (const version_configuration& declared : config.m_versions) {
    const row service = find_row(t.m_service_names, declared.m_service);
    if (service == no_row) {
      reject(t, "unknown_service");
      continue;
    }
    set_attempt(t, version_row_of(t, service, declared.m_name), declared.m_attempt);
  }
}

row server_row_of(tables& t, const std::string& name) {
  if (const row known = find_row(t.m_server_names, name); known != no_row) {
    return known;
  }
  row number = static_cast<row>(t.m_servers.size());
  if (t.m_unused_servers.empty()) {
    t.m_servers.emplace_back();
  } else {
    number = t.m_unused_servers.back();
    t.m_unused_servers.pop_back();
    t.m_servers[number] = server_row{};
  }
  t.m_servers[number].m_name = name;
  t.m_server_names.emplace(name, number);
  return number;
}

// Puts the server under another service or version; it then starts cold.
void assign_version(tables& t, row number, row service, row version) {
  server_row& server = t.m_servers[number];
  if (server.m_version == version) {
    return;
  }
  server.m_declared = false;
  refresh_server(t, number);
  forget_blocks(t, number);
  if (server.m_version != no_row) {
    std::erase(t.m_versions[server.m_version].m_servers, number);
  }
  server.m_service = service;
  server.m_version = version;
  t.m_versions[version].m_servers.push_back(number);
}

void apply_server(tables& t, const backend_server_configuration& declared) {
  const row service = find_row(t.m_service_names, declared.m_service);
  if (service == no_row) {
    reject(t, "unknown_service");
    return;
  }
  const row number = server_row_of(t, declared.m_name);
  assign_version(t, number, service, version_row_of(t, service, declared.m_version));
  server_row& server = t.m_servers[number];
  if (!server.m_address.empty() && server.m_address != declared.m_address) {
    server.m_was_in_service = false; // another process
    forget_blocks(t, number);
  }
  server.m_address = declared.m_address;
  server.m_zone = declared.m_availability_zone;
  if (declared.m_slots == 0) {
    reject(t, "bad_slots");
  }
  server.m_slots = at_most(t, declared.m_slots, max_slots, "bad_slots");
  server.m_cold_limit = std::clamp(declared.m_cold_limit, 1U, std::max(1U, server.m_slots));
  server.m_limit = std::min(server.m_limit, server.m_slots);
  server.m_declared = true;
  server.m_declared_in_service = declared.m_in_service;
  refresh_server(t, number);
}

void remove_server(tables& t, row number) {
  server_row& server = t.m_servers[number];
  refresh_server(t, number);
  if (server.m_outstanding > 0) {
    return;
  }
  forget_blocks(t, number);
  std::erase(t.m_versions[server.m_version].m_servers, number);
  t.m_server_names.erase(server.m_name);
  server = server_row{};
  t.m_unused_servers.push_back(number);
}

void apply_servers(tables& t, const configuration& config) {
  std::vector<bool> seen(t.m_servers.size() + config.m_backend_servers.size(), false);
  for (const backend_server_configuration& declared : config.m_backend_servers) {
    apply_server(t, declared);
    if (const row number = find_row(t.m_server_names, declared.m_name); number != no_row) {
      seen[number] = true;
    }
  }
  for (row number = 0; number < t.m_servers.size(); ++number) {
    if (!seen[number] && t.m_servers[number].m_version != no_row) {
      t.m_servers[number].m_declared = false;
      remove_server(t, number);
    }
  }
}

void apply_moves(tables& t, const configuration& config) {
  for (const service_configuration& declared : config.m_services) {
    apply_move(t, find_row(t.m_service_names, declared.m_name), declared.m_rollout);
  }
}

void refuse_waiting_of_removed_services(tables& t) {
  for (row number = 0; number < t.m_services.size(); ++number) {
    if (t.m_services[number].m_declared) {
      continue;
    }
    for (tier_queue& queue : t.m_services[number].m_tiers) {
      while (!queue.m_by_deadline.empty()) {
        request_row& request = *queue.m_by_deadline.begin()->m_request;
        const request_key key = request.m_key;
        dequeue(t, request);
        refuse_request(t, key, error_code::not_found, "the service is no longer declared");
      }
    }
  }
}

} // namespace

void apply_configuration(tables& t, const configuration& config) {
  if (t.m_configured && config.m_revision < t.m_revision) {
    reject(t, "old_revision");
    return;
  }
  t.m_configured = true;
  t.m_revision = config.m_revision;
  apply_tiers(t, config);
  apply_accounts(t, config);
  apply_services(t, config);
  apply_versions(t, config);
  apply_servers(t, config);
  apply_moves(t, config);
  refuse_waiting_of_removed_services(t);
  for (row service = 0; service < t.m_services.size(); ++service) {
    shed_excess(t, service);
  }
}

} // namespace cardamompond::scheduler
