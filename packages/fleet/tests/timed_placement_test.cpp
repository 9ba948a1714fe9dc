#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

constexpr std::uint32_t long_prompt = 6'610;
constexpr std::uint32_t short_prompt = 628;

} // namespace

TEST_GROUP(timed_placement) {
  daemon_fixture daemon;

  void setup() override {
    declarations source;
    service chat;
    chat.m_name = "chat";
    chat.m_uses_batching = true;
    service plain;
    plain.m_name = "plain";
    source.m_services = {chat, plain};
    route each;
    each.m_event_gap_target = milliseconds(400);
    each.m_services = {{"chat", 1.0}};
    source.m_routes.push_back(each);
    daemon.m_dispatcher.apply(source);
  }

  submission make_request(std::uint32_t prompt_tokens, std::uint32_t events) {
    auto request = daemon.make_request(++daemon.m_last_ticket);
    request.m_prompt_tokens = prompt_tokens;
    request.m_output_tokens = events;
    return request;
  }

  // Submits the request and returns its server, or nothing if it waits.
  std::string place(submission request) {
    const ticket id = request.m_ticket;
    daemon.m_dispatcher.submit(std::move(request), daemon.m_now);
    const auto results = daemon.tick();
    return results.contains(id) ? results.at(id) : "";
  }

  // Advances the time until no request waits, and returns all decisions.
  std::map<ticket, std::string> run_until_decided() {
    std::map<ticket, std::string> results;
    for (int i = 0; i < 500 && daemon.m_dispatcher.waiting() > 0; ++i) {
      results.merge(daemon.tick());
      daemon.m_now += milliseconds(10);
    }
    return results;
  }

  // Submits the request so that only the given server can take it.
  std::string place_on(const std::string& server, submission request) {
    for (const char* other : {"fast", "slow"}) {
      if (other != server) {
        request.m_excluded_servers.emplace_back(other);
      }
    }
    return place(request);
  }

  void state(const char* server, std::uint32_t percent) {
    daemon.m_dispatcher.record_work_time(server, percent, daemon.m_now);
  }

  void list_plain_servers(std::vector<std::string> ids, std::uint32_t slots = 6) {
    std::vector<backend_server> servers;
    for (auto& id : ids) {
      servers.push_back(make_server(std::move(id), "a", slots));
      servers.back().m_service = "plain";
    }
    daemon.set_servers(servers);
  }

  submission make_plain_request() {
    auto request = make_request(0, 0);
    request.m_service = "plain";
    request.m_first_token_due = daemon.m_now + milliseconds(300);
    request.m_deadline = daemon.m_now + milliseconds(1'500);
    return request;
  }
};

// Guards against long prompts on slow engines, which stall all their other streams, and against fast engines
// that are full of requests that slow ones serve in time: with free slots on all engines, long prompts go to
// the faster ones and requests with few events to the slow ones.
TEST(timed_placement, slow_engines_serve_short_requests) {
  daemon.set_servers(
      {make_server("fast", "a", 9), make_server("usual", "a", 9), make_server("slow", "a", 9)});
  state("fast", 55);
  state("usual", 100);
  state("slow", 280);
  int long_on_slow = 0;
  int short_on_slow = 0;
  for (int i = 0; i < 30; ++i) {
    daemon.m_now += milliseconds(200);
    const auto placed_long = make_request(long_prompt, 45);
    const auto placed_short = make_request(short_prompt, 3);
    long_on_slow += place(placed_long) == "slow" ? 1 : 0;
    short_on_slow += place(placed_short) == "slow" ? 1 : 0;
    daemon.m_dispatcher.finish(placed_long.m_ticket, server_outcome::answered, daemon.m_now);
    daemon.m_dispatcher.finish(placed_short.m_ticket, server_outcome::answered, daemon.m_now);
  }
  LONGS_EQUAL(0, long_on_slow);
  CHECK(short_on_slow >= 15);
}

// Guards against several long prompts that one slow engine reads at the same time, of this daemon or of
// peers: their stalls add up.
TEST(timed_placement, prompts_that_are_being_read_count) {
  daemon.set_member_count(2);
  daemon.set_servers({make_server("s1", "a", 9), make_server("s2", "a", 9)});
  state("s1", 200);
  state("s2", 200);
  const auto first = place(make_request(long_prompt, 45));
  const auto second = place(make_request(long_prompt, 45));
  CHECK(first != second);
  for (int i = 0; i < 10; ++i) {
    daemon_fixture other(static_cast<std::uint64_t>(i));
    other.set_member_count(2);
    other.set_servers({make_server("s1", "a", 9), make_server("s2", "a", 9)});
    other.m_dispatcher.record_work_time("s1", 200, other.m_now);
    other.m_dispatcher.record_work_time("s2", 200, other.m_now);
    const server_load reading{server_id_hash("s1"), 1, {}, false, false, 0, {}, 2 * long_prompt};
    const server_load idle{server_id_hash("s2"), 1, {}, false};
    other.m_dispatcher.set_peer_loads("d1", std::vector{reading, idle}, other.m_now);
    auto request = make_request(long_prompt, 45);
    other.m_dispatcher.submit(request, other.m_now);
    STRCMP_EQUAL("s2", other.tick()[request.m_ticket].c_str());
  }
}

// Guards against a disturbance that is known only after requests have been late because of it, and against
// a server that is avoided long after the disturbance has ended.
TEST(timed_placement, a_disturbed_engine_is_avoided_while_it_is_disturbed) {
  daemon.set_servers({make_server("s1", "a", 9), make_server("s2", "a", 9)});
  for (int i = 0; i < 30; ++i) {
    daemon.m_now += milliseconds(100);
    state("s1", 280);
    state("s2", 280);
  }
  daemon.m_now += milliseconds(100);
  state("s1", 700);
  for (int i = 0; i < 4; ++i) {
    auto request = make_request(short_prompt, 35);
    request.m_first_token_due = daemon.m_now + milliseconds(400);
    STRCMP_EQUAL("s2", place(request).c_str());
  }
  daemon.m_now += milliseconds(600);
  state("s1", 280);
  STRCMP_EQUAL("s1", place(make_request(short_prompt, 35)).c_str());
}

// Guards against slots of slow engines that stay empty while requests are refused that no other server takes.
TEST(timed_placement, no_slot_stays_empty_under_overload) {
  daemon.set_servers({make_server("fast", "a", 2), make_server("slow", "a", 2)});
  state("fast", 55);
  state("slow", 700);
  for (int i = 0; i < 6; ++i) {
    daemon.m_dispatcher.submit(make_request(long_prompt, 8), daemon.m_now);
  }
  const auto placed = run_until_decided();
  LONGS_EQUAL(2, count_results(placed, "fast"));
  LONGS_EQUAL(2, count_results(placed, "slow"));
}

// Guards against requests that are late on a slow engine although a faster one becomes free in time, and
// against slots that are kept from the requests that they suit.
TEST(timed_placement, a_request_waits_for_a_server_that_suits_it) {
  daemon.set_servers({make_server("fast", "a", 1), make_server("slow", "a", 9)});
  state("fast", 55);
  state("slow", 500);
  const auto running = make_request(long_prompt, 8);
  STRCMP_EQUAL("fast", place(running).c_str());
  STRCMP_EQUAL("slow", place(make_request(short_prompt, 3)).c_str());
  const auto waiting = make_request(long_prompt, 8);
  STRCMP_EQUAL("", place(waiting).c_str());
  STRCMP_EQUAL("slow", place(make_request(short_prompt, 3)).c_str());
  daemon.m_now += milliseconds(100);
  daemon.m_dispatcher.finish(running.m_ticket, server_outcome::answered, daemon.m_now);
  STRCMP_EQUAL("fast", daemon.tick()[waiting.m_ticket].c_str());
}

// Guards against slow engines that are busy for seconds with requests that are late anyway, while requests
// that they serve in time are refused. Such a request waits for a fast engine.
TEST(timed_placement, late_requests_wait_for_a_fast_server) {
  daemon.set_servers({make_server("fast", "a", 1), make_server("slow", "a", 9)});
  state("fast", 55);
  state("slow", 280);
  const auto running = make_request(short_prompt, 35);
  STRCMP_EQUAL("fast", place_on("fast", running).c_str());
  place(make_request(short_prompt, 3)); // a stream on the slow server
  auto late = make_request(short_prompt, 35);
  late.m_first_token_due = daemon.m_now - milliseconds(100);
  STRCMP_EQUAL("", place(late).c_str());
  STRCMP_EQUAL("slow", place(make_request(short_prompt, 3)).c_str());
  daemon.m_now += milliseconds(100);
  daemon.m_dispatcher.finish(running.m_ticket, server_outcome::answered, daemon.m_now);
  STRCMP_EQUAL("fast", daemon.tick()[late.m_ticket].c_str());
}

// Guards against prompts that are so long that no server suits them and that are therefore refused: they go
// to the fastest server.
TEST(timed_placement, the_longest_prompts_are_served_by_fast_servers) {
  daemon.set_servers({make_server("fast", "a", 9), make_server("slow", "a", 9)});
  state("fast", 55);
  state("slow", 280);
  for (int i = 0; i < 4; ++i) {
    place(make_request(short_prompt, 35));
    const auto request = make_request(54'600, 45);
    STRCMP_EQUAL("fast", place(request).c_str());
    daemon.m_now += milliseconds(400);
    daemon.m_dispatcher.record_first_token(request.m_ticket, daemon.m_now);
  }
}

// Guards against daemons with the same information that all choose the same server.
TEST(timed_placement, daemons_with_the_same_information_choose_different_servers) {
  std::map<std::string, int> chosen;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    daemon_fixture other(seed);
    std::vector<backend_server> servers;
    for (int i = 0; i < 8; ++i) {
      servers.push_back(make_server("s" + std::to_string(i), "a", 9));
    }
    other.set_servers(servers);
    for (const auto& each : servers) {
      other.m_dispatcher.record_work_time(each.m_id, each.m_id == "s3" ? 55 : 60, other.m_now);
    }
    auto request = other.make_request(1);
    request.m_prompt_tokens = long_prompt;
    other.m_dispatcher.submit(request, other.m_now);
    ++chosen[other.tick()[1]];
  }
  for (const auto& [server, count] : chosen) {
    CHECK(count <= 25);
  }
  CHECK(chosen.size() >= 4);
}

// Guards against plain requests on a server that cannot answer within the objective while others can, and
// against a plain server that is not used at all because it is slow.
TEST(timed_placement, plain_requests_go_where_they_are_answered_in_time) {
  list_plain_servers({"p1", "p2", "slow"});
  for (const char* each : {"p1", "p2"}) {
    state(each, 100);
  }
  state("slow", 700);
  for (int i = 0; i < 20; ++i) {
    daemon.m_dispatcher.submit(make_plain_request(), daemon.m_now);
  }
  const auto at_once = daemon.tick();
  LONGS_EQUAL(16, count_results(at_once, "p1") + count_results(at_once, "p2")); // their slots and queues
  CHECK(count_results(at_once, "slow") + count_results(run_until_decided(), "slow") == 4);
}

// Guards against daemons of a large group that all send their plain requests to the fastest server, since
// none knows in time what the others sent. A server twice as slow as another gets about half as many.
TEST(timed_placement, plain_requests_of_many_daemons_are_spread_by_speed) {
  std::map<std::string, int> placed;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    daemon_fixture each(seed);
    declarations source;
    service plain;
    plain.m_name = "plain";
    source.m_services = {plain};
    each.m_dispatcher.apply(source);
    each.set_member_count(70, false);
    auto fast = make_server("fast", "a", 6);
    auto slow = make_server("slow", "a", 6);
    fast.m_service = slow.m_service = "plain";
    each.set_servers({fast, slow});
    each.m_dispatcher.record_work_time("fast", 100, each.m_now);
    each.m_dispatcher.record_work_time("slow", 200, each.m_now);
    auto request = each.make_request(1);
    request.m_service = "plain";
    each.m_dispatcher.submit(std::move(request), each.m_now);
    ++placed[each.tick()[1]];
  }
  LONGS_EQUAL(300, placed["fast"] + placed["slow"]);
  CHECK(placed["fast"] > 170);
  CHECK(placed["slow"] > 70);
}

// Guards against a server that states that it is fast, but is not: requests follow what responses show.
TEST(timed_placement, responses_count_more_than_statements) {
  list_plain_servers({"honest", "liar"}, 50);
  std::map<std::string, int> placed;
  for (int i = 0; i < 200; ++i) {
    daemon.m_now += milliseconds(500);
    state("honest", 100);
    state("liar", 20);
    const auto request = make_plain_request();
    const auto server = place(request);
    placed[server] += i >= 100 ? 1 : 0;
    daemon.m_now += milliseconds(server == "liar" ? 250 : 60);
    daemon.m_dispatcher.record_first_token(request.m_ticket, daemon.m_now);
    daemon.m_dispatcher.finish(request.m_ticket, server_outcome::answered, daemon.m_now);
  }
  CHECK(placed["honest"] > 90);
}

// Guards against new rules for services that do not ask for them: without statements, and where learned
// limits are off, the choice is the one of the other rules, down to its random numbers.
TEST(timed_placement, nothing_changes_where_learned_limits_are_off) {
  daemon_fixture unstated(7);
  daemon_fixture off(7);
  off.m_dispatcher.set_learned_limits(learned_limits_mode::off);
  std::vector<backend_server> servers;
  for (int i = 0; i < 6; ++i) {
    servers.push_back(make_server("s" + std::to_string(i), "a", 3));
  }
  for (auto* each : {&unstated, &off}) {
    each->set_servers(servers);
  }
  for (int i = 0; i < 15; ++i) {
    off.m_dispatcher.record_work_time("s" + std::to_string(i % 6), 280, off.m_now);
    CHECK(unstated.submit(1) == off.submit(1));
  }
}

// Guards against slots that are used although the server only slows down beyond half of them, and against a
// limit that one daemon with a wrong view sets for all.
TEST(timed_placement, learned_limits_bound_the_running_requests) {
  daemon.set_member_count(4);
  daemon.set_servers({make_server("s1", "a", 8)});
  state("s1", 100);
  const auto report = [&](const char* peer, std::uint32_t limit) {
    const server_load load{server_id_hash("s1"), 0, {0.05, 1e-5, 0.03, 5}, false, false, 0, {}, 0, limit};
    daemon.m_dispatcher.set_peer_loads(peer, std::span(&load, 1), daemon.m_now);
  };
  report("d1", 4);
  report("d2", 4);
  report("d3", 1);
  daemon.m_now += milliseconds(500);
  daemon.tick();
  LONGS_EQUAL(4, count_results(daemon.submit(10), "s1"));
  daemon.m_now += seconds(3);
  report("d1", 8);
  report("d2", 8);
  LONGS_EQUAL(0, count_results(daemon.tick(), "s1")); // none waits any more
  LONGS_EQUAL(4, count_results(daemon.submit(10), "s1"));
}

// Guards against a server that shuts itself out, or attracts everything, by statements that change all the
// time: its limit and its use stay within what responses show.
TEST(timed_placement, a_server_with_random_statements_is_used_as_before) {
  list_plain_servers({"honest", "liar"}, 6);
  std::mt19937 random{5};
  std::map<std::string, int> placed;
  for (int i = 0; i < 400; ++i) {
    daemon.m_now += milliseconds(100);
    state("honest", 100);
    state("liar", random() % 2 == 0 ? 5 : 10'000);
    const auto request = make_plain_request();
    const auto server = place(request);
    ++placed[server];
    daemon.m_now += milliseconds(60);
    daemon.m_dispatcher.record_first_token(request.m_ticket, daemon.m_now);
    daemon.m_dispatcher.finish(request.m_ticket, server_outcome::answered, daemon.m_now);
  }
  LONGS_EQUAL(400, placed["honest"] + placed["liar"]);
  CHECK(placed["honest"] >= 100 && placed["liar"] >= 50);
}
