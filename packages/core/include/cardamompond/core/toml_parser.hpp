#pragma once

// The TOML parser, with its assertions turned into an exception: version 3.3 ends the process by an assertion
// on some malformed texts, as the fuzz tests of settings and declarations found. Include this header rather
// than toml++ itself, so that all sources see the same definition.

namespace cardamompond {

// Thrown when the parser found itself in a state that it takes for impossible. The text is not valid TOML.
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

// Line, from 1, at which parsing `text` ends in toml_assertion_error, which names no place. Searches by
// parsing the text's beginnings; only for texts that are known to fail.
inline std::uint32_t find_toml_error_line(std::string_view text) {
  std::vector<std::size_t> ends; // of the lines
  for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
    ends.push_back(at + 1);
  }
  std::size_t low = 0;
  std::size_t high = ends.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    bool fails = false;
    try {
      static_cast<void>(toml::parse(text.substr(0, ends[middle])));
    } catch (const toml_assertion_error&) {
      fails = true;
    } catch (const toml::parse_error&) {
      fails = false; // the beginning ends within a value
    }
    (fails ? high : low) = fails ? middle : middle + 1;
  }
  return static_cast<std::uint32_t>(low + 1);
}

} // namespace cardamompond
