#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

// Returns an instance of the server s1 that started at that time.
backend_server make_instance(std::int64_t started, std::string zone = "a") {
  backend_server server = make_server("s1", std::move(zone), 4);
  server.m_started_unix_ms = started;
  return server;
}

} // namespace

TEST_GROUP(server_notices) {
  daemon_fixture daemon;

  bool record_leaving(const backend_server& server) {
    return daemon.m_dispatcher.record_leaving(server, daemon.m_now);
  }
};

// Guards against new requests to a server that has stated that it leaves, also if it is the only one and if
// the list of servers is updated and still shows it as ready.
TEST(server_notices, a_leaving_server_gets_no_new_requests_even_if_it_is_the_only_one) {
  daemon.set_servers({make_instance(1)});
  CHECK(record_leaving(make_instance(1)));
  CHECK_FALSE(record_leaving(make_instance(1)));
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
  daemon.set_servers({make_instance(1)});
  LONGS_EQUAL(0, count_results(daemon.tick(), "s1"));
  daemon.m_now += milliseconds(600);
  LONGS_EQUAL(1, count_results(daemon.tick(), "refused"));
}

// Guards against waiting requests that are sent to a leaving server when one of its requests ends. They go to
// another server instead.
TEST(server_notices, waiting_requests_go_to_another_server_when_theirs_leaves) {
  daemon.set_servers({make_server("s1", "a", 1)});
  daemon.submit(2);
  record_leaving(make_server("s1"));
  daemon.m_dispatcher.finish(1, server_outcome::answered, daemon.m_now);
  LONGS_EQUAL(0, count_results(daemon.tick(), "s1"));
  daemon.set_servers({make_server("s1", "a", 1), make_server("s2", "a", 1)});
  STRCMP_EQUAL("s2", daemon.tick()[2].c_str());
}

// Guards against a repeated request or a resumed stream that goes to a leaving server because it has already
// been sent to all others.
TEST(server_notices, repeated_requests_do_not_fall_back_to_a_leaving_server) {
  daemon.set_servers({make_instance(1), make_server("s2")});
  record_leaving(make_instance(1));
  auto repeated = daemon.make_request(1);
  repeated.m_excluded_servers = {"s2"};
  daemon.m_dispatcher.submit(repeated, daemon.m_now);
  CHECK(daemon.tick().empty());
}

// Guards against a granted request that is sent although the server stated, after the grant, that it leaves.
TEST(server_notices, a_granted_request_may_not_be_sent_once_its_server_leaves) {
  daemon.set_servers({make_instance(1)});
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  CHECK(daemon.m_dispatcher.may_send(make_instance(1), daemon.m_now));
  record_leaving(make_instance(1));
  CHECK_FALSE(daemon.m_dispatcher.may_send(make_instance(1), daemon.m_now));
  // It counts as running until then, and its end says nothing about the health of the server.
  daemon.m_dispatcher.finish(1, server_outcome::not_sent, daemon.m_now);
  UNSIGNED_LONGS_EQUAL(0, daemon.m_dispatcher.running());
}

// Guards against a statement that is lost when the entry of the server is missing for a while, as it is
// during an outage of the store.
TEST(server_notices, the_statement_outlasts_a_missing_entry) {
  daemon.set_servers({make_instance(1)});
  record_leaving(make_instance(1));
  daemon.set_servers({});
  daemon.m_now += seconds(5);
  daemon.set_servers({make_instance(1)});
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
}

// Guards against statements that are kept forever in a fleet whose servers come and go.
TEST(server_notices, the_statement_is_forgotten_a_minute_after_the_entry_is_gone) {
  daemon.set_servers({make_instance(1)});
  record_leaving(make_instance(1));
  daemon.set_servers({});
  daemon.m_now += seconds(61);
  daemon.set_servers({});
  daemon.set_servers({make_instance(1)});
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
}

// Guards against a new process that gets no requests because of what an earlier one with the same id, or
// another id and the same address, stated. The earlier one may still state it after the new one is listed.
TEST(server_notices, the_statement_holds_for_one_process_only) {
  daemon.set_servers({make_instance(1)});
  record_leaving(make_instance(1));
  daemon.set_servers({make_instance(2)});
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  record_leaving(make_instance(1));
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s1"));
  record_leaving(make_instance(2));
  daemon.set_servers({make_instance(2), make_server("s2")}); // all have the same address
  LONGS_EQUAL(1, count_results(daemon.submit(1), "s2"));
}

// Guards against a server that an outdated or forged report shuts out. A report only makes other servers with
// room go first, and it must name the process that leaves.
TEST(server_notices, reports_of_peers_that_a_server_leaves_are_a_preference) {
  daemon.set_member_count(2);
  daemon.set_servers(
      {make_instance(1), make_server("s2", "b", 2)}); // s2 is in another zone, so it has a penalty
  server_load report{server_id_hash("s1"), 0, {}, false, true, instance_hash(make_instance(1))};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&report, 1), daemon.m_now);
  const auto results = daemon.submit(3);
  LONGS_EQUAL(2, count_results(results, "s2"));
  LONGS_EQUAL(1, count_results(results, "s1"));
  UNSIGNED_LONGS_EQUAL(1, daemon.m_dispatcher.count_leaving().m_reported);
  report.m_instance = instance_hash(make_instance(7));
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&report, 1), daemon.m_now);
  daemon.tick();
  UNSIGNED_LONGS_EQUAL(0, daemon.m_dispatcher.count_leaving().m_reported);
}

// Guards against reports that grow without bound: the statement is told to the peers for ten seconds.
TEST(server_notices, peers_are_told_for_a_limited_time) {
  daemon.set_servers({make_instance(5)});
  CHECK(daemon.m_dispatcher.own_loads(daemon.m_now).empty());
  record_leaving(make_instance(5));
  const auto loads = daemon.m_dispatcher.own_loads(daemon.m_now);
  CHECK(loads.front().m_leaving);
  UNSIGNED_LONGS_EQUAL(5, loads.front().m_instance);
  daemon.m_now += seconds(10);
  CHECK(daemon.m_dispatcher.own_loads(daemon.m_now).empty());
}
