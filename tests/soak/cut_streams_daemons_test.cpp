#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

using namespace cardamompond;
using namespace cardamompond::testing;

// Streams at daemons that are stopped, killed or paused, or have little memory.
TEST_GROUP(cut_streams_daemons){};

namespace {

constexpr int engine_count = 20;

stream_case make_case(std::mt19937_64& random, std::size_t index, int events, milliseconds interval) {
  stream_case next{.m_plan = {.m_events = events, .m_interval = interval},
                   .m_route = index % 4 < 2 ? "note" : "three",
                   .m_daemon = index % 2,
                   .m_deadline = milliseconds(9'000)};
  if (random() % 3 != 0) {
    next.m_plan.m_runs = {make_cut(random, pick(all_framings, random))};
    next.m_plan.m_runs.front().m_events = 1 + static_cast<int>(random() % static_cast<std::uint64_t>(events));
  }
  return next;
}

// Disturbs the first daemon while streams are under way, and starts it anew if it has ended.
void read_streams(stream_report& report, cut_streams_group& group, const std::string& name,
                  const std::vector<stream_case>& cases, const std::function<void(soak_daemon&)>& disturb) {
  auto& daemon = group.group().daemons().front();
  bool disturbing = true;
  net::fiber_runtime::spawn([&] {
    boost::this_fiber::sleep_for(milliseconds(1'000));
    disturb(daemon);
    disturbing = false;
  });
  report.add(group, name, group.read_all(cases, cases.size()));
  wait_until("the disturbance has ended", seconds(10), [&] { return !disturbing; });
  daemon.m_process->kill();
  group.group().start(daemon);
  group.group().wait_until_ready();
  boost::this_fiber::sleep_for(milliseconds(500));
}

} // namespace

// Guards against a stream that ends as complete too early because its daemon is stopped, killed or paused.
TEST(cut_streams_daemons, signals_under_long_streams) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    const auto make_cases = [&] {
      std::vector<stream_case> cases;
      for (std::size_t i = 0; i < 48; ++i) {
        cases.push_back(make_case(random, i, 44, milliseconds(100)));
      }
      return cases;
    };
    read_streams(report, group, "SIGTERM", make_cases(),
                 [](soak_daemon& daemon) { daemon.m_process->signal(SIGTERM); });
    read_streams(report, group, "SIGKILL", make_cases(),
                 [](soak_daemon& daemon) { daemon.m_process->kill(); });
    read_streams(report, group, "SIGSTOP and SIGCONT", make_cases(), [&](soak_daemon& daemon) {
      for (int round = 0; round < 2; ++round) {
        daemon.m_process->signal(SIGSTOP);
        boost::this_fiber::sleep_for(milliseconds(300 + random() % 1'500));
        daemon.m_process->signal(SIGCONT);
        boost::this_fiber::sleep_for(milliseconds(200));
      }
    });
  });
}

// Guards against a short stream that is taken for whole although its run was cut before its head was passed
// on.
TEST(cut_streams_daemons, streams_of_four_events) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < 300; ++i) {
      cases.push_back(make_case(random, i, 4, milliseconds(random() % 3 == 0 ? 0 : 10)));
      if (random() % 2 == 0) {
        cases.back().m_plan.m_runs.push_back(make_cut(random, pick(all_framings, random)));
      }
    }
    report.add(group, "four events", group.read_all(cases, 100));
    cases.resize(100);
    read_streams(report, group, "four events, SIGTERM", cases,
                 [](soak_daemon& daemon) { daemon.m_process->signal(SIGTERM); });
  });
}

// Guards against a stream that ends as complete too early because its daemon has no memory left for the
// request, the response or the connection.
TEST(cut_streams_daemons, little_memory) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed, false, "[limits]\nmemory_mb = 32\n");
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < 160; ++i) {
      cases.push_back(make_case(random, i, 30, milliseconds(20)));
      cases.back().m_deadline = milliseconds(4'000);
      cases.back().m_body_bytes = i % 2 == 0 ? 400'000 : 0;
      cases.back().m_plan.m_padding = i % 5 == 0 ? 100'000 : 0;
      cases.back().m_read_pause = milliseconds(i % 3 == 0 ? 10 : 0);
    }
    report.add(group, "little memory", group.read_all(cases, 100));
  });
}
