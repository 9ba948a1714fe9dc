#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/backend_engine.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <csignal>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace json = boost::json;

namespace {

json::object make_configuration() {
  const json::object route = {{"name", "guide"},          {"host", "h1"},      {"path_prefix", "/guide/"},
                              {"type", "stream"},         {"service", "chat"}, {"timeout_ms", 3'000},
                              {"target_latency_ms", 300}, {"priority", 0},     {"max_attempts", 2},
                              {"allow_anonymous", false}, {"gap_aim_ms", 400}};
  return {{"version", 1},
          {"routes", json::array{route}},
          {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}}}},
          {"tenants", json::array{{{"name", "acme"}, {"api_keys", json::array{"k-acme"}}}}}};
}

} // namespace

// One entry daemon, one engine and the store.
TEST_GROUP(explain) {
  temporary_folder m_folder;
  platform::standins::run_counter m_runs;
  platform::standins::backend_engine m_engine{test_runtime(), "i-0", m_runs, 1};
  platform::standins::metadata_store m_store{test_runtime()};
  std::string m_metrics = find_free_address();
  std::string m_callers = find_free_address();
  int m_calls = 0;

  std::string write_settings() {
    return m_folder.write("d0.toml", "scheduling = \"local\"\nname = \"d0\"\navailability_zone = \"a\"\n"
                                     "[listen]\ncallers = \"" +
                                         m_callers + "\"\nadmin = \"" + find_free_address() +
                                         "\"\nmetrics = \"" + m_metrics + "\"\nexchange = \"" +
                                         find_free_address() + "\"\n[store]\naddress = \"" +
                                         m_store.address() + "\"\n");
  }

  finished_process explain(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "explain");
    return run_program(program_path("cardamompondctl"), arguments,
                       m_folder.path() + "/ctl" + std::to_string(++m_calls) + ".log");
  }
};

// Guards against an explanation that operators cannot get, that callers can get, that runs or reserves
// something, or that shows a key.
TEST(explain, an_operator_sees_where_a_request_would_go) {
  m_store.put("servers", "i-0",
              json::object{{"address", m_engine.address()},
                           {"service", "chat"},
                           {"zone", "a"},
                           {"version", "v1"},
                           {"slots", 4},
                           {"born", m_engine.started()},
                           {"state", "ready"},
                           {"cold_remaining_ms", 0}});
  m_store.put("config", "main", make_configuration());
  const std::string settings = write_settings();
  child_process daemon(program_path("cardamompondd"), {"--settings", settings}, m_folder.path() + "/d0.log");
  const std::vector<std::string> arguments = {"--daemon", m_metrics,  "--host",   "h1",
                                              "--path",   "/guide/1", "--output", "json"};
  auto answer = explain(arguments);
  for (int i = 0; i < 100 && answer.m_output.find("\"granted\"") == std::string::npos; ++i) {
    boost::this_fiber::sleep_for(milliseconds(100));
    answer = explain(arguments);
  }
  LONGS_EQUAL_TEXT(0, answer.m_exit_code, answer.m_output.c_str());
  const auto body = json::parse(answer.m_output).as_object();
  STRCMP_EQUAL("i-0", body.at("server").as_string().c_str());
  STRCMP_EQUAL("none", body.at("servers").as_array().at(0).at("ruled_out").as_string().c_str());
  CHECK_FALSE(body.at("learned_limits").as_bool());

  const auto text = explain({"--settings", settings, "--service", "chat", "--account", "acme"});
  LONGS_EQUAL_TEXT(0, text.m_exit_code, text.m_output.c_str());
  CHECK_TEXT(text.m_output.find("granted to i-0") != std::string::npos, text.m_output.c_str());
  CHECK(text.m_output.find("k-acme") == std::string::npos);
  LONGS_EQUAL(1, explain({"--daemon", m_metrics, "--service", "none"}).m_exit_code);
  LONGS_EQUAL(2, explain({"--daemon", m_metrics}).m_exit_code);
  LONGS_EQUAL(2, explain({"--daemon", m_metrics, "--service", "chat", "--prompt-tokens", "x"}).m_exit_code);

  net::http_client client(test_runtime());
  const auto from_callers =
      client.fetch(m_callers, {"GET", "/explain?service=chat", {{"Host", "h1"}}, {}}, milliseconds(2'000));
  CHECK(from_callers.has_value() && from_callers->m_status >= 400);
  LONGS_EQUAL(0, m_runs.request_count());
  LONGS_EQUAL(0, m_engine.log().m_arrivals.size());
  daemon.signal(SIGTERM);
  LONGS_EQUAL(0, daemon.wait_for_exit(milliseconds(20'000)));
}
