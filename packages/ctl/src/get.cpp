#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

#include <ostream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

void print_line(std::string_view kind, const json::object& object, std::ostream& out) {
  out << kind << ' ' << to_text(object.at("name"));
  for (const auto& [key, value] : object) {
    if (key != "name") {
      out << ' ' << key << '=' << to_text(value);
    }
  }
  out << '\n';
}

void print_keys(const json::object& object, std::ostream& out) {
  for (const auto& [key, value] : object) {
    out << key << ": " << to_text(value) << '\n';
  }
}

} // namespace

exit_code run_get(const command& call, object_store& store, const streams& io) {
  declarations::configuration_publisher publisher(store, call.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(call, current.error(), io);
  }
  const auto value = *current ? **current : declarations::snapshot{};
  // The encoded objects are printed, because objects of all kinds can be handled alike in JSON.
  const auto objects = json::parse(declarations::encode(value.m_objects)).as_object();
  const bool as_json = call.m_output == output_format::json;
  if (call.m_kind.empty()) {
    if (as_json) {
      io.m_out << declarations::encode(value) << '\n';
      return exit_code::ok;
    }
    io.m_out << "revision " << value.m_revision << " (change set " << value.m_change_set_id << ")\n";
    for (const auto& [kind, rows] : objects) {
      for (const auto& row : rows.as_array()) {
        print_line(kind, row.as_object(), io.m_out);
      }
    }
    return exit_code::ok;
  }
  const auto* rows = objects.if_contains(call.m_kind);
  if (rows == nullptr) {
    report_message("unknown kind \"" + call.m_kind +
                       "\": use client_account, tier, service, version, availability_zone or backend_server",
                   io);
    return exit_code::usage;
  }
  if (call.m_name.empty()) {
    if (as_json) {
      io.m_out << json::serialize(*rows) << '\n';
      return exit_code::ok;
    }
    for (const auto& row : rows->as_array()) {
      print_line(call.m_kind, row.as_object(), io.m_out);
    }
    return exit_code::ok;
  }
  for (const auto& row : rows->as_array()) {
    if (std::string_view(row.at("name").as_string()) == call.m_name) {
      if (as_json) {
        io.m_out << json::serialize(row) << '\n';
      } else {
        print_keys(row.as_object(), io.m_out);
      }
      return exit_code::ok;
    }
  }
  report_message(call.m_kind + " \"" + call.m_name + "\" is not published", io);
  return exit_code::findings;
}

} // namespace cardamompond::ctl
