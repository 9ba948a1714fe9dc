#include "cardamompond/core/toml_parser.hpp"
#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/net/http_client.hpp"
#include "report.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <array>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <optional>
#include <ostream>
#include <utility>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

// Reads the metrics address from the settings file of a daemon.
std::optional<std::string> read_metrics_address(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  const std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in) {
    return std::nullopt;
  }
  try {
    return toml::parse(text)["listen"]["metrics"].value<std::string>();
  } catch (const toml::parse_error&) {
    return std::nullopt;
  }
}

std::string make_target(const explained_request& request) {
  std::string target = "/explain";
  const auto add = [&](std::string_view name, std::string_view value) {
    if (!value.empty()) {
      target += target.find('?') == std::string::npos ? '?' : '&';
      target += std::string(name) + "=" + boost::urls::encode(value, boost::urls::unreserved_chars);
    }
  };
  add("service", request.m_service);
  add("host", request.m_host);
  add("path", request.m_path);
  add("account", request.m_account);
  add("prompt_tokens", request.m_prompt_tokens);
  add("output_tokens", request.m_output_tokens);
  add("deadline_ms", request.m_deadline_ms);
  return target;
}

std::string text_of(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr || value->is_null() ? "-" : to_text(*value);
}

void print_text(const json::object& answer, std::ostream& out) {
  out << "service " << text_of(answer, "service") << ", route " << text_of(answer, "route") << ": "
      << text_of(answer, "decision");
  if (answer.contains("server")) {
    out << " to " << text_of(answer, "server");
  }
  if (answer.contains("reason")) {
    out << ", " << text_of(answer, "reason") << ", retry after " << text_of(answer, "retry_after_ms")
        << " ms";
  }
  out << '\n';
  const auto* servers = answer.if_contains("servers");
  if (servers == nullptr || !servers->is_array()) {
    return;
  }
  constexpr std::array<std::pair<std::string_view, int>, 10> columns = {{{"server", 20},
                                                                         {"running", 8},
                                                                         {"limit", 6},
                                                                         {"slots", 6},
                                                                         {"first ms", 9},
                                                                         {"end ms", 8},
                                                                         {"pause ms", 9},
                                                                         {"age ms", 8},
                                                                         {"fit", 18},
                                                                         {"ruled out", 0}}};
  constexpr std::array<std::string_view, 10> keys = {"server",
                                                     "running",
                                                     "limit",
                                                     "slots",
                                                     "expected_first_ms",
                                                     "expected_end_ms",
                                                     "expected_pause_ms",
                                                     "statement_age_ms",
                                                     "fit",
                                                     "ruled_out"};
  for (const auto& [name, width] : columns) {
    out << std::left << std::setw(width) << name << ' ';
  }
  out << '\n';
  for (const auto& each : servers->as_array()) {
    if (!each.is_object()) {
      continue;
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
      out << std::left << std::setw(columns[i].second) << text_of(each.get_object(), keys[i]) << ' ';
    }
    out << '\n';
  }
}

} // namespace

exit_code run_explain(const command_options& options, net::http_client& client, const streams& io) {
  std::string address = options.m_daemon;
  if (address.empty()) {
    const auto read = read_metrics_address(options.m_settings);
    if (!read) {
      report_message(options.m_settings + ": has no readable listen.metrics", io);
      return exit_code::invalid_arguments;
    }
    address = *read;
  }
  const auto response =
      client.fetch(address, {"GET", make_target(options.m_request), {}, {}}, options.m_timeout);
  if (!response) {
    report_message("daemon at " + address + ": " + response.error().m_message, io);
    return exit_code::unreachable;
  }
  boost::system::error_code error;
  const auto answer = json::parse(response->m_body, error);
  if (error || !answer.is_object()) {
    report_message("daemon at " + address + ": the answer is not readable", io);
    return exit_code::unreachable;
  }
  constexpr int status_ok = 200;
  if (response->m_status != status_ok) {
    report_message(text_of(answer.get_object(), "error"), io);
    return exit_code::findings;
  }
  if (options.m_output == output_format::json) {
    io.m_out << response->m_body;
  } else {
    print_text(answer.get_object(), io.m_out);
  }
  return exit_code::ok;
}

} // namespace cardamompond::ctl
