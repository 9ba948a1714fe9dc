#include "cardamompond/fleet/group_clock.hpp"

#include <algorithm>
#include <vector>

namespace cardamompond::fleet {

void group_clock::record(std::string_view daemon, duration offset) {
  if (const auto found = m_offsets.find(daemon); found != m_offsets.end()) {
    found->second = offset;
  } else {
    m_offsets.emplace(daemon, offset);
  }
}

void group_clock::forget(std::string_view daemon) {
  if (const auto found = m_offsets.find(daemon); found != m_offsets.end()) {
    m_offsets.erase(found);
  }
}

duration group_clock::median_offset(duration own_offset) const {
  std::vector<duration> offsets = {own_offset};
  offsets.reserve(m_offsets.size() + 1);
  for (const auto& [daemon, offset] : m_offsets) {
    offsets.push_back(offset);
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

} // namespace cardamompond::fleet
