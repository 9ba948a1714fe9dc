#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cardamompond;
using namespace cardamompond::testing;

TEST_GROUP(tiers) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  background_load start_load(const std::string& account, int callers) {
    return {[this] { return m_cell.ready_addresses(); }, callers,
            [this, account](const std::string& address, std::uint64_t number) -> call_record& {
              return m_caller.send_chat(address, account + std::to_string(number),
                                        {.m_account = account, .m_tokens = 20, .m_timeout_ms = 5000});
            }};
  }

  auto count_records(const std::string& account, const std::function<bool(const call_record&)>& predicate)
      const {
    return std::count_if(m_caller.records().begin(), m_caller.records().end(), [&](const auto& record) {
      return record.m_account == account && predicate(record);
    });
  }
};

// Guards against requests of a higher tier that are shed while requests of a lower tier are waiting, no
// matter through which daemons they arrive.
TEST(tiers, load_over_capacity_sheds_the_lowest_tier) {
  // A response of 20 tokens takes 0.2 s, so the engines complete 20 requests per second. The top tier sends
  // at most half as many.
  m_cell.m_queue_limit = 6;
  for (const auto* name : {"e1", "e2"}) {
    m_cell.add_backend(name, {.m_slots = 2, .m_settings = {"tokens_per_s=100", "slowdown=0"}});
  }
  m_cell.start(3);
  const auto is_complete = [](const call_record& record) { return record.m_complete; };
  const auto is_shed = [](const call_record& record) {
    return record.m_code == "queue_full" || record.m_code == "overloaded";
  };
  {
    const auto batch = start_load("batch", 9);
    const auto standard = start_load("standard", 6);
    wait_until("more than 20 calls of the lowest tier shed", milliseconds(6000),
               [&] { return count_records("batch", is_shed) > 20; });
    const auto interactive = start_load("interactive", 2);
    wait_until("40 responses for the top tier", milliseconds(12'000),
               [&] { return count_records("interactive", is_complete) >= 40; });
  }
  const auto all_histories = m_cell.fetch_backend_histories();
  STRCMP_EQUAL(
      "", find_priority_inversions(m_caller.records(), all_histories, {"interactive", "standard", "batch"})
              .c_str());
  LONGS_EQUAL(0, count_records("interactive", [&](const auto& record) { return !is_complete(record); }));
  CHECK(count_records("standard", is_complete) > 0);
  STRCMP_EQUAL("", find_lost_responses(m_caller.records()).c_str());
  STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
  STRCMP_EQUAL("", find_limit_violations(all_histories).c_str());
}
