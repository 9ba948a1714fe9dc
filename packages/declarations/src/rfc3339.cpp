#include "cardamompond/declarations/rfc3339.hpp"

#include <charconv>

namespace cardamompond::declarations {

std::optional<std::chrono::system_clock::time_point> parse_rfc3339(std::string_view text) {
  constexpr std::string_view pattern = "dddd-dd-ddTdd:dd:ddZ";
  if (text.size() != pattern.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    const bool digit = text[i] >= '0' && text[i] <= '9';
    if (pattern[i] == 'd' ? !digit : text[i] != pattern[i]) {
      return std::nullopt;
    }
  }
  const auto number = [&](std::size_t from, std::size_t digits) {
    int value = 0;
    std::from_chars(text.data() + from, text.data() + from + digits, value);
    return value;
  };
  const std::chrono::year_month_day date{std::chrono::year(number(0, 4)),
                                         std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                         std::chrono::day(static_cast<unsigned>(number(8, 2)))};
  const int hour = number(11, 2);
  const int minute = number(14, 2);
  const int second = number(17, 2);
  if (!date.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second);
}

} // namespace cardamompond::declarations
