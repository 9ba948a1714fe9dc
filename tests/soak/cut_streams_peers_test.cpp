#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

using namespace cardamompond;
using namespace cardamompond::testing;

// Streams of a daemon that reaches engines only through its peers. SOAK_EARLIER_DAEMON names the program of
// an earlier version for one end of the connections.
TEST_GROUP(cut_streams_peers){};

namespace {

constexpr int engine_count = 12;

// Cuts the first daemon off from all engines, and waits until it serves streams all the same.
void cut_off(cut_streams_group& group, partition_kind kind) {
  const auto& daemon = group.group().daemons().front();
  for (auto& engine : group.engines().engines()) {
    engine->m_relay->partition_process(daemon.m_process->pid(), kind);
  }
  wait_until("the daemon serves through its peers", milliseconds(10'000), [&] {
    return group.read({.m_plan = {.m_events = 1}, .m_deadline = milliseconds(500)}).m_status == 200;
  });
}

std::vector<stream_case> make_cases(std::mt19937_64& random, std::size_t count) {
  std::vector<stream_case> cases;
  while (cases.size() < count) {
    stream_case next{.m_plan = {.m_events = 60, .m_interval = milliseconds(40)},
                     .m_route = random() % 2 == 0 ? "note" : "three"};
    if (random() % 2 == 0) {
      stream_run cut = make_cut(random, pick(all_framings, random));
      if (cut.m_kind == stop_kind::reset) {
        cut.m_kind = stop_kind::fin; // the relay turns a reset into an orderly end
      }
      if (is_recognizable(cut)) {
        next.m_plan.m_runs = {cut};
      }
    }
    cases.push_back(std::move(next));
  }
  return cases;
}

// Disturbs the peers while streams go through them.
void read_streams(stream_report& report, std::uint64_t seed, partition_kind kind, const std::string& name,
                  const std::function<void(soak_daemon&)>& disturb) {
  std::mt19937_64 random(seed);
  cut_streams_group group(3, engine_count, seed, true);
  const bool has_two_versions = std::getenv("SOAK_EARLIER_DAEMON") != nullptr;
  for (int round = 0; round < (has_two_versions ? 2 : 1); ++round) {
    if (round > 0) {
      for (auto& daemon : group.group().daemons()) {
        group.group().start(daemon); // with the other program
      }
      group.group().wait_until_ready();
    }
    cut_off(group, kind);
    bool disturbing = true;
    net::fiber_runtime::spawn([&] {
      for (std::size_t i = 1; i < group.group().daemons().size(); ++i) {
        boost::this_fiber::sleep_for(milliseconds(800));
        disturb(group.group().daemons()[i]);
      }
      disturbing = false;
    });
    const auto cases = make_cases(random, 40);
    report.add(group, name + (round > 0 ? ", programs swapped" : ""), group.read_all(cases, cases.size()));
    wait_until("the disturbance has ended", seconds(10), [&] { return !disturbing; });
  }
}

} // namespace

// Guards against a stream that ends as complete too early because the peer through which it comes is stopped,
// killed or paused, or closes the connection.
TEST(cut_streams_peers, peer_is_disturbed) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    read_streams(report, seed, partition_kind::reset, "through peers", [](soak_daemon&) {});
    read_streams(report, seed, partition_kind::reset, "through peers, SIGTERM",
                 [](soak_daemon& daemon) { daemon.m_process->signal(SIGTERM); });
    read_streams(report, seed, partition_kind::hang, "through peers, SIGKILL",
                 [](soak_daemon& daemon) { daemon.m_process->kill(); });
    read_streams(report, seed, partition_kind::reset_new, "through peers, SIGSTOP and SIGCONT",
                 [](soak_daemon& daemon) {
                   daemon.m_process->signal(SIGSTOP);
                   boost::this_fiber::sleep_for(milliseconds(1'200));
                   daemon.m_process->signal(SIGCONT);
                 });
  });
}
