#include "cardamompond/cell/usage_object.hpp"
#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

constexpr std::string_view usage_prefix = "usage/";
// Shown as the owner of client accounts that are no longer published, and of "*", which stands for several
// accounts.
constexpr const char* unknown_owner = "unknown";

struct row_key {
  std::string m_account_owner;
  cell::usage_key m_key;
  friend bool operator<(const row_key& left, const row_key& right) {
    return std::tie(left.m_account_owner, left.m_key) < std::tie(right.m_account_owner, right.m_key);
  }
};

struct usage_summary {
  std::map<row_key, cell::usage_counters> m_rows;
  // Usage by the owner of the client account and the owner of the backend server.
  std::map<std::pair<std::string, std::string>, cell::usage_counters> m_split;
  std::vector<std::string> m_problems; // reasons why usage objects are not counted
};

// Returns the day of a key "usage/<cell>/<day>", and no value for other keys.
std::optional<cell::utc_day> parse_day_in_key(std::string_view key) {
  const auto slash = key.rfind('/');
  return slash < usage_prefix.size() ? std::nullopt : cell::parse_day(key.substr(slash + 1));
}

void add_usage(const declarations::object_set& objects, const cell::usage_table& table,
               usage_summary& summary) {
  for (const auto& [key, counters] : table) {
    const auto account = objects.m_client_accounts.find(key.m_client_account);
    const auto& owner =
        account == objects.m_client_accounts.end() ? std::string(unknown_owner) : account->second.m_owner;
    summary.m_rows[{owner, key}].add(counters);
    summary.m_split[{owner, key.m_owner}].add(counters);
  }
}

// Formats microseconds as seconds with six decimals, so that sums of rows can be checked exactly.
std::string format_seconds(std::uint64_t us) {
  constexpr std::uint64_t us_per_s = 1'000'000;
  std::ostringstream text;
  text << us / us_per_s << '.' << std::setw(6) << std::setfill('0') << us % us_per_s;
  return text.str();
}

std::vector<std::string> format_counters(const cell::usage_counters& counters) {
  return {std::to_string(counters.m_prompt_tokens), std::to_string(counters.m_output_tokens),
          std::to_string(counters.m_requests), format_seconds(counters.m_engine_us)};
}

using table_rows = std::vector<std::vector<std::string>>;

// Prints the rows in columns that are as wide as their widest entry. The last four columns contain numbers.
void print_table(const table_rows& rows, std::ostream& out) {
  constexpr std::size_t number_columns = 4;
  std::vector<std::size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const auto width = static_cast<int>(widths[i]);
      out << (i == 0 ? "" : "  ") << std::setw(width)
          << (i + number_columns < row.size() ? std::left : std::right) << row[i];
    }
    out << '\n';
  }
}

void print_text(const usage_summary& summary, std::ostream& out) {
  table_rows rows = {{"account owner", "client account", "service", "backend owner", "tokens in",
                      "tokens out", "requests", "engine seconds"}};
  for (const auto& [key, counters] : summary.m_rows) {
    rows.push_back({key.m_account_owner, key.m_key.m_client_account, key.m_key.m_service, key.m_key.m_owner});
    std::ranges::copy(format_counters(counters), std::back_inserter(rows.back()));
  }
  print_table(rows, out);
  table_rows split = {
      {"account owner", "backend owner", "tokens in", "tokens out", "requests", "engine seconds"}};
  for (const auto& [owners, counters] : summary.m_split) {
    split.push_back({owners.first, owners.second});
    std::ranges::copy(format_counters(counters), std::back_inserter(split.back()));
  }
  out << "\nsplit between owners\n";
  print_table(split, out);
}

// Names contain neither commas nor quotation marks, so no field has to be quoted.
void print_csv(const usage_summary& summary, std::ostream& out) {
  const auto print_row = [&](const std::vector<std::string>& names, const cell::usage_counters& counters) {
    for (const auto& name : names) {
      out << name << ',';
    }
    const auto fields = format_counters(counters);
    for (std::size_t i = 0; i < fields.size(); ++i) {
      out << fields[i] << (i + 1 == fields.size() ? "\n" : ",");
    }
  };
  out << "record,account_owner,client_account,service,backend_server_owner,prompt_tokens,output_tokens,"
         "requests,engine_seconds\n";
  for (const auto& [key, counters] : summary.m_rows) {
    print_row(
        {"usage", key.m_account_owner, key.m_key.m_client_account, key.m_key.m_service, key.m_key.m_owner},
        counters);
  }
  for (const auto& [owners, counters] : summary.m_split) {
    print_row({"split", owners.first, "", "", owners.second}, counters);
  }
}

void print_json(const command_options& options, const usage_summary& summary, std::ostream& out) {
  const auto add_counters = [](json::object row, const cell::usage_counters& counters) {
    row.emplace("prompt_tokens", counters.m_prompt_tokens);
    row.emplace("output_tokens", counters.m_output_tokens);
    row.emplace("requests", counters.m_requests);
    row.emplace("engine_us", counters.m_engine_us);
    return row;
  };
  json::array rows;
  for (const auto& [key, counters] : summary.m_rows) {
    rows.push_back(add_counters({{"account_owner", key.m_account_owner},
                                 {"client_account", key.m_key.m_client_account},
                                 {"service", key.m_key.m_service},
                                 {"backend_server_owner", key.m_key.m_owner}},
                                counters));
  }
  json::array split;
  for (const auto& [owners, counters] : summary.m_split) {
    split.push_back(
        add_counters({{"account_owner", owners.first}, {"backend_server_owner", owners.second}}, counters));
  }
  json::array problems;
  for (const auto& problem : summary.m_problems) {
    problems.emplace_back(problem);
  }
  out << json::serialize(json::object{{"from", cell::to_string(options.m_from)},
                                      {"to", cell::to_string(options.m_to)},
                                      {"usage", rows},
                                      {"split", split},
                                      {"not_counted", problems}})
      << '\n';
}

} // namespace

exit_code run_usage(const command_options& options, object_store& store, const streams& io) {
  declarations::configuration_publisher publisher(store, options.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(options, current.error(), io);
  }
  const auto keys = store.list(usage_prefix, options.m_timeout);
  if (!keys) {
    report_message(keys.error().m_message, io);
    return exit_code::unreachable;
  }
  const declarations::object_set no_objects;
  const auto& objects = *current ? (*current)->m_objects : no_objects;
  usage_summary summary;
  for (const auto& [key, version] : *keys) {
    const auto day = parse_day_in_key(key);
    if (!day) {
      summary.m_problems.push_back(key + " is not counted: the key does not have the form usage/CELL/DAY");
      continue;
    }
    if (*day < options.m_from || *day > options.m_to) {
      continue;
    }
    const auto stored_object = store.get(key, options.m_timeout);
    if (!stored_object) {
      report_message(key + ": " + stored_object.error().m_message, io);
      return exit_code::unreachable;
    }
    const auto object = cell::decode_usage_object(stored_object->m_value);
    if (!object) {
      summary.m_problems.push_back(key + " is not counted: malformed: " + object.error());
      continue;
    }
    add_usage(objects, object->totals(), summary);
  }
  switch (options.m_output) {
  case output_format::text:
    print_text(summary, io.m_out);
    break;
  case output_format::json:
    print_json(options, summary, io.m_out);
    break;
  case output_format::csv:
    print_csv(summary, io.m_out);
    break;
  }
  for (const auto& problem : summary.m_problems) {
    report_message(problem, io);
  }
  return summary.m_problems.empty() ? exit_code::ok : exit_code::findings;
}

} // namespace cardamompond::ctl
