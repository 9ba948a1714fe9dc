#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/declarations.hpp"
#include "cardamompond/fleet/zone_load.hpp"

#include <cstdint>
#include <map>
#include <string_view>

namespace cardamompond::fleet {

// Answers the burst of one large client account that would cost the others their objectives: accounts that
// compete share the servers by weight over tokens (weighted fair queueing in virtual time). The virtual time
// of an account is its recent use divided by its weight and decays within seconds, so that unused shares are
// lent and nothing has to be paid back later. Reads no clock.
class account_shares {
public:
  // Sets the weights: the rates of the token quotas. Other accounts have the mean weight.
  void apply(const declarations& source);

  // Records tokens that the account was granted, by this daemon or a peer. Negative: given back.
  void record_use(std::uint32_t account_hash, double tokens, time_point now);

  // Whether the units that peers report for the account are tokens.
  bool counts_tokens(std::uint32_t account_hash) const;

  // Returns the recent use of the account divided by its weight.
  double virtual_time(std::uint32_t account_hash, time_point now) const;

  // Whether the account uses clearly more than its share of what all accounts used lately.
  bool is_over_share(std::uint32_t account_hash, time_point now) const;

private:
  struct account {
    decaying_rate m_use;
    double m_weight = 1;
    bool m_counts_tokens = false;
  };

  account& find_or_add(std::uint32_t account_hash);

  std::map<std::uint32_t, account> m_accounts; // by account_quotas::account_hash
  double m_mean_weight = 1;
};

} // namespace cardamompond::fleet
