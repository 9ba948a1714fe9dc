#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace cardamompond::declarations {

// Parses a time such as "2026-12-04T10:00:00Z". Only UTC with whole seconds is accepted, so that each time
// has exactly one textual form.
std::optional<std::chrono::system_clock::time_point> parse_rfc3339(std::string_view text);

} // namespace cardamompond::declarations
