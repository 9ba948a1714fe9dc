#include "cardamompond/gateway/gateway_settings.hpp"

#include "cardamompond/core/toml_parser.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>

namespace cardamompond::gateway {
namespace {

constexpr std::string_view mode_key = "scheduling";
constexpr std::string_view local_mode = "local";

std::optional<std::string> read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// Reads one file; keeps the first fault.
class parser {
public:
  parser(const toml::table& root, std::string_view file)
      : m_root(root)
      , m_file(file) {}

  result<gateway_settings, gateway_settings_error> parse();

private:
  const toml::node* find(std::string_view section, std::string_view key);
  void fail(const toml::node* at, std::string_view key, std::string_view reason);
  void text(std::string_view section, std::string_view key, std::string& into);
  void address(std::string_view section, std::string_view key, std::string& into);
  void number(std::string_view section, std::string_view key, double low, double high, double& into);
  void seeds(const std::string& exchange_address, std::vector<std::string>& into);
  void check_unknown();
  void check_distinct(const gateway_settings& settings);

  const toml::table& m_root;
  std::string m_file;
  std::set<std::string, std::less<>> m_known;
  std::optional<gateway_settings_error> m_fault;
};

std::string full_name(std::string_view section, std::string_view key) {
  return section.empty() ? std::string(key) : std::string(section) + "." + std::string(key);
}

void parser::fail(const toml::node* at, std::string_view key, std::string_view reason) {
  if (m_fault) {
    return;
  }
  const auto line = at != nullptr && at->source().begin ? at->source().begin.line : 1;
  std::string message =
      m_file + ":" + std::to_string(line) + ": " + std::string(key) + ": " + std::string(reason);
  std::replace_if(
      message.begin(), message.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
  m_fault = gateway_settings_error{std::move(message)};
}

const toml::node* parser::find(std::string_view section, std::string_view key) {
  m_known.insert(full_name(section, key));
  const toml::table* table = section.empty() ? &m_root : m_root[section].as_table();
  return table == nullptr ? nullptr : table->get(key);
}

void parser::text(std::string_view section, std::string_view key, std::string& into) {
  const auto* node = find(section, key);
  const auto value = node == nullptr ? std::optional<std::string>() : node->value_exact<std::string>();
  if (node == nullptr) {
    if (into.empty()) {
      fail(nullptr, full_name(section, key), "missing");
    }
  } else if (!value || value->empty()) {
    fail(node, full_name(section, key), "must be a text that is not empty");
  } else {
    into = *value;
  }
}

void parser::address(std::string_view section, std::string_view key, std::string& into) {
  text(section, key, into);
  if (!into.empty() && into.find(':') == std::string::npos) {
    fail(find(section, key), full_name(section, key), "must be an address like \"127.0.0.1:8080\"");
  }
}

void parser::number(std::string_view section, std::string_view key, double low, double high, double& into) {
  const auto* node = find(section, key);
  if (node == nullptr) {
    return;
  }
  const auto value = node->value<double>();
  if (!value || *value < low || *value > high) {
    fail(node, full_name(section, key),
         "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return;
  }
  into = *value;
}

// All daemons exchange on one port, so that only the host of a seed's address counts.
void parser::seeds(const std::string& exchange_address, std::vector<std::string>& into) {
  const auto* node = find("group", "seeds");
  if (node == nullptr) {
    return;
  }
  const auto* list = node->as_array();
  if (list == nullptr) {
    fail(node, "group.seeds", "must be a list of addresses");
    return;
  }
  const std::string port =
      exchange_address.substr(std::min(exchange_address.rfind(':'), exchange_address.size()));
  for (const auto& each : *list) {
    const auto value = each.value_exact<std::string>();
    if (!value) {
      fail(&each, "group.seeds", "must be a list of addresses");
      return;
    }
    into.push_back(value->substr(0, value->rfind(':')) + port);
  }
}

void parser::check_unknown() {
  for (const auto& [key, node] : m_root) {
    if (const auto* section = node.as_table(); section != nullptr) {
      for (const auto& [inner, inner_node] : *section) {
        if (!m_known.contains(full_name(key.str(), inner.str()))) {
          fail(&inner_node, full_name(key.str(), inner.str()), "unknown key");
        }
      }
    } else if (!m_known.contains(key.str())) {
      fail(&node, key.str(), "unknown key");
    }
  }
}

void parser::check_distinct(const gateway_settings& settings) {
  const std::array listening = {settings.m_callers_address, settings.m_admin_address,
                                settings.m_metrics_address, settings.m_exchange_address};
  for (std::size_t i = 0; i < listening.size(); ++i) {
    for (std::size_t j = i + 1; j < listening.size(); ++j) {
      if (listening[i] == listening[j]) {
        fail(m_root.get("listen"), "listen", "the address " + listening[i] + " is given twice");
      }
    }
  }
}

result<gateway_settings, gateway_settings_error> parser::parse() {
  gateway_settings settings;
  std::string mode;
  text("", mode_key, mode);
  text("", "name", settings.m_name);
  text("", "availability_zone", settings.m_availability_zone);
  address("listen", "callers", settings.m_callers_address);
  address("listen", "admin", settings.m_admin_address);
  address("listen", "metrics", settings.m_metrics_address);
  address("listen", "exchange", settings.m_exchange_address);
  address("store", "address", settings.m_store_address);
  text("log", "level", settings.m_log_level);
  seeds(settings.m_exchange_address, settings.m_seeds);
  constexpr double max_s = 3600;
  double window_s = std::chrono::duration<double>(settings.m_retry_limits.m_retry_window).count();
  double drain_s = std::chrono::duration<double>(settings.m_drain_time).count();
  number("group", "retry_ratio", 0, 1, settings.m_retry_limits.m_retry_ratio);
  number("group", "retry_fixed", 0, 1e6, settings.m_retry_limits.m_fixed_retries);
  number("group", "retry_window_s", 1, max_s, window_s);
  number("drain", "time_s", 1, max_s, drain_s);
  check_unknown();
  check_distinct(settings);
  if (m_fault) {
    return *m_fault;
  }
  settings.m_retry_limits.m_retry_window =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(window_s));
  settings.m_drain_time = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(drain_s));
  return settings;
}

} // namespace

result<gateway_settings, gateway_settings_error> parse_gateway_settings(std::string_view text,
                                                                        std::string_view file) {
  try {
    const auto root = toml::parse(text);
    return parser(root, file).parse();
  } catch (const toml::parse_error& error) {
    std::string reason(error.description());
    std::replace_if(
        reason.begin(), reason.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
    return gateway_settings_error{std::string(file) + ":" + std::to_string(error.source().begin.line) + ": " +
                                  reason};
  } catch (const toml_parser_fault&) {
    return gateway_settings_error{std::string(file) + ":" + std::to_string(find_toml_fault_line(text)) +
                                  ": not valid TOML"};
  }
}

result<gateway_settings, gateway_settings_error> read_gateway_settings(const std::string& file) {
  const auto text = read_file(file);
  if (!text) {
    return gateway_settings_error{file + ": cannot be read"};
  }
  return parse_gateway_settings(*text, file);
}

bool selects_local_scheduling(const std::string& file) {
  const auto text = read_file(file);
  if (!text) {
    return false;
  }
  try {
    const auto root = toml::parse(*text);
    return root[mode_key].value_or(std::string_view()) == local_mode;
  } catch (const toml::parse_error&) {
    return false;
  } catch (const toml_parser_fault&) {
    return false;
  }
}

} // namespace cardamompond::gateway
