#include "cardamompond/ctl/command_line.hpp"

#include <boost/asio/ip/address.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <charconv>
#include <iostream>
#include <memory>
#include <string_view>

namespace cardamompond::ctl {
namespace {

constexpr std::string_view exit_codes =
    "\nExit codes: 0 ok; 1 findings, or refused; 2 invalid arguments; 3 platform unreachable; 4 conflict "
    "with another operator's change.";

struct verb_description {
  verb m_verb;
  std::string_view m_name;
  std::string_view m_help;
};

constexpr std::array<verb_description, 8> verbs = {{
    {verb::check, "check",
     "Checks a folder of declarations and reports all findings. With --platform and --owner, checks it "
     "together with what the other owner has published; otherwise the folder alone."},
    {verb::diff, "diff",
     "Lists what publishing a folder would change, and the revision it is compared with."},
    {verb::publish, "publish",
     "Publishes a folder that contains all declarations of the owner: published objects of the owner that "
     "are missing from the folder are removed. If the folder declares any shared objects (tiers without an "
     "owner), they replace all published shared objects. Publishing the same folder again changes nothing. "
     "After a lost reply, the change-set id shows whether the change set has been published."},
    {verb::status, "status",
     "Shows for each cell the revision in force in each member and since when, members and cells that are "
     "not at the published revision, rollouts of versions, and backend servers."},
    {verb::get, "get", "Shows published objects: all, those of a kind, or one."},
    {verb::usage, "usage",
     "Shows the metered usage of a period by owner of the client account, client account, service and owner "
     "of the backend server, and the split between owners. The owner of a client account is the one that is "
     "published now."},
    {verb::lateness, "lateness",
     "Reads logs of daemons and shows, for each route, how many attempts of callers were answered on time, "
     "late, refused or failed, and where most of the time of the late ones went. Needs no platform."},
    {verb::explain, "explain",
     "Asks a running entry daemon, at its metrics address, where a request would go now, and why. Nothing is "
     "sent or reserved. The request is described by --service, or by --host and --path."},
}};

constexpr std::string_view general_help =
    "Usage: cardamompondctl VERB [ARGUMENTS] [OPTIONS]\n\n"
    "Checks and publishes declarations of cardamompond and shows its state. Verbs:\n";

early_exit make_usage_error(std::string message) {
  return {exit_code::invalid_arguments, std::move(message)};
}

bool is_address_with_port(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, failure] = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  return !error && failure == std::errc{} && parsed_end == end && port != 0;
}

// Parses a whole number. Rejects signs and trailing characters, which stream extraction would accept.
std::optional<std::uint64_t> parse_number(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, failure] = std::from_chars(text.data(), end, value);
  if (text.empty() || failure != std::errc{} || parsed_end != end) {
    return std::nullopt;
  }
  return value;
}

// Parses the arguments of one verb. There is one parser for each verb because TCLAP has no subcommands.
class verb_parser {
public:
  explicit verb_parser(const verb_description& description)
      : m_description(description)
      , m_command_line(std::string(description.m_help) + std::string(exit_codes), ' ', "1") {
    m_command_line.setExceptionHandling(false);
    if (has_folder_argument()) {
      m_folder.emplace("DIR", "Folder with declarations (*.toml, at any depth)", true, "", "DIR",
                       m_command_line);
    }
    if (description.m_verb == verb::get) {
      m_object.emplace("OBJECT",
                       "client_account, tier, service, version, availability_zone or backend_server, and the "
                       "name of an object",
                       false, "KIND [NAME]", m_command_line);
    }
    if (description.m_verb == verb::lateness) {
      m_log_files.emplace("LOG", "Files with log lines of daemons (default: standard input)", false, "FILE",
                          m_command_line);
    }
    if (description.m_verb == verb::explain) {
      add_explain_options();
    }
    if (description.m_verb == verb::publish) {
      m_change_set.emplace("", "change-set",
                           "Id of the change set (default: hash of owner, base revision and content)", false,
                           "", "ID", m_command_line);
      m_base.emplace(
          "", "base",
          "Revision that the folder was last compared with, as shown by diff; publishing fails with a "
          "conflict if objects of the owner or shared objects have changed since (default: the published "
          "revision)",
          false, "", "REVISION", m_command_line);
    }
    if (description.m_verb == verb::usage) {
      m_from.emplace("", "from", "First day (UTC)", true, "", "YYYY-MM-DD", m_command_line);
      m_to.emplace("", "to", "Last day (UTC; default: the first day)", false, "", "YYYY-MM-DD",
                   m_command_line);
    }
  }

  result<command_options, early_exit> parse(std::vector<std::string> arguments,
                                            const environment& variables) {
    try {
      m_command_line.parse(arguments);
    } catch (const TCLAP::ExitException& exit_request) {
      return early_exit{exit_request.getExitStatus() == 0 ? exit_code::ok : exit_code::invalid_arguments, {}};
    } catch (const TCLAP::ArgException& error) {
      const auto argument = error.argId();
      return make_usage_error(error.error() + (argument == " " ? "" : " (" + argument + ")"));
    }
    command_options options;
    options.m_verb = m_description.m_verb;
    options.m_folder = m_folder ? m_folder->getValue() : "";
    const auto object_arguments = m_object ? m_object->getValue() : std::vector<std::string>();
    if (object_arguments.size() > 2) {
      return make_usage_error("unexpected argument \"" + object_arguments[2] + "\" after KIND and NAME");
    }
    options.m_kind = object_arguments.empty() ? "" : object_arguments[0];
    options.m_name = object_arguments.size() < 2 ? "" : object_arguments[1];
    options.m_log_files = m_log_files ? m_log_files->getValue() : std::vector<std::string>();
    options.m_change_set = m_change_set ? m_change_set->getValue() : "";
    options.m_platform = m_platform.isSet() ? m_platform.getValue() : variables.m_platform;
    options.m_owner = m_owner.isSet() ? m_owner.getValue() : variables.m_owner;
    return parse_options(std::move(options));
  }

private:
  void add_explain_options() {
    const auto add = [&](const char* name, const char* help, const char* type) {
      m_texts.push_back(
          std::make_unique<TCLAP::ValueArg<std::string>>("", name, help, false, "", type, m_command_line));
    };
    // In the order in which read_explain_options() reads them.
    add("daemon", "Metrics address of the daemon", "IP:PORT");
    add("settings", "Settings file of the daemon, if --daemon is not given", "FILE");
    add("service", "Service; its first route applies", "NAME");
    add("host", "Host that selects the route", "HOST");
    add("path", "Path that selects the route", "PATH");
    add("account", "Name of the client account", "NAME");
    add("prompt-tokens", "Tokens of the prompt", "NUMBER");
    add("output-tokens", "Expected tokens of the response", "NUMBER");
    add("deadline-ms", "Time that the caller has left", "MS");
  }

  std::optional<early_exit> read_explain_options(command_options& options) {
    auto& request = options.m_request;
    const std::array targets = {&options.m_daemon,        &options.m_settings,      &request.m_service,
                                &request.m_host,          &request.m_path,          &request.m_account,
                                &request.m_prompt_tokens, &request.m_output_tokens, &request.m_deadline_ms};
    for (std::size_t i = 0; i < m_texts.size(); ++i) {
      *targets[i] = m_texts[i]->getValue();
    }
    if (options.m_daemon.empty() == options.m_settings.empty()) {
      return make_usage_error("use either --daemon IP:PORT or --settings FILE");
    }
    if (!options.m_daemon.empty() && !is_address_with_port(options.m_daemon)) {
      return make_usage_error("--daemon " + options.m_daemon +
                              ": use an IP address and a port, as in 127.0.0.1:9001");
    }
    if (request.m_service.empty() == request.m_host.empty()) {
      return make_usage_error("use either --service NAME or --host HOST and --path PATH");
    }
    for (const auto* number : {&request.m_prompt_tokens, &request.m_output_tokens, &request.m_deadline_ms}) {
      constexpr std::uint64_t max_number = 4'000'000'000;
      const auto parsed = number->empty() ? std::optional<std::uint64_t>(0) : parse_number(*number);
      if (!parsed || *parsed > max_number) {
        return make_usage_error(*number + ": use a whole number");
      }
    }
    return std::nullopt;
  }

  bool has_folder_argument() const {
    return m_description.m_verb == verb::check || m_description.m_verb == verb::diff ||
           m_description.m_verb == verb::publish;
  }

  result<command_options, early_exit> parse_options(command_options options) {
    const auto& format = m_output.getValue();
    if (format == "json") {
      options.m_output = output_format::json;
    } else if (format == "csv" && options.m_verb == verb::usage) {
      options.m_output = output_format::csv;
    } else if (format != "text") {
      return make_usage_error("--output " + format + ": use text or json" +
                              (options.m_verb == verb::usage ? " or csv" : ""));
    }
    constexpr std::uint64_t max_timeout_ms = 600'000;
    const auto timeout = parse_number(m_timeout.getValue());
    if (!timeout || *timeout == 0 || *timeout > max_timeout_ms) {
      return make_usage_error("--timeout-ms " + m_timeout.getValue() +
                              ": use a whole number from 1 to 600000");
    }
    options.m_timeout = milliseconds(*timeout);
    if (m_base && m_base->isSet()) {
      options.m_base = parse_number(m_base->getValue());
      if (!options.m_base) {
        return make_usage_error("--base " + m_base->getValue() + ": use a revision number");
      }
    }
    if (m_from) {
      const auto from = cell::parse_day(m_from->getValue());
      const auto to = m_to->isSet() ? cell::parse_day(m_to->getValue()) : from;
      if (!from || !to || *to < *from) {
        return make_usage_error(
            "--from and --to: use dates such as 2026-12-04, with --from no later than --to");
      }
      options.m_from = *from;
      options.m_to = *to;
    }
    if (options.m_verb == verb::explain) {
      if (auto problem = read_explain_options(options)) {
        return std::move(*problem);
      }
      return options;
    }
    if (options.m_platform.empty() && options.m_verb != verb::check && options.m_verb != verb::lateness) {
      return make_usage_error(
          "the platform address is missing: use --platform IP:PORT or CARDAMOMPOND_PLATFORM");
    }
    if (!options.m_platform.empty() && !is_address_with_port(options.m_platform)) {
      return make_usage_error("--platform " + options.m_platform +
                              ": use an IP address and a port, as in 127.0.0.1:9001");
    }
    if (options.m_owner.empty() && has_folder_argument() && !options.m_platform.empty()) {
      return make_usage_error("the owner is missing: use --owner NAME or CARDAMOMPOND_OWNER");
    }
    return options;
  }

  const verb_description& m_description;
  TCLAP::CmdLine m_command_line;
  std::optional<TCLAP::UnlabeledValueArg<std::string>> m_folder;
  std::optional<TCLAP::UnlabeledMultiArg<std::string>> m_object; // kind and name, both optional
  std::optional<TCLAP::UnlabeledMultiArg<std::string>> m_log_files;
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> m_texts; // explain, see add_explain_options
  std::optional<TCLAP::ValueArg<std::string>> m_change_set;
  std::optional<TCLAP::ValueArg<std::string>> m_base;
  std::optional<TCLAP::ValueArg<std::string>> m_from;
  std::optional<TCLAP::ValueArg<std::string>> m_to;
  TCLAP::ValueArg<std::string> m_platform{
      "p",       "platform",    "Address of the object API (default: CARDAMOMPOND_PLATFORM)", false, "",
      "IP:PORT", m_command_line};
  TCLAP::ValueArg<std::string> m_owner{
      "o",    "owner",       "Owner that the operator acts for (default: CARDAMOMPOND_OWNER)", false, "",
      "NAME", m_command_line};
  TCLAP::ValueArg<std::string> m_output{
      "", "output", "Format: text or json; usage also csv", false, "text", "FORMAT", m_command_line};
  TCLAP::ValueArg<std::string> m_timeout{
      "",   "timeout-ms",  "Time limit of one call to the platform (default: 2000)", false, "2000",
      "MS", m_command_line};
};

} // namespace

result<command_options, early_exit> parse_command_line(const std::vector<std::string>& arguments,
                                                       const environment& variables) {
  const std::string verb_name = arguments.empty() ? std::string() : arguments.front();
  if (verb_name == "--help" || verb_name == "-h" || verb_name == "help") {
    std::cout << general_help;
    for (const auto& description : verbs) {
      std::cout << "  " << description.m_name << std::string(9 - description.m_name.size(), ' ')
                << description.m_help << '\n';
    }
    std::cout
        << "\nThe environment variables CARDAMOMPOND_PLATFORM and CARDAMOMPOND_OWNER set the defaults of "
           "--platform and --owner.\nEach verb describes its options with --help."
        << exit_codes << '\n';
    return early_exit{exit_code::ok, {}};
  }
  for (const auto& description : verbs) {
    if (description.m_name == verb_name) {
      std::vector<std::string> verb_arguments{"cardamompondctl " + verb_name};
      verb_arguments.insert(verb_arguments.end(), arguments.begin() + 1, arguments.end());
      return verb_parser(description).parse(std::move(verb_arguments), variables);
    }
  }
  const std::string problem = verb_name.empty() ? "no verb given" : "unknown verb \"" + verb_name + "\"";
  return make_usage_error(
      problem + ": use check, diff, publish, status, get, usage, lateness or explain; --help describes them");
}

} // namespace cardamompond::ctl
