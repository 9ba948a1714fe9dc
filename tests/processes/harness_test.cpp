#include "cardamompond/testing/tcp_relay.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace cardamompond;
using namespace cardamompond::testing;

// Tests of the harness itself. The other process tests rely on it to start, freeze and kill processes, and on
// its checks to find violations.
TEST_GROUP(harness) {
  test_cell m_cell;
  caller m_caller;
};

TEST(harness, starts_freezes_and_kills_a_process) {
  const backend_process& engine = m_cell.add_backend("e1");
  child_process& process = engine.m_process->process();
  CHECK(m_caller.send_chat(engine.m_declared_address, "a").m_complete);
  process.signal(SIGSTOP);
  // The harness waits 5 s longer than the timeout of a call, so this call fails after 300 ms.
  CHECK_FALSE(m_caller.send_chat(engine.m_declared_address, "a", {.m_timeout_ms = -4700}).m_complete);
  process.signal(SIGCONT);
  CHECK(m_caller.send_chat(engine.m_declared_address, "b", {.m_stream = false}).m_complete);
  process.kill();
  LONGS_EQUAL(-SIGKILL, *process.exit_code());
  CHECK_FALSE(m_caller.send_chat(engine.m_declared_address, "a").m_request_sent);
  LONGS_EQUAL(2,
              run_program(program_path("standin_engine"), {"--set", "slots=x"}, m_cell.folder().path() + "/x")
                  .m_exit_code);
}

TEST(harness, relay_interrupts_and_restores_connections) {
  const backend_process& engine = m_cell.add_backend("e1");
  tcp_relay relay(engine.m_declared_address);
  CHECK(m_caller.send_chat(relay.address(), "a").m_complete);
  relay.set_partitioned(true);
  // This call also fails after 300 ms.
  CHECK_FALSE(m_caller.send_chat(relay.address(), "a", {.m_timeout_ms = -4700}).m_complete);
  relay.set_partitioned(false);
  CHECK(m_caller.send_chat(relay.address(), "a").m_complete);
  relay.set_refusing(true);
  CHECK_FALSE(m_caller.send_chat(relay.address(), "a").m_complete);
}

TEST(harness, checks_find_violations) {
  const backend_process& order_service = m_cell.add_backend("s1", {.m_service = "orders"});
  const std::string& address = order_service.m_declared_address;
  m_caller.send_order(address, "k1", "{}");
  STRCMP_EQUAL("", find_duplicate_executions(m_cell.fetch_backend_histories()).c_str());
  m_caller.send_order(address, "k1", "{}");
  CHECK(find_duplicate_executions(m_cell.fetch_backend_histories()) != "");
  auto records = m_caller.records();
  records[0].m_verdict = "not-run";
  CHECK(find_false_not_run_verdicts(records, m_cell.fetch_backend_histories()) != "");

  const backend_process& engine =
      m_cell.add_backend("e1", {.m_slots = 1, .m_settings = {"cut_after_bytes=40"}});
  CHECK(m_caller.send_chat(engine.m_declared_address, "cut").is_lost());
  CHECK(find_lost_responses(m_caller.records()) != "");
  engine.m_process->set_parameters({{"cut_after_bytes", 0}});
  {
    const background_load load([&] { return std::vector{engine.m_declared_address}; }, 2,
                               [&](const std::string& engine_address, std::uint64_t) -> call_record& {
                                 return m_caller.send_chat(engine_address, "x");
                               });
    wait_until("two calls at once", milliseconds(5000), [&] { return load.call_count() >= 2; });
  }
  CHECK(find_limit_violations(m_cell.fetch_backend_histories()) != "");

  boost::json::array executed_once;
  executed_once.push_back({{"key", "k1"}, {"request_id", "r1"}, {"executed", true}, {"received_ms", 900}});
  STRCMP_EQUAL("", find_duplicate_dispatches(histories{executed_once}).c_str());
  CHECK(find_duplicate_dispatches(histories{executed_once, executed_once}) != "");
  STRCMP_EQUAL("", find_requests_after(executed_once, 900).c_str());
  CHECK(find_requests_after(executed_once, 899) != "");

  std::deque<call_record> responses(2);
  responses[0] = {.m_idempotency_key = "k1", .m_sent_ms = 100, .m_received_ms = 300, .m_complete = true};
  responses[1] = {.m_address = "a", .m_sent_ms = 200, .m_received_ms = 800};
  STRCMP_EQUAL("", find_responses_without_execution(responses, histories{executed_once}).c_str());
  CHECK(find_responses_without_execution(responses, {}) != "");
  STRCMP_EQUAL("", find_incomplete_calls(responses, 0, 150).c_str());
  CHECK(find_incomplete_calls(responses, 0, 250) != "");
  LONGS_EQUAL(700, find_longest_response_gap_ms(responses, 0, 1000));

  std::deque<call_record> refusals(2);
  refusals[0] = {.m_account = "batch", .m_sent_ms = 0, .m_received_ms = 2000, .m_code = "queue_full"};
  refusals[1] = {.m_account = "interactive", .m_sent_ms = 500, .m_received_ms = 600, .m_code = "queue_full"};
  CHECK(find_priority_inversions(refusals, {}, {"interactive", "standard", "batch"}) != "");
  refusals[0].m_received_ms = 700;
  STRCMP_EQUAL("", find_priority_inversions(refusals, {}, {"interactive", "standard", "batch"}).c_str());
}
