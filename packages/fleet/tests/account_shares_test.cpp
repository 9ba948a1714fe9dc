#include "cardamompond/fleet/account_shares.hpp"

#include "cardamompond/fleet/account_quotas.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

TEST_GROUP(account_shares) {
  account_shares m_shares;
  time_point m_now{seconds(100)};

  // Two seconds in which the accounts 1 and 2 are granted this many tokens per second.
  void run(double first, double second) {
    for (int i = 0; i < 40; ++i) {
      m_now += milliseconds(50);
      m_shares.record_use(1, first / 20, m_now);
      m_shares.record_use(2, second / 20, m_now);
    }
  }
};

// Guards against the burst of one account that takes the servers from another one of the same weight, and
// against an account that has to pay for the burst long after it.
TEST(account_shares, an_account_is_over_its_share_during_its_burst_only) {
  run(1'000, 1'000);
  CHECK(!m_shares.is_over_share(1, m_now));
  run(8'000, 1'000);
  CHECK(m_shares.is_over_share(1, m_now));
  CHECK(!m_shares.is_over_share(2, m_now));
  CHECK(m_shares.virtual_time(1, m_now) > m_shares.virtual_time(2, m_now));
  run(1'000, 1'000);
  run(1'000, 1'000);
  run(1'000, 1'000);
  run(1'000, 1'000);
  CHECK(!m_shares.is_over_share(1, m_now));
}

// Guards against the share of an idle account that is left unused.
TEST(account_shares, shares_of_idle_accounts_are_lent) {
  run(8'000, 0);
  CHECK(!m_shares.is_over_share(1, m_now));
  run(8'000, 8'000);
  CHECK(!m_shares.is_over_share(1, m_now));
}

// Guards against accounts with a large quota that are held to the share of small ones.
TEST(account_shares, weights_are_the_rates_of_the_token_quotas) {
  declarations source;
  client_account large;
  large.m_name = "large";
  large.m_counts_tokens = true;
  large.m_units_per_s = 8'000;
  client_account small = large;
  small.m_name = "small";
  small.m_units_per_s = 1'000;
  source.m_client_accounts = {large, small};
  m_shares.apply(source);
  const auto use = [&](const char* name, double tokens) {
    m_shares.record_use(account_quotas::account_hash(name), tokens, m_now);
  };
  use("large", 8'000);
  use("small", 1'000);
  CHECK(!m_shares.is_over_share(account_quotas::account_hash("large"), m_now));
  use("small", 3'000);
  CHECK(m_shares.is_over_share(account_quotas::account_hash("small"), m_now));
  CHECK(m_shares.counts_tokens(account_quotas::account_hash("small")));
  CHECK(!m_shares.counts_tokens(account_quotas::account_hash("unknown")));
}
