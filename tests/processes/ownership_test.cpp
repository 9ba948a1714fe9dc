#include "cardamompond/standins/history.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace cardamompond;
using namespace cardamompond::testing;

using standins::unix_time_ms;

// Three daemons in front of two engines. Each test also checks that no engine received more requests at once
// than its limit.
TEST_GROUP(ownership) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  void start(int daemons = 3) {
    m_cell.add_backend("e1", {.m_slots = 3, .m_settings = {"tokens_per_s=100"}});
    m_cell.add_backend("e2", {.m_slots = 3, .m_settings = {"tokens_per_s=100"}});
    m_cell.start(daemons);
  }

  // Starts callers of all tiers. There are more of them than the engines have slots.
  background_load start_load(int callers = 10) {
    return {[this] { return m_cell.ready_addresses(); }, callers,
            [this](const std::string& address, std::uint64_t number) -> call_record& {
              constexpr const char* accounts[] = {"interactive", "standard", "batch"};
              return m_caller.send_chat(
                  address, "text " + std::to_string(number),
                  {.m_account = accounts[number % 3], .m_tokens = 10, .m_timeout_ms = 6000});
            }};
  }

  void wait_for_calls(const background_load& callers, std::uint64_t additional_calls) {
    wait_until("calls", milliseconds(10'000), [&, target_calls = callers.call_count() + additional_calls] {
      return callers.call_count() >= target_calls;
    });
  }

  // Returns whether a call that was sent after `from_ms` (Unix time), and not through the daemon at
  // `excluded_address`, has its complete response.
  bool has_complete_response_since(std::int64_t from_ms, const std::string& excluded_address) const {
    for (const auto& record : m_caller.records()) {
      if (record.m_complete && record.m_sent_ms > from_ms && record.m_address != excluded_address) {
        return true;
      }
    }
    return false;
  }

  // Returns the calls with lost responses. Omits those through the daemon at `address`, which the test killed
  // or froze.
  std::string lost_through_other_daemons(const std::string& address) const {
    auto records = m_caller.records();
    std::erase_if(records, [&](const auto& record) { return record.m_address == address; });
    return find_lost_responses(records);
  }

  void check_histories() {
    const auto all_histories = m_cell.fetch_backend_histories();
    STRCMP_EQUAL("", find_limit_violations(all_histories).c_str());
    STRCMP_EQUAL("", find_duplicate_dispatches(all_histories).c_str());
    STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
  }
};

// Guards against requests that are lost or refused because the owner of the cell dies, and against a next
// owner that exceeds the limits of the engines.
TEST(ownership, owner_killed) {
  start();
  auto callers = start_load();
  wait_for_calls(callers, 60);
  daemon_process& owner = m_cell.m_daemons[m_cell.fetch_owner_index()];
  const auto epoch = m_cell.fetch_epoch();
  const auto killed_ms = unix_time_ms();
  owner.m_process->kill();
  wait_until("takeover by the next owner", milliseconds(4000), [&] { return m_cell.fetch_epoch() > epoch; });
  wait_until("response after the takeover", milliseconds(5000),
             [&] { return has_complete_response_since(killed_ms, owner.m_callers_address); });
  wait_for_calls(callers, 60);
  callers.stop();
  STRCMP_EQUAL("", lost_through_other_daemons(owner.m_callers_address).c_str());
  STRCMP_EQUAL("", find_incomplete_calls(m_caller.records(), 0, killed_ms - 1000).c_str());
  // A takeover pauses responses for the sum of 1 s of silence, two staggers, the lease duration and the
  // permit lifetime.
  const auto pause = find_longest_response_gap_ms(m_caller.records(), killed_ms, unix_time_ms());
  CHECK_TEXT(pause < 4000, ("no complete response for " + std::to_string(pause) + " ms").c_str());
  check_histories();
}

// Guards against grants by an owner that was frozen during the takeover and resumes after it.
TEST(ownership, owner_frozen_and_resumed) {
  start();
  auto callers = start_load();
  wait_for_calls(callers, 60);
  daemon_process& owner = m_cell.m_daemons[m_cell.fetch_owner_index()];
  const auto epoch = m_cell.fetch_epoch();
  const auto frozen_ms = unix_time_ms();
  owner.m_process->signal(SIGSTOP);
  wait_until("takeover by the next owner", milliseconds(4000), [&] { return m_cell.fetch_epoch() > epoch; });
  wait_until("response after the takeover", milliseconds(5000),
             [&] { return has_complete_response_since(frozen_ms, owner.m_callers_address); });
  wait_for_calls(callers, 20);
  owner.m_process->signal(SIGCONT);
  wait_until("resumed daemon ready", milliseconds(3000), [&] { return m_cell.is_ready(owner); });
  LONGS_EQUAL(epoch + 1, m_cell.fetch_epoch());
  CHECK(m_caller.send_chat(owner.m_callers_address, "through the woken daemon").m_complete);
  wait_for_calls(callers, 60);
  callers.stop();
  STRCMP_EQUAL("", lost_through_other_daemons(owner.m_callers_address).c_str());
  LONGS_EQUAL(epoch + 1, m_cell.fetch_epoch());
  check_histories();
}

// Guards against a rolling restart that loses responses, causes lasting refusals or leaves the cell without
// an owner.
TEST(ownership, all_daemons_replaced_under_load) {
  start();
  auto callers = start_load();
  wait_for_calls(callers, 30);
  const auto restarts_began_ms = unix_time_ms();
  for (auto& daemon : m_cell.m_daemons) {
    daemon.m_process->signal(SIGTERM);
    LONGS_EQUAL(0, daemon.m_process->wait_for_exit(milliseconds(8000)));
    m_cell.restart(daemon);
    wait_until("replaced daemon ready", milliseconds(8000), [&] { return m_cell.is_ready(daemon); });
  }
  wait_for_calls(callers, 60);
  callers.stop();
  STRCMP_EQUAL("", find_lost_responses(m_caller.records()).c_str());
  const auto pause = find_longest_response_gap_ms(m_caller.records(), restarts_began_ms, unix_time_ms());
  CHECK_TEXT(pause < 4000, ("no complete response for " + std::to_string(pause) + " ms").c_str());
  check_histories();
}

// A daemon is killed and restarted without notice to the owner. The owner must still count the requests that
// this daemon dispatched earlier, as long as the engines run them.
TEST(ownership, daemon_restarted_unannounced) {
  start();
  auto callers = start_load();
  wait_for_calls(callers, 30);
  daemon_process& daemon = m_cell.m_daemons[(m_cell.fetch_owner_index() + 1) % 3];
  const auto epoch = m_cell.fetch_epoch();
  for (int i = 0; i < 2; ++i) {
    daemon.m_process->kill();
    m_cell.restart(daemon);
    wait_until("restarted daemon ready", milliseconds(5000), [&] { return m_cell.is_ready(daemon); });
    wait_for_calls(callers, 30);
  }
  callers.stop();
  LONGS_EQUAL(epoch, m_cell.fetch_epoch());
  STRCMP_EQUAL("", lost_through_other_daemons(daemon.m_callers_address).c_str());
  check_histories();
}

// Guards against daemons that admit lower tiers or exceed limits while they reach neither an owner of the
// cell nor the platform.
TEST(ownership, owner_killed_during_a_platform_outage) {
  start();
  auto callers = start_load();
  wait_for_calls(callers, 30);
  daemon_process& owner = m_cell.m_daemons[m_cell.fetch_owner_index()];
  m_cell.object_api().set_parameters({{"outage", true}});
  owner.m_process->kill();
  const auto killed_ms = unix_time_ms();
  const auto has_lower_tier_refusal = [&] {
    for (const auto& record : m_caller.records()) {
      if (record.m_code == "owner_unavailable" && record.m_sent_ms > killed_ms) {
        return true;
      }
    }
    return false;
  };
  wait_until("lower tiers refused", milliseconds(7000), has_lower_tier_refusal);
  const auto fallback_began_ms = unix_time_ms() + 500;
  wait_until("response for the top tier in fallback", milliseconds(5000),
             [&] { return has_complete_response_since(fallback_began_ms, owner.m_callers_address); });
  wait_for_calls(callers, 60);
  m_cell.object_api().set_parameters({{"outage", false}});
  const auto outage_ended_ms = unix_time_ms();
  for (const auto& record : m_caller.records()) {
    const bool is_lower_tier = record.m_account != "interactive";
    CHECK_FALSE(is_lower_tier && record.m_complete && record.m_sent_ms > fallback_began_ms &&
                record.m_received_ms < outage_ended_ms);
    CHECK_FALSE(record.m_code == "owner_unavailable" && !(is_lower_tier && record.has_not_run_verdict()));
  }
  wait_until("lower tiers served again", milliseconds(8000), [&] {
    for (const auto& record : m_caller.records()) {
      if (record.m_account == "batch" && record.m_complete && record.m_sent_ms > outage_ended_ms) {
        return true;
      }
    }
    return false;
  });
  callers.stop();
  STRCMP_EQUAL("", lost_through_other_daemons(owner.m_callers_address).c_str());
  check_histories();
}
