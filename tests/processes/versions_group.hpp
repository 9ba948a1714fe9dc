#pragma once

#include "cardamompond/standins/history.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

// Maximum time from the tenth fault of a version to the last request that it receives.
constexpr std::int64_t max_rollback_ms = 3000;

// A request that one of the two versions received.
struct arrival {
  std::int64_t m_received_ms = 0;
  bool m_to_new_version = false;
  bool m_failed = false;
};

} // namespace

// A rollout of a service from version v1 to v2, which the declarations call a move, under load through two
// daemons.
TEST_GROUP(versions) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  void start(const std::string& service, std::vector<std::string> faults) {
    std::vector<std::string> settings = {service == "chat" ? "tokens_per_s=1000" : "latency_ms=10"};
    m_cell.add_backend("old", {.m_service = service, .m_slots = 16, .m_settings = settings});
    settings.insert(settings.end(), faults.begin(), faults.end());
    m_cell.m_version_attempts["v2"] = 1;
    m_cell.add_backend("new",
                       {.m_service = service, .m_version = "v2", .m_slots = 16, .m_settings = settings});
    m_cell.start(2);
  }

  // Publishes a rollout to v2. It is due in the past, so each step ends as soon as it has enough samples.
  void publish_rollout(const std::string& service, const std::string& steps = "[5, 25, 100]") {
    m_cell.m_rollouts[service] = "to = \"" + service + "-v2\"\ndue = 2020-01-01T00:00:00Z\nsteps = " + steps;
    m_cell.publish();
  }

  void wait_for_rollout_state(const std::string& service, const std::string& expected_state) {
    wait_until("rollout state " + expected_state, milliseconds(12'000), [&] {
      const auto rollout = m_cell.fetch_rollout_status(service);
      const auto state = rollout.is_object() ? std::string(rollout.at("state").as_string()) : std::string();
      if (state == "taken_back" && expected_state != state) {
        fail_test("rolled back: " + std::string(rollout.at("reason").as_string()));
      }
      return state == expected_state;
    });
  }

  std::vector<std::string> addresses() {
    return {m_cell.m_daemons[0].m_callers_address, m_cell.m_daemons[1].m_callers_address};
  }

  background_load start_chat_load(bool stream = false) {
    return {[this] { return addresses(); }, 10,
            [this, stream](const std::string& address, std::uint64_t number) -> call_record& {
              return m_caller.send_chat(address, "text " + std::to_string(number),
                                        {.m_tokens = 5, .m_stream = stream});
            }};
  }

  background_load start_order_and_read_load() {
    return {[this] { return addresses(); }, 10,
            [this](const std::string& address, std::uint64_t number) -> call_record& {
              const auto key = "order-" + std::to_string(number);
              // Orders and reads are mixed by a hash, because a period of the mix could coincide with that of
              // the grants to the new version.
              return (number * 0x9E3779B97F4A7C15U) >> 63U == 0
                         ? m_caller.send_order(address, key, "{}")
                         : m_caller.send(address, {"GET", "/services/orders/stock", {}, {}}, {});
            }};
  }

  // Returns the requests that both versions received from `from_ms` (Unix time) on, in order of arrival.
  std::vector<arrival> arrivals_since(std::int64_t from_ms) {
    std::vector<arrival> found;
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& entry : m_cell.m_backends[i].m_process->fetch_history()) {
        if (entry.at("received_ms").as_int64() >= from_ms) {
          const auto& outcome = entry.at("outcome").as_string();
          found.push_back({entry.at("received_ms").as_int64(), i == 1,
                           outcome == "failed" || outcome == "failed_after_effect"});
        }
      }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto& left, const auto& right) {
      return left.m_received_ms < right.m_received_ms;
    });
    return found;
  }

  // Checks that the new version received at most the fraction `max_share` of all requests until its tenth
  // fault, and no request later than `max_rollback_ms` after it.
  void check_rolled_back(std::int64_t from_ms, double max_share) {
    const auto arrivals = arrivals_since(from_ms);
    std::int64_t last_counted_fault_ms = 0; // time of the tenth fault, or of the last one if there are fewer
    int faults = 0;
    for (const auto& request : arrivals) {
      if (request.m_to_new_version && request.m_failed && ++faults <= 10) {
        last_counted_fault_ms = request.m_received_ms;
      }
    }
    double total_requests = 0;
    double to_new_version = 0;
    for (const auto& request : arrivals) {
      total_requests += 1;
      to_new_version += request.m_to_new_version ? 1 : 0;
      // The tolerance of 3 allows for requests to the old version that were granted at the same time but
      // recorded later.
      CHECK_TEXT(
          !request.m_to_new_version || request.m_received_ms > last_counted_fault_ms ||
              to_new_version <= max_share * total_requests + 3,
          (std::to_string(to_new_version) + " of " + std::to_string(total_requests) + " to the new version")
              .c_str());
      CHECK_TEXT(!request.m_to_new_version ||
                     request.m_received_ms <= last_counted_fault_ms + max_rollback_ms,
                 "a request to the new version after its rollback");
    }
    CHECK_TEXT(to_new_version > 0, "the new version received no request");
    STRCMP_EQUAL("",
                 find_false_not_run_verdicts(m_caller.records(), m_cell.fetch_backend_histories()).c_str());
  }

  void check_rollout_of_good_version(bool stream) {
    start("chat", {});
    auto callers = start_chat_load(stream);
    wait_for_calls(callers, 50);
    publish_rollout("chat");
    wait_for_rollout_state("chat", "done");
    const auto old_version_requests = m_cell.m_backends[0].m_process->fetch_history().size();
    wait_for_calls(callers, 100);
    callers.stop();
    // Up to 10 requests were still in flight to the old version.
    CHECK(m_cell.m_backends[0].m_process->fetch_history().size() <= old_version_requests + 10);
    STRCMP_EQUAL("", find_incomplete_calls(m_caller.records(), 0, standins::unix_time_ms()).c_str());
    STRCMP_EQUAL("", find_limit_violations(m_cell.fetch_backend_histories()).c_str());
  }

  void wait_for_calls(const background_load& callers, std::uint64_t additional_calls) {
    wait_until("calls", milliseconds(10'000), [&, target_calls = callers.call_count() + additional_calls] {
      return callers.call_count() >= target_calls;
    });
  }
};
