#include "cardamompond/fleet/route_table.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

std::string normalise_host(std::string_view host) {
  if (const auto colon = host.rfind(':'); colon != std::string_view::npos && host.back() != ']') {
    host = host.substr(0, colon);
  }
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return lower;
}

} // namespace

route_table::route_table(std::shared_ptr<const declarations> source)
    : m_source(std::move(source)) {
  for (const auto& each : m_source->m_routes) {
    m_routes[normalise_host(each.m_host)][each.m_path_prefix] = &each;
  }
  for (const auto& each : m_source->m_client_accounts) {
    for (const auto& key : each.m_keys) {
      m_accounts[key] = &each;
    }
  }
  for (const auto& each : m_source->m_services) {
    m_services[each.m_name] = &each;
  }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const {
  const auto host_routes = m_routes.find(normalise_host(host));
  if (host_routes == m_routes.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so that only parts of the path up to a slash can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
    if (const auto found = host_routes->second.find(path.substr(0, end + 1));
        found != host_routes->second.end()) {
      return found->second;
    }
    if (end == 0) {
      break;
    }
  }
  return nullptr;
}

const client_account* route_table::find_account(std::string_view key) const {
  const auto found = m_accounts.find(key);
  return found == m_accounts.end() ? nullptr : found->second;
}

const service* route_table::find_service(std::string_view name) const {
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : found->second;
}

std::string_view route_table::pick_service(const route& split_route, double uniform_random) {
  double total = 0;
  for (const auto& each : split_route.m_services) {
    total += each.m_weight;
  }
  double left = uniform_random * total;
  for (const auto& each : split_route.m_services) {
    left -= each.m_weight;
    if (left < 0) {
      return each.m_service;
    }
  }
  return split_route.m_services.empty() ? std::string_view() : split_route.m_services.back().m_service;
}

} // namespace cardamompond::fleet
