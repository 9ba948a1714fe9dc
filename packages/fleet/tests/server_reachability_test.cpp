#include "cardamompond/fleet/server_reachability.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

constexpr std::size_t server_count = 12;
constexpr duration probe_time = milliseconds(300);

// Plays the ticks of a daemon in virtual time. A probe of an unreachable server fails after probe_time, or at
// once where connections are refused.
class simulated_path {
public:
  // Advances by `length`. `reaches` tells whether the server with that number can be reached at present;
  // `traffic` is called at each tick.
  void play(duration length, const std::function<bool(std::uint32_t)>& reaches,
            const std::function<void(server_reachability&, time_point)>& traffic) {
    const time_point until = m_now + length;
    for (; m_now < until; m_now += milliseconds(50)) {
      traffic(m_path, m_now);
      std::erase_if(m_failures, [&](const auto& each) {
        if (each.first > m_now) {
          return false;
        }
        m_path.record_probe_failure(each.second, m_now);
        return true;
      });
      const std::size_t probes = m_path.tick(server_count, m_now);
      m_probes += probes;
      bool answered = false;
      for (std::size_t i = 0; i < probes; ++i) {
        const auto server = static_cast<std::uint32_t>(m_next_server++ % server_count);
        if (reaches(server)) {
          answered = true;
        } else if (m_refuses) {
          m_path.record_probe_failure(server, m_now);
        } else {
          m_failures.emplace_back(m_now + probe_time, server);
        }
      }
      if (answered) { // a refusal is faster than an answer
        m_path.record_reached(m_now);
        m_path.record_received(m_now);
      }
      if (m_path.state() != m_last_state) {
        m_last_state = m_path.state();
        ++m_changes;
        if (m_last_state == path_state::lost) {
          m_lost_at = m_now;
        }
      }
    }
  }

  server_reachability m_path;
  time_point m_now = time_point{} + seconds(100);
  time_point m_lost_at;
  bool m_refuses = false;
  std::size_t m_probes = 0;
  int m_changes = 0;

private:
  std::vector<std::pair<time_point, std::uint32_t>> m_failures;
  std::size_t m_next_server = 0;
  path_state m_last_state = path_state::connected;
};

const auto all_reached = [](std::uint32_t) { return true; };
const auto none_reached = [](std::uint32_t) { return false; };

void exchange_normally(server_reachability& path, time_point now) {
  path.record_sent(now);
  path.record_received(now);
}

void send_into_silence(server_reachability& path, time_point now) {
  path.record_sent(now);
}

} // namespace

TEST_GROUP(server_reachability) {
  simulated_path m_simulation;
};

// A partition in which all connections hang: requests wait on them until the daemon notices.
TEST(server_reachability, notices_a_path_on_which_everything_hangs) {
  m_simulation.play(seconds(5), all_reached, exchange_normally);
  const time_point cut_at = m_simulation.m_now;
  m_simulation.play(seconds(2), none_reached, send_into_silence);
  CHECK(m_simulation.m_path.state() == path_state::lost);
  CHECK(m_simulation.m_lost_at - cut_at <= milliseconds(1'300));
  CHECK_FALSE(m_simulation.m_path.keeps_old_connections());
}

// A partition in which kept connections go on while new ones are refused.
TEST(server_reachability, notices_refused_connections_beside_live_ones) {
  m_simulation.play(seconds(5), all_reached, exchange_normally);
  const time_point cut_at = m_simulation.m_now;
  std::uint32_t next = 0;
  m_simulation.play(seconds(2), none_reached, [&](server_reachability& path, time_point now) {
    exchange_normally(path, now);
    path.record_unreached(next++ % server_count, now);
  });
  CHECK(m_simulation.m_path.state() == path_state::lost);
  CHECK(m_simulation.m_lost_at - cut_at <= milliseconds(1'000));
  CHECK_TRUE(m_simulation.m_path.keeps_old_connections());
}

// All servers of one service crash together: their connections fail, but those of other services do not.
TEST(server_reachability, crash_of_one_service_is_no_lost_path) {
  const auto others_reached = [](std::uint32_t server) { return server % 2 == 0; };
  m_simulation.m_refuses = true;
  m_simulation.play(seconds(20), others_reached, [](server_reachability& path, time_point now) {
    exchange_normally(path, now);
    path.record_unreached(1, now);
    path.record_unreached(3, now);
  });
  CHECK(m_simulation.m_lost_at == time_point{});
}

// One sound server is silent for a second, and the daemon has no other request under way.
TEST(server_reachability, silence_of_one_server_is_no_lost_path) {
  m_simulation.play(seconds(10), all_reached, send_into_silence);
  CHECK(m_simulation.m_lost_at == time_point{});
  CHECK(m_simulation.m_probes <= 12);
}

TEST(server_reachability, sends_no_probe_without_a_sign_of_trouble) {
  m_simulation.play(seconds(60), all_reached, exchange_normally);
  m_simulation.play(seconds(60), all_reached, [](server_reachability&, time_point) {});
  LONGS_EQUAL(0, m_simulation.m_probes);
  LONGS_EQUAL(0, m_simulation.m_changes);
}

// The end of a partition: the path is used again soon, but not while every other probe still fails.
TEST(server_reachability, restores_the_path_only_after_several_successes) {
  m_simulation.play(seconds(3), none_reached, send_into_silence);
  CHECK(m_simulation.m_path.state() == path_state::lost);
  const int changes = m_simulation.m_changes;
  m_simulation.play(
      seconds(10), [](std::uint32_t server) { return server % 2 == 0; },
      [](server_reachability&, time_point) {});
  LONGS_EQUAL(changes, m_simulation.m_changes);
  m_simulation.play(seconds(2), all_reached, [](server_reachability&, time_point) {});
  CHECK(m_simulation.m_path.state() == path_state::connected);
}

// A single known server: its loss cannot be told from that of the path, so that peers are asked.
TEST(server_reachability, one_known_server_is_enough) {
  server_reachability path;
  time_point now = time_point{} + seconds(1);
  path.record_unreached(7, now);
  LONGS_EQUAL(1, path.tick(1, now));
  path.record_probe_failure(7, now + milliseconds(100));
  path.tick(1, now + milliseconds(100));
  CHECK(path.state() == path_state::lost);
}
