#include "cardamompond/standins/parameter_table.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <type_traits>

namespace cardamompond::standins {
namespace {

// Returns whether the value has the type of the parameter.
bool has_matching_type(const parameter_table::variable_pointer& variable, const boost::json::value& value) {
  return std::visit(
      [&](auto* typed) {
        using type = std::remove_pointer_t<decltype(typed)>;
        if constexpr (std::is_same_v<type, bool>) {
          return value.is_bool();
        } else if constexpr (std::is_same_v<type, std::int64_t>) {
          return value.is_int64();
        } else if constexpr (std::is_same_v<type, double>) {
          return value.is_number();
        } else {
          return value.is_string();
        }
      },
      variable);
}

void assign(const parameter_table::variable_pointer& variable, const boost::json::value& value) {
  std::visit(
      [&](auto* typed) {
        using type = std::remove_pointer_t<decltype(typed)>;
        if constexpr (std::is_same_v<type, std::string>) {
          *typed = std::string(value.as_string());
        } else {
          *typed = boost::json::value_to<type>(value);
        }
      },
      variable);
}

} // namespace

result<success, std::string> parameter_table::apply(const boost::json::object& values) {
  for (const auto& [name, value] : values) {
    const auto found = m_parameters.find(std::string_view(name));
    if (found == m_parameters.end()) {
      return "unknown parameter " + std::string(name);
    }
    if (!has_matching_type(found->second, value)) {
      return "wrong type of parameter " + std::string(name);
    }
  }
  for (const auto& [name, value] : values) {
    assign(m_parameters.find(std::string_view(name))->second, value);
  }
  return success{};
}

result<success, std::string> parameter_table::apply(std::string_view assignment) {
  const auto equals = assignment.find('=');
  if (equals == std::string_view::npos) {
    return "expected NAME=VALUE instead of " + std::string(assignment);
  }
  const std::string_view name = assignment.substr(0, equals);
  const std::string_view text = assignment.substr(equals + 1);
  const auto found = m_parameters.find(name);
  boost::json::value value;
  if (found != m_parameters.end() && std::holds_alternative<std::string*>(found->second)) {
    value = text;
  } else {
    boost::system::error_code error;
    value = boost::json::parse(text, error);
    if (error) {
      return "malformed value of parameter " + std::string(name);
    }
  }
  return apply(boost::json::object{{name, value}});
}

boost::json::object parameter_table::values() const {
  boost::json::object values;
  for (const auto& [name, variable] : m_parameters) {
    std::visit([&, key = std::string_view(name)](const auto* typed) { values[key] = *typed; }, variable);
  }
  return values;
}

} // namespace cardamompond::standins
