#include "cardamompond/fleet/recent_answers.hpp"

#include <utility>

namespace cardamompond::fleet {
namespace {

constexpr duration generation_time = seconds(60);
constexpr std::size_t max_parts_per_generation = 2048;

} // namespace

void recent_answers::record(std::span<const std::uint64_t> parts, time_point now) {
  for (const auto part : parts) {
    if (now - m_newer_since >= generation_time || m_newer.size() >= max_parts_per_generation) {
      m_older = std::exchange(m_newer, {});
      m_newer_since = now;
    }
    m_newer[part] = now;
  }
}

std::optional<time_point> recent_answers::find(std::uint64_t part) const {
  for (const auto* generation : {&m_newer, &m_older}) {
    if (const auto found = generation->find(part); found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

} // namespace cardamompond::fleet
