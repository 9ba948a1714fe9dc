#include "cardamompond/fleet/account_quotas.hpp"
#include "cardamompond/fleet/retry_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr double rate = 1000;

declarations declarations_with_rate(double units_per_s) {
  declarations result;
  client_account account;
  account.m_name = "workshop";
  account.m_units_per_s = units_per_s;
  account.m_burst_units = units_per_s;
  result.m_client_accounts.push_back(account);
  return result;
}

// Admits requests of ten units each, as many as possible, for that time. Returns the units admitted.
double use_up(account_quotas& quota, time_point& now, duration time) {
  double used = 0;
  for (const time_point until = now + time; now < until; now += milliseconds(1)) {
    while (quota.admit("workshop", 10, now)) {
      used += 10;
    }
  }
  return used;
}

} // namespace

TEST_GROUP(account_quotas){};

// Guards against daemons that are cut off from one another and together admit more than the quota.
TEST(account_quotas, isolated_daemons_use_only_their_share) {
  time_point now{seconds(1)};
  account_quotas quota;
  quota.set_member_counts(8, 1, now);
  quota.apply(declarations_with_rate(rate), now);
  const double used = use_up(quota, now, seconds(8));
  const double quota_units = rate * 8 + rate;
  CHECK_TEXT(used <= quota_units / 8 + 10, "more than an eighth of the quota");
  CHECK_TEXT(used >= rate, "less than an eighth of the rate");
}

// Guards against daemons that reach one another and each admit the whole quota.
TEST(account_quotas, units_admitted_by_peers_count) {
  time_point now{seconds(1)};
  std::vector<account_quotas> daemons(4);
  for (auto& each : daemons) {
    each.set_member_counts(4, 4, now);
    each.apply(declarations_with_rate(rate), now);
  }
  double used = 0;
  for (const time_point until = now + seconds(8); now < until; now += milliseconds(100)) {
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      double admitted = 0;
      while (daemons[i].admit("workshop", 10, now)) {
        admitted += 10;
      }
      used += admitted;
      for (std::size_t j = 0; j < daemons.size(); ++j) {
        if (j != i) {
          daemons[j].record_peer_use(account_quotas::account_hash("workshop"), admitted, now);
        }
      }
    }
  }
  CHECK(used <= rate * 9 * 1.1);
  CHECK(used >= rate * 7);
}

// Guards against a lowered limit that leaves the units of the old burst in the bucket.
TEST(account_quotas, a_lower_limit_reduces_the_bucket_level) {
  time_point now{seconds(1)};
  account_quotas quota;
  quota.apply(declarations_with_rate(rate * 100), now);
  now += seconds(10);
  quota.apply(declarations_with_rate(rate), now);
  CHECK(use_up(quota, now, seconds(1)) <= rate * 2 + 10);
}

// Guards against charging refused requests that never ran.
TEST(account_quotas, units_of_requests_that_never_ran_are_refunded) {
  const time_point now{seconds(1)};
  account_quotas quota;
  quota.apply(declarations_with_rate(rate), now);
  CHECK(quota.admit("workshop", rate, now));
  CHECK_FALSE(quota.admit("workshop", 1, now));
  CHECK(quota.time_to_refill("workshop", now) > milliseconds(0));
  quota.refund("workshop", rate);
  CHECK(quota.admit("workshop", 1, now));
}

// Guards against the refusal of accounts that have no quota.
TEST(account_quotas, accounts_without_a_quota_are_unlimited) {
  account_quotas quota;
  CHECK(quota.admit("anybody", 1e12, time_point{seconds(1)}));
}

TEST_GROUP(retry_budget){};

// Guards against more retries in a window than the ratio of its requests and the fixed number allow.
TEST(retry_budget, retries_stay_within_the_ratio) {
  retry_budget budget;
  budget.set_limits({0.2, 5, seconds(10)});
  time_point now{seconds(100)};
  int retries = 0;
  for (int i = 0; i < 1000; ++i, now += milliseconds(10)) {
    budget.record_request(now);
    retries += budget.try_take(now) ? 1 : 0;
    retries += budget.try_take(now) ? 1 : 0;
  }
  CHECK(retries <= 205);
  CHECK(retries >= 150);
}

// Guards against retries before the current window that still use up the budget.
TEST(retry_budget, old_retries_expire) {
  retry_budget budget;
  budget.set_limits({0, 1, seconds(10)});
  CHECK(budget.try_take(time_point{seconds(100)}));
  CHECK_FALSE(budget.try_take(time_point{seconds(105)}));
  CHECK(budget.try_take(time_point{seconds(121)}));
}
