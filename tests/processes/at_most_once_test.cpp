#include "cardamompond/standins/history.hpp"
#include "cardamompond/testing/tcp_relay.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <random>

using namespace cardamompond;
using namespace cardamompond::testing;

// Up to three daemons in front of one order service, or of two engines in the last test. A caller whose call
// fails cannot know whether its order was executed, so it repeats the order under the same idempotency key
// through other daemons until it receives a complete response.
TEST_GROUP(at_most_once) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;
  std::mt19937 m_random{7};

  std::vector<std::string> addresses() {
    std::vector<std::string> daemon_addresses;
    for (const auto& daemon : m_cell.m_daemons) {
      daemon_addresses.push_back(daemon.m_callers_address);
    }
    return daemon_addresses;
  }

  // Sends one order up to `attempts` times under the same idempotency key, first through the daemon at
  // `address`, then through the next daemons in turn. Stops at a complete response or at the error code
  // in_progress, and returns the record of the last attempt.
  call_record& send_order_with_retries(const std::string& address, std::uint64_t number, int attempts = 5) {
    const auto daemon_addresses = addresses();
    auto daemon_index = static_cast<std::size_t>(
        std::find(daemon_addresses.begin(), daemon_addresses.end(), address) - daemon_addresses.begin());
    const std::string key = "order-" + std::to_string(number);
    while (true) {
      call_record& record = m_caller.send_order(daemon_addresses[daemon_index++ % daemon_addresses.size()],
                                                key, "{}", {.m_service = "orders", .m_timeout_ms = 4000});
      if (record.m_complete || record.m_code == "in_progress" || --attempts == 0) {
        return record;
      }
    }
  }

  background_load start_load(int callers) {
    return {[this] { return addresses(); }, callers,
            [this](const std::string& address, std::uint64_t number) -> call_record& {
              return send_order_with_retries(address, number);
            }};
  }

  std::size_t count_complete_responses() const {
    return static_cast<std::size_t>(std::count_if(m_caller.records().begin(), m_caller.records().end(),
                                                  [](const auto& record) { return record.m_complete; }));
  }

  void check_histories() {
    const auto all_histories = m_cell.fetch_backend_histories();
    STRCMP_EQUAL("", find_duplicate_executions(all_histories).c_str());
    STRCMP_EQUAL("", find_duplicate_dispatches(all_histories).c_str());
    STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
    STRCMP_EQUAL("", find_responses_without_execution(m_caller.records(), all_histories).c_str());
    STRCMP_EQUAL("", find_limit_violations(all_histories).c_str());
  }
};

// Guards against an order that is executed again because the daemon that dispatched it was killed and the
// caller repeated the order through another daemon.
TEST(at_most_once, daemons_killed_under_load) {
  m_cell.add_backend("s1", {.m_service = "orders", .m_slots = 8, .m_settings = {"latency_ms=20"}});
  m_cell.start(3);
  auto callers = start_load(6);
  for (int round = 0; round < 3; ++round) {
    const auto target_calls = callers.call_count() + 60 + m_random() % 60;
    wait_until("calls before the next kill", milliseconds(8000),
               [&] { return callers.call_count() >= target_calls; });
    daemon_process& daemon = m_cell.m_daemons[m_random() % 3];
    daemon.m_process->kill();
    m_cell.restart(daemon);
    wait_until("restarted daemon ready", milliseconds(10'000), [&] { return m_cell.is_ready(daemon); });
  }
  const auto complete_before = count_complete_responses();
  wait_until("orders after the last kill", milliseconds(8000),
             [&] { return count_complete_responses() > complete_before + 30; });
  callers.stop();
  check_histories();
}

// Guards against a daemon that is frozen between the claim of an order and its dispatch, and that then uses
// the expired permit or claims the order a second time.
TEST(at_most_once, daemon_frozen_between_claim_and_dispatch) {
  m_cell.add_backend("s1", {.m_service = "orders", .m_slots = 2, .m_settings = {"latency_ms=300"}});
  m_cell.start(2);
  const auto other_addresses = addresses();
  tcp_relay platform_relay(m_cell.object_api().address());
  daemon_process& frozen = m_cell.add_daemon("frozen", "z1", platform_relay.address());
  m_cell.wait_until_ready();
  platform_relay.set_delay(milliseconds(150));
  background_task frozen_call([&] {
    m_caller.send_order(frozen.m_callers_address, "order-0", "{}",
                        {.m_service = "orders", .m_timeout_ms = 15'000});
  });
  wait_until("claim written", milliseconds(3000), [&] {
    const auto writes = m_cell.object_api().fetch_history();
    return std::any_of(writes.begin(), writes.end(), [](const auto& write) {
      return std::string_view(write.at("key").as_string()).starts_with("claims/") &&
             write.at("executed").as_bool();
    });
  });
  frozen.m_process->signal(SIGSTOP);
  CHECK(m_cell.fetch_backend_histories()[0].empty());
  LONGS_EQUAL(409, m_caller.send_order(other_addresses[0], "order-0", "{}").m_status);
  // By the time the frozen daemon resumes, the cell may have granted its slot to another order.
  background_load callers([&] { return other_addresses; }, 4,
                          [this](const std::string& address, std::uint64_t number) -> call_record& {
                            return m_caller.send_order(address, "order-" + std::to_string(number), "{}");
                          });
  wait_until("calls through the other daemons", milliseconds(8000),
             [&] { return callers.call_count() >= 12; });
  frozen.m_process->signal(SIGCONT);
  frozen_call.join();
  callers.stop();
  CHECK_TEXT(m_caller.records()[0].m_complete, m_caller.records()[0].m_body.c_str());
  check_histories();
}

// Guards against orders that are executed without a claim or more than once, first while the platform loses
// requests and replies, then during an outage of the platform.
TEST(at_most_once, platform_loses_replies_and_is_down) {
  m_cell.add_backend("s1", {.m_service = "orders", .m_slots = 8, .m_settings = {"latency_ms=5"}});
  m_cell.start(3);
  auto callers = start_load(4);
  m_cell.object_api().set_parameters(
      {{"lose_reply_rate", 0.3}, {"lose_request_rate", 0.2}, {"fault_prefix", "claims/"}});
  wait_until("orders while requests and replies are lost", milliseconds(8000),
             [&] { return count_complete_responses() >= 60; });
  m_cell.object_api().set_parameters({{"outage", true}});
  const auto has_refused_order = [&] {
    return std::any_of(m_caller.records().begin(), m_caller.records().end(), [](const auto& record) {
      return record.m_code == "claims_unavailable" && record.has_not_run_verdict();
    });
  };
  wait_until("an order refused during the outage", milliseconds(6000), has_refused_order);
  const auto requests_at_refusal = m_cell.fetch_backend_histories()[0].size();
  wait_until("calls during the outage", milliseconds(8000),
             [&, target_calls = callers.call_count() + 8] { return callers.call_count() >= target_calls; });
  CHECK_TEXT(m_cell.fetch_backend_histories()[0].size() <= requests_at_refusal + 4,
             "orders were executed without a claim");
  m_cell.object_api().set_parameters(
      {{"outage", false}, {"lose_reply_rate", 0.0}, {"lose_request_rate", 0.0}});
  const auto complete_before = count_complete_responses();
  wait_until("orders after the outage", milliseconds(8000),
             [&] { return count_complete_responses() > complete_before + 30; });
  callers.stop();
  check_histories();
}

// The engine cuts its connections in the middle of streams. Guards against a daemon that dispatches the
// request a second time instead of resuming its stream, and against responses in which a part is missing.
TEST(at_most_once, engine_cuts_connections) {
  m_cell.add_backend("e1", {.m_settings = {"cut_after_bytes=700", "tokens_per_s=500"}});
  m_cell.add_backend("e2", {.m_settings = {"tokens_per_s=500"}});
  m_cell.start(2);
  {
    const background_load callers([this] { return addresses(); }, 4,
                                  [this](const std::string& address, std::uint64_t number) -> call_record& {
                                    return m_caller.send_chat(address, "text " + std::to_string(number),
                                                              {.m_tokens = 20, .m_stream = number % 3 != 0});
                                  });
    wait_until("calls while the engine cuts streams", milliseconds(8000),
               [&] { return callers.call_count() >= 80; });
    // From now on the engine cuts resumed streams as well. The daemon resumes a stream until it has the
    // complete response or gives up.
    m_cell.m_backends[0].m_process->set_parameters({{"cut_resumed", true}, {"cut_after_bytes", 300}});
    wait_until("calls while the engine cuts resumed streams", milliseconds(8000),
               [&] { return callers.call_count() >= 120; });
  }
  const auto all_histories = m_cell.fetch_backend_histories();
  CHECK(!all_histories[0].empty() && !all_histories[1].empty());
  STRCMP_EQUAL("", find_duplicate_dispatches(all_histories).c_str());
  STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
  for (const auto& record : m_caller.records()) {
    if (record.m_status == 200 && record.m_connection_error.empty()) {
      CHECK_TEXT(record.m_complete,
                 ("incomplete response that ended without an error: " + record.m_body).c_str());
    }
  }
  for (std::size_t i = 0; i < 60; ++i) { // these calls began before resumed streams were cut
    CHECK_TEXT(m_caller.records()[i].m_complete || m_caller.records()[i].m_body.find("data:") != 0,
               m_caller.records()[i].m_body.c_str());
  }
}

// The servers refuse some requests, and send every third answer twice, late. Guards against a copy, also of a
// refusal, that passes for the answer to the next request, and against a claim taken from a copied answer of
// the platform.
TEST(at_most_once, servers_and_platform_repeat_answers) {
  m_cell.add_backend("s1", {.m_service = "orders", .m_slots = 8, .m_settings = {"refuse_rate=0.3"}});
  m_cell.add_backend("e1", {.m_slots = 8, .m_settings = {"refuse_rate=0.3", "tokens_per_s=2000"}});
  tcp_relay relays[] = {tcp_relay(m_cell.m_backends[0].m_declared_address),
                        tcp_relay(m_cell.m_backends[1].m_declared_address),
                        tcp_relay(m_cell.object_api().address())};
  m_cell.m_backends[0].m_declared_address = relays[0].address();
  m_cell.m_backends[1].m_declared_address = relays[1].address();
  m_cell.publish();
  for (const char* name : {"d1", "d2"}) {
    m_cell.add_daemon(name, "z1", relays[2].address());
  }
  m_cell.wait_until_ready();
  for (auto& relay : relays) {
    relay.set_late_copies(1.0 / 3, 1);
  }
  auto callers = start_load(4);
  background_load chats([this] { return addresses(); }, 4,
                        [this](const std::string& address, std::uint64_t number) -> call_record& {
                          return m_caller.send_chat(address, "text " + std::to_string(number),
                                                    {.m_tokens = 2, .m_stream = number % 2 == 0});
                        });
  wait_until("complete answers", milliseconds(15'000), [&] { return count_complete_responses() > 400; });
  callers.stop();
  chats.stop();
  check_histories();
  for (const auto& record : m_caller.records()) {
    CHECK_TEXT(!record.m_complete || record.m_body.find(record.m_idempotency_key) != std::string::npos,
               ("the answer to another order: " + record.m_body).c_str());
  }
}
