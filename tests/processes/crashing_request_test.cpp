#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cardamompond;
using namespace cardamompond::testing;

TEST_GROUP(crashing_request) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  // Sends the request through the daemons in turn until one of them refuses it with the error code
  // crashing_request. Returns how many times it was sent before.
  int send_until_refused(const std::string& text, const std::string& account) {
    for (int attempt = 0; attempt < 40; ++attempt) {
      const auto& daemon = m_cell.m_daemons[static_cast<std::size_t>(attempt) % m_cell.m_daemons.size()];
      const auto& record =
          m_caller.send_chat(daemon.m_callers_address, text, {.m_account = account, .m_timeout_ms = 5000});
      if (record.m_code == "crashing_request") {
        return attempt;
      }
    }
    FAIL("no daemon refused the crashing request");
    return 0;
  }

  std::size_t count_crashes() {
    std::size_t count = 0;
    for (const auto& entries : m_cell.fetch_backend_histories()) {
      count += count_entries(entries, "outcome", "crashed");
    }
    return count;
  }
};

// Guards against a request that crashes one engine after another because its caller repeats it after each
// failure.
TEST(crashing_request, crashes_at_most_two_engines) {
  for (const auto* name : {"e1", "e2", "e3", "e4"}) {
    m_cell.add_backend(name, {.m_cold_limit = 1, .m_settings = {"tokens_per_s=100"}});
  }
  m_cell.start(3);
  const std::string text = "please CRASH-THE-SERVER now";
  std::int64_t quarantined_ms = 0;
  {
    background_load callers([this] { return m_cell.ready_addresses(); }, 6,
                            [this](const std::string& address, std::uint64_t number) -> call_record& {
                              return m_caller.send_chat(address, "innocent " + std::to_string(number),
                                                        {.m_account = "standard"});
                            });
    wait_until("calls before the crashes", milliseconds(5000), [&] { return callers.call_count() >= 40; });
    send_until_refused(text, "interactive");
    quarantined_ms = m_caller.records().back().m_received_ms;
    // The fingerprint of a request does not depend on the client account. The other daemons receive it with
    // the next heartbeats.
    wait_until("crashing request refused by all daemons", milliseconds(4000), [&] {
      return std::all_of(m_cell.m_daemons.begin(), m_cell.m_daemons.end(), [&](const auto& daemon) {
        const auto& record = m_caller.send_chat(daemon.m_callers_address, text, {.m_account = "batch"});
        return record.m_status == 422 && record.m_code == "crashing_request" && record.has_not_run_verdict();
      });
    });
    wait_until("calls after the crashes", milliseconds(5000), [&, target_calls = callers.call_count() + 60] {
      return callers.call_count() >= target_calls;
    });
  }
  const auto all_histories = m_cell.fetch_backend_histories();
  LONGS_EQUAL(2, count_crashes());
  for (const auto& entries : all_histories) {
    CHECK(count_entries(entries, "outcome", "crashed") <= 1);
  }
  auto harmless_calls = m_caller.records();
  std::erase_if(harmless_calls, [](const auto& record) { return record.m_account != "standard"; });
  STRCMP_EQUAL("",
               find_incomplete_calls(harmless_calls, quarantined_ms + 1000, quarantined_ms + 60'000).c_str());
  CHECK(std::none_of(harmless_calls.begin(), harmless_calls.end(),
                     [](const auto& record) { return record.m_code == "crashing_request"; }));
  STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
  STRCMP_EQUAL("", find_duplicate_dispatches(all_histories).c_str());
}
