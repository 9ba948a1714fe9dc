#pragma once

#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/declarations/publisher.hpp"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace cardamompond::ctl {

// Prints each finding as a line to m_err. For JSON output, also prints the list of findings to m_out.
void report_findings(const command_options& options, const std::vector<declarations::finding>& findings,
                     const streams& io);

// Prints an error with its findings or changes, and returns its exit code.
exit_code report_error(const command_options& options, const declarations::publish_error& error,
                       const streams& io);

// Prints one line "error: MESSAGE" to m_err.
void report_message(const std::string& message, const streams& io);

// Formats a value for text output: strings without quotes, numbers in the shortest exact form.
std::string to_text(const boost::json::value& value);

// Formats a change for text output, e.g. "changed backend_server a1: slots 4 -> 8".
std::string to_text(const declarations::object_change& change);

boost::json::array to_json(const std::vector<declarations::object_change>& changes);

} // namespace cardamompond::ctl
