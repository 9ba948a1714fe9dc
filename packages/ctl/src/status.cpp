#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/declarations/status_record.hpp"
#include "report.hpp"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

// A cell owner writes its status record every 2 s. A record older than this does not show the current state.
constexpr std::uint64_t stale_after_ms = 10'000;

// The status record of a cell, or the reason why there is none.
struct cell_status {
  std::optional<declarations::status_record> m_record;
  std::string m_problem;
  std::uint64_t m_age_ms = 0; // of the record
};

std::string format_utc_time(std::uint64_t unix_ms) {
  const auto timestamp = std::chrono::sys_time<milliseconds>(milliseconds(unix_ms));
  const auto day = std::chrono::floor<std::chrono::days>(timestamp);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time(std::chrono::floor<seconds>(timestamp - day));
  std::ostringstream text;
  text << std::setfill('0') << std::setw(4) << int(date.year()) << '-' << std::setw(2)
       << unsigned(date.month()) << '-' << std::setw(2) << unsigned(date.day()) << 'T' << std::setw(2)
       << time.hours().count() << ':' << std::setw(2) << time.minutes().count() << ':' << std::setw(2)
       << time.seconds().count() << 'Z';
  return text.str();
}

std::string_view describe_rollout_state(scheduler::rollout_state state) {
  switch (state) {
  case scheduler::rollout_state::none:
    return "no rollout";
  case scheduler::rollout_state::in_progress:
    return "moving"; // the name of this state in the status record
  case scheduler::rollout_state::done:
    return "done";
  case scheduler::rollout_state::rolled_back:
    break;
  }
  return "rolled back";
}

std::uint64_t compute_since_unix_ms(const declarations::status_record& record,
                                    const declarations::member_status& member) {
  return record.m_written_unix_ms - std::min(record.m_written_unix_ms, member.m_revision_age_ms);
}

// Returns a line for each member that is not at the revision, and a line if the cell has no current record.
std::vector<std::string> list_not_at_revision(const std::string& cell, const cell_status& status,
                                              std::uint64_t revision) {
  if (!status.m_record) {
    return {"cell " + cell + ": " + status.m_problem};
  }
  std::vector<std::string> lines;
  if (status.m_age_ms > stale_after_ms) {
    lines.push_back("cell " + cell + ": the status record is " + std::to_string(status.m_age_ms / 1000) +
                    " s old; the cell may have no owner, or its owner may not reach the platform");
  }
  for (const auto& member : status.m_record->m_members) {
    if (!member.m_in_force) {
      lines.push_back("cell " + cell + ": member " + member.m_name +
                      " is unreachable or has no configuration");
    } else if (member.m_revision != revision) {
      lines.push_back("cell " + cell + ": member " + member.m_name + " is at revision " +
                      std::to_string(member.m_revision));
    }
  }
  return lines;
}

void print_text(const std::string& cell, const cell_status& status, std::ostream& out) {
  out << "cell " << cell;
  if (!status.m_record) {
    out << ": " << status.m_problem << '\n';
    return;
  }
  const auto& record = *status.m_record;
  out << ", written " << format_utc_time(record.m_written_unix_ms) << '\n';
  for (const auto& member : record.m_members) {
    out << "  member " << member.m_name;
    if (member.m_in_force) {
      out << ": revision " << member.m_revision << " since "
          << format_utc_time(compute_since_unix_ms(record, member)) << '\n';
    } else {
      out << ": unreachable, or without a configuration\n";
    }
  }
  for (const auto& rollout : record.m_rollouts) {
    out << "  rollout of " << rollout.m_service << " to " << rollout.m_target_version << ": "
        << describe_rollout_state(rollout.m_state) << ", " << rollout.m_traffic_percent << "%"
        << (rollout.m_reason.empty() ? "" : ", " + rollout.m_reason) << '\n';
  }
  for (const auto& server : record.m_backend_servers) {
    out << "  backend_server " << server.m_name << ": "
        << (server.m_in_service ? "in service" : "out of service") << ", "
        << (server.m_cold ? "cold" : "warm") << ", outstanding " << server.m_outstanding << " of "
        << server.m_limit << '\n';
  }
}

json::object to_json(const std::string& cell, const cell_status& status) {
  if (!status.m_record) {
    return {{"cell", cell}, {"problem", status.m_problem}};
  }
  auto record = json::parse(declarations::encode(*status.m_record)).as_object();
  auto& members = record.at("members").as_array();
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].as_object()["since"] =
        format_utc_time(compute_since_unix_ms(*status.m_record, status.m_record->m_members[i]));
  }
  record["age_ms"] = status.m_age_ms;
  return record;
}

} // namespace

exit_code run_status(const command_options& options, object_store& store, const streams& io) {
  declarations::configuration_publisher publisher(store, options.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(options, current.error(), io);
  }
  const std::uint64_t revision = *current ? (*current)->m_revision : 0;
  std::map<std::string, cell_status> cells;
  if (*current) {
    for (const auto& [name, server] : (*current)->m_objects.m_backend_servers) {
      cells[server.m_cell].m_problem = "no status is written yet";
    }
  }
  const auto keys = store.list(declarations::status_prefix, options.m_timeout);
  if (!keys) {
    report_message(keys.error().m_message, io);
    return exit_code::unreachable;
  }
  for (const auto& [key, version] : *keys) {
    auto& status = cells[key.substr(declarations::status_prefix.size())];
    const auto stored_object = store.get(key, options.m_timeout);
    if (!stored_object) {
      report_message(key + ": " + stored_object.error().m_message, io);
      return exit_code::unreachable;
    }
    auto record = declarations::decode_status(stored_object->m_value);
    if (!record) {
      status.m_problem = "malformed status: " + record.error().m_message;
      continue;
    }
    const auto now = static_cast<std::uint64_t>(wall_clock_ms());
    status.m_age_ms = now - std::min(now, record->m_written_unix_ms);
    status.m_record = std::move(*record);
  }
  json::array json_cells;
  json::array not_at_revision;
  if (options.m_output == output_format::text) {
    io.m_out << "published revision " << revision << '\n';
  }
  for (const auto& [cell, status] : cells) {
    json_cells.push_back(to_json(cell, status));
    if (options.m_output == output_format::text) {
      print_text(cell, status, io.m_out);
    }
    for (auto& line : list_not_at_revision(cell, status, revision)) {
      not_at_revision.emplace_back(std::move(line));
    }
  }
  if (options.m_output == output_format::json) {
    io.m_out << json::serialize(json::object{
                    {"revision", revision}, {"cells", json_cells}, {"not_at_revision", not_at_revision}})
             << '\n';
    return exit_code::ok;
  }
  if (not_at_revision.empty()) {
    io.m_out << "all members are at revision " << revision << '\n';
  }
  for (const auto& line : not_at_revision) {
    io.m_out << "not at revision " << revision << ": " << std::string_view(line.as_string()) << '\n';
  }
  return exit_code::ok;
}

} // namespace cardamompond::ctl
