#include "cardamompond/cell/usage_report.hpp"

#include "json_fields.hpp"
#include "usage_fields.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace cardamompond::cell {
namespace {

constexpr std::uint64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_days = 16;
constexpr std::size_t max_rows = 20'000;

std::uint64_t add_saturating(std::uint64_t left, std::uint64_t right) {
  return left > max_counter - std::min(right, max_counter) ? max_counter : left + right;
}

std::string decode_day(const boost::json::value& value, usage_report& report) {
  json_fields fields(value, {"day", "counters"});
  std::string text;
  fields.read("day", text);
  const auto day = parse_day(text);
  const auto* rows = fields.read_array("counters", max_rows);
  if (!day) {
    fields.fail("day", "not a date as in 2026-12-04");
  }
  if (!fields.error().empty()) {
    return fields.error();
  }
  const auto [it, added] = report.m_days.try_emplace(*day);
  if (!added) {
    return "day: repeated: " + text;
  }
  for (const auto& item : *rows) {
    const auto* row = item.if_array();
    const bool complete = row != nullptr && row->size() == 3 + counter_field_count;
    const auto key = complete ? read_key(*row) : std::nullopt;
    const auto counters = complete ? read_counters(*row) : std::nullopt;
    if (!key || !counters) {
      return "counters: not three names and four integers from 0 to 2^63 - 1";
    }
    if (!it->second.emplace(*key, *counters).second) {
      return "counters: repeated: " + key->m_client_account + " " + key->m_service + " " + key->m_owner;
    }
  }
  return {};
}

} // namespace

std::string to_string(utc_day day) {
  const std::chrono::year_month_day date(day);
  const auto dash_and_two_digits = [](unsigned number) {
    return std::string(number < 10 ? "-0" : "-") + std::to_string(number);
  };
  std::string text = std::to_string(static_cast<int>(date.year()));
  text.insert(0, 4 - std::min<std::size_t>(text.size(), 4), '0');
  return text + dash_and_two_digits(static_cast<unsigned>(date.month())) +
         dash_and_two_digits(static_cast<unsigned>(date.day()));
}

std::optional<utc_day> parse_day(std::string_view text) {
  constexpr std::string_view date_format = "0000-00-00";
  if (text.size() != date_format.size()) {
    return std::nullopt;
  }
  const auto number = [&](std::size_t begin, std::size_t count) {
    int value = 0;
    std::from_chars(text.data() + begin, text.data() + begin + count, value);
    return value;
  };
  const std::chrono::year_month_day date(std::chrono::year(number(0, 4)),
                                         std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                         std::chrono::day(static_cast<unsigned>(number(8, 2))));
  // Formatting the date again checks every character of the input.
  if (!date.ok() || to_string(utc_day(date)) != text) {
    return std::nullopt;
  }
  return utc_day(date);
}

utc_day day_of(std::int64_t wall_clock_ms) {
  return std::chrono::floor<std::chrono::days>(
      std::chrono::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(wall_clock_ms)));
}

void usage_counters::add(const usage_counters& other) {
  m_prompt_tokens = add_saturating(m_prompt_tokens, other.m_prompt_tokens);
  m_output_tokens = add_saturating(m_output_tokens, other.m_output_tokens);
  m_requests = add_saturating(m_requests, other.m_requests);
  m_engine_us = add_saturating(m_engine_us, other.m_engine_us);
}

bool usage_counters::merge_max(const usage_counters& other) {
  const usage_counters before = *this;
  m_prompt_tokens = std::max(m_prompt_tokens, other.m_prompt_tokens);
  m_output_tokens = std::max(m_output_tokens, other.m_output_tokens);
  m_requests = std::max(m_requests, other.m_requests);
  m_engine_us = std::max(m_engine_us, other.m_engine_us);
  return *this != before;
}

std::string encode(const usage_report& report) {
  boost::json::array days;
  for (const auto& [day, table] : report.m_days) {
    boost::json::array rows;
    for (const auto& [key, counters] : table) {
      boost::json::array row{key.m_client_account, key.m_service, key.m_owner};
      append_counters(row, counters);
      rows.emplace_back(std::move(row));
    }
    days.emplace_back(boost::json::object{{"day", to_string(day)}, {"counters", std::move(rows)}});
  }
  return boost::json::serialize(boost::json::object{
      {"name", report.m_name}, {"incarnation", report.m_incarnation}, {"days", std::move(days)}});
}

result<usage_report, std::string> decode_usage_report(std::string_view text) {
  boost::system::error_code parse_error;
  const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
  if (parse_error) {
    return "usage report: " + parse_error.message();
  }
  usage_report report;
  json_fields fields(value, {"name", "incarnation", "days"});
  fields.read("name", report.m_name);
  fields.read("incarnation", report.m_incarnation);
  const auto* days = fields.read_array("days", max_days);
  if (report.m_name.empty()) {
    fields.fail("name", "empty");
  }
  if (!fields.error().empty()) {
    return "usage report: " + fields.error();
  }
  for (const auto& item : *days) {
    if (const auto error = decode_day(item, report); !error.empty()) {
      return "usage report: days: " + error;
    }
  }
  return report;
}

} // namespace cardamompond::cell
