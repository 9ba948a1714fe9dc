#include "cardamompond/gateway/member_retention.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

TEST_GROUP(member_retention) {
  time_point start{seconds(10)};
};

// Guards against shares of quotas that jump when the store comes back from a copy: upwards, where it lacks
// daemons that this one does not hear, and downwards, where it lists daemons that have left.
TEST(member_retention, the_copy_of_a_store_does_not_change_who_counts) {
  member_retention retention;
  const member_retention::zone_by_name before = {{"a", "x"}, {"b", "y"}, {"c", "y"}};
  CHECK(retention.update(1, before, start) == before);
  CHECK(retention.update(2, {{"a", "x"}, {"left", "x"}}, start + seconds(1)) == before);
  CHECK(retention.update(2, {{"a", "x"}, {"b", "y"}, {"left", "x"}}, start + seconds(2)) == before);
  // A second restore right after the first.
  CHECK(retention.update(3, {{"left", "x"}}, start + seconds(3)) == before);
  CHECK(retention.update(3, {{"a", "x"}, {"b", "y"}}, start + seconds(5)) == before);
  // A daemon that leaves then counts no more.
  CHECK(retention.update(3, {{"b", "y"}}, start + seconds(6)) ==
        member_retention::zone_by_name({{"b", "y"}, {"c", "y"}}));
  CHECK(retention.update(3, {{"b", "y"}}, start + seconds(40)) ==
        member_retention::zone_by_name({{"b", "y"}}));
}

// Guards against lists that are not followed where the store states no era or keeps it.
TEST(member_retention, within_one_era_the_list_decides) {
  for (const std::uint64_t era : {0, 4}) {
    member_retention retention;
    CHECK(retention.update(era, {{"a", "x"}}, start).size() == 1);
    CHECK(retention.update(era, {}, start + seconds(1)).empty());
  }
}
