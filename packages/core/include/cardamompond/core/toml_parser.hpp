#pragma once

// Includes the TOML parser toml++ with its assertions turned into exceptions. Version 3.3 fails an assertion,
// which ends the process, on some malformed texts; the fuzz tests of settings and declarations found them.
// Include this header instead of toml++ itself, so that all sources see the same definition of TOML_ASSERT.

namespace cardamompond {

// Thrown in place of a failed assertion of the parser. The parsed text is not valid TOML.
struct toml_assertion_error {};

[[noreturn]] inline void throw_toml_assertion_error() {
  throw toml_assertion_error{};
}

} // namespace cardamompond

#define TOML_ASSERT(expression)                                                                              \
  ((expression) ? static_cast<void>(0) : cardamompond::throw_toml_assertion_error())
#include <toml++/toml.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace cardamompond {

// Returns the line, counted from 1, at which parsing `text` throws toml_assertion_error, which carries no
// position. Parses prefixes of the text in a binary search for the shortest one that throws. Call it only for
// a text that is known to throw toml_assertion_error.
inline std::uint32_t find_toml_error_line(std::string_view text) {
  std::vector<std::size_t> line_ends; // offset after each line
  for (std::size_t newline = text.find('\n'); newline != std::string_view::npos;
       newline = text.find('\n', newline + 1)) {
    line_ends.push_back(newline + 1);
  }
  std::size_t low = 0;
  std::size_t high = line_ends.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    bool fails_assertion = false;
    try {
      static_cast<void>(toml::parse(text.substr(0, line_ends[middle])));
    } catch (const toml_assertion_error&) {
      fails_assertion = true;
    } catch (const toml::parse_error&) {
      fails_assertion = false; // the prefix ends within a value
    }
    (fails_assertion ? high : low) = fails_assertion ? middle : middle + 1;
  }
  return static_cast<std::uint32_t>(low + 1);
}

} // namespace cardamompond
