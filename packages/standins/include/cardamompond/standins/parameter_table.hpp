#pragma once

#include "cardamompond/core/result.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace cardamompond::standins {

// The parameters of a stand-in (settings and faults), by name. They are set on the command line and with
// POST /admin/faults.
class parameter_table {
public:
  using variable_pointer = std::variant<bool*, std::int64_t*, double*, std::string*>;

  // Registers a parameter whose value is kept in a variable. The variable must outlive the table.
  void add(std::string name, variable_pointer variable) { m_parameters.emplace(std::move(name), variable); }

  // Sets all parameters in `values`. If a name is unknown or a value has the wrong type, sets none of them
  // and returns an error that names the parameter.
  result<success, std::string> apply(const boost::json::object& values);

  // Sets one parameter from "NAME=VALUE". VALUE is plain text for a string parameter and JSON for all others.
  result<success, std::string> apply(std::string_view assignment);

  // Returns the current values of all parameters.
  boost::json::object values() const;

private:
  std::map<std::string, variable_pointer, std::less<>> m_parameters;
};

} // namespace cardamompond::standins
