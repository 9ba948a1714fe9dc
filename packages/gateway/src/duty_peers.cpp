#include "cardamompond/gateway/duty_peers.hpp"

#include <algorithm>

namespace cardamompond::gateway {
namespace {

// In a large group, reports from other zones are up to 2.5 s old. After this time without one, a holder in
// another zone counts as gone, so that its successor can send a window's usage in time.
constexpr duration max_announcement_age = seconds(4);

// With at least this many clocks of the own zone, those of other zones do not count: in a large group their
// reports are relayed, and the time that they wait to be forwarded is not known. It made the group's clock a
// second late in a burst.
constexpr std::size_t min_zone_clocks = 2;

} // namespace

duration wall_clock_offset() {
  return milliseconds(wall_clock_ms()) - boot_now().time_since_epoch();
}

void duty_peers::handle_report(const peer_report& report, time_point received) {
  if (report.m_wall_clock_ms > 0) {
    const duration age = monotonic_now() - received;
    const duration now = boot_now().time_since_epoch();
    const duration offset = milliseconds(report.m_wall_clock_ms) - (now - age);
    m_clocks.record(report.m_daemon, offset, now);
    if (report.m_availability_zone == m_availability_zone) {
      m_zone_clocks.record(report.m_daemon, offset, now);
    }
  }
  if (m_keeps_loads) {
    auto& loads = m_loads[report.m_daemon];
    loads.clear();
    for (const auto& load : report.m_loads) {
      if (load.m_running > 0) {
        loads.emplace_back(load.m_server, load.m_running);
      }
    }
  }
  std::erase_if(m_announcements, [&](const auto& each) { return each.second.m_holder == report.m_daemon; });
  for (const auto& [which, token] : report.m_held_duties) {
    const auto known = m_announcements.find(which);
    if (known == m_announcements.end() || token >= known->second.m_token) {
      m_announcements[which] = {report.m_daemon, report.m_availability_zone, token, received};
      m_last_zones[which] = report.m_availability_zone;
    }
  }
}

void duty_peers::forget(std::string_view daemon) {
  m_clocks.forget(daemon);
  m_zone_clocks.forget(daemon);
  if (const auto loads = m_loads.find(daemon); loads != m_loads.end()) {
    m_loads.erase(loads);
  }
  std::erase_if(m_announcements, [&](const auto& each) { return each.second.m_holder == daemon; });
}

void duty_peers::add_to_report(peer_report& report) const {
  report.m_wall_clock_ms = wall_clock_ms();
  report.m_held_duties = m_held_duties();
}

std::optional<duty_peers::announcement> duty_peers::holder_of(fleet::duty which, time_point now) const {
  const auto found = m_announcements.find(which);
  if (found == m_announcements.end() || (found->second.m_availability_zone != m_availability_zone &&
                                         now - found->second.m_heard_at > max_announcement_age)) {
    return std::nullopt;
  }
  return found->second;
}

std::string_view duty_peers::last_zone_of(fleet::duty which) const {
  const auto found = m_last_zones.find(which);
  return found == m_last_zones.end() ? std::string_view() : std::string_view(found->second);
}

std::map<std::uint32_t, std::uint64_t> duty_peers::running_by_server() const {
  std::map<std::uint32_t, std::uint64_t> running;
  for (const auto& [daemon, loads] : m_loads) {
    for (const auto& [server, count] : loads) {
      running[server] += count;
    }
  }
  return running;
}

duration duty_peers::true_now() const {
  const auto& clocks = m_zone_clocks.peer_count() >= min_zone_clocks ? m_zone_clocks : m_clocks;
  return boot_now().time_since_epoch() + clocks.median_offset(wall_clock_offset());
}

} // namespace cardamompond::gateway
