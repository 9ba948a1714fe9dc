#include "cardamompond/fleet/dispatcher.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

backend_server make_server(std::string id, std::string zone = "a", std::uint32_t slots = 2) {
  backend_server server;
  server.m_id = std::move(id);
  server.m_service = "chat";
  server.m_address = "127.0.0.1:1";
  server.m_availability_zone = std::move(zone);
  server.m_version = "v1";
  server.m_slots = slots;
  return server;
}

// One daemon's dispatcher in virtual time.
struct daemon_fixture {
  daemon_fixture() {
    declarations source;
    service chat;
    chat.m_name = "chat";
    chat.m_uses_batching = true;
    chat.m_cold_requests_per_s = 16;
    source.m_services.push_back(chat);
    m_dispatcher.apply(source);
    set_group(1);
  }

  void set_group(int daemons, bool close = true) {
    std::vector<daemon_location> members;
    for (int i = 0; i < daemons; ++i) {
      members.push_back({"d" + std::to_string(i), "a"});
    }
    m_dispatcher.set_members(members, members.front(), close);
  }

  submission make_request(ticket id) const {
    submission request;
    request.m_ticket = id;
    request.m_service = "chat";
    request.m_arrived = m_now;
    request.m_first_answer_due = m_now + milliseconds(800);
    request.m_abandoned_at = m_now + milliseconds(3'200);
    request.m_deadline = m_now + seconds(15);
    return request;
  }

  // Server of each request that was granted; "refused" of each that was refused.
  std::map<ticket, std::string> tick() {
    std::map<ticket, std::string> results;
    for (const auto& decision : m_dispatcher.tick(m_now)) {
      if (const auto* grant = std::get_if<dispatch_grant>(&decision)) {
        results[grant->m_ticket] = grant->m_server.m_id;
      } else {
        results[std::get<dispatch_refusal>(decision).m_ticket] = "refused";
      }
    }
    return results;
  }

  std::map<ticket, std::string> submit(int count) {
    for (int i = 0; i < count; ++i) {
      m_dispatcher.submit(make_request(++m_last), m_now);
    }
    return tick();
  }

  void set_servers(std::vector<backend_server> servers) { m_dispatcher.set_backend_servers(servers, m_now); }

  dispatcher m_dispatcher{42};
  time_point m_now{seconds(100)};
  ticket m_last = 0;
};

int count(const std::map<ticket, std::string>& results, std::string_view server) {
  int found = 0;
  for (const auto& [id, name] : results) {
    found += name == server ? 1 : 0;
  }
  return found;
}

} // namespace

TEST_GROUP(dispatcher) {
  daemon_fixture daemon;
};

// Guards against more requests on a server than it has slots, own and reported ones together.
TEST(dispatcher, slots_are_shared_with_the_peers) {
  daemon.set_group(2);
  daemon.set_servers({make_server("s1", "a", 4)});
  const server_load load{server_id_hash("s1"), 3, {}, false};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
  LONGS_EQUAL(1, count(daemon.submit(3), "s1"));
  // A peer that fell silent holds no slots for ever.
  daemon.m_now += milliseconds(2'500);
  for (ticket id = 1; id <= daemon.m_last; ++id) {
    daemon.m_dispatcher.cancel(id);
  }
  LONGS_EQUAL(3, count(daemon.submit(4), "s1"));
}

// Guards against new work for servers that leave, are gone, or stand in a zone that is taken out.
TEST(dispatcher, leaving_and_evacuated_servers_get_nothing) {
  auto leaving = make_server("s1");
  leaving.m_draining = true;
  daemon.set_servers({leaving, make_server("s2", "b"), make_server("s3")});
  daemon.m_dispatcher.set_evacuated_zones({"b"});
  auto results = daemon.submit(1);
  LONGS_EQUAL(1, count(results, "s3"));
  daemon.set_servers({leaving, make_server("s2", "b")});
  LONGS_EQUAL(0, count(daemon.submit(1), "s3"));
  daemon.m_dispatcher.set_evacuated_zones({});
  LONGS_EQUAL(1, count(daemon.tick(), "s2"));
}

// Guards against a server that answers every request with a failure at once and so draws all of them.
TEST(dispatcher, failing_servers_are_excluded_and_tried_again_one_by_one) {
  daemon.set_servers({make_server("s1", "a", 8)});
  for (int i = 0; i < 2; ++i) {
    LONGS_EQUAL(1, count(daemon.submit(1), "s1"));
    daemon.m_dispatcher.finish(daemon.m_last, server_outcome::failed, daemon.m_now);
  }
  LONGS_EQUAL(0, count(daemon.submit(1), "s1"));
  daemon.m_now += milliseconds(2'100);
  LONGS_EQUAL(1, count(daemon.submit(3), "s1"));
  CHECK(daemon.m_dispatcher.own_loads(daemon.m_now).front().m_running == 1);
}

// Guards against a server that failed at several peers getting a request of every other daemon too.
TEST(dispatcher, servers_that_fail_at_two_peers_get_nothing) {
  daemon.set_group(3);
  daemon.set_servers({make_server("s1"), make_server("s2"), make_server("s3")});
  const server_load load{server_id_hash("s1"), 0, {}, true};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
  daemon.m_dispatcher.set_peer_loads("d2", std::span(&load, 1), daemon.m_now);
  LONGS_EQUAL(0, count(daemon.submit(4), "s1"));
}

// Guards against peers with a bad link that make everybody give up sound servers.
TEST(dispatcher, accusations_of_most_servers_are_not_believed) {
  daemon.set_group(3);
  daemon.set_servers({make_server("s1"), make_server("s2")});
  const std::vector<server_load> loads = {{server_id_hash("s1"), 0, {}, true},
                                          {server_id_hash("s2"), 0, {}, true}};
  daemon.m_dispatcher.set_peer_loads("d1", loads, daemon.m_now);
  daemon.m_dispatcher.set_peer_loads("d2", loads, daemon.m_now);
  LONGS_EQUAL(2, count(daemon.submit(4), "s1"));
}

// Guards against daemons that together send a cold server more than it bears: 16 a second, of which 12 are
// used.
TEST(dispatcher, cold_servers_get_what_all_daemons_may_send_together) {
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
      sent += count(each.submit(30), "s1");
    }
    CHECK(sent <= 16);
    CHECK(sent >= 8);
  }
}

// Guards against a lower tier that is served before a higher one, and against a long request that keeps a
// quick one of its tier waiting.
TEST(dispatcher, tiers_first_then_quick_requests) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(1);
  auto low = daemon.make_request(11);
  low.m_rank = 1;
  auto lengthy = daemon.make_request(12);
  lengthy.m_output_tokens = 400;
  const auto quick = daemon.make_request(13);
  for (const auto& each : {low, lengthy, quick}) {
    daemon.m_dispatcher.submit(each, daemon.m_now);
  }
  std::vector<ticket> served;
  for (ticket running = 1; served.size() < 3; running = served.back()) {
    daemon.m_dispatcher.finish(running, server_outcome::answered, daemon.m_now);
    served.push_back(daemon.tick().begin()->first);
  }
  CHECK((served == std::vector<ticket>{13, 12, 11}));
}

// Guards against callers that wait until they leave instead of being told to come back.
TEST(dispatcher, requests_without_room_are_refused_before_their_callers_leave) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(2);
  daemon.m_now += milliseconds(1'700);
  CHECK(daemon.tick().empty());
  daemon.m_now += milliseconds(100);
  LONGS_EQUAL(1, count(daemon.tick(), "refused"));
}

// Guards against requests that wait in a queue which is longer than what is served in their time.
TEST(dispatcher, requests_without_a_chance_are_refused_on_arrival) {
  daemon.set_servers({make_server("s1", "a", 1)});
  LONGS_EQUAL(1, count(daemon.submit(1), "s1"));
  LONGS_EQUAL(0, count(daemon.submit(1), "refused"));
  LONGS_EQUAL(0, count(daemon.submit(1), "refused"));
  LONGS_EQUAL(1, count(daemon.submit(1), "refused"));
  UNSIGNED_LONGS_EQUAL(2, daemon.m_dispatcher.waiting());
}

// Guards against late repetitions that take the places of requests which can still be on time.
TEST(dispatcher, requests_that_can_be_on_time_go_before_late_ones) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(1);
  auto late = daemon.make_request(11);
  late.m_first_answer_due = daemon.m_now - milliseconds(4'000);
  daemon.m_dispatcher.submit(late, daemon.m_now);
  daemon.m_dispatcher.submit(daemon.make_request(12), daemon.m_now);
  daemon.m_dispatcher.finish(1, server_outcome::answered, daemon.m_now);
  STRCMP_EQUAL("s1", daemon.tick()[12].c_str());
}

// Guards against requests that are held for nothing after their goal: the longer they are held, the less
// their callers can do about it.
TEST(dispatcher, requests_that_become_late_without_a_chance_are_refused_then) {
  daemon.set_servers({make_server("s1", "a", 1)});
  LONGS_EQUAL(1, count(daemon.submit(1), "s1"));
  LONGS_EQUAL(0, count(daemon.submit(2), "refused"));
  daemon.m_now += milliseconds(700);
  LONGS_EQUAL(0, count(daemon.tick(), "refused"));
  daemon.m_now += milliseconds(95); // the first answer takes longer than what is left
  LONGS_EQUAL(1, count(daemon.tick(), "refused"));
}

// Guards against daemons that fill a server by views of its load which are some moments old.
TEST(dispatcher, places_are_reserved_where_the_service_keeps_them) {
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

// Guards against an idle server that refuses all requests, since it leaves and nobody knows yet, and that
// every daemon asks first and again and again.
TEST(dispatcher, servers_that_refuse_against_the_reports_are_tried_ever_more_seldom) {
  daemon.set_servers({make_server("s1", "a", 8)});
  const auto refused_again_after = [&](milliseconds pause) {
    LONGS_EQUAL(1, count(daemon.submit(1), "s1"));
    daemon.m_dispatcher.finish(daemon.m_last, server_outcome::refused, daemon.m_now);
    LONGS_EQUAL(0, count(daemon.submit(1), "s1"));
    daemon.m_dispatcher.cancel(daemon.m_last);
    daemon.m_now += pause - milliseconds(1);
    LONGS_EQUAL(0, count(daemon.submit(1), "s1"));
    daemon.m_dispatcher.cancel(daemon.m_last);
    daemon.m_now += milliseconds(1);
  };
  refused_again_after(milliseconds(250));
  refused_again_after(milliseconds(500));
  refused_again_after(milliseconds(1'000));
  refused_again_after(milliseconds(1'000));
  LONGS_EQUAL(1, count(daemon.submit(1), "s1"));
  daemon.m_dispatcher.finish(daemon.m_last, server_outcome::answered, daemon.m_now);
  refused_again_after(milliseconds(250));
}

// Guards against long answers on servers that cannot finish them in time.
TEST(dispatcher, long_answers_go_to_servers_that_are_fast_enough) {
  daemon.set_servers({make_server("fast", "a", 8), make_server("slow", "a", 8)});
  const std::vector<server_load> seen = {{server_id_hash("fast"), 2, {0.03, 1e-5, 0.02, 20}, false},
                                         {server_id_hash("slow"), 0, {0.2, 3e-5, 0.1, 20}, false}};
  daemon.set_group(2);
  daemon.m_dispatcher.set_peer_loads("d1", seen, daemon.m_now);
  auto lengthy = daemon.make_request(1);
  lengthy.m_output_tokens = 200;
  daemon.m_dispatcher.submit(lengthy, daemon.m_now);
  STRCMP_EQUAL("fast", daemon.tick()[1].c_str());
}

// Guards against daemons of a large group that all take the same free slots before they hear of one another.
TEST(dispatcher, slots_are_dealt_to_the_daemons_of_the_zone) {
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

// Guards against knowledge of an ended process that is used for another one under the same id.
TEST(dispatcher, a_new_start_under_the_same_id_is_another_server) {
  daemon.set_servers({make_server("s1", "a", 8)});
  for (int i = 0; i < 2; ++i) {
    daemon.submit(1);
    daemon.m_dispatcher.finish(daemon.m_last, server_outcome::failed, daemon.m_now);
  }
  LONGS_EQUAL(0, count(daemon.submit(1), "s1"));
  auto again = make_server("s1", "a", 8);
  again.m_started_unix_ms = 7;
  daemon.set_servers({again});
  LONGS_EQUAL(1, count(daemon.tick(), "s1"));
}
