#include "cardamompond/standins/history.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace cardamompond;
using namespace cardamompond::testing;

using standins::unix_time_ms;

namespace {

// Time within which a zone or an engine that is leaving must receive its last request.
constexpr std::int64_t max_leave_ms = 3000;

} // namespace

TEST_GROUP(zones_and_engines) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  // Adds an engine that starts cold. Its limit is one request at first and doubles each time that number of
  // requests has completed.
  void add_engine(const std::string& name, const std::string& zone) {
    m_cell.add_backend(name, {.m_zone = zone, .m_cold_limit = 1, .m_settings = {"tokens_per_s=100"}});
  }

  background_load start_load(int callers) {
    return {[this] { return m_cell.ready_addresses(); }, callers,
            [this](const std::string& address, std::uint64_t number) -> call_record& {
              return m_caller.send_chat(address, "text " + std::to_string(number), {.m_tokens = 10});
            }};
  }

  boost::json::array history(std::size_t backend) {
    return m_cell.m_backends[backend].m_process->fetch_history();
  }

  void wait_for_requests(std::size_t backend, std::size_t additional_requests) {
    wait_until(m_cell.m_backends[backend].m_name + " received requests", milliseconds(8000),
               [&, target_requests = history(backend).size() + additional_requests] {
                 return history(backend).size() >= target_requests;
               });
  }

  static void wait_until_time(std::int64_t unix_ms) {
    wait_until("end of the waiting time", milliseconds(10'000), [&] { return unix_time_ms() >= unix_ms; });
  }

  // Checks that the backend server received no request later than `max_leave_ms` after `from_ms` (Unix time).
  void check_no_late_requests(std::size_t backend, std::int64_t from_ms) {
    STRCMP_EQUAL("", find_requests_after(history(backend), from_ms + max_leave_ms).c_str());
  }

  void check_histories() {
    const auto all_histories = m_cell.fetch_backend_histories();
    STRCMP_EQUAL("", find_limit_violations(all_histories).c_str());
    STRCMP_EQUAL("", find_duplicate_dispatches(all_histories).c_str());
    STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), all_histories).c_str());
  }
};

// Guards against requests to an availability zone that is declared out, against responses that are lost when
// it leaves, and against requests above the cold limit of its engines when it is declared in again.
TEST(zones_and_engines, zone_declared_out_and_in_again) {
  add_engine("e1", "z1");
  add_engine("e2", "z2");
  m_cell.start(3);
  auto callers = start_load(12);
  wait_for_requests(1, 20);
  m_cell.m_zones["z2"] = "out";
  m_cell.publish();
  const auto declared_out_ms = unix_time_ms();
  wait_until_time(declared_out_ms + max_leave_ms + 1000);
  check_no_late_requests(1, declared_out_ms);
  // The restarted engine is cold, as after a long power failure.
  m_cell.m_backends[1].m_process->set_parameters({{"restart", true}});
  const auto requests_at_restart = history(1).size();
  m_cell.m_zones["z2"] = "in";
  m_cell.publish();
  wait_for_requests(1, 20);
  callers.stop();
  CHECK(history(1).size() > requests_at_restart);
  STRCMP_EQUAL("", find_lost_responses(m_caller.records()).c_str());
  check_histories();
}

// The host list, the declaration of an engine or its own load report can say that it is leaving. Guards
// against new requests to the engine in each of these cases.
TEST(zones_and_engines, engine_leaves_by_host_list_declaration_or_load_report) {
  for (const auto* name : {"stays", "declared", "reports", "listed"}) {
    add_engine(name, "z1");
  }
  std::string live_addresses;
  for (const auto& backend : m_cell.m_backends) {
    live_addresses += (live_addresses.empty() ? "" : ",") + backend.m_declared_address;
  }
  standin_process host_list("standin_host_list", {"live=" + live_addresses},
                            m_cell.folder().path() + "/hosts.log");
  m_cell.m_host_list_address = host_list.address();
  m_cell.start(2);
  auto callers = start_load(14);
  for (std::size_t i = 1; i < 4; ++i) {
    wait_for_requests(i, 10);
  }
  m_cell.m_backends[2].m_process->set_parameters({{"state_reported", "leaving"}});
  net::http_client client(test_runtime());
  const auto change_response =
      client.fetch(host_list.address(),
                   {"POST",
                    "/hosts",
                    {},
                    R"({"address":")" + m_cell.m_backends[3].m_declared_address + R"(","state":"leaving"})"},
                   milliseconds(1000));
  CHECK(change_response && change_response->m_status == 200);
  m_cell.m_backends[1].m_state = "leaving";
  m_cell.publish();
  const auto from_ms = unix_time_ms();
  wait_until_time(from_ms + max_leave_ms + 1500);
  for (std::size_t i = 1; i < 4; ++i) {
    check_no_late_requests(i, from_ms);
  }
  wait_for_requests(0, 10);
  callers.stop();
  STRCMP_EQUAL("", find_lost_responses(m_caller.records()).c_str());
  check_histories();
}

// Guards against full load on an engine that has restarted cold without notice.
TEST(zones_and_engines, engine_restarts_cold_unannounced) {
  add_engine("e1", "z1");
  add_engine("e2", "z1");
  m_cell.start(2);
  auto callers = start_load(12);
  const auto is_warm = [&](std::size_t backend) {
    const auto entries = history(backend);
    return !entries.empty() && entries.at(entries.size() - 1).at("concurrent").as_int64() == 4;
  };
  for (int round = 0; round < 2; ++round) {
    wait_until("e1 warm", milliseconds(6000), [&] { return is_warm(0); });
    m_cell.m_backends[0].m_process->set_parameters({{"restart", true}, {"down_ms", round == 0 ? 300 : 0}});
    wait_for_requests(0, 5);
  }
  wait_until("e1 warm after its restarts", milliseconds(6000), [&] { return is_warm(0); });
  callers.stop();
  check_histories();
}

// Guards against a cell that stops serving, or loses responses of other callers, when a zone fails together
// with its daemons.
TEST(zones_and_engines, daemons_of_a_zone_killed) {
  add_engine("e1", "z1");
  add_engine("e2", "z2");
  m_cell.start(5); // three daemons in z1, two in z2
  auto callers = start_load(12);
  wait_for_requests(1, 20);
  const auto killed_ms = unix_time_ms();
  std::vector<std::string> killed;
  for (auto& daemon : m_cell.m_daemons) {
    if (daemon.m_zone == "z2") {
      daemon.m_process->kill();
      killed.push_back(daemon.m_callers_address);
    }
  }
  m_cell.m_backends[1].m_process->process().kill();
  wait_until_time(killed_ms + 4000);
  const auto target_calls = callers.call_count() + 40;
  wait_until("calls through the remaining zone", milliseconds(8000),
             [&] { return callers.call_count() >= target_calls; });
  callers.stop();
  std::int64_t complete_responses = 0;
  for (const auto& record : m_caller.records()) {
    complete_responses += record.m_complete && record.m_sent_ms > killed_ms + 4000 ? 1 : 0;
  }
  CHECK(complete_responses >= 20);
  const auto entries = history(0);
  STRCMP_EQUAL("", find_limit_violations(histories{entries}).c_str());
  STRCMP_EQUAL("", find_false_not_run_verdicts(m_caller.records(), histories{entries}).c_str());
}
