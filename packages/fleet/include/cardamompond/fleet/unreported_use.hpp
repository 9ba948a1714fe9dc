#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace cardamompond::fleet {

// Estimates what daemons of other zones have admitted for one account since their last reports, which are up
// to a few seconds old in a large group. A burst of the account usually begins in all zones at once.
// Therefore each daemon of another zone is assumed to have used the account since its last report in the
// proportion to the use in the own zone that its reports showed so far. An account that is used in one zone
// only is not charged for the others.
class unreported_use {
public:
  // Records units that were admitted in the own zone. Returns the units that other zones are assumed to have
  // admitted at the same time. Negative units take back a request that never ran.
  double record_own_zone_use(double units, time_point now);

  // Records that the daemon of another zone admitted the units since its previous report, until
  // `covered_until`. Returns the difference that this makes to its assumed use: the units less those that
  // were assumed. `max_proportion` limits the assumed use relative to that of the own zone.
  double record_report(std::uint64_t daemon, double units, time_point covered_until, time_point now,
                       double max_proportion);

  // Removes a daemon that does not report any more. What it was assumed to have used stays charged.
  void remove_daemon(std::uint64_t daemon);

  // The units that are assumed and not reported.
  double assumed_units() const { return m_assumed; }

private:
  // The total of the own zone at the end of a time slot.
  struct own_use {
    time_point m_until;
    double m_total = 0;
  };
  struct remote_daemon {
    time_point m_covered_until;
    double m_recent = 0;     // reported units, with exponential decay
    double m_own_recent = 0; // units of the own zone in the times that the reports cover, with the same decay
    double m_proportion = 0; // of the use in the own zone since m_covered_until that is assumed
  };
  double own_total_at(time_point when) const;
  double assumed_by(const remote_daemon& daemon) const;

  std::deque<own_use> m_own;
  std::map<std::uint64_t, remote_daemon> m_remote;
  double m_own_total = 0;
  double m_proportion_sum = 0;
  double m_assumed = 0;
};

} // namespace cardamompond::fleet
