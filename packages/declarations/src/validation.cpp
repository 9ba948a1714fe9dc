#include "cardamompond/declarations/validation.hpp"

#include "cardamompond/declarations/rfc3339.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace cardamompond::declarations {
namespace {

// A larger first step would expose too many requests to a faulty version before its faults can be detected.
constexpr double max_first_step_percent = 5;

class validator {
public:
  validator(const object_set& objects, const source_map& sources)
      : m_objects(objects)
      , m_sources(sources) {}

  std::vector<finding> run() {
    check_client_accounts();
    check_tiers();
    for (const auto& [name, service] : m_objects.m_services) {
      check_service(service);
    }
    check_versions();
    check_backend_servers();
    return std::move(m_findings);
  }

private:
  template <typename T> static object_name name_of(const T& object) {
    if constexpr (std::is_same_v<T, client_account>) {
      return {object_kind::client_account, object.m_name};
    } else if constexpr (std::is_same_v<T, tier>) {
      return {object_kind::tier, object.m_name};
    } else if constexpr (std::is_same_v<T, service>) {
      return {object_kind::service, object.m_name};
    } else if constexpr (std::is_same_v<T, version>) {
      return {object_kind::version, object.m_name};
    } else {
      static_assert(std::is_same_v<T, backend_server>);
      return {object_kind::backend_server, object.m_name};
    }
  }

  template <typename T>
  void add_finding(const T& object, std::string_view key, std::string message, std::string remedy) {
    const auto name = name_of(object);
    const auto position = m_sources.find(name, key);
    m_findings.push_back({std::string(position.m_file), position.m_line, to_string(name), std::move(message),
                          std::move(remedy), object.m_owner});
  }

  // Returns the object that a key refers to; adds a finding if there is none.
  template <typename T, typename Map>
  const typename Map::mapped_type* resolve(const T& object, std::string_view key, const Map& map,
                                           const std::string& name, std::string_view kind) {
    const auto found = map.find(name);
    if (found == map.end()) {
      // The name is empty if the value could not be read, for which there is a finding already.
      if (name.empty()) {
        return nullptr;
      }
      add_finding(object, key,
                  std::string(key) + " refers to " + std::string(kind) + " \"" + name +
                      "\", which does not exist",
                  "declare it, correct the name or remove the reference");
      return nullptr;
    }
    return &found->second;
  }

  template <typename T, typename Reference>
  void require_same_owner(const T& object, std::string_view key, const Reference& target,
                          std::string_view kind) {
    if (target.m_owner != object.m_owner) {
      add_finding(object, key,
                  std::string(kind) + " \"" + target.m_name + "\" belongs to owner \"" + target.m_owner +
                      "\", not to \"" + object.m_owner + "\"",
                  "refer to an object of the same owner, or correct the owner");
    }
  }

  void check_client_accounts() {
    // The views refer to strings of the set, which outlives this function.
    std::unordered_map<std::string_view, std::string_view> accounts_by_key;
    for (const auto& [name, account] : m_objects.m_client_accounts) {
      if (const auto* found = resolve(account, "tier", m_objects.m_tiers, account.m_tier, "tier");
          found != nullptr && !found->m_owner.empty()) {
        require_same_owner(account, "tier", *found, "tier");
      }
      for (const auto& key : account.m_key_sha256) {
        if (const auto [other, inserted] = accounts_by_key.emplace(key, name); !inserted) {
          add_finding(account, "key_sha256",
                      "the key hash " + key.substr(0, 12) + "... is also listed for client_account \"" +
                          std::string(other->second) + "\"",
                      "an API key identifies one client account: give each its own");
        }
      }
    }
  }

  void check_tiers() {
    std::vector<const tier*> tiers_by_rank;
    for (const auto& [name, entry] : m_objects.m_tiers) {
      tiers_by_rank.push_back(&entry);
    }
    std::stable_sort(tiers_by_rank.begin(), tiers_by_rank.end(),
                     [](const tier* a, const tier* b) { return a->m_rank < b->m_rank; });
    std::uint32_t expected = 0;
    const tier* previous = nullptr;
    for (const tier* entry : tiers_by_rank) {
      if (previous != nullptr && entry->m_rank == previous->m_rank) {
        add_finding(*entry, "rank",
                    "rank " + std::to_string(entry->m_rank) + " is also the rank of tier \"" +
                        previous->m_name + "\"",
                    "give each tier its own rank");
        continue;
      }
      if (entry->m_rank != expected) {
        add_finding(*entry, "rank", "there is no tier of rank " + std::to_string(expected),
                    "number the tiers 0, 1, 2, ... without gaps");
      }
      if (previous == nullptr && entry->m_queue_share != 1) {
        add_finding(*entry, "queue_share", "the queue share of the highest tier is not 1",
                    "set it to 1: the highest tier may fill the whole queue");
      }
      if (previous != nullptr && entry->m_queue_share > previous->m_queue_share) {
        add_finding(*entry, "queue_share",
                    "the queue share is above that of the higher tier \"" + previous->m_name + "\"",
                    "a lower tier may fill no more of the queue than a higher one: lower the share");
      }
      expected = entry->m_rank + 1;
      previous = entry;
    }
  }

  void check_service(const service& entry) {
    const auto* active =
        resolve(entry, "active_version", m_objects.m_versions, entry.m_active_version, "version");
    if (active != nullptr && active->m_service != entry.m_name) {
      add_finding(entry, "active_version",
                  "version \"" + active->m_name + "\" belongs to service \"" + active->m_service + "\"",
                  "name a version of this service");
    }
    check_routes(entry);
    check_allowed_accounts(entry);
    if (entry.m_rollout) {
      check_rollout(entry, *entry.m_rollout);
    }
  }

  void check_routes(const service& entry) {
    if (entry.m_kind == service_kind::model) {
      if (!entry.m_routes.empty()) {
        add_finding(entry, "routes", "a model service has no routes",
                    "remove them or make the kind \"plain\"");
      }
      return;
    }
    if (entry.m_routes.empty()) {
      add_finding(entry, "routes", "a plain service needs at least one route",
                  "add [[service.routes]] with a path");
    }
    std::set<std::pair<std::string_view, std::string_view>> seen;
    for (const auto& row : entry.m_routes) {
      std::vector<std::string_view> methods(row.m_methods.begin(), row.m_methods.end());
      if (methods.empty()) {
        methods.emplace_back("any method");
      }
      for (const auto method : methods) {
        if (!seen.emplace(row.m_path, method).second) {
          add_finding(entry, "routes",
                      "the route " + row.m_path + " is given twice for " + std::string(method),
                      "remove one of the two");
        }
      }
    }
  }

  void check_allowed_accounts(const service& entry) {
    std::set<std::string_view> seen;
    for (const auto& account : entry.m_allowed_accounts) {
      if (!seen.insert(account).second) {
        add_finding(entry, "accounts", "\"" + account + "\" is listed twice", "remove one of the two");
      } else if (account == "*") {
        if (entry.m_allowed_accounts.size() > 1) {
          add_finding(entry, "accounts", "\"*\" is combined with names",
                      "write accounts = \"*\", or the names alone");
        }
      } else {
        resolve(entry, "accounts", m_objects.m_client_accounts, account, "client_account");
      }
    }
  }

  void check_rollout(const service& entry, const service_rollout& rollout) {
    const auto* target = resolve(entry, "to", m_objects.m_versions, rollout.m_target_version, "version");
    if (target != nullptr && target->m_service != entry.m_name) {
      add_finding(entry, "to",
                  "version \"" + target->m_name + "\" belongs to service \"" + target->m_service + "\"",
                  "move to a version of this service");
    }
    if (rollout.m_target_version == entry.m_active_version) {
      add_finding(entry, "to", "the move goes from version \"" + rollout.m_target_version + "\" to itself",
                  "name another version, or remove the move if it is done");
    }
    const auto& steps = rollout.m_steps_percent;
    if (steps.empty() || steps.back() != 100) {
      add_finding(entry, "steps", "the last step is not 100", "end the steps with 100");
    }
    if (!steps.empty() && steps.front() > max_first_step_percent) {
      add_finding(entry, "steps", "the first step is over 5%", "start with 5 or less");
    }
    if (std::adjacent_find(steps.begin(), steps.end(), std::greater_equal<>()) != steps.end()) {
      add_finding(entry, "steps", "the steps do not increase", "make each step larger than the previous one");
    }
  }

  void check_versions() {
    for (const auto& [name, entry] : m_objects.m_versions) {
      if (const auto* target = resolve(entry, "service", m_objects.m_services, entry.m_service, "service")) {
        require_same_owner(entry, "owner", *target, "service");
      }
    }
  }

  void check_backend_servers() {
    std::unordered_map<std::string_view, std::string_view> servers_by_address;
    for (const auto& [name, entry] : m_objects.m_backend_servers) {
      if (const auto* zone = resolve(entry, "zone", m_objects.m_availability_zones, entry.m_availability_zone,
                                     "availability_zone")) {
        require_same_owner(entry, "zone", *zone, "availability_zone");
      }
      resolve(entry, "service", m_objects.m_services, entry.m_service, "service");
      if (const auto* target = resolve(entry, "version", m_objects.m_versions, entry.m_version, "version");
          target != nullptr && target->m_service != entry.m_service) {
        add_finding(entry, "version",
                    "version \"" + target->m_name + "\" belongs to service \"" + target->m_service +
                        "\", not to \"" + entry.m_service + "\"",
                    "name a version of the service");
      }
      if (entry.m_cold_limit > entry.m_slots) {
        add_finding(entry, "cold_limit", "the cold limit is above the number of slots",
                    "lower it to at most the number of slots");
      }
      if (const auto [other, inserted] = servers_by_address.emplace(entry.m_address, name); !inserted) {
        add_finding(entry, "address",
                    "the address " + entry.m_address + " is also the address of backend_server \"" +
                        std::string(other->second) + "\"",
                    "correct one of the two: limits are counted per backend server");
      }
    }
  }

  const object_set& m_objects;
  const source_map& m_sources;
  std::vector<finding> m_findings;
};

} // namespace

std::vector<finding> validate(const object_set& objects, const source_map& sources) {
  return validator(objects, sources).run();
}

void set_version_owners(object_set& objects) {
  for (auto& [name, entry] : objects.m_versions) {
    const auto service = objects.m_services.find(entry.m_service);
    if (entry.m_owner.empty() && service != objects.m_services.end()) {
      entry.m_owner = service->second.m_owner;
    }
  }
}

} // namespace cardamompond::declarations
