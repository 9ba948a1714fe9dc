#include "cardamompond/fleet/input_budget.hpp"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr std::size_t mib = 1U << 20U;

// A connection that frees everything when it is evicted.
class fake_connection final : public input_holder {
public:
  fake_connection(input_budget& budget, time_point now, std::size_t group = 0)
      : m_charge(budget, *this, group, now) {}

  void evict(eviction kind) override {
    m_kind = kind;
    m_charge.set_held(0);
  }
  bool has_unread_input() override { return m_unread; }

  input_charge m_charge;
  bool m_unread = false;
  eviction m_kind = eviction::refuse;
};

} // namespace

TEST_GROUP(input_budget) {
  time_point at(double seconds_since_start) const {
    return m_start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds_since_start));
  }

  // Adds a connection whose request began at that time and has received and holds that much.
  fake_connection& add(double begun_at, std::size_t bytes) {
    auto& added = m_connections.emplace_back(m_budget, at(begun_at));
    added.m_charge.begin_request(at(begun_at));
    added.m_charge.set_progress(bytes);
    CHECK(added.m_charge.request(bytes, at(begun_at)));
    return added;
  }

  input_budget m_budget;
  time_point m_start{seconds(1'000)};
  std::deque<fake_connection> m_connections;
};

// Load: many bodies that stop just short of their end. Guards against memory over the limit, and against a
// steady client that is ended in place of one that stands still.
TEST(input_budget, bodies_that_stand_still_make_room_for_steady_ones) {
  m_budget.set_limit(16 * mib);
  for (int i = 0; i < 11; ++i) {
    add(0, mib);
  }
  auto& steady = add(29, mib);
  const time_point now = at(30);
  steady.m_charge.set_progress(2 * mib);
  CHECK(steady.m_charge.request(2 * mib, now));
  CHECK_FALSE(steady.m_charge.evicted());
  CHECK_EQUAL(1U, m_budget.evicted_requests());
  CHECK_EQUAL(12 * mib, m_budget.held());
}

// Load: as above, with small requests beside it. Guards against large bodies, complete ones too, that take
// the room of ordinary requests.
TEST(input_budget, large_bodies_leave_room_for_small_requests) {
  m_budget.set_limit(16 * mib);
  for (int i = 0; i < 12; ++i) {
    add(0, mib).m_charge.complete_request();
  }
  auto& late = add(1, 32U << 10U);
  CHECK_FALSE(late.m_charge.request(mib, at(1))); // all others are complete
  CHECK_EQUAL(32U << 10U, late.m_charge.held());
  for (int i = 0; i < 100; ++i) {
    add(2, 32U << 10U);
  }
  CHECK_EQUAL(0U, m_budget.evicted_requests());
}

// Load: one client that alone asks for more than there is. Guards against the others being ended for it.
TEST(input_budget, the_request_that_stands_out_most_is_refused_itself) {
  m_budget.set_limit(16 * mib);
  auto& greedy = add(0, 8 * mib);
  auto& other = add(9, mib);
  CHECK_FALSE(greedy.m_charge.request(14 * mib, at(10)));
  CHECK_FALSE(other.m_charge.evicted());
  CHECK_EQUAL(8 * mib, greedy.m_charge.held());
}

// Load: many small requests that never end. Guards against a full budget that accepts nothing new.
TEST(input_budget, small_requests_that_stand_still_make_room) {
  m_budget.set_limit(mib);
  for (int i = 0; i < 32; ++i) {
    add(0, 32U << 10U);
  }
  add(60, 32U << 10U);
  CHECK_EQUAL(1U, m_budget.evicted_requests());
  CHECK_EQUAL(mib, m_budget.held());
}

// Load: connections without number that stay idle. Guards against ending one on which a request has arrived,
// and one of another server.
TEST(input_budget, the_longest_idle_connection_makes_room_for_another) {
  fake_connection other_server(m_budget, at(0), 1);
  fake_connection with_input(m_budget, at(1));
  fake_connection idle(m_budget, at(2));
  fake_connection used_lately(m_budget, at(2));
  used_lately.m_charge.begin_request(at(3));
  used_lately.m_charge.end_request(at(4));
  with_input.m_unread = true;
  CHECK(m_budget.make_room_for_connection(0, at(5)));
  CHECK(idle.m_charge.evicted());
  CHECK(idle.m_kind == eviction::close);
  CHECK(m_budget.make_room_for_connection(0, at(5)));
  CHECK(used_lately.m_charge.evicted());
  CHECK_FALSE(m_budget.make_room_for_connection(0, at(5)));
  CHECK_EQUAL(2U, m_budget.evicted_idle());
}

// Load: clients that ask for long responses and do not read them. Guards against responses without number in
// memory, and against one that is not delivered although its client reads.
TEST(input_budget, responses_that_are_not_read_make_room) {
  m_budget.set_limit(16 * mib);
  for (int i = 0; i < 30; ++i) {
    auto& connection = add(i, 1'000);
    connection.m_charge.complete_request();
    connection.m_charge.begin_response(2 * mib, at(i));
    CHECK_FALSE(connection.m_charge.evicted());
    CHECK(m_budget.held() <= 16 * mib);
  }
  CHECK(m_connections.front().m_charge.evicted());
}

// Guards against a process without a stated memory that refuses anything.
TEST(input_budget, nothing_is_refused_without_a_limit) {
  add(0, 1'000 * mib);
  CHECK(add(0, 1'000 * mib).m_charge.request(5'000 * mib, at(100)));
  CHECK_EQUAL(0U, m_budget.evicted_requests());
}
