#include "dispatcher_fixture.hpp"
#include "overload_simulation.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

constexpr std::uint64_t seeds = 4;

// Callers as on the second deployment: long prompts, chats and checks. All answers have the same worth.
simulated_overload make_load(double requests_per_s, double burst_factor) {
  simulated_overload load;
  load.m_profiles = {{{0.18, 6'610, 46, 1, milliseconds(1'000), milliseconds(400), milliseconds(15'000)},
                      {0.30, 628, 36, 1, milliseconds(400), milliseconds(400), milliseconds(12'000)},
                      {0.52, 1'800, 3, 1, milliseconds(500), milliseconds(400), milliseconds(3'000)}}};
  load.m_late_worth_share = 0.3;
  load.m_abandon_time = milliseconds(3'200);
  load.m_requests_per_s = requests_per_s;
  load.m_burst_factor = burst_factor;
  load.m_ranks_are_tiers = true;
  return load;
}

struct outcome {
  double m_worth = 0;
  double m_on_time = 0;
  double m_late = 0;
  double m_others_on_time = 0; // of the accounts that do not send the burst
};

outcome measure(simulated_overload load, bool overload_control) {
  load.m_overload_control = overload_control;
  outcome mean;
  for (load.m_seed = 1; load.m_seed <= seeds; ++load.m_seed) {
    const auto result = simulate(load);
    mean.m_worth += result.m_worth / seeds;
    mean.m_others_on_time += result.m_other_accounts.on_time_share() / seeds;
    double callers = 0;
    double on_time = 0;
    double late = 0;
    for (const auto& each : result.m_routes) {
      callers += each.m_callers;
      on_time += each.m_on_time;
      late += each.m_late;
    }
    mean.m_on_time += on_time / callers / seeds;
    mean.m_late += late / callers / seeds;
  }
  return mean;
}

const dispatch_refusal* find_refusal(const std::vector<dispatch_decision>& decisions) {
  for (const auto& each : decisions) {
    if (const auto* refusal = std::get_if<dispatch_refusal>(&each)) {
      return refusal;
    }
  }
  return nullptr;
}

} // namespace

TEST_GROUP(overload_control){};

// Guards against late answers that take the place of answers on time, in bursts on servers that are full
// already. With these callers, the share of the answers on time stays about the same.
TEST(overload_control, fewer_callers_are_answered_late_in_a_burst) {
  const simulated_overload load = make_load(145, 2.5);
  const auto off = measure(load, false);
  const auto on = measure(load, true);
  constexpr double tolerance = 0.01;
  CHECK(on.m_on_time > off.m_on_time - tolerance);
  CHECK(on.m_late < off.m_late);
}

// Guards against refusals and reserved capacity while there is enough for all.
TEST(overload_control, nobody_is_refused_at_half_load) {
  simulated_overload load = make_load(70, 1);
  load.m_overload_control = true;
  for (const auto& each : simulate(load).m_routes) {
    LONGS_EQUAL(0, each.m_unserved);
  }
}

// Guards against a kind of request that is starved, and against a less urgent one that is served more often
// than a more urgent one, at 2.5 times the load.
TEST(overload_control, no_kind_is_starved_in_a_burst) {
  std::array<double, simulated_routes> served{};
  double mean = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    simulated_overload load = make_load(125, 2.5);
    load.m_overload_control = true;
    load.m_seed = seed;
    const auto result = simulate(load);
    for (std::size_t i = 0; i < simulated_routes; ++i) {
      const route_result& kind = result.m_routes[i];
      served[i] += static_cast<double>(kind.m_on_time + kind.m_late) / kind.m_callers / seeds;
      mean += load.m_profiles[i].m_share * static_cast<double>(kind.m_on_time + kind.m_late) /
              kind.m_callers / seeds;
    }
  }
  constexpr double tolerance = 0.05;
  constexpr double min_part_of_mean = 0.7;
  CHECK(served[1] <= served[0] + tolerance);
  CHECK(served[2] <= served[1] + tolerance);
  CHECK(served[2] >= min_part_of_mean * mean);
}

// Guards against the burst of one account that costs the others their objectives.
TEST(overload_control, the_burst_of_one_account_costs_the_others_less) {
  simulated_overload load = make_load(125, 2.5);
  load.m_accounts = 8;
  CHECK(measure(load, true).m_others_on_time > measure(load, false).m_others_on_time);
}

// Guards against a Retry-After beyond a third of the caller's time left, after which it does not return. With
// overload control off, the fixed time is stated as before.
TEST(overload_control, a_refused_caller_returns_within_a_third_of_its_time) {
  for (const bool enabled : {false, true}) {
    daemon_fixture daemon;
    daemon.m_dispatcher.set_overload_control("chat", enabled);
    CHECK_EQUAL(enabled, daemon.m_dispatcher.overload_control_enabled("chat"));
    daemon.set_servers({make_server("s1", "a", 1)});
    daemon.submit(1);
    submission request = daemon.make_request(7);
    request.m_deadline = daemon.m_now + seconds(3);
    request.m_abandoned_at = request.m_deadline;
    daemon.m_dispatcher.submit(request, daemon.m_now);
    const dispatch_refusal* refusal = nullptr;
    std::vector<dispatch_decision> decisions;
    while (refusal == nullptr) {
      daemon.m_now += milliseconds(10);
      decisions = daemon.m_dispatcher.tick(daemon.m_now);
      refusal = find_refusal(decisions);
    }
    if (enabled) {
      CHECK(refusal->m_retry_after <= (request.m_deadline - daemon.m_now) / 3);
      CHECK_EQUAL(1U, daemon.m_dispatcher.own_load_summaries(true).size());
    } else {
      CHECK(refusal->m_retry_after == seconds(4));
      CHECK_EQUAL(0U, daemon.m_dispatcher.own_load_summaries(true).size());
      CHECK_EQUAL(0U, daemon.m_dispatcher.count_overload_decisions().m_refused_after_wait);
    }
  }
}

// Guards against a returned caller that is refused a second time while a slot goes to a late first attempt.
// A first attempt that can be on time comes before both.
TEST(overload_control, a_returned_caller_comes_before_late_first_attempts) {
  daemon_fixture daemon;
  daemon.m_dispatcher.set_overload_control("chat", true);
  daemon.set_servers({make_server("s1", "a", 2)});
  daemon.submit(2);
  const auto add = [&](ticket id, bool late, bool returned) {
    submission request = daemon.make_request(id);
    if (late) {
      request.m_first_token_due = daemon.m_now - milliseconds(1);
    }
    request.m_age = returned ? duration(seconds(4)) : duration::zero();
    daemon.m_dispatcher.submit(request, daemon.m_now);
  };
  add(10, true, false);
  add(11, true, true);
  add(12, false, false);
  CHECK_EQUAL(0U, daemon.tick().size());
  daemon.m_dispatcher.finish(1, server_outcome::answered, daemon.m_now);
  CHECK_EQUAL(1U, daemon.tick().count(12));
  // A late request leaves a slot free for the requests that were blocked lately.
  daemon.m_dispatcher.finish(2, server_outcome::answered, daemon.m_now);
  CHECK_EQUAL(0U, daemon.tick().size());
  daemon.m_dispatcher.finish(12, server_outcome::answered, daemon.m_now);
  daemon.m_now += milliseconds(100);
  const auto results = daemon.tick();
  CHECK_EQUAL(1U, results.size());
  STRCMP_EQUAL("s1", results.at(11).c_str());
}

// Guards against plain requests that wait in a queue until a return within the objective is no longer
// possible, or beyond the timeout of their route: twice the capacity of 18 slots of 60 ms comes for two
// seconds.
TEST(overload_control, plain_requests_are_refused_in_time_for_a_return) {
  daemon_fixture daemon;
  declarations source;
  service orders;
  orders.m_name = "chat"; // the service of the fixture's servers
  source.m_services.push_back(orders);
  daemon.m_dispatcher.apply(source);
  daemon.m_dispatcher.set_overload_control("chat", true);
  daemon.set_servers({make_server("s1", "a", 6), make_server("s2", "a", 6), make_server("s3", "a", 6)});
  std::map<ticket, time_point> arrived;
  std::multimap<time_point, ticket> running;
  int refused = 0;
  int refused_in_time = 0;
  const time_point end = daemon.m_now + seconds(2);
  while (daemon.m_now < end) {
    daemon.m_now += milliseconds(5);
    while (!running.empty() && running.begin()->first <= daemon.m_now) {
      daemon.m_dispatcher.record_first_token(running.begin()->second, daemon.m_now);
      daemon.m_dispatcher.finish(running.begin()->second, server_outcome::answered, daemon.m_now);
      running.erase(running.begin());
    }
    for (int i = 0; i < 3; ++i) { // 600 per second, twice the capacity
      submission request = daemon.make_request(++daemon.m_last_ticket);
      request.m_first_token_due = daemon.m_now + milliseconds(300);
      request.m_deadline = request.m_abandoned_at = daemon.m_now + milliseconds(800);
      arrived[request.m_ticket] = daemon.m_now;
      daemon.m_dispatcher.submit(request, daemon.m_now);
    }
    for (const auto& decision : daemon.m_dispatcher.tick(daemon.m_now)) {
      if (const auto* grant = std::get_if<dispatch_grant>(&decision)) {
        running.emplace(daemon.m_now + milliseconds(60), grant->m_ticket);
        continue;
      }
      const auto& refusal = std::get<dispatch_refusal>(decision);
      const duration waited = daemon.m_now - arrived[refusal.m_ticket];
      CHECK(waited <= milliseconds(800));
      ++refused;
      refused_in_time += waited + refusal.m_retry_after <= milliseconds(300) ? 1 : 0;
    }
  }
  CHECK(refused > 100);
  CHECK(refused_in_time > refused * 8 / 10);
}

// Guards against daemons that ask full servers again and again: while all servers of the zone refuse, each
// one stays out for half a second instead of 60 ms.
TEST(overload_control, full_servers_are_asked_less_often_while_all_of_them_refuse) {
  for (const bool enabled : {false, true}) {
    daemon_fixture daemon;
    daemon.m_dispatcher.set_overload_control("chat", enabled);
    daemon.set_servers({make_server("s1"), make_server("s2")});
    // Other daemons occupy the servers.
    const std::array loads = {server_load{.m_server = server_id_hash("s1"), .m_running = 2, .m_speed = {}},
                              server_load{.m_server = server_id_hash("s2"), .m_running = 2, .m_speed = {}}};
    daemon.m_dispatcher.submit(daemon.make_request(1), daemon.m_now);
    daemon.m_dispatcher.submit(daemon.make_request(2), daemon.m_now);
    CHECK_EQUAL(2U, daemon.tick().size());
    daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now);
    daemon.m_dispatcher.finish(1, server_outcome::refused, daemon.m_now);
    daemon.m_dispatcher.finish(2, server_outcome::refused, daemon.m_now);
    daemon.m_dispatcher.set_peer_loads("d1", {}, daemon.m_now);
    daemon.m_now += milliseconds(100);
    const auto results = daemon.submit(1);
    CHECK_EQUAL(enabled ? 0U : 1U, results.size());
    daemon.m_now += milliseconds(450);
    CHECK_EQUAL(enabled ? 1U : 0U, daemon.tick().size());
  }
}
