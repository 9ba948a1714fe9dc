#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

TEST_GROUP(dispatcher) {
  daemon_fixture daemon;
};

// Guards against more requests on a server than it has slots. The reported requests of peers must count
// together with those of this daemon until the peer has sent no report for too long.
TEST(dispatcher, requests_of_peers_occupy_slots) {
  daemon.set_member_count(2);
  daemon.set_servers({make_server("s1", "a", 4)});
  const server_load load{server_id_hash("s1"), 3, {}, false};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
  LONGS_EQUAL(1, count_results(daemon.submit(3), "s1"));
  // The last report of a peer expires when the peer sends no more reports.
  daemon.m_now += milliseconds(2'500);
  for (ticket id = 1; id <= daemon.m_last_ticket; ++id) {
    daemon.m_dispatcher.cancel(id);
  }
  LONGS_EQUAL(3, count_results(daemon.submit(4), "s1"));
}

// Guards against sums of the peers' loads that drift, since each report changes only the servers that it
// names: repeated and replaced reports, reports about servers that are listed later, and servers that come
// back.
TEST(dispatcher, loads_of_peers_are_counted_once) {
  daemon.set_member_count(3);
  const std::vector<server_load> loads = {{server_id_hash("s1"), 2, {}, false},
                                          {server_id_hash("s2"), 1, {}, false}};
  daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now); // before any server is listed
  daemon.set_servers({make_server("s1", "a", 4), make_server("s2", "a", 4)});
  daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now);
  daemon.m_dispatcher.set_peer_loads("d2", std::span(loads).first(1), daemon.m_now);
  auto results = daemon.submit(8);
  LONGS_EQUAL(0, count_results(results, "s1"));
  LONGS_EQUAL(3, count_results(results, "s2"));
  daemon.m_dispatcher.set_peer_loads("d2", {}, daemon.m_now);
  LONGS_EQUAL(2, count_results(daemon.submit(8), "s1"));
  daemon.set_servers({make_server("s2", "a", 4)});
  daemon.set_servers({make_server("s1", "a", 5), make_server("s2", "a", 4)});
  LONGS_EQUAL(1, count_results(daemon.submit(8), "s1"));
}

// Guards against a wrong total of blocked requests, of a faulty or restarted peer, that holds back less
// urgent requests for long while slots are free.
TEST(dispatcher, a_wrong_total_of_blocked_requests_is_soon_forgotten) {
  daemon.set_member_count(2);
  declarations source;
  service chat;
  chat.m_name = "chat";
  chat.m_uses_batching = true;
  source.m_services.push_back(chat);
  for (std::uint32_t rank = 0; rank < 2; ++rank) {
    route each;
    each.m_rank = rank;
    each.m_services = {{"chat", 1.0}};
    source.m_routes.push_back(each);
  }
  daemon.m_dispatcher.apply(source);
  daemon.set_servers({make_server("s1", "a", 8)});
  daemon.m_dispatcher.set_peer_loads("d1", {}, daemon.m_now);
  daemon.m_dispatcher.set_peer_blocked("d1", {0, 0, 0, 0}, daemon.m_now);
  daemon.m_dispatcher.set_peer_blocked("d1", {4'000'000'000, 0, 0, 0}, daemon.m_now);
  daemon.m_dispatcher.set_peer_blocked("d1", {7, 0, 0, 0}, daemon.m_now); // a new process
  const auto submit_less_urgent = [&] {
    auto request = daemon.make_request(++daemon.m_last_ticket);
    request.m_route_rank = 1;
    daemon.m_dispatcher.submit(request, daemon.m_now);
    return count_results(daemon.tick(), "s1");
  };
  LONGS_EQUAL(0, submit_less_urgent());
  daemon.m_now += seconds(3);
  daemon.m_dispatcher.cancel(daemon.m_last_ticket);
  LONGS_EQUAL(1, submit_less_urgent());
}

// Guards against new requests to servers that are draining, are no longer listed, or are in an evacuated
// availability zone.
TEST(dispatcher, draining_removed_and_evacuated_servers_get_no_requests) {
  auto leaving = make_server("s1");
  leaving.m_draining = true;
  daemon.set_servers({leaving, make_server("s2", "b"), make_server("s3")});
  daemon.m_dispatcher.set_evacuated_zones({"b"});
  auto results = daemon.submit(1);
  LONGS_EQUAL(1, count_results(results, "s3"));
  daemon.set_servers({leaving, make_server("s2", "b")});
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s3"));
  daemon.m_dispatcher.set_evacuated_zones({});
  LONGS_EQUAL(1, count_results(daemon.tick(), "s2"));
}

// Guards against a server that fails every request immediately. It always has free slots and would therefore
// attract all requests.
TEST(dispatcher, failing_servers_are_excluded_and_then_probed_with_single_requests) {
  daemon.set_servers({make_server("s1", "a", 8)});
  for (int i = 0; i < 2; ++i) {
    LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
    daemon.m_dispatcher.finish(daemon.m_last_ticket, server_outcome::failed, daemon.m_now);
  }
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
  daemon.m_now += milliseconds(2'100);
  LONGS_EQUAL(1, count_results(daemon.submit(3), "s1"));
  CHECK(daemon.m_dispatcher.own_loads(daemon.m_now).front().m_running == 1);
}

// Guards against each daemon having to lose requests of its own before it excludes a failing server.
TEST(dispatcher, servers_reported_failing_by_two_peers_get_no_requests) {
  daemon.set_member_count(3);
  daemon.set_servers({make_server("s1"), make_server("s2"), make_server("s3")});
  const server_load load{server_id_hash("s1"), 0, {}, true};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
  daemon.m_dispatcher.set_peer_loads("d2", std::span(&load, 1), daemon.m_now);
  LONGS_EQUAL(0, count_results(daemon.submit(4), "s1"));
}

// Guards against the exclusion of healthy servers because of peers with a bad network link, which report most
// servers as failing.
TEST(dispatcher, failure_reports_about_most_servers_are_ignored) {
  daemon.set_member_count(3);
  daemon.set_servers({make_server("s1"), make_server("s2")});
  const std::vector<server_load> loads = {{server_id_hash("s1"), 0, {}, true},
                                          {server_id_hash("s2"), 0, {}, true}};
  daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now);
  daemon.m_dispatcher.set_peer_loads("d2", loads, daemon.m_now);
  LONGS_EQUAL(2, count_results(daemon.submit(4), "s1"));
}

// Guards against daemons that together exceed the rate of a cold server. It is 16 requests a second, of which
// 12 are used.
TEST(dispatcher, cold_server_rate_is_shared_by_all_daemons) {
  for (const int daemons : {1, 4, 40}) {
    int sent = 0;
    for (int self = 0; self < daemons; ++self) {
      daemon_fixture each;
      std::vector<daemon_location> members;
      for (int i = 0; i < daemons; ++i) {
        members.push_back({"d" + std::to_string(i), "a"});
      }
      each.m_dispatcher.set_members(members, members[static_cast<std::size_t>(self)], true);
      auto cold = make_server("s1", "a", 100);
      cold.m_cold_remaining = seconds(3);
      each.set_servers({cold});
      sent += count_results(each.submit(30), "s1");
    }
    CHECK(sent <= 16);
    CHECK(sent >= 8);
  }
}

// Guards against a request of a lower tier being served before one of a higher tier, and against a long
// request that delays a short one of the same tier.
TEST(dispatcher, queue_is_ordered_by_tier_then_short_requests) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(1);
  auto low_tier = daemon.make_request(11);
  low_tier.m_rank = 1;
  auto long_request = daemon.make_request(12);
  long_request.m_output_tokens = 400;
  const auto short_request = daemon.make_request(13);
  for (const auto& each : {low_tier, long_request, short_request}) {
    daemon.m_dispatcher.submit(each, daemon.m_now);
  }
  std::vector<ticket> served;
  for (ticket running = 1; served.size() < 3; running = served.back()) {
    daemon.m_dispatcher.finish(running, server_outcome::answered, daemon.m_now);
    served.push_back(daemon.tick().begin()->first);
  }
  CHECK((served == std::vector<ticket>{13, 12, 11}));
}

// Guards against requests that wait for capacity until their callers give up instead of being refused with a
// time to retry.
TEST(dispatcher, requests_without_capacity_are_refused_before_their_callers_give_up) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(2);
  daemon.m_now += milliseconds(1'700);
  CHECK(daemon.tick().empty());
  daemon.m_now += milliseconds(100);
  LONGS_EQUAL(1, count_results(daemon.tick(), "refused"));
}

// Guards against requests that are queued although the servers cannot process the requests ahead of them in
// the time that they may wait.
TEST(dispatcher, requests_behind_a_too_long_queue_are_refused_on_arrival) {
  daemon.set_servers({make_server("s1", "a", 1)});
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  LONGS_EQUAL(0, count_results(daemon.submit(1), "refused"));
  LONGS_EQUAL(0, count_results(daemon.submit(1), "refused"));
  LONGS_EQUAL(1, count_results(daemon.submit(1), "refused"));
  UNSIGNED_LONGS_EQUAL(2, daemon.m_dispatcher.waiting());
}

// Guards against late retries that take the slots of requests which can still be answered on time.
TEST(dispatcher, requests_that_can_be_on_time_precede_late_ones) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(1);
  auto late = daemon.make_request(11);
  late.m_first_token_due = daemon.m_now - milliseconds(4'000);
  daemon.m_dispatcher.submit(late, daemon.m_now);
  daemon.m_dispatcher.submit(daemon.make_request(12), daemon.m_now);
  daemon.m_dispatcher.finish(1, server_outcome::answered, daemon.m_now);
  STRCMP_EQUAL("s1", daemon.tick()[12].c_str());
}

// Guards against requests that wait in vain after the response can no longer begin on time. The longer they
// wait, the less time their callers have left to react.
TEST(dispatcher, requests_that_become_late_are_refused_if_the_queue_is_too_long) {
  daemon.set_servers({make_server("s1", "a", 1)});
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  LONGS_EQUAL(0, count_results(daemon.submit(2), "refused"));
  daemon.m_now += milliseconds(700);
  LONGS_EQUAL(0, count_results(daemon.tick(), "refused"));
  daemon.m_now += milliseconds(95); // less time is left than the first token takes
  LONGS_EQUAL(1, count_results(daemon.tick(), "refused"));
}

// Guards against daemons that overload a server because the reported load, on which they decide, is outdated.
// A reservation prevents this where the service supports it.
TEST(dispatcher, slots_are_reserved_if_the_service_supports_it) {
  daemon.set_servers({make_server("s1")});
  daemon.m_dispatcher.submit(daemon.make_request(1), daemon.m_now);
  LONGS_EQUAL(0,
              std::get<dispatch_grant>(daemon.m_dispatcher.tick(daemon.m_now).front()).m_reservation.count());
  declarations source;
  service chat;
  chat.m_name = "chat";
  chat.m_uses_batching = true;
  chat.m_max_reservation = milliseconds(200);
  source.m_services.push_back(chat);
  daemon.m_dispatcher.apply(source);
  daemon.m_dispatcher.submit(daemon.make_request(2), daemon.m_now);
  LONGS_EQUAL(200,
              std::get<dispatch_grant>(daemon.m_dispatcher.tick(daemon.m_now).front()).m_reservation.count());
}

// Guards against an idle server that drains, which the store does not show yet, and refuses all requests.
// Because it appears to be free, every daemon would try it first again and again.
TEST(dispatcher, pause_doubles_after_unexplained_refusals) {
  daemon.set_servers({make_server("s1", "a", 8)});
  const auto refused_again_after = [&](milliseconds pause) {
    LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
    daemon.m_dispatcher.finish(daemon.m_last_ticket, server_outcome::refused, daemon.m_now);
    LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
    daemon.m_dispatcher.cancel(daemon.m_last_ticket);
    daemon.m_now += pause - milliseconds(1);
    LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
    daemon.m_dispatcher.cancel(daemon.m_last_ticket);
    daemon.m_now += milliseconds(1);
  };
  refused_again_after(milliseconds(250));
  refused_again_after(milliseconds(500));
  refused_again_after(milliseconds(1'000));
  refused_again_after(milliseconds(1'000));
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  daemon.m_dispatcher.finish(daemon.m_last_ticket, server_outcome::answered, daemon.m_now);
  refused_again_after(milliseconds(250));
}

// Guards against long responses on servers that are too slow to complete them in time.
TEST(dispatcher, long_responses_go_to_servers_that_are_fast_enough) {
  daemon.set_servers({make_server("fast", "a", 8), make_server("slow", "a", 8)});
  const std::vector<server_load> loads = {{server_id_hash("fast"), 2, {0.03, 1e-5, 0.02, 20}, false},
                                          {server_id_hash("slow"), 0, {0.2, 3e-5, 0.1, 20}, false}};
  daemon.set_member_count(2);
  daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now);
  auto long_request = daemon.make_request(1);
  long_request.m_output_tokens = 200;
  daemon.m_dispatcher.submit(long_request, daemon.m_now);
  STRCMP_EQUAL("fast", daemon.tick()[1].c_str());
}

// Guards against daemons of a large group that all use the same free slots before they receive one another's
// reports.
TEST(dispatcher, slots_are_divided_among_the_daemons_of_the_zone) {
  constexpr int daemons = 20;
  std::map<std::string, int> sent;
  for (int self = 0; self < daemons; ++self) {
    daemon_fixture each;
    std::vector<daemon_location> members;
    for (int i = 0; i < daemons; ++i) {
      members.push_back({"d" + std::to_string(i), "a"});
    }
    each.m_dispatcher.set_members(members, members[static_cast<std::size_t>(self)], false);
    std::vector<backend_server> servers;
    for (int i = 0; i < 10; ++i) {
      servers.push_back(make_server("s" + std::to_string(i), "a", 8));
    }
    each.set_servers(servers);
    for (const auto& [id, server] : each.submit(2)) {
      ++sent[server];
    }
  }
  for (const auto& [server, requests] : sent) {
    CHECK_TEXT(requests <= 9, server.c_str());
  }
}

// Guards against the failure statistics of an ended process being applied to a new process with the same id.
TEST(dispatcher, a_server_restarted_with_the_same_id_starts_with_clean_state) {
  daemon.set_servers({make_server("s1", "a", 8)});
  for (int i = 0; i < 2; ++i) {
    daemon.submit(1);
    daemon.m_dispatcher.finish(daemon.m_last_ticket, server_outcome::failed, daemon.m_now);
  }
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
  auto restarted = make_server("s1", "a", 8);
  restarted.m_started_unix_ms = 7;
  daemon.set_servers({restarted});
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
}

// Guards against a stream that is cut in its midst because it lost its server while the others were silent
// for a moment, or while requests that can still be refused were waiting. Its caller cannot be told to come
// back.
TEST(dispatcher, a_request_that_may_have_run_waits_although_new_ones_are_refused) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.m_dispatcher.submit(daemon.make_request(1), daemon.m_now);
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
  for (const ticket each : {11, 12, 13}) {
    auto interrupted = daemon.make_request(each);
    interrupted.m_may_have_run = true;
    interrupted.m_first_token_due = daemon.m_now - milliseconds(4'000);
    daemon.m_dispatcher.submit(interrupted, daemon.m_now);
  }
  daemon.m_dispatcher.submit(daemon.make_request(2), daemon.m_now);
  for (int i = 0; i < 6; ++i) {
    daemon.m_dispatcher.record_silence(1, daemon.m_now);
    const auto results = daemon.tick();
    for (const ticket each : {11, 12, 13}) {
      CHECK_FALSE(results.contains(each));
    }
    daemon.m_now += milliseconds(100);
  }
  daemon.m_dispatcher.finish(1, server_outcome::answered, daemon.m_now);
  daemon.m_now += milliseconds(350);
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
}

// Guards against new requests that are sent to a server while it is silent. It has free places because its
// requests do not end, so that they would all go there.
TEST(dispatcher, silent_server_receives_no_new_requests) {
  daemon.set_servers({make_server("s1", "a", 8)});
  daemon.m_dispatcher.submit(daemon.make_request(1), daemon.m_now);
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
  daemon.m_dispatcher.record_silence(1, daemon.m_now);
  daemon.m_dispatcher.submit(daemon.make_request(2), daemon.m_now);
  LONGS_EQUAL(0, count_results(daemon.tick(), "s1"));
  daemon.m_now += milliseconds(350);
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
}
