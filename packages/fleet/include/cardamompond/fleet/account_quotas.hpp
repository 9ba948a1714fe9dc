#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/declarations.hpp"
#include "cardamompond/fleet/unreported_use.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// Enforces the quotas of client accounts over all daemons without a call to another daemon. Each daemon holds
// one token bucket per account. The bucket fills at the account's rate times the part of all registered
// daemons that are reachable, and both the units that this daemon admits and those that its peers report are
// taken out of it. A daemon that reaches no peer is therefore left with its own share, and all daemons
// together exceed the quota at most by what was admitted since the last reports. Reports of other zones of a
// large group are seconds old, so what their daemons admitted meanwhile is assumed, see unreported_use.
class account_quotas {
public:
  // Replaces the accounts and limits. The bucket of an account that stays keeps its level, up to the new
  // burst.
  void apply(const declarations& source, time_point now);

  // Sets how many daemons are registered and how many of them, this one included, currently send reports.
  void set_member_counts(std::uint32_t registered, std::uint32_t reachable, time_point now);

  // Returns true and takes `units` if the account's bucket is above zero; the level may become negative. An
  // unknown account is unlimited.
  bool admit(std::string_view account, double units, time_point now);

  // Puts back the units of a request that was admitted but never ran.
  void refund(std::string_view account, double units);

  // Takes the units that a peer admitted since its previous report out of the bucket.
  void record_peer_use(std::uint32_t account_hash, double units, time_point now);

  // The same for a daemon of another zone, whose reports arrive late: `units` are those until
  // `covered_until`. Must be called for each report of that daemon and each account that it has ever
  // reported. `zone_daemons` is the number of daemons in the own zone.
  void record_remote_use(std::uint64_t daemon, std::uint32_t account_hash, double units,
                         time_point covered_until, std::size_t zone_daemons, time_point now);

  // Removes a daemon of another zone that does not report any more.
  void remove_remote_daemon(std::uint64_t daemon);

  // Short identifier of an account in reports. Reports are frequent and their traffic is charged by the
  // byte, so they carry a hash instead of the name.
  static std::uint32_t account_hash(std::string_view account);

  // Time until the account's bucket is above zero again; zero if it is.
  milliseconds time_to_refill(std::string_view account, time_point now) const;

  // Units that this daemon has admitted since its start, by hash of the account, for reports to the peers.
  const std::map<std::uint32_t, double>& admitted_units() const { return m_admitted; }

private:
  struct bucket {
    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    time_point m_refilled_at;
    double m_request_units = 0; // of the largest request lately
    unreported_use m_unreported;
  };

  double reachable_share() const {
    return static_cast<double>(m_reachable) / static_cast<double>(m_registered);
  }
  void refill(bucket& account_bucket, time_point now) const;
  static double available_units(const bucket& account_bucket);
  static void charge(bucket& account_bucket, double units, time_point now);

  std::map<std::uint32_t, bucket> m_buckets; // by hash of the account
  std::map<std::uint32_t, double> m_admitted;
  std::uint32_t m_registered = 1;
  std::uint32_t m_reachable = 1;
};

} // namespace cardamompond::fleet
