#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

#include <ostream>

namespace cardamompond::ctl {
namespace {

namespace json = boost::json;

void print_object_line(std::string_view kind, const json::object& object, std::ostream& out) {
  out << kind << ' ' << to_text(object.at("name"));
  for (const auto& [key, value] : object) {
    if (key != "name") {
      out << ' ' << key << '=' << to_text(value);
    }
  }
  out << '\n';
}

void print_object_fields(const json::object& object, std::ostream& out) {
  for (const auto& [key, value] : object) {
    out << key << ": " << to_text(value) << '\n';
  }
}

} // namespace

exit_code run_get(const command_options& options, object_store& store, const streams& io) {
  declarations::configuration_publisher publisher(store, options.m_timeout);
  const auto current = publisher.read();
  if (!current) {
    return report_error(options, current.error(), io);
  }
  const auto published = *current ? **current : declarations::snapshot{};
  // The encoded objects are printed, because objects of all kinds can be handled alike in JSON.
  const auto objects_by_kind = json::parse(declarations::encode(published.m_objects)).as_object();
  const bool as_json = options.m_output == output_format::json;
  if (options.m_kind.empty()) {
    if (as_json) {
      io.m_out << declarations::encode(published) << '\n';
      return exit_code::ok;
    }
    io.m_out << "revision " << published.m_revision << " (change set " << published.m_change_set_id << ")\n";
    for (const auto& [kind, objects_of_kind] : objects_by_kind) {
      for (const auto& object : objects_of_kind.as_array()) {
        print_object_line(kind, object.as_object(), io.m_out);
      }
    }
    return exit_code::ok;
  }
  const auto* objects_of_kind = objects_by_kind.if_contains(options.m_kind);
  if (objects_of_kind == nullptr) {
    report_message("unknown kind \"" + options.m_kind +
                       "\": use client_account, tier, service, version, availability_zone or backend_server",
                   io);
    return exit_code::invalid_arguments;
  }
  if (options.m_name.empty()) {
    if (as_json) {
      io.m_out << json::serialize(*objects_of_kind) << '\n';
      return exit_code::ok;
    }
    for (const auto& object : objects_of_kind->as_array()) {
      print_object_line(options.m_kind, object.as_object(), io.m_out);
    }
    return exit_code::ok;
  }
  for (const auto& object : objects_of_kind->as_array()) {
    if (std::string_view(object.at("name").as_string()) == options.m_name) {
      if (as_json) {
        io.m_out << json::serialize(object) << '\n';
      } else {
        print_object_fields(object.as_object(), io.m_out);
      }
      return exit_code::ok;
    }
  }
  report_message(options.m_kind + " \"" + options.m_name + "\" is not published", io);
  return exit_code::findings;
}

} // namespace cardamompond::ctl
