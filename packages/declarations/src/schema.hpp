#pragma once

#include "cardamompond/declarations/objects.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace cardamompond::declarations {

enum class text_format { name, address, time, key_hash, path, method, name_or_star };

// Describes one key of an object: whether it must be present and which values it may have.
struct field {
  const char* m_key = "";
  bool m_required = false;
  double m_min = 0;
  double m_max = 0;
  text_format m_format = text_format::name;
  std::size_t m_min_items = 0;
};

// Why a value is not acceptable, and what would be.
struct value_problem {
  std::string m_message;
  std::string m_remedy;
};

std::optional<value_problem> check_text(const field& spec, std::string_view value);
std::optional<value_problem> check_number(const field& spec, double value);
std::optional<value_problem> check_count(const field& spec, std::size_t items);

// The words of an enumeration in TOML and JSON; true is "in" for the state of an availability zone.
std::string_view to_word(service_kind value);
std::string_view to_word(backend_server_state value);
std::string_view to_word(bool in);
bool from_word(std::string_view word, service_kind& value);
bool from_word(std::string_view word, backend_server_state& value);
bool from_word(std::string_view word, bool& in);
std::string_view words_of(service_kind value);
std::string_view words_of(backend_server_state value);
std::string_view words_of(bool in);

constexpr double max_share = 1'000'000;
constexpr double max_slots = 100'000;
constexpr double max_tokens = 100'000'000;
constexpr double max_queue = 1'000'000;
constexpr double max_timeout_ms = 86'400'000; // a day
constexpr double max_rank = 15;
constexpr double max_attempt = 1e15; // exactly representable in JSON numbers of any reader
constexpr double smallest_share = 0.0001;

// Calls the visitor for each key of the object, with its description and a reference to its member: as
// visitor.value() for plain values and lists, visitor.word() for enumerations, visitor.table() for an
// optional table and visitor.tables() for a list of tables. The one description of the schema: reading TOML,
// reading and writing JSON and listing differences all go through it.
template <typename Object, typename Visitor> void visit_fields(Object& o, Visitor& v) {
  using type = std::remove_const_t<Object>;
  const field name{.m_key = "name", .m_required = true};
  const field owner{.m_key = "owner", .m_required = true};
  if constexpr (std::is_same_v<type, client_account>) {
    v.value(name, o.m_name);
    v.value(owner, o.m_owner);
    v.value({.m_key = "tier", .m_required = true}, o.m_tier);
    v.value({.m_key = "share", .m_min = smallest_share, .m_max = max_share}, o.m_share);
    v.value({.m_key = "key_sha256", .m_required = true, .m_format = text_format::key_hash, .m_min_items = 1},
            o.m_key_sha256);
    v.value({.m_key = "max_outstanding", .m_max = max_queue}, o.m_max_outstanding);
  } else if constexpr (std::is_same_v<type, tier>) {
    v.value(name, o.m_name);
    v.value({.m_key = "owner"}, o.m_owner);
    v.value({.m_key = "rank", .m_required = true, .m_max = max_rank}, o.m_rank);
    v.value({.m_key = "default_timeout_ms", .m_min = 1, .m_max = max_timeout_ms}, o.m_default_timeout_ms);
    v.value({.m_key = "queue_share", .m_min = smallest_share, .m_max = 1}, o.m_queue_share);
  } else if constexpr (std::is_same_v<type, route>) {
    v.value({.m_key = "path", .m_required = true, .m_format = text_format::path}, o.m_path);
    v.value({.m_key = "methods", .m_format = text_format::method}, o.m_methods);
    v.value({.m_key = "idempotent"}, o.m_idempotent);
  } else if constexpr (std::is_same_v<type, service_rollout>) {
    v.value({.m_key = "to", .m_required = true}, o.m_target_version);
    v.value({.m_key = "due", .m_required = true, .m_format = text_format::time}, o.m_due);
    v.value({.m_key = "steps", .m_min = smallest_share, .m_max = 100, .m_min_items = 2}, o.m_steps_percent);
  } else if constexpr (std::is_same_v<type, service>) {
    v.value(name, o.m_name);
    v.value(owner, o.m_owner);
    v.word({.m_key = "kind", .m_required = true}, o.m_kind);
    v.tables({.m_key = "routes"}, o.m_routes);
    v.value({.m_key = "active_version", .m_required = true}, o.m_active_version);
    v.table({.m_key = "move"}, o.m_rollout);
    v.value({.m_key = "long_request_tokens", .m_min = 1, .m_max = max_tokens}, o.m_long_request_tokens);
    v.value({.m_key = "long_share", .m_min = smallest_share, .m_max = 1}, o.m_long_share);
    v.value({.m_key = "queue_limit", .m_min = 1, .m_max = max_queue}, o.m_queue_limit);
    v.value(
        {.m_key = "accounts", .m_required = true, .m_format = text_format::name_or_star, .m_min_items = 1},
        o.m_allowed_accounts);
  } else if constexpr (std::is_same_v<type, version>) {
    v.value(name, o.m_name);
    v.value({.m_key = "owner"}, o.m_owner);
    v.value({.m_key = "service", .m_required = true}, o.m_service);
    v.value({.m_key = "attempt", .m_min = 1, .m_max = max_attempt}, o.m_attempt);
  } else if constexpr (std::is_same_v<type, availability_zone>) {
    v.value(name, o.m_name);
    v.value(owner, o.m_owner);
    v.value({.m_key = "region", .m_required = true}, o.m_region);
    v.word({.m_key = "state"}, o.m_in_service);
  } else {
    static_assert(std::is_same_v<type, backend_server>);
    v.value(name, o.m_name);
    v.value(owner, o.m_owner);
    v.value({.m_key = "cell", .m_required = true}, o.m_cell);
    v.value({.m_key = "zone", .m_required = true}, o.m_availability_zone);
    v.value({.m_key = "service", .m_required = true}, o.m_service);
    v.value({.m_key = "version", .m_required = true}, o.m_version);
    v.value({.m_key = "address", .m_required = true, .m_format = text_format::address}, o.m_address);
    v.value({.m_key = "slots", .m_required = true, .m_min = 1, .m_max = max_slots}, o.m_slots);
    v.value({.m_key = "cold_limit", .m_min = 1, .m_max = max_slots}, o.m_cold_limit);
    v.word({.m_key = "state"}, o.m_state);
    v.value({.m_key = "checks_fencing"}, o.m_checks_fencing);
  }
}

} // namespace cardamompond::declarations
