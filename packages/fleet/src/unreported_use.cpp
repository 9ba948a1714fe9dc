#include "cardamompond/fleet/unreported_use.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Reports of other zones are at most about this old; older use is not looked up.
constexpr duration max_report_age = seconds(4);
constexpr duration slot_length = milliseconds(100);

// The proportions between the zones are learned over this time. It is longer than reports are old, and
// shorter than the minutes in which traffic moves from zone to zone.
constexpr double memory_s = 15;

double decay(duration elapsed) {
  return std::exp(-std::max(0.0, std::chrono::duration<double>(elapsed).count()) / memory_s);
}

} // namespace

double unreported_use::own_total_at(time_point when) const {
  const auto after =
      std::upper_bound(m_own.begin(), m_own.end(), when,
                       [](time_point time, const own_use& each) { return time < each.m_until; });
  if (after != m_own.begin()) {
    return std::prev(after)->m_total;
  }
  return m_own.empty() ? m_own_total : m_own.front().m_total;
}

double unreported_use::assumed_by(const remote_daemon& daemon) const {
  return daemon.m_proportion * (m_own_total - own_total_at(daemon.m_covered_until));
}

double unreported_use::record_own_zone_use(double units, time_point now) {
  if (m_own.empty() || now - m_own.back().m_until >= slot_length) {
    m_own.push_back({now, m_own_total});
    while (now - m_own.front().m_until > max_report_age) {
      m_own.pop_front();
    }
  }
  m_own_total += units;
  const double assumed = units * m_proportion_sum;
  m_assumed += assumed;
  return assumed;
}

double unreported_use::record_report(std::uint64_t daemon, double units, time_point covered_until,
                                     time_point now, double max_proportion) {
  const auto [found, added] = m_remote.try_emplace(daemon);
  remote_daemon& remote = found->second;
  if (added) {
    remote.m_covered_until = covered_until;
  }
  covered_until = std::clamp(covered_until, remote.m_covered_until, std::max(now, remote.m_covered_until));
  const double assumed_before = assumed_by(remote);
  const double own_before = own_total_at(remote.m_covered_until);
  const double kept = decay(covered_until - remote.m_covered_until);
  remote.m_recent = remote.m_recent * kept + units;
  remote.m_own_recent = remote.m_own_recent * kept + own_total_at(covered_until) - own_before;
  remote.m_covered_until = covered_until;
  m_proportion_sum -= remote.m_proportion;
  remote.m_proportion =
      remote.m_own_recent > 0 ? std::clamp(remote.m_recent / remote.m_own_recent, 0.0, max_proportion) : 0;
  m_proportion_sum += remote.m_proportion;
  const double assumed_change = assumed_by(remote) - assumed_before;
  m_assumed += assumed_change;
  return units + assumed_change;
}

void unreported_use::remove_daemon(std::uint64_t daemon) {
  const auto found = m_remote.find(daemon);
  if (found == m_remote.end()) {
    return;
  }
  m_assumed -= assumed_by(found->second);
  m_proportion_sum -= found->second.m_proportion;
  m_remote.erase(found);
}

} // namespace cardamompond::fleet
