#pragma once

#include "cardamompond/declarations/objects.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cardamompond::declarations {

enum class text_format { name, address, time, api_key_hash, path, method, name_or_star };

// Describes a key of an object: whether it is required and which values are valid.
struct field_spec {
  const char* m_key = "";
  bool m_required = false;
  double m_min = 0;
  double m_max = 0;
  text_format m_format = text_format::name;
  std::size_t m_min_items = 0;
};

// Why a value is invalid, and which values are valid.
struct value_problem {
  std::string m_message;
  std::string m_remedy;
};

// These functions check the format of a string, the bounds of a number and the number of items in a list.
// Each of them returns nullopt if the value is valid.
std::optional<value_problem> check_text(const field_spec& spec, std::string_view value);
std::optional<value_problem> check_number(const field_spec& spec, double value);
std::optional<value_problem> check_count(const field_spec& spec, std::size_t items);

// These functions convert between enumerators and their keywords in TOML and JSON. The state of an
// availability zone is a bool: true is "in", false is "out". parse_keyword() returns false for an unknown
// keyword. allowed_keywords() lists the keywords of the type of its argument for messages.
std::string_view to_keyword(service_kind value);
std::string_view to_keyword(backend_server_state value);
std::string_view to_keyword(bool in_service);
bool parse_keyword(std::string_view keyword, service_kind& value);
bool parse_keyword(std::string_view keyword, backend_server_state& value);
bool parse_keyword(std::string_view keyword, bool& in_service);
std::string_view allowed_keywords(service_kind value);
std::string_view allowed_keywords(backend_server_state value);
std::string_view allowed_keywords(bool in_service);

constexpr double max_share = 1'000'000;
constexpr double max_slots = 100'000;
constexpr double max_tokens = 100'000'000;
constexpr double max_queue = 1'000'000;
constexpr double max_timeout_ms = 86'400'000; // a day
constexpr double max_rank = 15;
constexpr double max_attempt = 1e15; // integers up to here are exact in JSON readers that use doubles
constexpr double min_share = 0.0001;

// Calls the visitor for each key of the object, with the specification of the key and a reference to the
// member: visitor.value() for scalars and lists, visitor.enumeration() for enumerations, visitor.table() for
// an optional table and visitor.tables() for a list of tables. This function is the only definition of the
// schema: reading TOML, reading and writing JSON, and listing changes all use it.
template <typename Object, typename Visitor> void visit_fields(Object& object, Visitor& visitor) {
  using type = std::remove_const_t<Object>;
  const field_spec name{.m_key = "name", .m_required = true};
  const field_spec owner{.m_key = "owner", .m_required = true};
  if constexpr (std::is_same_v<type, client_account>) {
    visitor.value(name, object.m_name);
    visitor.value(owner, object.m_owner);
    visitor.value({.m_key = "tier", .m_required = true}, object.m_tier);
    visitor.value({.m_key = "share", .m_min = min_share, .m_max = max_share}, object.m_share);
    visitor.value(
        {.m_key = "key_sha256", .m_required = true, .m_format = text_format::api_key_hash, .m_min_items = 1},
        object.m_key_sha256);
    visitor.value({.m_key = "max_outstanding", .m_max = max_queue}, object.m_max_outstanding);
  } else if constexpr (std::is_same_v<type, tier>) {
    visitor.value(name, object.m_name);
    visitor.value({.m_key = "owner"}, object.m_owner);
    visitor.value({.m_key = "rank", .m_required = true, .m_max = max_rank}, object.m_rank);
    visitor.value({.m_key = "default_timeout_ms", .m_min = 1, .m_max = max_timeout_ms},
                  object.m_default_timeout_ms);
    visitor.value({.m_key = "queue_share", .m_min = min_share, .m_max = 1}, object.m_queue_share);
  } else if constexpr (std::is_same_v<type, route>) {
    visitor.value({.m_key = "path", .m_required = true, .m_format = text_format::path}, object.m_path);
    visitor.value({.m_key = "methods", .m_format = text_format::method}, object.m_methods);
    visitor.value({.m_key = "idempotent"}, object.m_idempotent);
  } else if constexpr (std::is_same_v<type, service_rollout>) {
    visitor.value({.m_key = "to", .m_required = true}, object.m_target_version);
    visitor.value({.m_key = "due", .m_required = true, .m_format = text_format::time}, object.m_due);
    visitor.value({.m_key = "steps", .m_min = min_share, .m_max = 100, .m_min_items = 2},
                  object.m_steps_percent);
  } else if constexpr (std::is_same_v<type, service>) {
    visitor.value(name, object.m_name);
    visitor.value(owner, object.m_owner);
    visitor.enumeration({.m_key = "kind", .m_required = true}, object.m_kind);
    visitor.tables({.m_key = "routes"}, object.m_routes);
    visitor.value({.m_key = "active_version", .m_required = true}, object.m_active_version);
    visitor.table({.m_key = "move"}, object.m_rollout);
    visitor.value({.m_key = "long_request_tokens", .m_min = 1, .m_max = max_tokens},
                  object.m_long_request_tokens);
    visitor.value({.m_key = "long_share", .m_min = min_share, .m_max = 1}, object.m_long_share);
    visitor.value({.m_key = "queue_limit", .m_min = 1, .m_max = max_queue}, object.m_queue_limit);
    visitor.value(
        {.m_key = "accounts", .m_required = true, .m_format = text_format::name_or_star, .m_min_items = 1},
        object.m_allowed_accounts);
  } else if constexpr (std::is_same_v<type, version>) {
    visitor.value(name, object.m_name);
    visitor.value({.m_key = "owner"}, object.m_owner);
    visitor.value({.m_key = "service", .m_required = true}, object.m_service);
    visitor.value({.m_key = "attempt", .m_min = 1, .m_max = max_attempt}, object.m_attempt);
  } else if constexpr (std::is_same_v<type, availability_zone>) {
    visitor.value(name, object.m_name);
    visitor.value(owner, object.m_owner);
    visitor.value({.m_key = "region", .m_required = true}, object.m_region);
    visitor.enumeration({.m_key = "state"}, object.m_in_service);
  } else {
    static_assert(std::is_same_v<type, backend_server>);
    visitor.value(name, object.m_name);
    visitor.value(owner, object.m_owner);
    visitor.value({.m_key = "cell", .m_required = true}, object.m_cell);
    visitor.value({.m_key = "zone", .m_required = true}, object.m_availability_zone);
    visitor.value({.m_key = "service", .m_required = true}, object.m_service);
    visitor.value({.m_key = "version", .m_required = true}, object.m_version);
    visitor.value({.m_key = "address", .m_required = true, .m_format = text_format::address},
                  object.m_address);
    visitor.value({.m_key = "slots", .m_required = true, .m_min = 1, .m_max = max_slots}, object.m_slots);
    visitor.value({.m_key = "cold_limit", .m_min = 1, .m_max = max_slots}, object.m_cold_limit);
    visitor.enumeration({.m_key = "state"}, object.m_state);
    visitor.value({.m_key = "checks_fencing"}, object.m_checks_fencing);
  }
}

} // namespace cardamompond::declarations
