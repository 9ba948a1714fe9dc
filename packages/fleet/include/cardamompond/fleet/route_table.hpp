#pragma once

#include "cardamompond/fleet/declarations.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// Lookup of routes, accounts and services in one version of the declarations. Immutable.
class route_table {
public:
  explicit route_table(std::shared_ptr<const declarations> source);

  // Returns the route of `host` with the longest prefix of `path`, or null. `path` has no query. The host is
  // compared without its port and case-insensitively.
  const route* find_route(std::string_view host, std::string_view path) const;

  // Returns the account with this API key, or null.
  const client_account* find_account(std::string_view key) const;

  const service* find_service(std::string_view name) const;

  // Picks a service of the route by weight. `uniform_random` is a uniform random number in [0, 1).
  static std::string_view pick_service(const route& split_route, double uniform_random);

  const declarations& source() const { return *m_source; }

private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  template <typename T> using string_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

  std::shared_ptr<const declarations> m_source;
  string_map<string_map<const route*>> m_routes; // by host, then by prefix
  string_map<const client_account*> m_accounts;
  string_map<const service*> m_services;
};

} // namespace cardamompond::fleet
