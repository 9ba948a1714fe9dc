#pragma once

#include "cardamompond/cell/usage_report.hpp"

#include <cstddef>

namespace cardamompond::cell {

// The platform refuses values of more than 1 MB.
constexpr std::size_t max_usage_object_bytes = 1'000'000;

struct daemon_incarnation {
  std::string m_name;
  std::uint64_t m_incarnation = 0;
  friend bool operator<(const daemon_incarnation& left, const daemon_incarnation& right) {
    return std::tie(left.m_name, left.m_incarnation) < std::tie(right.m_name, right.m_incarnation);
  }
};

// The value of the platform object usage/<cell>/<day>.
struct usage_object {
  usage_table m_folded; // sum of the incarnations up to those in m_last_folded
  // The last incarnation of each name that was folded. Neither it nor an earlier one is counted separately
  // any more.
  std::map<std::string, std::uint64_t, std::less<>> m_last_folded;
  std::map<daemon_incarnation, usage_table> m_incarnations;

  bool is_folded(const daemon_incarnation& incarnation) const;
  // Adds the counters of an incarnation and all earlier ones of its name to m_folded and removes them from
  // m_incarnations.
  void fold(const daemon_incarnation& incarnation);
  // Returns the sum of all incarnations, as the usage command of cardamompondctl shows it.
  usage_table totals() const;
};

std::string usage_object_key(std::string_view cell, utc_day day);

// Equal objects are encoded as equal texts.
std::string encode(const usage_object& object);

// Decodes the text strictly. The error is one line that names the field.
result<usage_object, std::string> decode_usage_object(std::string_view text);

} // namespace cardamompond::cell
