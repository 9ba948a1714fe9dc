#include "cardamompond/fleet/group_clock.hpp"

#include <algorithm>
#include <vector>

namespace cardamompond::fleet {
namespace {

// An offset counts for one to two of these periods, so that some report of each daemon arrives without a
// delay in it, and a clock that was set back is noticed soon.
constexpr duration max_offset_period = seconds(3);

} // namespace

void group_clock::record(std::string_view daemon, duration offset, duration now) {
  auto found = m_offsets.find(daemon);
  if (found == m_offsets.end()) {
    found = m_offsets.emplace(daemon, observed{now, offset, offset}).first;
  }
  observed& clock = found->second;
  if (now - clock.m_period_start >= max_offset_period) {
    clock = {now, offset, clock.m_highest};
  }
  clock.m_highest = std::max(clock.m_highest, offset);
}

void group_clock::forget(std::string_view daemon) {
  if (const auto found = m_offsets.find(daemon); found != m_offsets.end()) {
    m_offsets.erase(found);
  }
}

duration group_clock::median_offset(duration own_offset) const {
  std::vector<duration> offsets = {own_offset};
  offsets.reserve(m_offsets.size() + 1);
  for (const auto& [daemon, clock] : m_offsets) {
    offsets.push_back(std::max(clock.m_highest, clock.m_highest_before));
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

} // namespace cardamompond::fleet
