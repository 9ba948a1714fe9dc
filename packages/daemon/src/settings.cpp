#include "settings_keys.hpp"

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <system_error>
#include <utility>
#include <vector>

namespace cardamompond::daemon {
namespace {

using endpoint = boost::asio::ip::tcp::endpoint;

// Larger files are rejected; a complete settings file has about 1 KB.
constexpr std::size_t max_file_bytes = 1U << 20U;

bool is_section(std::string_view name) {
  const auto keys = settings_keys();
  return !name.empty() && std::any_of(keys.begin(), keys.end(),
                                      [&](const settings_key& key) { return key.m_section == name; });
}

const settings_key* find_key(std::string_view section, std::string_view name) {
  const auto keys = settings_keys();
  const auto found = std::find_if(keys.begin(), keys.end(), [&](const settings_key& key) {
    return key.m_section == section && key.m_name == name;
  });
  return found == keys.end() ? nullptr : &*found;
}

// Replaces control characters by '?'. Keys and parser messages quote the file and could otherwise break an
// error message into several lines.
std::string replace_control_characters(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, '?');
  return text;
}

// Parses one settings file. Only the first error is reported.
class settings_parser {
public:
  settings_parser(const toml::table& root, std::string_view file)
      : m_root(root)
      , m_file(file) {}

  result<settings, settings_error> parse() {
    check_unknown_keys(m_root, "");
    for (const auto& key : settings_keys()) {
      read(key);
    }
    check_addresses();
    if (m_error) {
      return *m_error;
    }
    return m_settings;
  }

private:
  static std::uint32_t line_of(const toml::node* node) {
    return node != nullptr && node->source().begin ? node->source().begin.line : 1;
  }

  void fail(std::uint32_t line, std::string_view key, std::string_view reason) {
    if (!m_error) {
      m_error =
          settings_error{replace_control_characters(std::string(m_file) + ":" + std::to_string(line) + ": " +
                                                    std::string(key) + ": " + std::string(reason))};
    }
  }

  // Unknown keys are checked before missing keys: a misspelt key is also a missing one, and the error should
  // name the misspelt line.
  void check_unknown_keys(const toml::table& table, std::string_view section) {
    for (const auto& [key, node] : table) {
      const std::string_view name = key.str();
      if (section.empty() && is_section(name)) {
        if (const auto* nested = node.as_table()) {
          check_unknown_keys(*nested, name);
        } else {
          fail(line_of(&node), name, "wrong type, write a table as in [" + std::string(name) + "]");
        }
      } else if (find_key(section, name) == nullptr) {
        const std::string prefix = section.empty() ? "" : std::string(section) + ".";
        fail(line_of(&node), prefix + std::string(name), "unknown key");
      }
    }
  }

  const toml::node* find(const settings_key& key, std::uint32_t& section_line) const {
    const toml::table* table = &m_root;
    if (!key.m_section.empty()) {
      table = m_root[key.m_section].as_table();
    }
    section_line = line_of(table);
    return table == nullptr ? nullptr : table->get(key.m_name);
  }

  void read(const settings_key& key) {
    std::uint32_t section_line = 1;
    const auto* node = find(key, section_line);
    if (node == nullptr) {
      if (key.m_required) {
        fail(section_line, key.full_name(), "missing");
      }
    } else if (const auto error = key.m_read(*node, m_settings)) {
      fail(line_of(node), key.full_name(), *error);
    }
  }

  // Returns whether two listening sockets conflict. A socket bound to the unspecified address occupies its
  // port on all addresses.
  static bool overlap(const endpoint& a, const endpoint& b) {
    return a.port() == b.port() &&
           (a.address() == b.address() || a.address().is_unspecified() || b.address().is_unspecified());
  }

  // Returns whether a connection to `target` would reach a socket of this daemon that listens on `listening`.
  static bool reaches(const endpoint& target, const endpoint& listening) {
    return target == listening || (target.port() == listening.port() &&
                                   listening.address().is_unspecified() && target.address().is_loopback());
  }

  void check_addresses() {
    if (m_error) {
      return; // addresses can only be compared if all of them were parsed
    }
    struct named_endpoint {
      const settings_key* m_key;
      endpoint m_endpoint;
    };
    std::vector<named_endpoint> listen_endpoints;
    for (const auto& [name, text] :
         {std::pair<std::string_view, const std::string&>("callers", m_settings.m_callers_address),
          {"admin", m_settings.m_admin_address},
          {"peer", m_settings.m_peer_address}}) {
      const named_endpoint next{find_key("listen", name), *parse_endpoint(text)};
      for (const auto& other : listen_endpoints) {
        if (overlap(next.m_endpoint, other.m_endpoint)) {
          fail_at_key(*next.m_key, "same port as " + other.m_key->full_name());
        }
      }
      listen_endpoints.push_back(next);
    }
    for (const auto& [name, text] :
         {std::pair<std::string_view, const std::string&>("address", m_settings.m_platform_address),
          {"host_list", m_settings.m_host_list_address}}) {
      if (text.empty()) {
        continue;
      }
      for (const auto& other : listen_endpoints) {
        if (reaches(*parse_endpoint(text), other.m_endpoint)) {
          fail_at_key(*find_key("platform", name),
                      "this daemon's own address, see " + other.m_key->full_name());
        }
      }
    }
  }

  void fail_at_key(const settings_key& key, std::string_view reason) {
    std::uint32_t section_line = 1;
    fail(line_of(find(key, section_line)), key.full_name(), reason);
  }

  const toml::table& m_root;
  std::string_view m_file;
  settings m_settings;
  std::optional<settings_error> m_error;
};

} // namespace

result<settings, settings_error> parse_settings(std::string_view text, std::string_view name) {
  try {
    const toml::table root = toml::parse(text);
    return settings_parser(root, name).parse();
  } catch (const toml::parse_error& error) {
    return settings_error{replace_control_characters(std::string(name) + ":" +
                                                     std::to_string(error.source().begin.line) +
                                                     ": syntax: " + std::string(error.description()))};
  } catch (const toml_assertion_error&) {
    return settings_error{std::string(name) + ":" + std::to_string(find_toml_error_line(text)) +
                          ": syntax: not valid TOML"};
  }
}

result<settings, settings_error> read_settings(const std::string& path) {
  const auto make_file_error = [&](std::string_view reason) {
    return settings_error{replace_control_characters(path + ":1: file: " + std::string(reason))};
  };
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return make_file_error(std::generic_category().message(errno));
  }
  std::string text(max_file_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) { // a directory can be opened but not read
    return make_file_error("cannot be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_file_bytes) {
    return make_file_error("over " + std::to_string(max_file_bytes) + " bytes");
  }
  return parse_settings(text, path);
}

} // namespace cardamompond::daemon
