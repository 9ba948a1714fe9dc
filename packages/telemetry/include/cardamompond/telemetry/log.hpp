#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace cardamompond {

enum class log_level { debug, info, warning, error };

// One key=value pair of a log line.
struct log_field {
  std::string_view m_key;
  std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool> m_value;

  template <typename T>
  log_field(std::string_view key, const T& value)
      : m_key(key)
      , m_value(convert(value)) {}

private:
  template <typename T> static decltype(m_value) convert(const T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      return value;
    } else if constexpr (std::is_floating_point_v<T>) {
      return static_cast<double>(value);
    } else if constexpr (std::is_unsigned_v<T>) {
      return static_cast<std::uint64_t>(value);
    } else if constexpr (std::is_integral_v<T>) {
      return static_cast<std::int64_t>(value);
    } else {
      return std::string_view(value);
    }
  }
};

// Sets up logging to standard output. Writing never blocks: lines over the rate, or without room at the
// reader, are dropped and counted in the field dropped_lines of the next line. `level` is debug, info,
// warning or error; returns false for another one.
bool start_logging(std::string_view level);

// Returns the line "event=NAME KEY=VALUE ...". Values with spaces, quotes, equal signs or control characters
// are quoted and escaped, so that outside input cannot forge a field or a line.
std::string format_event(std::string_view event, std::initializer_list<log_field> fields);

// Writes one line with time and level.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace cardamompond
