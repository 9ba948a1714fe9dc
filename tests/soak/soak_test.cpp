#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sstream>

using namespace cardamompond;
using namespace cardamompond::testing;
using platform::standins::engine_faults;
using platform::standins::store_fault;

namespace {

// The seeds of a default run. A seed that has made the test fail is added to this list, with the cause.
constexpr const char* default_seeds = "1 2";
constexpr int default_seconds = 6;

std::string setting(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}

// Injects faults from outside the daemons: signals, faults of the network, of the store and of the engines.
// The seed determines their order. Most faults last until a later step ends them, so that they overlap.
class fault_injector {
public:
  fault_injector(soak_group& group, std::uint64_t seed)
      : m_group(group)
      , m_random(seed) {}

  void step() {
    auto& daemon = m_group.daemons()[m_random() % m_group.daemons().size()];
    auto& engine = m_group.engines()[m_random() % m_group.engines().size()];
    switch (m_random() % 13) {
    case 0:
      daemon.m_process->kill();
      m_group.start(daemon);
      break;
    case 1:
      daemon.m_process->signal(SIGSTOP);
      break;
    case 2:
      daemon.m_process->signal(SIGTERM);
      break;
    case 3:
      daemon.m_process->signal(SIGHUP);
      break;
    case 4:
      daemon.m_store_relay->set_partitioned(flip());
      break;
    case 5:
      daemon.m_store_relay->set_refusing(flip());
      break;
    case 6:
      daemon.m_store_relay->set_delay(milliseconds(m_random() % 400));
      break;
    case 7:
      m_group.store().set_fault(static_cast<store_fault>(m_random() % 4));
      break;
    case 8:
      m_group.store().drop_history();
      break;
    case 9:
      m_group.publish();
      break;
    case 10:
      engine.m_relay->set_partitioned(flip());
      break;
    case 11:
      engine.m_relay->set_refusing(flip());
      break;
    default:
      engine.m_engine->set_faults({chance(), chance(), chance(), chance(), chance(), chance()});
      m_group.list_engine(engine, m_random() % 5 == 0);
      break;
    }
    revive();
  }

private:
  bool flip() { return m_random() % 2 == 0; }
  double chance() { return m_random() % 3 == 0 ? 0.15 : 0; }

  // Lets each daemon, with a probability of 1/4, continue if it was stopped and start again if it has ended.
  void revive() {
    for (auto& each : m_group.daemons()) {
      if (m_random() % 4 == 0) {
        each.m_process->signal(SIGCONT);
        if (each.m_process->exit_code()) {
          m_group.start(each);
        }
      }
    }
  }

  soak_group& m_group;
  std::mt19937_64 m_random;
};

// Checks that, soon after the faults have ended, every daemon serves requests with the newest configuration.
void check_recovery(soak_group& group, soak_callers& callers) {
  // The drain time of the daemons plus the platform's time limit for changes.
  constexpr milliseconds recovery_time{9'000};
  wait_until("all daemons serve the newest configuration", recovery_time, [&] {
    return std::all_of(group.daemons().begin(), group.daemons().end(), [&](soak_daemon& each) {
      if (each.m_process->exit_code()) {
        group.start(each);
      }
      return group.ready(each) && callers.send(group.callers_address(each), "moved") == 200 &&
             callers.send(group.callers_address(each), "note") == 200;
    });
  });
}

void soak(std::uint64_t seed, seconds length) {
  constexpr int daemons = 4;
  constexpr int engines = 4;
  constexpr int callers_count = 12;
  soak_group group(daemons, engines, seed);
  wait_until("all daemons are ready", milliseconds(8'000), [&] {
    return std::all_of(group.daemons().begin(), group.daemons().end(),
                       [&](const soak_daemon& each) { return group.ready(each); });
  });
  soak_callers callers(group, callers_count, seed * 1'000'000);
  fault_injector faults(group, seed);
  std::mt19937_64 random(seed + 1);
  for (const time_point until = monotonic_now() + length; monotonic_now() < until;) {
    faults.step();
    boost::this_fiber::sleep_for(milliseconds(50 + random() % 300));
  }
  group.calm();
  check_recovery(group, callers);
  callers.stop();
  const auto& history = callers.judge();
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf("seed %llu: %llu requests, %zu answered, %zu refused, %zu violations\n",
              static_cast<unsigned long long>(seed), static_cast<unsigned long long>(history.m_sent),
              history.m_answered.size(), history.m_refused.size(), history.m_violations.size());
  for (const auto& each : history.m_violations) {
    std::printf("  %s\n", each.c_str());
  }
  CHECK_TEXT(history.m_violations.empty(), "violations were found; see the lines above");
  CHECK_TEXT(history.m_answered.size() * 4 > history.m_sent,
             "at most a quarter of the requests had status 200");
}

} // namespace

TEST_GROUP(soak){};

// Guards against requests that run twice although they must run at most once, requests that run although they
// were refused as not run, incomplete responses or those to another request, and daemons that do not recover,
// while several faults are present at the same time. The variables SOAK_SEEDS (a list) and SOAK_SECONDS (for
// each seed) select other runs.
TEST(soak, promises_hold_under_faults) {
  std::istringstream seeds(setting("SOAK_SEEDS", default_seeds));
  const int length = std::atoi(setting("SOAK_SECONDS", std::to_string(default_seconds)).c_str());
  for (std::uint64_t seed = 0; seeds >> seed;) {
    soak(seed, seconds(length));
  }
}
