#include "cardamompond/fleet/zone_load.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr std::size_t daemons = 23;
constexpr double work_ms = 500;

// The daemons of a zone that report to one another every 200 ms. The servers take 40 requests per second.
struct zone {
  // Runs for the given time with this many arrivals per second over all daemons.
  void run(duration length, double arrivals_per_s) {
    const time_point end = m_now + length;
    while (m_now < end) {
      m_now += milliseconds(10);
      const int arrived = std::poisson_distribution<int>(arrivals_per_s / 100)(m_random);
      for (int i = 0; i < arrived; ++i) {
        const std::size_t at = m_random() % daemons;
        m_daemons[at].record_arrival(0, work_ms, m_now);
        ++m_waiting[at];
      }
      m_credit = std::min(m_credit + 0.4, 1.0);
      while (m_credit >= 1 && grant_one()) {
        --m_credit;
      }
      for (std::size_t i = 0; i < daemons; ++i) {
        m_daemons[i].set_own_waiting({static_cast<std::uint32_t>(m_waiting[i] * work_ms)}, m_now);
      }
      if (m_now >= m_next_report) {
        m_next_report += milliseconds(200);
        exchange();
      }
    }
  }

  bool grant_one() {
    const std::size_t first = m_random() % daemons;
    for (std::size_t i = 0; i < daemons; ++i) {
      const std::size_t at = (first + i) % daemons;
      if (m_waiting[at] > 0) {
        --m_waiting[at];
        m_daemons[at].record_grant(0, work_ms, m_now);
        return true;
      }
    }
    return false;
  }

  void exchange() {
    for (std::size_t from = 0; from < daemons; ++from) {
      for (std::size_t to = 0; to < daemons; ++to) {
        if (from != to) {
          m_daemons[to].set_peer("d" + std::to_string(from), m_daemons[from].own_summary(true), m_now);
        }
      }
    }
  }

  std::mt19937_64 m_random{7};
  std::vector<zone_load> m_daemons = std::vector<zone_load>(daemons);
  std::vector<int> m_waiting = std::vector<int>(daemons);
  time_point m_now{seconds(100)};
  time_point m_next_report{seconds(100)};
  double m_credit = 0;
};

} // namespace

TEST_GROUP(zone_load){};

// Guards against predictions from the grants of one daemon, which are noise: in a zone of 23 daemons that
// grants 40 requests per second, every daemon must know about the same capacity and queue.
TEST(zone_load, all_daemons_predict_the_wait_of_a_burst_alike) {
  zone simulated;
  simulated.run(seconds(5), 36);
  simulated.run(seconds(3), 80);
  double waiting = 0;
  for (const int each : simulated.m_waiting) {
    waiting += each;
  }
  CHECK(waiting > 60);
  for (const auto& each : simulated.m_daemons) {
    DOUBLES_EQUAL(40 * work_ms, each.capacity(), 8 * work_ms);
    const auto wait = each.predict_wait(0, simulated.m_now);
    DOUBLES_EQUAL(waiting / 40, std::chrono::duration<double>(*wait).count(), 0.25 * waiting / 40);
    // Late requests have no prospect while more than the capacity arrives.
    CHECK(!each.predict_wait(late_class, simulated.m_now));
    DOUBLES_EQUAL(0, each.spare_work_per_second(simulated.m_now, simulated.m_now), 0);
  }
}

// Guards against refusals by a queue that no longer exists, after its daemon has died.
TEST(zone_load, the_queue_of_a_silent_peer_is_forgotten) {
  zone simulated;
  simulated.run(seconds(3), 80);
  zone_load& own = simulated.m_daemons.front();
  own.set_own_waiting({}, simulated.m_now);
  CHECK(own.waiting_work(0, late_class, simulated.m_now) > 0);
  DOUBLES_EQUAL(0, own.waiting_work(0, late_class, simulated.m_now + milliseconds(1'500)), 0);
}

// Guards against an absurd capacity after a peer has restarted, or after a total has wrapped around.
TEST(zone_load, totals_of_a_restarted_peer_are_not_counted_as_grants) {
  zone_load own;
  time_point now{seconds(100)};
  load_summary report;
  report.m_has_totals = true;
  report.m_granted[0] = 0xffffff00U;
  own.set_peer("d1", report, now);
  report.m_granted[0] = 244; // 500 ms later in work, across the end of the number range
  own.set_peer("d1", report, now += milliseconds(200));
  const double after_wrap = own.capacity();
  CHECK(after_wrap > 0);
  report.m_granted[0] = 0x70000000U;
  own.set_peer("d1", report, now += milliseconds(200));
  DOUBLES_EQUAL(after_wrap, own.capacity(), 1);
}
