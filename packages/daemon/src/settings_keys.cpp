#include "settings_keys.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace cardamompond::daemon {
namespace {

using validation_error = std::optional<std::string>;

// Names become parts of object keys and metric labels, so they have the same limits as declared names.
constexpr std::size_t max_name_bytes = 64;

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_secret_bytes = 256;

bool is_alphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

validation_error read_string(const toml::node& node, std::string& member) {
  const auto text = node.value_exact<std::string_view>();
  if (!text) {
    return "wrong type, write a string in quotes";
  }
  member = *text;
  return std::nullopt;
}

validation_error read_name(const toml::node& node, std::string& member) {
  if (auto error = read_string(node, member)) {
    return error;
  }
  const bool valid = !member.empty() && member.size() <= max_name_bytes && is_alphanumeric(member.front()) &&
                     std::all_of(member.begin(), member.end(), [](char c) {
                       return is_alphanumeric(c) || c == '-' || c == '_' || c == '.';
                     });
  if (!valid) {
    return "not a name, use 1 to 64 letters, digits, '-', '_' or '.', starting with a letter or digit";
  }
  return std::nullopt;
}

validation_error read_address(const toml::node& node, std::string& member) {
  if (auto error = read_string(node, member)) {
    return error;
  }
  if (!parse_endpoint(member)) {
    return "not an address, write an IP address and a port as in \"127.0.0.1:8080\" or \"[::1]:8080\"";
  }
  return std::nullopt;
}

validation_error read_reachable_address(const toml::node& node, std::string& member) {
  if (auto error = read_address(node, member)) {
    return error;
  }
  if (parse_endpoint(member)->address().is_unspecified()) {
    return "an unspecified address cannot be connected to, write the IP address to connect to";
  }
  return std::nullopt;
}

// Error messages never contain the secret itself.
validation_error read_secret(const toml::node& node, std::string& member) {
  if (auto error = read_string(node, member)) {
    return error;
  }
  if (member.size() < min_secret_bytes || member.size() > max_secret_bytes) {
    return "use " + std::to_string(min_secret_bytes) + " to " + std::to_string(max_secret_bytes) +
           " characters";
  }
  return std::nullopt;
}

validation_error read_log_level(const toml::node& node, std::string& member) {
  constexpr std::array<std::string_view, 4> levels = {"debug", "info", "warning", "error"};
  if (auto error = read_string(node, member)) {
    return error;
  }
  if (std::find(levels.begin(), levels.end(), member) == levels.end()) {
    return R"(write "debug", "info", "warning" or "error")";
  }
  return std::nullopt;
}

// Reads an integer from `min` to `max`.
validation_error read_integer(const toml::node& node, std::int64_t min, std::int64_t max,
                              std::int64_t& number) {
  const auto read = node.value_exact<std::int64_t>();
  if (!read) {
    return "wrong type, write an integer";
  }
  if (*read < min || *read > max) {
    return std::to_string(*read) + " is out of bounds, use " + std::to_string(min) + " to " +
           std::to_string(max);
  }
  number = *read;
  return std::nullopt;
}

template <typename Member>
validation_error read_count(const toml::node& node, std::int64_t min, std::int64_t max, Member& member) {
  std::int64_t number = 0;
  if (auto error = read_integer(node, min, max, number)) {
    return error;
  }
  member = static_cast<Member>(number);
  return std::nullopt;
}

// Reads a rate of calls per second. A cell owner alone makes up to 0.5 reads and 0.7 writes per second for
// the cell object, status and usage. The whole platform handles about 2000 reads per second.
validation_error read_rate(const toml::node& node, double& member) {
  constexpr double min_per_s = 1;
  constexpr double max_per_s = 10'000;
  if (!node.is_number()) {
    return "wrong type, write a number";
  }
  const double number = node.value<double>().value_or(0);
  if (!(number >= min_per_s && number <= max_per_s)) { // also rejects NaN
    return "out of bounds, use 1 to 10000";
  }
  member = number;
  return std::nullopt;
}

constexpr std::int64_t kib = 1024;
constexpr std::int64_t mib = 1024 * kib;
constexpr std::int64_t day_s = 24 * 3600;

// A daemon without requests takes up to 20 MB, and needs about 300 descriptors beside those of its callers.
constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t min_descriptors = 400;

constexpr std::array<settings_key, 21> keys = {{
    {"", "name", true, [](const toml::node& node, settings& into) { return read_name(node, into.m_name); }},
    {"", "owner", true, [](const toml::node& node, settings& into) { return read_name(node, into.m_owner); }},
    {"", "cell", true, [](const toml::node& node, settings& into) { return read_name(node, into.m_cell); }},
    {"", "availability_zone", true,
     [](const toml::node& node, settings& into) { return read_name(node, into.m_availability_zone); }},
    {"", "region", true,
     [](const toml::node& node, settings& into) { return read_name(node, into.m_region); }},
    {"listen", "callers", true,
     [](const toml::node& node, settings& into) { return read_address(node, into.m_callers_address); }},
    {"listen", "admin", true,
     [](const toml::node& node, settings& into) { return read_address(node, into.m_admin_address); }},
    {"listen", "peer", true,
     [](const toml::node& node, settings& into) {
       return read_reachable_address(node, into.m_peer_address);
     }},
    {"platform", "address", true,
     [](const toml::node& node, settings& into) {
       return read_reachable_address(node, into.m_platform_address);
     }},
    {"platform", "host_list", false,
     [](const toml::node& node, settings& into) {
       return read_reachable_address(node, into.m_host_list_address);
     }},
    {"platform", "max_reads_per_s", false,
     [](const toml::node& node, settings& into) { return read_rate(node, into.m_max_reads_per_s); }},
    {"platform", "max_writes_per_s", false,
     [](const toml::node& node, settings& into) { return read_rate(node, into.m_max_writes_per_s); }},
    {"peer", "secret", true,
     [](const toml::node& node, settings& into) { return read_secret(node, into.m_peer_secret); }},
    {"limits", "max_body_bytes", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, kib, 1024 * mib, into.m_max_body_bytes);
     }},
    {"limits", "max_header_bytes", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, kib, mib, into.m_max_header_bytes);
     }},
    {"limits", "max_connections", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, 1, 1'000'000, into.m_max_connections);
     }},
    {"limits", "memory_mb", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, min_memory_mb, 1'000'000, into.m_memory_mb);
     }},
    {"limits", "max_descriptors", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, min_descriptors, 10'000'000, into.m_max_descriptors);
     }},
    {"limits", "default_timeout_ms", false,
     [](const toml::node& node, settings& into) {
       return read_count(node, 1, day_s * 1000, into.m_default_timeout);
     }},
    {"limits", "drain_timeout_s", false,
     [](const toml::node& node, settings& into) { return read_count(node, 0, day_s, into.m_drain_timeout); }},
    {"log", "level", false,
     [](const toml::node& node, settings& into) { return read_log_level(node, into.m_log_level); }},
}};

} // namespace

std::span<const settings_key> settings_keys() {
  return keys;
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc{} || end != port_text.data() + port_text.size() || port == 0) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto ip = boost::asio::ip::make_address(std::string(host), failure);
  if (failure || ip.is_v6() != bracketed) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace cardamompond::daemon
