#include "cardamompond/telemetry/log.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <charconv>
#include <memory>

#include <poll.h>
#include <unistd.h>

namespace cardamompond {
namespace {

// The maximum rate of lines that a process writes. It limits processor time and log volume under load.
constexpr std::uint64_t max_lines_per_s = 500;

// A pipe that poll() reports as writable accepts at least this many bytes without blocking (PIPE_BUF).
constexpr std::size_t max_line_bytes = 4096;

// Writes lines to standard output without ever blocking. A line that exceeds the maximum rate, or for which
// the pipe has no room, is dropped. The next line that is written contains the number of dropped lines.
class standard_output_appender final : public log4cplus::Appender {
public:
  standard_output_appender() = default;
  ~standard_output_appender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const auto second = log4cplus::helpers::to_time_t(event.getTimestamp());
    if (second != m_current_second) {
      m_current_second = second;
      m_line_count = 0;
    }
    if (m_line_count >= max_lines_per_s || !write_line(formatEvent(event))) {
      ++m_dropped_count;
    } else {
      ++m_line_count;
    }
  }

private:
  bool write_line(std::string line) {
    if (m_dropped_count > 0) {
      line.insert(line.find_last_not_of('\n') + 1, " dropped_lines=" + std::to_string(m_dropped_count));
    }
    if (line.size() > max_line_bytes) {
      line.resize(max_line_bytes - 1);
      line += '\n';
    }
    pollfd stdout_poll{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&stdout_poll, 1, 0) != 1 || (stdout_poll.revents & POLLOUT) == 0) {
      return false;
    }
    const bool written =
        ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    if (written) {
      m_dropped_count = 0;
    }
    return written;
  }

  std::time_t m_current_second = 0;
  std::uint64_t m_line_count = 0;    // lines written during m_current_second
  std::uint64_t m_dropped_count = 0; // lines dropped since the last written one
};

bool needs_quotes(std::string_view text) {
  if (text.empty()) {
    return true;
  }
  for (const char c : text) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return false;
}

void append_text(std::string& line, std::string_view text) {
  if (!needs_quotes(text)) {
    line += text;
    return;
  }
  constexpr std::string_view hex_digits = "0123456789abcdef";
  line += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < ' ' || byte == 0x7f) {
      line += "\\x";
      line += hex_digits[byte >> 4U];
      line += hex_digits[byte & 15U];
    } else {
      line += c;
    }
  }
  line += '"';
}

void append_value(std::string& line, std::string_view value) {
  append_text(line, value);
}

void append_value(std::string& line, bool value) {
  line += value ? "true" : "false";
}

template <typename Number> void append_value(std::string& line, Number value) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  line.append(digits.data(), end);
}

log4cplus::Logger& logger() {
  static log4cplus::Logger instance = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("cardamompond"));
  return instance;
}

log4cplus::LogLevel to_log4cplus(log_level level) {
  switch (level) {
  case log_level::debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case log_level::info:
    return log4cplus::INFO_LOG_LEVEL;
  case log_level::warning:
    return log4cplus::WARN_LOG_LEVEL;
  case log_level::error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

bool start_logging(std::string_view level) {
  constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};
  std::size_t index = 0;
  while (index < level_names.size() && level_names[index] != level) {
    ++index;
  }
  if (index == level_names.size()) {
    return false;
  }
  static log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new standard_output_appender);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n")));
  logger().removeAllAppenders();
  logger().addAppender(appender);
  logger().setAdditivity(false);
  logger().setLogLevel(to_log4cplus(static_cast<log_level>(index)));
  return true;
}

std::string format_event(std::string_view event, std::initializer_list<log_field> fields) {
  std::string line = "event=";
  append_text(line, event);
  for (const auto& field : fields) {
    line += ' ';
    line += field.m_key;
    line += '=';
    std::visit([&](const auto& value) { append_value(line, value); }, field.m_value);
  }
  return line;
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
  if (const auto log4cplus_level = to_log4cplus(level); logger().isEnabledFor(log4cplus_level)) {
    logger().forcedLog(log4cplus_level, format_event(event, fields), nullptr, 0);
  }
}

} // namespace cardamompond
