#pragma once

#include "cardamompond/cell/usage_report.hpp"
#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::ctl {

enum class exit_code { ok = 0, findings = 1, invalid_arguments = 2, unreachable = 3, conflict = 4 };

enum class verb { check, diff, publish, status, get, usage, lateness, explain };

enum class output_format { text, json, csv };

// The request that explain asks about. Empty texts are left to the daemon.
struct explained_request {
  std::string m_service; // or m_host and m_path
  std::string m_host;
  std::string m_path;
  std::string m_account; // its name
  std::string m_prompt_tokens;
  std::string m_output_tokens;
  std::string m_deadline_ms;
};

// The parsed command line, validated as far as possible without reading files or calling the platform.
struct command_options {
  verb m_verb = verb::check;
  std::string m_folder;   // check, diff, publish: folder of declarations
  std::string m_kind;     // get: kind of the objects; empty for all kinds
  std::string m_name;     // get: name of the object; empty for all objects of the kind
  std::string m_platform; // address of the object API, e.g. "127.0.0.1:9001"; may be empty only for check and
                          // lateness
  std::string m_owner;    // owner of the declarations; may be empty only for verbs that do not need an owner
  output_format m_output = output_format::text;
  std::string m_change_set;             // publish: id; empty to derive it from the owner, base and content
  std::optional<std::uint64_t> m_base;  // publish: revision that the folder was last compared with
  milliseconds m_timeout{2'000};        // of one call to the platform
  cell::utc_day m_from;                 // usage: first day
  cell::utc_day m_to;                   // usage: last day
  std::vector<std::string> m_log_files; // lateness: logs of daemons; none: standard input
  std::string m_daemon;                 // explain: metrics address of the daemon; may be empty
  std::string m_settings;               // explain: settings file of the daemon, if m_daemon is empty
  explained_request m_request;          // explain
};

// Returned if there is no command to run: help was printed, or the arguments are invalid.
struct early_exit {
  exit_code m_exit_code = exit_code::invalid_arguments;
  std::string m_message; // one line; empty if help was printed
};

// Values of the environment variables that set the defaults of options.
struct environment {
  std::string m_platform; // CARDAMOMPOND_PLATFORM
  std::string m_owner;    // CARDAMOMPOND_OWNER
};

// Parses the arguments that follow the program name. Prints help to standard output if it is requested.
result<command_options, early_exit> parse_command_line(const std::vector<std::string>& arguments,
                                                       const environment& variables);

} // namespace cardamompond::ctl
