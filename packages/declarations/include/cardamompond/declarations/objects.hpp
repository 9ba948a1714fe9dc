#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cardamompond::declarations {

// The structs below are the objects that operators declare. docs/declarations.md describes each key with its
// unit, default and bounds.
struct client_account {
  std::string m_name;
  std::string m_owner;
  std::string m_tier;
  double m_share = 1.0;
  std::vector<std::string> m_key_sha256; // lower-case hexadecimal SHA-256 of each accepted API key
  std::uint32_t m_max_outstanding = 0;   // 0 means unlimited
  friend bool operator==(const client_account&, const client_account&) = default;
};

struct tier {
  std::string m_name;
  std::string m_owner;      // empty if all owners share the tier
  std::uint32_t m_rank = 0; // 0 is the highest
  std::uint32_t m_default_timeout_ms = 60'000;
  double m_queue_share = 1.0; // part of a service's queue that this tier and the lower ones may fill together
  friend bool operator==(const tier&, const tier&) = default;
};

struct route {
  std::string m_path;                 // prefix below /services/NAME, e.g. "/orders"
  std::vector<std::string> m_methods; // empty means all
  bool m_idempotent = false;
  friend bool operator==(const route&, const route&) = default;
};

enum class service_kind { model, plain };

// Moves the traffic of a service from its active version to another one in steps.
struct service_rollout {
  std::string m_target_version;
  std::string m_due; // time by which the rollout should be done; RFC 3339, UTC
  std::vector<double> m_steps_percent = {1, 5, 25, 50, 100}; // traffic share of the target version
  friend bool operator==(const service_rollout&, const service_rollout&) = default;
};

struct service {
  std::string m_name;
  std::string m_owner;
  service_kind m_kind = service_kind::model;
  std::vector<route> m_routes; // plain services only
  std::string m_active_version;
  std::optional<service_rollout> m_rollout;
  std::uint32_t m_long_request_tokens = 2000; // requests above this size count as long
  double m_long_share = 0.5;                  // part of a backend server's slots that long requests may use
  std::uint32_t m_queue_limit = 1000;
  std::vector<std::string> m_allowed_accounts; // client accounts, or "*" for all
  friend bool operator==(const service&, const service&) = default;
};

struct version {
  std::string m_name;
  std::string m_owner; // owner of the service
  std::string m_service;
  std::uint64_t m_attempt = 1; // raising it resets the circuit breakers of the version
  friend bool operator==(const version&, const version&) = default;
};

struct availability_zone {
  std::string m_name;
  std::string m_owner;
  std::string m_region;
  bool m_in_service = true;
  friend bool operator==(const availability_zone&, const availability_zone&) = default;
};

enum class backend_server_state { serving, leaving, out };

struct backend_server {
  std::string m_name;
  std::string m_owner;
  std::string m_cell;
  std::string m_availability_zone;
  std::string m_service;
  std::string m_version;
  std::string m_address; // IP address and port, e.g. "127.0.0.1:9001"
  std::uint32_t m_slots = 1;
  std::uint32_t m_cold_limit = 1; // initial concurrency limit after a cold start
  backend_server_state m_state = backend_server_state::serving;
  bool m_checks_fencing = false;
  friend bool operator==(const backend_server&, const backend_server&) = default;
};

// All objects by name: the content of one configuration revision.
struct object_set {
  std::map<std::string, client_account, std::less<>> m_client_accounts;
  std::map<std::string, tier, std::less<>> m_tiers;
  std::map<std::string, service, std::less<>> m_services;
  std::map<std::string, version, std::less<>> m_versions;
  std::map<std::string, availability_zone, std::less<>> m_availability_zones;
  std::map<std::string, backend_server, std::less<>> m_backend_servers;
  friend bool operator==(const object_set&, const object_set&) = default;
};

enum class object_kind { client_account, tier, service, version, availability_zone, backend_server };

// Returns the kind as it is written in TOML, e.g. "client_account".
std::string_view to_string(object_kind kind);

// Identifies an object within a set.
struct object_name {
  object_kind m_kind = object_kind::client_account;
  std::string m_name;
  friend bool operator==(const object_name&, const object_name&) = default;
  friend bool operator<(const object_name& a, const object_name& b) {
    return std::tie(a.m_kind, a.m_name) < std::tie(b.m_kind, b.m_name);
  }
};

// Returns the kind and name as shown in messages, e.g. "tier batch".
std::string to_string(const object_name& name);

// Calls `function(kind, maps...)` once for each kind of object; `maps` are the maps of that kind, one from
// each of `sets`.
template <typename Function, typename... Sets> void for_each_kind(Function&& function, Sets&... sets) {
  function(object_kind::client_account, sets.m_client_accounts...);
  function(object_kind::tier, sets.m_tiers...);
  function(object_kind::service, sets.m_services...);
  function(object_kind::version, sets.m_versions...);
  function(object_kind::availability_zone, sets.m_availability_zones...);
  function(object_kind::backend_server, sets.m_backend_servers...);
}

// A consistent set of objects and the revision under which it was published. It is immutable once it is
// shared.
struct snapshot {
  std::uint64_t m_revision = 0;
  std::string m_change_set_id; // the change set that created the revision
  object_set m_objects;
};

} // namespace cardamompond::declarations
