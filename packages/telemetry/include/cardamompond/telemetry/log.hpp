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

// Sets up logging to standard output. Writing a line never blocks: a line is dropped if it exceeds the
// maximum rate, or if the pipe is full because its reader is slow. The next line that is written reports the
// number of dropped lines in the field dropped_lines. Returns whether `level` is one of debug, info, warning
// and error.
bool start_logging(std::string_view level);

// Returns the line "event=NAME KEY=VALUE ...". Values with spaces, quotes, equal signs or control characters
// are quoted and escaped, so that external input cannot forge a field or a line.
std::string format_event(std::string_view event, std::initializer_list<log_field> fields);

// Logs an event as one line, which begins with the time and the level.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace cardamompond
