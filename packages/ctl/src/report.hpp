#pragma once

#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/declarations/publisher.hpp"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace cardamompond::ctl {

// Prints findings as lines, and for JSON output also as a list on standard output.
void report_findings(const command& call, const std::vector<declarations::finding>& findings,
                     const streams& io);

// Prints an error and everything that it carries; returns the exit code for it.
exit_code report_error(const command& call, const declarations::publish_error& error, const streams& io);

// Prints one line "error: MESSAGE".
void report_message(const std::string& message, const streams& io);

// A value for people: strings without quotes, numbers as short as they are exact.
std::string to_text(const boost::json::value& value);

// One change as text, e.g. "changed backend_server a1: slots 4 -> 8".
std::string to_text(const declarations::object_change& line);

// A list of changes as JSON.
boost::json::array to_json(const std::vector<declarations::object_change>& changes);

} // namespace cardamompond::ctl
