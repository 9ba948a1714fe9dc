#include "cardamompond/fleet/zone_load.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Time constant of the arrival rates. A burst begins within less than a second.
constexpr double arrival_window_s = 1.0;

// Time constant of the mean arrival rate. It covers several bursts and the pauses between them.
constexpr double mean_arrival_window_s = 20.0;

// Time constant of the grant rate. It covers several successive responses of a server.
constexpr double grant_window_s = 1.5;

// Time constant with which the capacity follows the grant rate while requests wait.
constexpr double capacity_window_s = 1.0;

// Time constant of the served shares of the levels.
constexpr double share_window_s = 4.0;

// Requests of a level are cheap if their mean work is at most this part of the mean of all. A check occupies
// a slot for about 0.1 s, a chat for 1.3 s and a long prompt for 2.4 s.
constexpr double max_cheap_work_share = 0.35;

// Cheap requests go before those of a more urgent level if their served share is below this part of that
// level's, which therefore keeps a lead.
constexpr double catch_up_ratio = .75;

// Bursts last 2.5 to 5.5 s, so that about half of that remains when one is noticed.
constexpr double burst_decay_s = 2.5;

// Waiting work that was reported longer ago than this is not counted. The daemons of a zone report several
// times a second.
constexpr duration max_waiting_age = milliseconds(1'000);

// A peer that has been silent for this long is forgotten. Its totals count anew when it reports again.
constexpr duration max_peer_silence = seconds(10);

// The most work and blocked requests that one report adds, so that a wrong total misleads for a moment only.
constexpr std::uint32_t max_work_per_report_ms = 200'000;
constexpr std::uint32_t max_blocked_per_report = 50;

// A class has no prospect of being served if the classes before it leave less than this share of the
// capacity. The rates are not more exact than that.
constexpr double min_capacity_share = 0.03;

// Returns how much a total has grown, or 0 if it cannot have grown that much.
std::uint32_t added(std::uint32_t total, std::uint32_t previous, std::uint32_t limit) {
  const std::uint32_t difference = total - previous; // also right after a wrap-around
  return difference <= limit ? difference : 0;
}

std::uint32_t rounded(double work_ms) {
  return static_cast<std::uint32_t>(std::lround(std::clamp(work_ms, 0.0, 1e9)));
}

std::array<decaying_rate, urgency_levels> make_rates(double time_constant_s) {
  const decaying_rate rate(time_constant_s);
  return {rate, rate, rate, rate};
}

} // namespace

std::uint32_t service_hash(std::string_view service) {
  return static_cast<std::uint32_t>(hash64(service));
}

void decaying_rate::record(double amount, time_point now) {
  m_rate = per_second(now) + amount / m_time_constant_s;
  m_updated = std::max(m_updated, now);
}

double decaying_rate::per_second(time_point now) const {
  const double age_s = std::max(0.0, std::chrono::duration<double>(now - m_updated).count());
  return m_rate * std::exp(-age_s / m_time_constant_s);
}

zone_load::zone_load()
    : m_arrivals(make_rates(arrival_window_s))
    , m_arrived_work(make_rates(share_window_s))
    , m_granted_work(make_rates(share_window_s))
    , m_own_arrivals(make_rates(mean_arrival_window_s))
    , m_own_arrived_work(make_rates(mean_arrival_window_s))
    , m_mean_arrivals(mean_arrival_window_s)
    , m_grants(grant_window_s) {}

void zone_load::record_arrival(std::size_t level, double work_ms, time_point now) {
  level = std::min(level, urgency_levels - 1);
  m_own.m_arrived[level] += rounded(work_ms);
  m_own_arrivals[level].record(1, now);
  m_own_arrived_work[level].record(work_ms, now);
  add_arrivals(level, work_ms, now);
}

void zone_load::add_arrivals(std::size_t level, double work_ms, time_point now) {
  m_arrivals[level].record(work_ms, now);
  m_arrived_work[level].record(work_ms, now);
  m_mean_arrivals.record(work_ms, now);
}

void zone_load::record_grant(std::size_t level, double work_ms, time_point now) {
  level = std::min(level, urgency_levels - 1);
  m_own.m_granted[level] += work_ms >= 0 ? rounded(work_ms) : 0U - rounded(-work_ms);
  add_grants(level, work_ms, now);
}

void zone_load::add_grants(std::size_t level, double work_ms, time_point now) {
  m_granted_work[level].record(work_ms, now);
  m_grants.record(work_ms, now);
  update_capacity(now);
}

void zone_load::record_blocked_within_share(std::size_t level, time_point now) {
  level = std::min(level, urgency_levels - 1);
  ++m_own.m_blocked_within_share[level];
  m_blocked_within_share.record(level, 1, now);
}

void zone_load::set_own_waiting(const work_by_class& waiting, time_point now) {
  m_own.m_waiting = waiting;
  update_capacity(now);
}

void zone_load::set_peer(std::string_view daemon, const load_summary& summary, time_point now) {
  std::erase_if(m_peers, [&](const auto& each) { return now - each.second.m_received > max_peer_silence; });
  auto found = m_peers.find(daemon);
  if (found == m_peers.end()) {
    found = m_peers.emplace(std::string(daemon), peer{{}, false, now}).first;
  }
  peer& known = found->second;
  load_summary& last = known.m_summary;
  if (summary.m_has_totals && known.m_has_totals) {
    for (std::size_t level = 0; level < urgency_levels; ++level) {
      add_arrivals(level, added(summary.m_arrived[level], last.m_arrived[level], max_work_per_report_ms),
                   now);
      m_blocked_within_share.record(level,
                                    added(summary.m_blocked_within_share[level],
                                          last.m_blocked_within_share[level], max_blocked_per_report),
                                    now);
      // The total falls when a server did not take a granted request.
      const auto granted = static_cast<std::int32_t>(summary.m_granted[level] - last.m_granted[level]);
      if (std::abs(static_cast<double>(granted)) <= max_work_per_report_ms) {
        add_grants(level, granted, now);
      }
    }
  }
  if (summary.m_has_totals) {
    last = summary;
    known.m_has_totals = true;
  } else {
    last.m_waiting = summary.m_waiting;
  }
  known.m_received = now;
}

load_summary zone_load::own_summary(bool with_totals) const {
  if (with_totals) {
    load_summary summary = m_own;
    summary.m_has_totals = true;
    return summary;
  }
  load_summary summary;
  summary.m_waiting = m_own.m_waiting;
  return summary;
}

// While requests wait, the servers are full and the grants show what they take. Otherwise the grants show
// only what came, which is a lower bound.
void zone_load::update_capacity(time_point now) {
  const double rate = m_grants.per_second(now);
  const double elapsed_s = std::max(0.0, std::chrono::duration<double>(now - m_capacity_updated).count());
  m_capacity_updated = std::max(m_capacity_updated, now);
  if (rate >= m_capacity) {
    m_capacity = rate;
  } else if (waiting_work(0, late_class, now) > 0) {
    m_capacity += (rate - m_capacity) * (1 - std::exp(-elapsed_s / capacity_window_s));
  }
}

double zone_load::waiting_work(std::size_t first_class, std::size_t last_class, time_point now) const {
  double sum = 0;
  const auto add = [&](const work_by_class& waiting) {
    for (std::size_t i = first_class; i <= std::min(last_class, late_class); ++i) {
      sum += waiting[i];
    }
  };
  add(m_own.m_waiting);
  for (const auto& [name, each] : m_peers) {
    if (now - each.m_received <= max_waiting_age) {
      add(each.m_summary.m_waiting);
    }
  }
  return sum;
}

double zone_load::blocked_within_share(std::size_t level, time_point now) const {
  return m_blocked_within_share.at(level, now);
}

double zone_load::served_share(std::size_t level, time_point now) const {
  const double arrived = m_arrived_work[level].per_second(now);
  return arrived <= 0 ? 1 : std::clamp(m_granted_work[level].per_second(now) / arrived, 0.0, 1.0);
}

double zone_load::mean_work_ms(std::size_t level, time_point now) const {
  const double arrived = m_own_arrivals[level].per_second(now);
  return arrived <= 0 ? 0 : m_own_arrived_work[level].per_second(now) / arrived;
}

double zone_load::mean_work_ms(time_point now) const {
  double arrived = 0;
  double work = 0;
  for (std::size_t level = 0; level < urgency_levels; ++level) {
    arrived += m_own_arrivals[level].per_second(now);
    work += m_own_arrived_work[level].per_second(now);
  }
  return arrived <= 0 ? 0 : work / arrived;
}

bool zone_load::catches_up(std::size_t level, std::size_t more_urgent, time_point now) const {
  const double mean = mean_work_ms(now);
  if (level <= more_urgent || mean <= 0 || mean_work_ms(level, now) > max_cheap_work_share * mean) {
    return false;
  }
  const double share = served_share(level, now);
  for (std::size_t other = 0; other < level; ++other) {
    if (share >= catch_up_ratio * served_share(other, now)) {
      return false;
    }
  }
  return true;
}

std::optional<duration> zone_load::predict_wait(std::size_t request_class, time_point now) const {
  const double waiting = waiting_work(0, late_class, now);
  if (m_capacity <= 0 || waiting <= 0) {
    return duration::zero();
  }
  double earlier_classes = 0;
  if (request_class >= urgency_levels) {
    earlier_classes = arriving_work_per_second(now);
  }
  const double left = m_capacity - earlier_classes;
  if (left < min_capacity_share * m_capacity) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(waiting_work(0, request_class, now) / left));
}

double zone_load::arriving_work_per_second(time_point now) const {
  double rate = 0;
  for (const auto& each : m_arrivals) {
    rate += each.per_second(now);
  }
  return rate;
}

double zone_load::spare_work_per_second(time_point when, time_point now) const {
  const double rate = arriving_work_per_second(now);
  const double mean = m_mean_arrivals.per_second(now);
  const double ahead_s = std::max(0.0, std::chrono::duration<double>(when - now).count());
  const double expected = mean + (rate - mean) * std::exp(-ahead_s / burst_decay_s);
  return std::max(0.0, m_capacity - expected);
}

} // namespace cardamompond::fleet
