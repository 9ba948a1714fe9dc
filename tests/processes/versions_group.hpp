#pragma once

#include "cardamompond/standins/history.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

// Maximum time from the tenth fault of a version to the last request that it receives.
constexpr std::int64_t taken_back_ms = 3000;

// A request that one of the two versions received.
struct arrival {
  std::int64_t m_ms = 0;
  bool m_new = false;
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
    m_cell.m_attempts["v2"] = 1;
    m_cell.add_backend("new",
                       {.m_service = service, .m_version = "v2", .m_slots = 16, .m_settings = settings});
    m_cell.start(2);
  }

  // Publishes a rollout to v2. It is due in the past, so each step ends as soon as it has enough samples.
  void move(const std::string& service, const std::string& steps = "[5, 25, 100]") {
    m_cell.m_moves[service] = "to = \"" + service + "-v2\"\ndue = 2020-01-01T00:00:00Z\nsteps = " + steps;
    m_cell.publish();
  }

  void wait_for_status(const std::string& service, const std::string& wanted) {
    wait_until("rollout state " + wanted, milliseconds(12'000), [&] {
      const auto move = m_cell.move_status(service);
      const auto state = move.is_object() ? std::string(move.at("state").as_string()) : std::string();
      if (state == "taken_back" && wanted != state) {
        fail_test("rolled back: " + std::string(move.at("reason").as_string()));
      }
      return state == wanted;
    });
  }

  std::vector<std::string> addresses() {
    return {m_cell.m_daemons[0].m_callers, m_cell.m_daemons[1].m_callers};
  }

  background_load chats(bool stream = false) {
    return {[this] { return addresses(); }, 10,
            [this, stream](const std::string& at, std::uint64_t number) -> call_record& {
              return m_caller.chat(at, "text " + std::to_string(number), {.m_tokens = 5, .m_stream = stream});
            }};
  }

  background_load orders_and_reads() {
    return {[this] { return addresses(); }, 10,
            [this](const std::string& at, std::uint64_t number) -> call_record& {
              const auto key = "order-" + std::to_string(number);
              // Orders and reads are mixed by a hash, because a period of the mix could coincide with that of
              // the grants to the new version.
              return (number * 0x9E3779B97F4A7C15U) >> 63U == 0
                         ? m_caller.order(at, key, "{}")
                         : m_caller.call(at, {"GET", "/services/orders/stock", {}, {}}, {});
            }};
  }

  // Returns the requests that both versions received from `from_ms` (Unix time) on, in order of arrival.
  std::vector<arrival> arrivals(std::int64_t from_ms) {
    std::vector<arrival> all;
    for (std::size_t i = 0; i < 2; ++i) {
      for (const auto& row : m_cell.m_backends[i].m_process->history()) {
        if (row.at("received_ms").as_int64() >= from_ms) {
          const auto& outcome = row.at("outcome").as_string();
          all.push_back({row.at("received_ms").as_int64(), i == 1,
                         outcome == "failed" || outcome == "failed_after_effect"});
        }
      }
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.m_ms < b.m_ms; });
    return all;
  }

  // Checks that the new version received at most the fraction `share` of all requests until its tenth fault,
  // and no request later than `taken_back_ms` after it.
  void check_taken_back(std::int64_t from_ms, double share) {
    const auto all = arrivals(from_ms);
    std::int64_t known_ms = 0; // time of the tenth fault, or of the last one if there are fewer
    int faults = 0;
    for (const auto& one : all) {
      if (one.m_new && one.m_failed && ++faults <= 10) {
        known_ms = one.m_ms;
      }
    }
    double total = 0;
    double moved = 0;
    for (const auto& one : all) {
      total += 1;
      moved += one.m_new ? 1 : 0;
      // The tolerance of 3 allows for requests to the old version that were granted at the same time but
      // recorded later.
      CHECK_TEXT(!one.m_new || one.m_ms > known_ms || moved <= share * total + 3,
                 (std::to_string(moved) + " of " + std::to_string(total) + " to the new version").c_str());
      CHECK_TEXT(!one.m_new || one.m_ms <= known_ms + taken_back_ms,
                 "a request to the new version after its rollback");
    }
    CHECK_TEXT(moved > 0, "the new version received no request");
    STRCMP_EQUAL("", falsely_not_run(m_caller.records(), m_cell.backend_histories()).c_str());
  }

  void check_good_version(bool stream) {
    start("chat", {});
    auto callers = chats(stream);
    wait_for_calls(callers, 50);
    move("chat");
    wait_for_status("chat", "done");
    const auto old = m_cell.m_backends[0].m_process->history().size();
    wait_for_calls(callers, 100);
    callers.stop();
    // Up to 10 requests were still in flight to the old version.
    CHECK(m_cell.m_backends[0].m_process->history().size() <= old + 10);
    STRCMP_EQUAL("", unanswered(m_caller.records(), 0, standins::unix_time_ms()).c_str());
    STRCMP_EQUAL("", over_limit(m_cell.backend_histories()).c_str());
  }

  void wait_for_calls(const background_load& callers, std::uint64_t more) {
    wait_until("calls", milliseconds(10'000),
               [&, next = callers.calls() + more] { return callers.calls() >= next; });
  }
};
