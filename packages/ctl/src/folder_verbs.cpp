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

// If the outcome of publishing is unknown, it is retried for at most this many times the timeout of a call.
constexpr int retry_timeouts = 5;
constexpr milliseconds first_pause(100);
constexpr milliseconds longest_pause(1'000);

declarations::publish_request make_request(const command& call, const declarations::parsed_declarations& read,
                                           std::string id) {
  return {call.m_owner, std::move(id), read.m_objects, read.m_sources, call.m_base};
}

// Reports the findings made while reading the folder, and returns whether there are any. References are
// validated later, because that needs the published objects of the other owner.
bool refuse_text(const command& call, const declarations::parsed_declarations& read, const streams& io) {
  if (read.m_findings.empty()) {
    return false;
  }
  report_findings(call, read.m_findings, io);
  report_message("the folder is refused: " + std::to_string(read.m_findings.size()) + " findings", io);
  return true;
}

// Adds a finding if the folder declares no object of the owner. Because publishing replaces all objects of
// the owner, such a folder is taken to be the wrong one. Adds nothing if reading the folder gave findings.
void add_missing_owner(const command& call, declarations::parsed_declarations& read) {
  bool found = !read.m_findings.empty();
  declarations::for_each_kind(
      [&](declarations::object_kind, const auto& map) {
        found = found || std::any_of(map.begin(), map.end(),
                                     [&](const auto& entry) { return entry.second.m_owner == call.m_owner; });
      },
      read.m_objects);
  if (!found) {
    read.m_findings.push_back(
        {call.m_folder,
         0,
         {},
         "the folder declares no object of owner \"" + call.m_owner +
             "\", so publishing it would remove all published objects of that owner",
         "use the folder that belongs to this owner, or the owner that this folder belongs to",
         call.m_owner});
  }
}

exit_code report_check(const command& call, const std::vector<declarations::finding>& findings,
                       const declarations::object_set& objects, const streams& io) {
  report_findings(call, findings, io);
  if (!findings.empty()) {
    report_message(std::to_string(findings.size()) + " findings", io);
    return exit_code::findings;
  }
  if (call.m_output == output_format::text) {
    std::size_t count = 0;
    declarations::for_each_kind([&](declarations::object_kind, const auto& map) { count += map.size(); },
                                objects);
    io.m_out << "no findings in " << count << " objects\n";
  }
  return exit_code::ok;
}

void report_published(const command& call, const std::string& id,
                      const declarations::publish_success& success, const streams& io) {
  if (call.m_output == output_format::json) {
    io.m_out << json::serialize(json::object{{"revision", success.m_revision},
                                             {"change_set_id", id},
                                             {"already_published", success.m_already_published},
                                             {"nothing_to_change", success.m_nothing_to_change},
                                             {"changes", to_json(success.m_changes)}})
             << '\n';
    return;
  }
  for (const auto& line : success.m_changes) {
    io.m_out << to_text(line) << '\n';
  }
  if (success.m_nothing_to_change) {
    io.m_out << "nothing to change at revision " << success.m_revision << '\n';
  } else {
    io.m_out << (success.m_already_published ? "already published as revision " : "published revision ")
             << success.m_revision << " (change set " << id << ")\n";
  }
}

} // namespace

exit_code run_check(const command& call, object_store* store, const streams& io) {
  auto read = declarations::read_folder(call.m_folder);
  if (store != nullptr) {
    add_missing_owner(call, read);
  }
  auto findings = read.m_findings;
  if (store == nullptr) {
    for (auto& found : declarations::validate(read.m_objects, read.m_sources)) {
      findings.push_back(std::move(found));
    }
    return report_check(call, findings, read.m_objects, io);
  }
  declarations::configuration_publisher publisher(*store, call.m_timeout);
  auto planned = publisher.plan(make_request(call, read, "check"));
  if (!planned) {
    if (planned.error().m_kind != publish_error_kind::refused) {
      return report_error(call, planned.error(), io);
    }
    for (auto& found : planned.error().m_findings) {
      findings.push_back(std::move(found));
    }
  }
  return report_check(call, findings, read.m_objects, io);
}

exit_code run_diff(const command& call, object_store& store, const streams& io) {
  auto read = declarations::read_folder(call.m_folder);
  add_missing_owner(call, read);
  if (refuse_text(call, read, io)) {
    return exit_code::findings;
  }
  declarations::configuration_publisher publisher(store, call.m_timeout);
  const auto planned = publisher.plan(make_request(call, read, "diff"));
  if (!planned) {
    return report_error(call, planned.error(), io);
  }
  const auto base = planned->m_change.m_revision - 1;
  if (call.m_output == output_format::json) {
    io.m_out << json::serialize(
                    json::object{{"base_revision", base}, {"changes", to_json(planned->m_object_changes)}})
             << '\n';
    return exit_code::ok;
  }
  for (const auto& line : planned->m_object_changes) {
    io.m_out << to_text(line) << '\n';
  }
  io.m_out << planned->m_object_changes.size() << " changes against revision " << base << '\n';
  return exit_code::ok;
}

exit_code run_publish(const command& call, object_store& store, const streams& io) {
  auto read = declarations::read_folder(call.m_folder);
  add_missing_owner(call, read);
  if (refuse_text(call, read, io)) {
    return exit_code::findings;
  }
  declarations::configuration_publisher publisher(store, call.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(call, current.error(), io);
  }
  auto request = make_request(call, read, call.m_change_set);
  if (!request.m_base_revision) {
    request.m_base_revision = *current ? (*current)->m_revision : 0;
  }
  if (request.m_change_set_id.empty()) {
    request.m_change_set_id =
        to_hex(hash_content(call.m_owner + '\n' + std::to_string(*request.m_base_revision) + '\n' +
                            declarations::encode(read.m_objects)));
  }
  const time_point deadline = monotonic_now() + retry_timeouts * call.m_timeout;
  milliseconds pause = first_pause;
  bool unknown = false;
  while (true) {
    const auto published = publisher.publish(request);
    if (published) {
      report_published(call, request.m_change_set_id, *published, io);
      return exit_code::ok;
    }
    auto error = published.error();
    unknown = unknown || error.m_kind == publish_error_kind::outcome_unknown;
    const bool undecided = error.m_kind == publish_error_kind::outcome_unknown ||
                           (unknown && error.m_kind == publish_error_kind::unavailable);
    if (!undecided) {
      return report_error(call, error, io);
    }
    if (monotonic_now() + pause > deadline) {
      error.m_message += "; the change set may have been published: publish again with --change-set " +
                         request.m_change_set_id;
      return report_error(call, error, io);
    }
    boost::this_fiber::sleep_for(pause);
    pause = std::min(2 * pause, longest_pause);
  }
}

} // namespace cardamompond::ctl
