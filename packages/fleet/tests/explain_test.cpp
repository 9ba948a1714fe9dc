#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

TEST_GROUP(explain) {
  daemon_fixture daemon{3};
  std::mt19937 random{9};

  std::string describe(const placement_explanation& explanation) {
    switch (explanation.m_decision) {
    case expected_decision::granted:
      return explanation.m_server;
    case expected_decision::refused:
      return "refused";
    case expected_decision::waits:
      break;
    }
    return "";
  }

  // Compares explanations with the decisions that follow them, with random loads, reports and statements.
  void compare(bool with_statements) {
    rollout_controller rollouts;
    daemon.m_dispatcher.set_rollout_controller(&rollouts);
    daemon.set_member_count(3, false);
    std::vector<backend_server> servers;
    for (int i = 0; i < 6; ++i) {
      servers.push_back(make_server("s" + std::to_string(i), i % 2 == 0 ? "a" : "b", 3));
    }
    daemon.set_servers(servers);
    std::map<std::string, int> seen;
    for (int i = 0; i < 400; ++i) {
      daemon.m_now += milliseconds(30);
      const std::string server = "s" + std::to_string(random() % 6);
      if (with_statements) {
        daemon.m_dispatcher.record_work_time(server, 50 + random() % 500, daemon.m_now);
      }
      const server_load load{server_id_hash(server),
                             static_cast<std::uint32_t>(random() % 4),
                             {},
                             false,
                             false,
                             0,
                             {},
                             static_cast<std::uint32_t>(random() % 9'000)};
      daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
      auto request = daemon.make_request(++daemon.m_last_ticket);
      request.m_prompt_tokens = random() % 9'000;
      request.m_output_tokens = random() % 60;
      const auto explanation = daemon.m_dispatcher.explain(request, daemon.m_now);
      CHECK(explanation.m_learned_limits == with_statements);
      LONGS_EQUAL(6, explanation.m_servers.size());
      daemon.m_dispatcher.submit(request, daemon.m_now);
      const auto results = daemon.tick();
      const auto found = results.find(request.m_ticket);
      const std::string decided = found == results.end() ? "" : found->second;
      STRCMP_EQUAL(decided.c_str(), describe(explanation).c_str());
      for (const auto& each : explanation.m_servers) {
        CHECK(each.m_server != decided || each.m_exclusion == "none");
      }
      ++seen[decided];
      if (random() % 3 == 0) {
        daemon.m_dispatcher.finish(1 + random() % daemon.m_last_ticket, server_outcome::answered,
                                   daemon.m_now);
      }
    }
    CHECK(seen.size() >= 6);
    daemon.m_dispatcher.set_rollout_controller(nullptr);
  }
};

// Guards against explanations by other rules than those of the decision, and against explanations that change
// it: they would show operators what does not happen.
TEST(explain, explanations_agree_with_the_decisions_that_follow) {
  compare(true);
}

TEST(explain, explanations_agree_where_learned_limits_are_off) {
  compare(false);
}

// Guards against servers that are missing from an explanation or ruled out without a reason.
TEST(explain, explanations_state_what_rules_a_server_out) {
  daemon.set_servers({make_server("busy", "a", 1), make_server("idle", "a", 1)});
  daemon.m_dispatcher.record_work_time("idle", 250, daemon.m_now);
  const server_load load{server_id_hash("busy"), 1, {}, false};
  daemon.m_dispatcher.set_peer_loads("d1", std::span(&load, 1), daemon.m_now);
  auto request = daemon.make_request(1);
  request.m_excluded_servers = {"idle"};
  const auto explanation = daemon.m_dispatcher.explain(request, daemon.m_now + milliseconds(40));
  LONGS_EQUAL(2, explanation.m_servers.size());
  STRCMP_EQUAL("full", std::string(explanation.m_servers[0].m_exclusion).c_str());
  CHECK_FALSE(explanation.m_servers[0].m_statement_age.has_value());
  STRCMP_EQUAL("tried", std::string(explanation.m_servers[1].m_exclusion).c_str());
  CHECK(explanation.m_servers[1].m_statement_age == duration(milliseconds(40)));
  CHECK(explanation.m_servers[1].m_first_s > explanation.m_servers[0].m_first_s);
  CHECK(daemon.m_dispatcher.explain(daemon.make_request(2), daemon.m_now).m_server == "idle");
  LONGS_EQUAL(0, daemon.m_dispatcher.running() + daemon.m_dispatcher.waiting());
}
