#pragma once

#include "cardamompond/declarations/folder.hpp"

#include <sstream>
#include <string>
#include <string_view>

namespace cardamompond::declarations {

// A small valid set of declarations that has at least one object of each kind. Tests refer to its lines by
// number.
inline constexpr std::string_view valid_declarations = R"([[tier]]
name = "top"
rank = 0
default_timeout_ms = 30000

[[tier]]

name = "low"
rank = 1
queue_share = 0.5

[[client_account]]
name = "acc"
owner = "o1"
tier = "top"
key_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]

[[service]]
name = "s"
owner = "o1"
kind = "model"
active_version = "s-v1"
accounts = ["acc"]
[service.move]
to = "s-v2"
due = 2026-12-04T10:00:00Z
steps = [1, 50, 100]

[[version]]
name = "s-v1"
service = "s"
[[version]]
name = "s-v2"

service = "s"

[[availability_zone]]
name = "z"
owner = "o1"
region = "south"
state = "in"

[[backend_server]]
name = "b1"
owner = "o1"
cell = "main"
zone = "z"
service = "s"
version = "s-v1"
address = "127.0.0.1:9001"
slots = 4
)";

// Returns the text with one line replaced. Line numbers start at 1.
inline std::string replace_line(std::string_view text, std::uint32_t line, std::string_view replacement) {
  std::istringstream lines{std::string(text)};
  std::string result;
  std::string current;
  for (std::uint32_t number = 1; std::getline(lines, current); ++number) {
    result += number == line ? std::string(replacement) : current;
    result += '\n';
  }
  return result;
}

} // namespace cardamompond::declarations
