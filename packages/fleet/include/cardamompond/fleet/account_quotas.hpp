#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/declarations.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Keeps the quotas of client accounts over all daemons without asking any of them: each daemon holds one
// bucket per account, filled at the rate of the daemons it hears, and takes from it what it admits itself and
// what the others report. A daemon that hears nobody is left with its own share, so that the daemons together
// never admit more than the quota and what was admitted within the age of the reports.
class account_quotas {
public:
  // Adopts new accounts and limits; buckets of known accounts keep their level, cut to the new burst.
  void apply(const declarations& source, time_point now);

  // Sets how many daemons there are and how many of them, this one included, report at present.
  void set_member_counts(std::uint32_t registered, std::uint32_t reachable, time_point now);

  // Takes `units` if the bucket holds any; true: admitted. An unknown account is unlimited.
  bool admit(std::string_view account, double units, time_point now);

  // Returns the units of a request that was admitted and never ran.
  void refund(std::string_view account, double units);

  // Takes what another daemon admitted since its last report.
  void record_peer_use(std::uint32_t account_hash, double units, time_point now);

  // Names an account in reports, which go out often and are paid for by the byte.
  static std::uint32_t account_hash(std::string_view account);

  // Time until the account's bucket holds something again; zero if it does.
  milliseconds time_to_refill(std::string_view account, time_point now) const;

  // Units admitted by this daemon since its start, by key of the account, for reports to the others.
  const std::map<std::uint32_t, double>& admitted_units() const { return m_admitted; }

private:
  struct bucket {
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    time_point m_filled;
  };

  double share() const { return static_cast<double>(m_reachable) / static_cast<double>(m_registered); }
  void fill(bucket& account_bucket, time_point now) const;

  std::map<std::uint32_t, bucket> m_buckets; // by key of the account
  std::map<std::uint32_t, double> m_admitted;
  std::uint32_t m_registered = 1;
  std::uint32_t m_reachable = 1;
};

} // namespace cardamompond::fleet
