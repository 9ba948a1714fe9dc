#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/load_summary.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// An exponential moving average of amounts per second. Reads no clock.
class decaying_rate {
public:
  explicit decaying_rate(double time_constant_s)
      : m_time_constant_s(time_constant_s) {}
  void record(double amount, time_point now);
  double per_second(time_point now) const;

private:
  double m_time_constant_s;
  double m_rate = 0;
  time_point m_updated;
};

// Answers bursts over capacity in a zone of many daemons: the load of one service, summed over the daemons of
// the zone. A daemon alone serves a few requests per second, and what it observes in the seconds of a burst
// is noise. Predicts how long a request of a class will wait. Reads no clock.
class zone_load {
public:
  zone_load();

  // Records the work of a request that was on time when it came to this daemon.
  void record_arrival(std::size_t level, double work_ms, time_point now);

  // Records the work of a request that this daemon granted. Negative: the server did not take it.
  void record_grant(std::size_t level, double work_ms, time_point now);

  // Counts a request of this daemon that found no free slot although its account is within its fair share.
  void record_blocked_within_share(std::size_t level, time_point now);

  // Sets the work of the requests that wait in this daemon.
  void set_own_waiting(const work_by_class& waiting, time_point now);

  // Replaces what a peer reports. Amounts that are implausible, as after a restart, are left out.
  void set_peer(std::string_view daemon, const load_summary& summary, time_point now);

  // Returns the totals of this daemon for its reports.
  load_summary own_summary(bool with_totals) const;

  // Predicts how long a request that comes now waits behind those of its class and the classes before it.
  // Returns zero while nothing is known or nothing waits. For late classes, the requests that come on time in
  // the meantime are counted too; nothing is returned if they take all capacity. For the others, the wait is
  // a lower bound: to count more urgent requests that are only expected refuses many that would have begun on
  // time.
  std::optional<duration> predict_wait(std::size_t request_class, time_point now) const;

  // Predicts the work per second that is left beside the requests that will be on time at `when`. Bursts last
  // some seconds, so the arrival rate is expected to return to its mean.
  double spare_work_per_second(time_point when, time_point now) const;

  // Returns the work that waits in the zone in the classes from the first to the last, both included.
  double waiting_work(std::size_t first_class, std::size_t last_class, time_point now) const;

  // Returns the number of requests of accounts within their share that were blocked lately at this level.
  double blocked_within_share(std::size_t level, time_point now) const;

  // Returns the work per second that arrives on time.
  double arriving_work_per_second(time_point now) const;

  // Whether requests of the level go before those of a more urgent one: they are cheap, and a smaller
  // share of them was served lately than of any more urgent level that has requests.
  bool catches_up(std::size_t level, std::size_t more_urgent, time_point now) const;

  // Returns the part of the work that came at the level in the last seconds for which a slot was granted.
  double served_share(std::size_t level, time_point now) const;

  // Returns the mean work of the requests of this daemon, at one level or of all; 0: not known.
  double mean_work_ms(std::size_t level, time_point now) const;
  double mean_work_ms(time_point now) const;

  // Returns the work per second that the servers take when requests wait; 0: not known.
  double capacity() const { return m_capacity; }

private:
  struct peer {
    load_summary m_summary;
    bool m_has_totals = false;
    time_point m_received;
  };

  void add_arrivals(std::size_t level, double work_ms, time_point now);
  void add_grants(std::size_t level, double work_ms, time_point now);
  void update_capacity(time_point now);

  load_summary m_own;
  std::map<std::string, peer, std::less<>> m_peers;         // by name
  std::array<decaying_rate, urgency_levels> m_arrivals;     // work of all daemons
  std::array<decaying_rate, urgency_levels> m_arrived_work; // the same over a longer time
  std::array<decaying_rate, urgency_levels> m_granted_work;
  std::array<decaying_rate, urgency_levels> m_own_arrivals; // number
  std::array<decaying_rate, urgency_levels> m_own_arrived_work;
  decaying_rate m_mean_arrivals;
  decaying_rate m_grants;
  blocked_requests m_blocked_within_share;
  double m_capacity = 0;
  time_point m_capacity_updated;
};

} // namespace cardamompond::fleet
