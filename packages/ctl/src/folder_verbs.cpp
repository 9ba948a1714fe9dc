#include "cardamompond/core/hash.hpp"
#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/declarations/folder.hpp"
#include "cardamompond/declarations/validation.hpp"
#include "report.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <ostream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;
using declarations::publish_error_kind;

// If the outcome of publishing is unknown, publishing is retried for at most this many timeouts of a call.
constexpr int max_retry_timeouts = 5;
constexpr milliseconds initial_retry_pause(100);
constexpr milliseconds max_retry_pause(1'000);

declarations::publish_request make_publish_request(const command_options& options,
                                                   const declarations::parsed_declarations& parsed,
                                                   std::string id) {
  return {options.m_owner, std::move(id), parsed.m_objects, parsed.m_sources, options.m_base};
}

// Reports the findings made while reading the folder, and returns whether there are any. References are
// validated later, because that needs the published objects of the other owner.
bool report_read_findings(const command_options& options, const declarations::parsed_declarations& parsed,
                          const streams& io) {
  if (parsed.m_findings.empty()) {
    return false;
  }
  report_findings(options, parsed.m_findings, io);
  report_message("the folder is refused: " + std::to_string(parsed.m_findings.size()) + " findings", io);
  return true;
}

// Adds a finding if the folder declares no object of the owner. Because publishing replaces all objects of
// the owner, such a folder is taken to be the wrong one. Adds nothing if reading the folder gave findings.
void add_finding_for_missing_owner(const command_options& options,
                                   declarations::parsed_declarations& parsed) {
  bool found = !parsed.m_findings.empty();
  declarations::for_each_kind(
      [&](declarations::object_kind, const auto& map) {
        found = found || std::any_of(map.begin(), map.end(), [&](const auto& entry) {
                  return entry.second.m_owner == options.m_owner;
                });
      },
      parsed.m_objects);
  if (!found) {
    parsed.m_findings.push_back(
        {options.m_folder,
         0,
         {},
         "the folder declares no object of owner \"" + options.m_owner +
             "\", so publishing it would remove all published objects of that owner",
         "use the folder that belongs to this owner, or the owner that this folder belongs to",
         options.m_owner});
  }
}

exit_code report_check_result(const command_options& options,
                              const std::vector<declarations::finding>& findings,
                              const declarations::object_set& objects, const streams& io) {
  report_findings(options, findings, io);
  if (!findings.empty()) {
    report_message(std::to_string(findings.size()) + " findings", io);
    return exit_code::findings;
  }
  if (options.m_output == output_format::text) {
    std::size_t count = 0;
    declarations::for_each_kind([&](declarations::object_kind, const auto& map) { count += map.size(); },
                                objects);
    io.m_out << "no findings in " << count << " objects\n";
  }
  return exit_code::ok;
}

void print_publish_result(const command_options& options, const std::string& id,
                          const declarations::publish_success& published, const streams& io) {
  if (options.m_output == output_format::json) {
    io.m_out << json::serialize(json::object{{"revision", published.m_revision},
                                             {"change_set_id", id},
                                             {"already_published", published.m_already_published},
                                             {"nothing_to_change", published.m_nothing_to_change},
                                             {"changes", to_json(published.m_changes)}})
             << '\n';
    return;
  }
  for (const auto& change : published.m_changes) {
    io.m_out << to_text(change) << '\n';
  }
  if (published.m_nothing_to_change) {
    io.m_out << "nothing to change at revision " << published.m_revision << '\n';
  } else {
    io.m_out << (published.m_already_published ? "already published as revision " : "published revision ")
             << published.m_revision << " (change set " << id << ")\n";
  }
}

} // namespace

exit_code run_check(const command_options& options, object_store* store, const streams& io) {
  auto parsed = declarations::read_folder(options.m_folder);
  if (store != nullptr) {
    add_finding_for_missing_owner(options, parsed);
  }
  auto findings = parsed.m_findings;
  if (store == nullptr) {
    for (auto& finding : declarations::validate(parsed.m_objects, parsed.m_sources)) {
      findings.push_back(std::move(finding));
    }
    return report_check_result(options, findings, parsed.m_objects, io);
  }
  declarations::configuration_publisher publisher(*store, options.m_timeout);
  auto planned = publisher.plan(make_publish_request(options, parsed, "check"));
  if (!planned) {
    if (planned.error().m_kind != publish_error_kind::refused) {
      return report_error(options, planned.error(), io);
    }
    for (auto& finding : planned.error().m_findings) {
      findings.push_back(std::move(finding));
    }
  }
  return report_check_result(options, findings, parsed.m_objects, io);
}

exit_code run_diff(const command_options& options, object_store& store, const streams& io) {
  auto parsed = declarations::read_folder(options.m_folder);
  add_finding_for_missing_owner(options, parsed);
  if (report_read_findings(options, parsed, io)) {
    return exit_code::findings;
  }
  declarations::configuration_publisher publisher(store, options.m_timeout);
  const auto planned = publisher.plan(make_publish_request(options, parsed, "diff"));
  if (!planned) {
    return report_error(options, planned.error(), io);
  }
  const auto base = planned->m_change.m_revision - 1;
  if (options.m_output == output_format::json) {
    io.m_out << json::serialize(
                    json::object{{"base_revision", base}, {"changes", to_json(planned->m_object_changes)}})
             << '\n';
    return exit_code::ok;
  }
  for (const auto& change : planned->m_object_changes) {
    io.m_out << to_text(change) << '\n';
  }
  io.m_out << planned->m_object_changes.size() << " changes against revision " << base << '\n';
  return exit_code::ok;
}

exit_code run_publish(const command_options& options, object_store& store, const streams& io) {
  auto parsed = declarations::read_folder(options.m_folder);
  add_finding_for_missing_owner(options, parsed);
  if (report_read_findings(options, parsed, io)) {
    return exit_code::findings;
  }
  declarations::configuration_publisher publisher(store, options.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(options, current.error(), io);
  }
  auto request = make_publish_request(options, parsed, options.m_change_set);
  if (!request.m_base_revision) {
    request.m_base_revision = *current ? (*current)->m_revision : 0;
  }
  if (request.m_change_set_id.empty()) {
    request.m_change_set_id =
        to_hex(hash_content(options.m_owner + '\n' + std::to_string(*request.m_base_revision) + '\n' +
                            declarations::encode(parsed.m_objects)));
  }
  const time_point deadline = monotonic_now() + max_retry_timeouts * options.m_timeout;
  milliseconds pause = initial_retry_pause;
  bool outcome_unknown_before = false;
  while (true) {
    const auto published = publisher.publish(request);
    if (published) {
      print_publish_result(options, request.m_change_set_id, *published, io);
      return exit_code::ok;
    }
    auto error = published.error();
    outcome_unknown_before = outcome_unknown_before || error.m_kind == publish_error_kind::outcome_unknown;
    const bool may_have_been_published =
        error.m_kind == publish_error_kind::outcome_unknown ||
        (outcome_unknown_before && error.m_kind == publish_error_kind::unavailable);
    if (!may_have_been_published) {
      return report_error(options, error, io);
    }
    if (monotonic_now() + pause > deadline) {
      error.m_message += "; the change set may have been published: publish again with --change-set " +
                         request.m_change_set_id;
      return report_error(options, error, io);
    }
    boost::this_fiber::sleep_for(pause);
    pause = std::min(2 * pause, max_retry_pause);
  }
}

} // namespace cardamompond::ctl
