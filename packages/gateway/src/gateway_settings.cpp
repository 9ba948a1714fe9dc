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

// A daemon without requests takes up to 20 MB, and needs about 300 descriptors beside those of its callers.
constexpr double min_memory_mb = 32;
constexpr double min_descriptors = 400;
constexpr double bytes_per_mb = 1e6;

std::optional<std::string> read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// Parses one settings file and keeps the first error.
class settings_parser {
public:
  settings_parser(const toml::table& root, std::string_view file)
      : m_root(root)
      , m_file(file) {}

  result<gateway_settings, gateway_settings_error> parse();

private:
  const toml::node* find(std::string_view section, std::string_view key);
  void record_error(const toml::node* node, std::string_view key, std::string_view reason);
  void read_text(std::string_view section, std::string_view key, std::string& target);
  void read_address(std::string_view section, std::string_view key, std::string& target);
  void read_number(std::string_view section, std::string_view key, double low, double high, double& target);
  void read_seeds(const std::string& exchange_address, std::vector<std::string>& target);
  void read_duties(std::vector<duty_settings>& target);
  duty_settings read_duty(std::string_view name, const toml::table& table);
  void read_learned_limits(fleet::learned_limits_mode& target);
  void reject_unknown_keys();
  void check_distinct_addresses(const gateway_settings& settings);

  const toml::table& m_root;
  std::string m_file;
  std::set<std::string, std::less<>> m_known_keys;
  std::optional<gateway_settings_error> m_error;
};

std::string full_name(std::string_view section, std::string_view key) {
  return section.empty() ? std::string(key) : std::string(section) + "." + std::string(key);
}

void settings_parser::record_error(const toml::node* node, std::string_view key, std::string_view reason) {
  if (m_error) {
    return;
  }
  const auto line = node != nullptr && node->source().begin ? node->source().begin.line : 1;
  std::string message =
      m_file + ":" + std::to_string(line) + ": " + std::string(key) + ": " + std::string(reason);
  std::replace_if(
      message.begin(), message.end(),
      [](char character) { return static_cast<unsigned char>(character) < ' '; }, '?');
  m_error = gateway_settings_error{std::move(message)};
}

const toml::node* settings_parser::find(std::string_view section, std::string_view key) {
  m_known_keys.insert(full_name(section, key));
  const toml::table* table = section.empty() ? &m_root : m_root[section].as_table();
  return table == nullptr ? nullptr : table->get(key);
}

void settings_parser::read_text(std::string_view section, std::string_view key, std::string& target) {
  const auto* node = find(section, key);
  const auto value = node == nullptr ? std::optional<std::string>() : node->value_exact<std::string>();
  if (node == nullptr) {
    if (target.empty()) {
      record_error(nullptr, full_name(section, key), "missing");
    }
  } else if (!value || value->empty()) {
    record_error(node, full_name(section, key), "must be a non-empty string");
  } else {
    target = *value;
  }
}

void settings_parser::read_address(std::string_view section, std::string_view key, std::string& target) {
  read_text(section, key, target);
  if (!target.empty() && target.find(':') == std::string::npos) {
    record_error(find(section, key), full_name(section, key), "must be an address like \"127.0.0.1:8080\"");
  }
}

void settings_parser::read_number(std::string_view section, std::string_view key, double low, double high,
                                  double& target) {
  const auto* node = find(section, key);
  if (node == nullptr) {
    return;
  }
  const auto value = node->value<double>();
  if (!value || *value < low || *value > high) {
    record_error(node, full_name(section, key),
                 "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return;
  }
  target = *value;
}

// All daemons use the same port for the exchange. The port of a seed's address is therefore replaced by that
// of this daemon's exchange address.
void settings_parser::read_seeds(const std::string& exchange_address, std::vector<std::string>& target) {
  const auto* node = find("group", "seeds");
  if (node == nullptr) {
    return;
  }
  const auto* list = node->as_array();
  if (list == nullptr) {
    record_error(node, "group.seeds", "must be a list of addresses");
    return;
  }
  const std::string port =
      exchange_address.substr(std::min(exchange_address.rfind(':'), exchange_address.size()));
  for (const auto& each : *list) {
    const auto value = each.value_exact<std::string>();
    if (!value) {
      record_error(&each, "group.seeds", "must be a list of addresses");
      return;
    }
    target.push_back(value->substr(0, value->rfind(':')) + port);
  }
}

// The section [duties] has one table for each duty.
void settings_parser::read_duties(std::vector<duty_settings>& target) {
  const auto* node = m_root.get("duties");
  if (node == nullptr) {
    return;
  }
  const auto* section = node->as_table();
  if (section == nullptr) {
    record_error(node, "duties", "must be a section");
    return;
  }
  for (const auto& [name, each] : *section) {
    m_known_keys.insert(full_name("duties", name.str()));
    if (const auto* table = each.as_table()) {
      target.push_back(read_duty(name.str(), *table));
    } else {
      record_error(&each, full_name("duties", name.str()), "must be a section");
    }
  }
}

duty_settings settings_parser::read_duty(std::string_view name, const toml::table& table) {
  const std::string section = full_name("duties", name);
  constexpr double ms_per_s = 1000;
  constexpr double max_ms = 3'600'000;
  duty_settings duty;
  duty.m_name = name;
  for (const auto& entry : table) {
    const auto& key = entry.first;
    const auto& node = entry.second;
    const std::string full = full_name(section, key.str());
    const auto number = node.value<double>();
    const auto read_ms = [&](double ms_per_unit, milliseconds& value) {
      if (!number || *number * ms_per_unit < 1 || *number * ms_per_unit > max_ms) {
        record_error(&node, full, "must be a time of at most an hour");
      } else {
        value = milliseconds(static_cast<std::int64_t>(*number * ms_per_unit));
      }
    };
    if (key == "address") {
      duty.m_address = node.value_exact<std::string>().value_or("");
    } else if (key == "calls_per_s") {
      duty.m_calls_per_s = number.value_or(-1);
      if (duty.m_calls_per_s < 0) {
        record_error(&node, full, "must be a number that is not negative");
      }
    } else if (key == "fencing") {
      if (const auto flag = node.value_exact<bool>()) {
        duty.m_fencing = *flag;
      } else {
        record_error(&node, full, "must be true or false");
      }
    } else if (key == "lease_ms") {
      read_ms(1, duty.m_lease);
    } else if (key == "window_s") {
      read_ms(ms_per_s, duty.m_window);
    } else if (key == "late_s") {
      read_ms(ms_per_s, duty.m_late_after);
    } else {
      record_error(&node, full, "unknown key");
    }
  }
  if (duty.m_address.find(':') == std::string::npos) {
    record_error(&table, section + ".address", "must be an address like \"127.0.0.1:8080\"");
  }
  return duty;
}

void settings_parser::read_learned_limits(fleet::learned_limits_mode& target) {
  std::string mode = "auto";
  read_text("scheduling_options", "learned_limits", mode);
  if (mode == "auto") {
    target = fleet::learned_limits_mode::automatic;
  } else if (mode == "on") {
    target = fleet::learned_limits_mode::on;
  } else if (mode == "off") {
    target = fleet::learned_limits_mode::off;
  } else {
    record_error(find("scheduling_options", "learned_limits"), "scheduling_options.learned_limits",
                 "must be \"auto\", \"on\" or \"off\"");
  }
}

void settings_parser::reject_unknown_keys() {
  for (const auto& [key, node] : m_root) {
    if (const auto* section = node.as_table(); section != nullptr) {
      for (const auto& [inner, inner_node] : *section) {
        if (!m_known_keys.contains(full_name(key.str(), inner.str()))) {
          record_error(&inner_node, full_name(key.str(), inner.str()), "unknown key");
        }
      }
    } else if (!m_known_keys.contains(key.str())) {
      record_error(&node, key.str(), "unknown key");
    }
  }
}

void settings_parser::check_distinct_addresses(const gateway_settings& settings) {
  const std::array listening = {settings.m_callers_address, settings.m_admin_address,
                                settings.m_metrics_address, settings.m_exchange_address};
  for (std::size_t i = 0; i < listening.size(); ++i) {
    for (std::size_t j = i + 1; j < listening.size(); ++j) {
      if (listening[i] == listening[j]) {
        record_error(m_root.get("listen"), "listen", "the address " + listening[i] + " is given twice");
      }
    }
  }
}

result<gateway_settings, gateway_settings_error> settings_parser::parse() {
  gateway_settings settings;
  std::string mode;
  read_text("", mode_key, mode);
  read_text("", "name", settings.m_name);
  read_text("", "availability_zone", settings.m_availability_zone);
  read_address("listen", "callers", settings.m_callers_address);
  read_address("listen", "admin", settings.m_admin_address);
  read_address("listen", "metrics", settings.m_metrics_address);
  read_address("listen", "exchange", settings.m_exchange_address);
  read_address("store", "address", settings.m_store_address);
  read_text("log", "level", settings.m_log_level);
  read_seeds(settings.m_exchange_address, settings.m_seeds);
  read_learned_limits(settings.m_learned_limits);
  constexpr double max_s = 3600;
  double window_s = std::chrono::duration<double>(settings.m_retry_limits.m_retry_window).count();
  double drain_s = std::chrono::duration<double>(settings.m_drain_time).count();
  read_number("group", "retry_ratio", 0, 1, settings.m_retry_limits.m_retry_ratio);
  read_number("group", "retry_fixed", 0, 1e6, settings.m_retry_limits.m_fixed_retries);
  read_number("group", "retry_window_s", 1, max_s, window_s);
  read_number("drain", "time_s", 1, max_s, drain_s);
  read_duties(settings.m_duties);
  double memory_mb = 0;
  double max_descriptors = 0;
  read_number("limits", "memory_mb", min_memory_mb, 1e6, memory_mb);
  read_number("limits", "max_descriptors", min_descriptors, 1e7, max_descriptors);
  reject_unknown_keys();
  check_distinct_addresses(settings);
  if (m_error) {
    return *m_error;
  }
  settings.m_retry_limits.m_retry_window =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(window_s));
  settings.m_drain_time = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(drain_s));
  settings.m_memory_bytes = static_cast<std::uint64_t>(memory_mb * bytes_per_mb);
  settings.m_max_descriptors = static_cast<std::uint32_t>(max_descriptors);
  return settings;
}

} // namespace

result<gateway_settings, gateway_settings_error> parse_gateway_settings(std::string_view text,
                                                                        std::string_view file) {
  try {
    const auto root = toml::parse(text);
    return settings_parser(root, file).parse();
  } catch (const toml::parse_error& error) {
    std::string reason(error.description());
    std::replace_if(
        reason.begin(), reason.end(),
        [](char character) { return static_cast<unsigned char>(character) < ' '; }, '?');
    return gateway_settings_error{std::string(file) + ":" + std::to_string(error.source().begin.line) + ": " +
                                  reason};
  } catch (const toml_assertion_error&) {
    return gateway_settings_error{std::string(file) + ":" + std::to_string(find_toml_error_line(text)) +
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
  } catch (const toml_assertion_error&) {
    return false;
  }
}

} // namespace cardamompond::gateway
