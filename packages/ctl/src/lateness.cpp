#include "cardamompond/ctl/lateness.hpp"

#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

constexpr int first_failure_status = 400;
constexpr int status_too_many_requests = 429;

// Splits the fields `key=value` of a log line. A value in quotation marks may contain spaces.
std::map<std::string_view, std::string> parse_fields(std::string_view line) {
  std::map<std::string_view, std::string> fields;
  while (!line.empty()) {
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const auto key_start =
        line.find_last_of(' ', equals) == std::string_view::npos ? 0 : line.find_last_of(' ', equals) + 1;
    const std::string_view key = line.substr(key_start, equals - key_start);
    std::string value;
    std::size_t next = equals + 1;
    if (next < line.size() && line[next] == '"') {
      for (++next; next < line.size() && line[next] != '"'; ++next) {
        if (line[next] == '\\' && next + 1 < line.size()) {
          ++next;
        }
        value += line[next];
      }
      ++next;
    } else {
      const auto end = std::min(line.find(' ', next), line.size());
      value = line.substr(next, end - next);
      next = end;
    }
    fields[key] = std::move(value);
    line.remove_prefix(std::min(next, line.size()));
  }
  return fields;
}

class field_reader {
public:
  explicit field_reader(std::string_view line)
      : m_fields(parse_fields(line)) {}

  std::string text(std::string_view key) const {
    const auto found = m_fields.find(key);
    return found == m_fields.end() ? std::string() : found->second;
  }

  // Returns 0 if the field is missing, negative or not a number.
  std::int64_t number(std::string_view key) const {
    const std::string value = text(key);
    std::int64_t parsed = 0;
    std::from_chars(value.data(), value.data() + value.size(), parsed);
    return std::max<std::int64_t>(0, parsed);
  }

  milliseconds time(std::string_view key) const { return milliseconds(number(key)); }

private:
  std::map<std::string_view, std::string> m_fields;
};

milliseconds median(std::vector<milliseconds> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

attempt_class classify_answered(const ended_attempt& attempt) {
  if (attempt.m_first_target.count() > 0 && attempt.m_age + attempt.m_first > attempt.m_first_target) {
    if (attempt.m_age >= attempt.m_first_target) {
      return attempt_class::late_on_arrival;
    }
    const milliseconds earlier_dispatches = std::max(milliseconds(0), attempt.m_wait - attempt.m_queued);
    const milliseconds server =
        std::max(milliseconds(0), attempt.m_first - attempt.m_wait - attempt.m_reserving);
    const std::array<std::pair<milliseconds, attempt_class>, 4> parts = {
        {{attempt.m_queued, attempt_class::late_waiting},
         {attempt.m_reserving, attempt_class::late_reserving},
         {earlier_dispatches, attempt_class::late_dispatches},
         {server, attempt_class::late_first_event}}};
    return std::max_element(parts.begin(), parts.end(),
                            [](const auto& a, const auto& b) { return a.first < b.first; })
        ->second;
  }
  if (attempt.m_pause_target.count() > 0 && attempt.m_longest_pause > attempt.m_pause_target) {
    return attempt_class::late_pause;
  }
  return attempt_class::on_time;
}

} // namespace

std::string_view to_string(attempt_class value) {
  constexpr std::array<std::string_view, 12> names = {
      "on time",           "late on arrival",   "late: waiting", "late: reserving",
      "late: dispatches",  "late: first event", "late: pause",   "refused: quota",
      "refused: capacity", "deadline passed",   "caller gone",   "failed"};
  return names[static_cast<std::size_t>(value)];
}

std::optional<ended_attempt> parse_ended_attempt(std::string_view line) {
  const auto start = line.find("event=request_ended ");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  const field_reader fields(line.substr(start));
  ended_attempt attempt;
  attempt.m_route = fields.text("route");
  attempt.m_result = fields.text("result");
  attempt.m_status = static_cast<int>(fields.number("status"));
  attempt.m_may_have_run = fields.text("verdict") != "not-run";
  attempt.m_age = fields.time("age_ms");
  attempt.m_wait = fields.time("wait_ms");
  attempt.m_queued = fields.time("queued_ms");
  attempt.m_reserving = fields.time("reserving_ms");
  attempt.m_first = fields.text("first_ms") == "-1" ? fields.time("total_ms") : fields.time("first_ms");
  attempt.m_longest_pause = fields.time("longest_pause_ms");
  attempt.m_first_target = fields.time("first_target_ms");
  attempt.m_pause_target = fields.time("pause_target_ms");
  return attempt;
}

attempt_class classify(const ended_attempt& attempt) {
  if (attempt.m_result == "answered" && attempt.m_status < first_failure_status) {
    return classify_answered(attempt);
  }
  if (attempt.m_result == "caller_gone") {
    return attempt_class::caller_gone;
  }
  if (attempt.m_result == "deadline_exceeded") {
    return attempt_class::deadline_passed;
  }
  if (attempt.m_result != "answered" && !attempt.m_may_have_run) {
    return attempt.m_status == status_too_many_requests ? attempt_class::refused_quota
                                                        : attempt_class::refused_capacity;
  }
  return attempt_class::failed;
}

bool lateness_table::add_line(std::string_view line) {
  const auto attempt = parse_ended_attempt(line);
  if (!attempt) {
    return false;
  }
  ++m_attempts;
  m_times[attempt->m_route][classify(*attempt)].push_back(attempt->m_first);
  return true;
}

std::vector<lateness_table::row> lateness_table::rows() const {
  std::vector<row> all;
  for (const auto& [route, classes] : m_times) {
    std::size_t total = 0;
    for (const auto& [name, times] : classes) {
      total += times.size();
    }
    for (const auto& [name, times] : classes) {
      all.push_back({route, name, times.size(),
                     static_cast<double>(times.size()) / static_cast<double>(total), median(times)});
    }
  }
  return all;
}

std::string lateness_table::to_text() const {
  std::size_t route_width = std::string_view("route").size();
  for (const auto& [route, classes] : m_times) {
    route_width = std::max(route_width, route.size());
  }
  constexpr int class_width = 18;
  std::ostringstream text;
  text << std::left << std::setw(static_cast<int>(route_width)) << "route"
       << "  " << std::setw(class_width) << "class" << std::right << std::setw(9) << "attempts"
       << std::setw(8) << "share" << std::setw(11) << "median ms" << '\n';
  for (const auto& each : rows()) {
    text << std::left << std::setw(static_cast<int>(route_width)) << each.m_route << "  "
         << std::setw(class_width) << to_string(each.m_class) << std::right << std::setw(9) << each.m_count
         << std::setw(8) << std::fixed << std::setprecision(3) << each.m_share << std::setw(11)
         << each.m_median.count() << '\n';
  }
  return text.str();
}

std::string lateness_table::to_json() const {
  json::array all;
  for (const auto& each : rows()) {
    all.push_back(json::object{{"route", each.m_route},
                               {"class", to_string(each.m_class)},
                               {"attempts", each.m_count},
                               {"share", each.m_share},
                               {"median_ms", each.m_median.count()}});
  }
  return json::serialize(json::object{{"attempts", m_attempts}, {"rows", std::move(all)}});
}

exit_code run_lateness(const command_options& options, const streams& io) {
  lateness_table table;
  const auto read = [&](std::istream& from) {
    for (std::string line; std::getline(from, line);) {
      table.add_line(line);
    }
  };
  if (options.m_log_files.empty()) {
    read(std::cin);
  }
  for (const auto& name : options.m_log_files) {
    std::ifstream file(name);
    if (!file) {
      report_message("cannot read " + name, io);
      return exit_code::invalid_arguments;
    }
    read(file);
  }
  if (table.attempts() == 0) {
    report_message("no request_ended line found", io);
    return exit_code::findings;
  }
  io.m_out << (options.m_output == output_format::json ? table.to_json() + '\n' : table.to_text());
  return exit_code::ok;
}

} // namespace cardamompond::ctl
