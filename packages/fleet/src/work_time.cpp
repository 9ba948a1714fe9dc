#include "cardamompond/fleet/work_time.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Interval of the statements whose median is the lasting value. Nine of them cover 2.7 s: a disturbance of up
// to 1 s does not change the median, and a lasting change is followed after 1.5 s.
constexpr duration sample_interval = milliseconds(300);

// A statement that differs from the lasting value by more than this factor begins a change.
constexpr double change_factor = 1.2;

// Weight of the latest change in the mean length of the changes, and the bounds of the mean.
constexpr double change_weight = 0.2;
constexpr double min_change_s = 0.1;
constexpr double max_change_s = 5;

double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

} // namespace

void work_time::record(std::uint32_t percent, time_point stated) {
  if (percent < min_work_time_percent || percent > max_work_time_percent || (known() && stated <= m_stated)) {
    return;
  }
  constexpr double percent_as_usual = 100;
  m_latest = percent / percent_as_usual;
  m_stated = stated;
  update_lasting(percent, stated);
  update_change_time(m_latest / m_lasting, stated);
}

void work_time::update_lasting(std::uint32_t percent, time_point stated) {
  if (known() && stated - m_last_sample < sample_interval) {
    return;
  }
  m_last_sample = stated;
  m_samples[m_next_sample] = percent;
  m_next_sample = (m_next_sample + 1) % max_samples;
  m_sample_count = std::min(m_sample_count + 1, max_samples);
  auto sorted = m_samples;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(m_sample_count);
  std::sort(sorted.begin(), end);
  constexpr double percent_as_usual = 100;
  m_lasting = sorted[m_sample_count / 2] / percent_as_usual;
}

void work_time::update_change_time(double stated_ratio, time_point stated) {
  const bool changed = stated_ratio > change_factor || stated_ratio < 1 / change_factor;
  if (changed && !m_change_began) {
    m_change_began = stated;
  } else if (!changed && m_change_began) {
    const double length = std::clamp(to_seconds(stated - *m_change_began), min_change_s, max_change_s);
    m_change_s += change_weight * (length - m_change_s);
    m_change_began.reset();
  }
}

double work_time::expected(time_point now) const {
  const double age = std::max(0.0, to_seconds(now - m_stated));
  return m_lasting + (m_latest - m_lasting) * std::exp(-age / m_change_s);
}

bool work_time::is_disturbed(time_point now) const {
  return known() && expected(now) > change_factor * m_lasting;
}

std::optional<duration> work_time::age(time_point now) const {
  return known() ? std::optional(now - m_stated) : std::nullopt;
}

} // namespace cardamompond::fleet
