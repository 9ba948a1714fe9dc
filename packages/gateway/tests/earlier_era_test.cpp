#include "cardamompond/gateway/earlier_era.hpp"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

constexpr time_point began{seconds(1'000)};

fleet::backend_server make_server(std::int64_t started, bool draining) {
  fleet::backend_server server;
  server.m_id = "i-1";
  server.m_address = "127.0.0.1:1";
  server.m_started_unix_ms = started;
  server.m_draining = draining;
  return server;
}

} // namespace

TEST_GROUP(earlier_era){};

// Guards against requests to a server that was draining and that the copy of the store shows as ready,
// against a server that is avoided although it has started again, and against knowledge that holds for ever.
TEST(earlier_era, the_newer_entry_of_a_server_holds) {
  earlier_era earlier;
  const std::vector<fleet::backend_server> known = {make_server(7, true)};
  CHECK_FALSE(earlier.resolve(make_server(7, false)).m_draining);
  earlier.begin({2, 20}, known, began + seconds(2), began + seconds(5));
  CHECK(earlier.resolve(make_server(7, false)).m_draining);
  CHECK(earlier.resolve(make_server(6, false)).m_started_unix_ms == 7);
  CHECK_FALSE(earlier.resolve(make_server(8, false)).m_draining);
  CHECK(earlier.keeps_missing(began + milliseconds(1'999)));
  CHECK(earlier.next_expiry() == began + seconds(2));
  CHECK(earlier.expire(began + seconds(2)).m_kept);
  CHECK_FALSE(earlier.keeps_missing(began + seconds(2)));
  CHECK(earlier.resolve(make_server(7, false)).m_draining);
  CHECK(earlier.next_expiry() == began + seconds(5));
  CHECK(earlier.expire(began + seconds(5)).m_all);
  CHECK_FALSE(earlier.resolve(make_server(7, false)).m_draining);
  CHECK_FALSE(earlier.expire(began + seconds(9)).m_all);
}

// Guards against an entry that was removed and that the copy brings back, against one that is hidden although
// it was written again, and against removals from long before the copy.
TEST(earlier_era, a_removed_entry_does_not_come_back_with_the_copy) {
  earlier_era earlier;
  earlier.record_removal("old", 0, began - seconds(90));
  earlier.record_removal("i-1", 7, began - seconds(3));
  CHECK_FALSE(earlier.is_removed("i-1", 7, {2, 9}));
  earlier.begin({2, 20}, {}, began + seconds(2), began + seconds(5));
  CHECK(earlier.is_removed("i-1", 7, {2, 9}));
  CHECK_FALSE(earlier.is_removed("i-1", 8, {2, 9}));
  CHECK_FALSE(earlier.is_removed("i-1", 7, {2, 21}));
  CHECK_FALSE(earlier.is_removed("i-2", 7, {2, 9}));
  CHECK_FALSE(earlier.is_removed("old", 0, {2, 9}));
  earlier.expire(began + milliseconds(4'999));
  CHECK(earlier.is_removed("i-1", 7, {2, 9}));
  earlier.expire(began + seconds(5));
  CHECK_FALSE(earlier.is_removed("i-1", 7, {2, 9}));
}
