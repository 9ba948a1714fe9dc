#pragma once

#include "cardamompond/core/toml_parser.hpp"
#include "cardamompond/daemon/settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

// A key of the settings file and the function that reads and validates its value.
struct settings_key {
  std::string_view m_section; // empty: top level
  std::string_view m_name;
  bool m_required;

  // Stores the value in `into`. Returns an error message if the value is invalid.
  std::optional<std::string> (*m_read)(const toml::node& node, settings& into);

  std::string full_name() const {
    return m_section.empty() ? std::string(m_name) : std::string(m_section) + "." + std::string(m_name);
  }
};

// All keys, in the order in which they are read.
std::span<const settings_key> settings_keys();

// Parses an address such as "127.0.0.1:8080" or "[::1]:8080". Port 0 and host names are rejected.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

} // namespace cardamompond::daemon
