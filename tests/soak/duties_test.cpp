#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <string>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

// Windows of one second keep the tests short.
const std::string usage_settings =
    "[duties.usage_report]\naddress = \"@API\"\nfencing = true\nlease_ms = 1000\n"
    "window_s = 1\nlate_s = 5\n";

const std::string engine_settings =
    "[duties.autoscale]\naddress = \"@API\"\nfencing = true\nlease_ms = 1000\n";

struct usage_history {
  std::uint64_t m_requests = 0;
  int m_differing = 0;     // windows with two different reports
  int m_shared_tokens = 0; // tokens that two daemons used
  std::string m_last_holder;
  std::int64_t m_last_window = 0;
};

usage_history read_history(const platform::standins::duty_api_server& api) {
  usage_history history;
  std::map<std::int64_t, boost::json::object> by_window;
  std::map<std::uint64_t, std::string> holders;
  for (const auto& call : api.executed()) {
    if (call.m_subject != "/usage") {
      continue;
    }
    const auto window = call.m_body.at("window").to_number<std::int64_t>();
    const auto& counts = call.m_body.at("counts").as_object();
    const auto [known, added] = by_window.try_emplace(window, counts);
    history.m_differing += known->second == counts ? 0 : 1;
    const auto [holder, first] = holders.try_emplace(call.m_token, call.m_holder);
    history.m_shared_tokens += holder->second == call.m_holder ? 0 : 1;
    history.m_last_holder = call.m_holder;
    history.m_last_window = std::max(history.m_last_window, window);
    if (added) {
      for (const auto& each : counts) {
        history.m_requests += each.value().to_number<std::uint64_t>();
      }
    }
  }
  return history;
}

} // namespace

TEST_GROUP(duties){// Sends requests in turns to the daemons, and returns how many were answered.
                   std::uint64_t send_requests(soak_group & group, soak_callers& callers, int count,
                                               int skipped = -1){std::uint64_t answered = 0;
for (int i = 0; i < count; ++i) {
  const int daemon = i % static_cast<int>(group.daemons().size());
  if (daemon != skipped) {
    const auto route = i % 3 == 0 ? "guide" : "read";
    const auto address = group.callers_address(group.daemons()[static_cast<std::size_t>(daemon)]);
    answered += callers.send(address, route) == 200 ? 1 : 0;
  }
  boost::this_fiber::sleep_for(milliseconds(10));
}
return answered;
}

void await_ready(soak_group& group) {
  for (auto& daemon : group.daemons()) {
    wait_until("the daemon is ready", milliseconds(9'000), [&] { return group.is_ready(daemon); });
  }
}

int index_of(soak_group& group, const std::string& name) {
  const auto& daemons = group.daemons();
  const auto found =
      std::find_if(daemons.begin(), daemons.end(), [&](const auto& each) { return each.m_name == name; });
  return static_cast<int>(found - daemons.begin());
}
}
;

// Guards against requests that are counted twice or not at all, against windows that are reported twice with
// different counts, and against a duty that is not taken over when its holder is killed or stops.
TEST(duties, usage_is_reported_once_while_holders_change) {
  soak_group group(4, 2, 1, usage_settings);
  await_ready(group);
  soak_callers callers(group, 0, 1);
  auto& api = group.duty_api();
  std::uint64_t answered = send_requests(group, callers, 120);
  wait_until("usage is reported", milliseconds(20'000), [&] { return !api.executed().empty(); });

  const auto end_holder = [&](int signal) {
    const std::string holder = read_history(api).m_last_holder;
    const int index = index_of(group, holder);
    auto& daemon = group.daemons()[static_cast<std::size_t>(index)];
    boost::this_fiber::sleep_for(milliseconds(500)); // its counts reach the collectors
    daemon.m_process->signal(signal);
    answered += send_requests(group, callers, 60, index);
    wait_until("another daemon reports", milliseconds(20'000),
               [&] { return read_history(api).m_last_holder != holder; });
    daemon.m_process->kill();
    group.start(daemon);
    wait_until("the daemon is ready", milliseconds(9'000), [&] { return group.is_ready(daemon); });
  };
  end_holder(SIGKILL);
  end_holder(SIGTERM);

  answered += send_requests(group, callers, 60);
  const std::int64_t window = wall_clock_ms() / 1'000;
  wait_until("the last window is reported", milliseconds(20'000),
             [&] { return read_history(api).m_last_window >= window; });
  wait_until("all requests are reported", milliseconds(10'000),
             [&] { return read_history(api).m_requests >= answered; });
  const auto history = read_history(api);
  LONGS_EQUAL(0, history.m_differing);
  LONGS_EQUAL(0, history.m_shared_tokens);
  LONGS_EQUAL(answered, history.m_requests);
}

// Guards against engine counts that are never ordered: more requests run than the engines have room for.
TEST(duties, engines_are_ordered_when_they_are_full) {
  soak_group group(3, 1, 1, engine_settings);
  group.set_engine_bounds(1, 6);
  await_ready(group);
  soak_callers callers(group, 40, 1);
  const auto& executed = group.duty_api().executed();
  wait_until("engines are ordered", milliseconds(20'000), [&] { return !executed.empty(); });
  callers.stop();
  STRCMP_EQUAL("/scale \"chat\" \"z0\"", executed.front().m_subject.c_str());
  const auto desired = executed.front().m_body.at("desired").to_number<std::int64_t>();
  CHECK(desired > 1 && desired <= 6);
}

// Guards against calls, objects in the store and fibers of duties where the settings name none.
TEST(duties, nothing_is_sent_without_settings) {
  soak_group group(2, 1, 1);
  await_ready(group);
  soak_callers callers(group, 0, 1);
  send_requests(group, callers, 20);
  boost::this_fiber::sleep_for(milliseconds(2'500));
  CHECK(group.store().find("cardamompond-duties", "usage_reports") == nullptr);
  CHECK(group.duty_api().executed().empty());
}
