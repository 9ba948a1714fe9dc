#include "simulated_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <limits>
#include <ostream>
#include <set>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

namespace {

struct no_model {};
using command_base = rc::state::Command<no_model, simulated_cell>;

template <operation Kind> struct cell_command : command_base {
  std::uint32_t m_choice_a = *rc::gen::inRange<std::uint32_t>(0, 100'000);
  std::uint32_t m_choice_b = *rc::gen::inRange<std::uint32_t>(0, 100'000);
  std::uint32_t m_choice_c = *rc::gen::inRange<std::uint32_t>(0, 100'000);
  void apply(no_model&) const override {}
  void run(const no_model&, simulated_cell& cell) const override {
    cell.perform(Kind, m_choice_a, m_choice_b, m_choice_c);
    RC_ASSERT(cell.m_violation == "");
  }
  void show(std::ostream& os) const override {
    os << "operation " << static_cast<int>(Kind) << " " << m_choice_a << " " << m_choice_b << " "
       << m_choice_c;
  }
};

template <operation... Kinds> void check_cell(simulated_cell& cell) {
  rc::state::check(no_model{}, cell, rc::state::gen::execOneOfWithArgs<cell_command<Kinds>...>());
  cell.run_until_all_decided();
  RC_ASSERT(cell.m_violation == "");
}

using op = operation;

// Returns a configuration with three tiers that share a short queue, and with servers that start cold.
configuration make_small_cell() {
  configuration config = make_configuration(3, 8);
  config.m_tiers = {{"gold", 0, 1.0}, {"silver", 1, 0.8}, {"bulk", 2, 0.5}};
  config.m_client_accounts = {
      {"high", 0, 1.0, 0}, {"mid", 1, 1.0, 0}, {"low", 2, 1.0, 0}, {"low2", 2, 3.0, 0}};
  config.m_services[0].m_queue_limit = 12;
  for (auto& server : config.m_backend_servers) {
    server.m_cold_limit = 1;
  }
  return config;
}

// Checks that no tier is shed while a lower one waits, and that no request of a lower tier is granted ahead
// of a tier that has been shed. Requests without prompt blocks are never deferred for a particular server, so
// lower tiers must never overtake them.
class tier_oracle : public oracle {
  std::string on_refusal(const simulated_cell&, const tracked_request& request,
                         const refusal& refused) override {
    if (refused.m_code == error_code::queue_full || refused.m_code == error_code::overloaded) {
      m_min_shed_rank = std::min(m_min_shed_rank, request.m_rank);
      m_ranks_ever_shed.insert(request.m_rank);
    }
    return {};
  }
  std::string on_grant(const simulated_cell&, const tracked_request& request) override {
    m_max_granted_rank = std::max(m_max_granted_rank, static_cast<int>(request.m_rank));
    return {};
  }
  std::string after_tick(const simulated_cell& cell, const std::vector<decision>&) override {
    std::string violation;
    for (const auto& [key, request] : cell.m_requests) {
      if (request.m_progress != request_progress::waiting) {
        continue;
      }
      if (request.m_rank > m_min_shed_rank) {
        violation = "a request was shed while one of a lower tier waits";
      }
      const bool must_not_wait =
          request.m_request.m_prefix_blocks.empty() || m_ranks_ever_shed.contains(request.m_rank);
      if (must_not_wait && static_cast<int>(request.m_rank) < m_max_granted_rank) {
        violation = "a request was granted while one of a higher tier waits";
      }
    }
    m_min_shed_rank = std::numeric_limits<std::uint32_t>::max();
    m_max_granted_rank = -1;
    return violation;
  }
  std::uint32_t m_min_shed_rank = std::numeric_limits<std::uint32_t>::max();
  std::set<std::uint32_t> m_ranks_ever_shed;
  int m_max_granted_rank = -1;
};

// Checks that no server gets more outstanding requests than its limit. The limit is 1 after a cold start, and
// it doubles after as many successes as its current value, up to 8. Servers that are out of service must get
// no requests.
class limit_oracle : public oracle {
  struct ramp {
    std::uint32_t m_limit = 1;
    std::uint32_t m_successes = 0;
    time_point m_since;
  };
  std::map<std::string, ramp> m_ramps;
  std::set<std::string> m_reset_servers;

  void on_cold_start(const std::string& server) override { m_reset_servers.insert(server); }
  std::string on_grant(const simulated_cell& cell, const tracked_request& request) override {
    ramp& server_ramp = m_ramps[request.m_server];
    if (m_reset_servers.erase(request.m_server) > 0) {
      server_ramp = {1, 0, cell.m_now};
    }
    if (!cell.is_in_service(request.m_server)) {
      return "granted to a server that is leaving or unreachable";
    }
    return cell.count_outstanding(request.m_server) + 1 > server_ramp.m_limit
               ? "more outstanding requests than the limit allows"
               : "";
  }
  void on_finish(const tracked_request& request, outcome result) override {
    ramp& server_ramp = m_ramps[request.m_server];
    if (result == outcome::succeeded && !m_reset_servers.contains(request.m_server) &&
        request.m_granted >= server_ramp.m_since && ++server_ramp.m_successes >= server_ramp.m_limit) {
      server_ramp.m_successes = 0;
      server_ramp.m_limit = std::min(8U, server_ramp.m_limit * 2);
    }
  }
};

// Checks that the new version gets at most 1% of the grants plus one until 20 of its requests have succeeded,
// and at most 5% plus one until 40 have. It must get none after 10 failures or a failure rate above 20% over
// at least 10 requests, and no more than 25 in total if it is slow.
class rollout_oracle : public oracle {
public:
  bool m_slow = false;

private:
  std::size_t m_grants = 0;
  std::size_t m_new_version_grants = 0;
  std::size_t m_successes = 0;
  std::size_t m_failures = 0;
  bool m_faulty = false;

  std::string on_grant(const simulated_cell&, const tracked_request& request) override {
    ++m_grants;
    if (request.m_version != "v2") {
      return {};
    }
    ++m_new_version_grants;
    if (m_faulty || (m_slow && m_new_version_grants > 25)) {
      return "granted to a version that has been shown to be faulty";
    }
    const double share = m_successes < 20 ? 0.01 : m_successes < 40 ? 0.05 : 1;
    return static_cast<double>(m_new_version_grants) > 1 + share * static_cast<double>(m_grants)
               ? "the new version got more than the share of its step"
               : "";
  }
  void on_finish(const tracked_request& request, outcome result) override {
    if (request.m_version == "v2") {
      ++(result == outcome::succeeded ? m_successes : m_failures);
      const std::size_t all = m_successes + m_failures;
      m_faulty = m_faulty || (all <= 500 && (m_failures >= 10 || (all >= 10 && m_failures * 5 > all)));
    }
  }
};

class crash_oracle : public oracle {
public:
  static constexpr std::uint64_t crashing_content = 7;
  std::set<std::string> m_crashed_servers;

private:
  void on_start(const tracked_request& request) override {
    if (request.m_request.m_fingerprint.m_low == crashing_content) {
      m_crashed_servers.insert(request.m_server);
    }
  }
  std::string after_tick(const simulated_cell&, const std::vector<decision>&) override {
    return m_crashed_servers.size() > 2 ? "crashing content reached a third server" : "";
  }
  std::string on_refusal(const simulated_cell&, const tracked_request& request,
                         const refusal& refused) override {
    const bool crashes = request.m_request.m_fingerprint.m_low == crashing_content;
    return refused.m_code == error_code::crashing_request && !crashes
               ? "a request with harmless content was refused"
               : "";
  }
};

class placement_oracle : public oracle {
  std::map<std::string, std::set<std::uint64_t>> m_cached_blocks;

  std::string on_grant(const simulated_cell& cell, const tracked_request& request) override {
    const auto& blocks = request.m_request.m_prefix_blocks;
    if (blocks.empty()) {
      return {};
    }
    bool has_free_holder = false;
    for (const auto& [server, blocks_of_server] : m_cached_blocks) {
      has_free_holder = has_free_holder || (blocks_of_server.contains(blocks[0]) &&
                                            cell.is_in_service(server) && cell.count_outstanding(server) < 8);
    }
    const bool is_cached = m_cached_blocks[request.m_server].contains(blocks[0]);
    m_cached_blocks[request.m_server].insert(blocks[0]);
    return has_free_holder && !is_cached
               ? "a request was not placed on the free server that caches its prompt"
               : "";
  }
  std::string after_tick(const simulated_cell& cell, const std::vector<decision>&) override {
    const bool has_waiting_request =
        std::any_of(cell.m_requests.begin(), cell.m_requests.end(), [](const auto& entry) {
          // Requests with prompt blocks may wait for a server that caches them.
          return entry.second.m_progress == request_progress::waiting &&
                 entry.second.m_request.m_prefix_blocks.empty();
        });
    const auto& servers = cell.m_config.m_backend_servers;
    const bool has_free_slot = std::any_of(servers.begin(), servers.end(), [&](const auto& server) {
      return cell.is_in_service(server.m_name) && cell.count_outstanding(server.m_name) < server.m_slots;
    });
    return has_waiting_request && has_free_slot ? "a request waits although a slot is free" : "";
  }
};

// Sends input that is invalid, late or about unknown entities to the scheduler of one of two cells that
// otherwise get the same events. The decisions of both must stay the same.
class noise_oracle : public oracle {
public:
  std::string after_tick(const simulated_cell& cell, const std::vector<decision>&) override {
    const time_point now = cell.m_now;
    simulated_cell& noisy_cell = *m_noisy_cell;
    const std::string known = cell.m_config.m_backend_servers[0].m_name;
    const double nan = std::numeric_limits<double>::quiet_NaN();
    noisy_cell.m_scheduler.handle(
        load_report_event{"nobody", "b", reported_state::leaving, -1, -1, -1, nan, now}, now);
    noisy_cell.m_scheduler.handle(
        load_report_event{known, "b9", reported_state::leaving, 0, 0, 1, 1, at(-5'000)}, now);
    noisy_cell.m_scheduler.handle(load_report_event{known, "b1", reported_state::leaving, 0, 0, 1, 1, now},
                                  now);
    noisy_cell.m_scheduler.handle(unreachable_event{"nobody"}, now);
    noisy_cell.m_scheduler.handle(host_state_event{"nobody", true}, now);
    noisy_cell.m_scheduler.handle(cache_event{"nobody", 1, true, 1}, now);
    noisy_cell.m_scheduler.handle(completed_event{{77, 1}, outcome::failed, 0, 0, 0, {}, {}},
                                  now - seconds(3));
    noisy_cell.m_scheduler.handle(started_event{{77, 2}}, time_point::max());
    noisy_cell.m_scheduler.handle(declined_event{{77, 3}, decline_reason::connect_failed}, now);
    noisy_cell.m_scheduler.handle(restore_event{make_submit(1'000'000, "nobody", 1), "nobody"}, now);
    fault_signal_set fault_signals;
    fault_signals.m_trips.push_back({"chat", "nothing", 9, "", "?"});
    fault_signals.m_crashes.push_back({{}, {"x", "y"}, true, time_point::max()});
    noisy_cell.m_scheduler.merge(fault_signals, now);
    return {};
  }
  simulated_cell* m_noisy_cell = nullptr;
};

} // namespace

TEST_GROUP(property){};

// Every submission that is not cancelled must get one decision by its deadline, and no second one. Late and
// repeated events, expired and declined permits, restarts and leaving servers must not cause a second grant
// or a missing decision.
TEST(property, each_submission_gets_one_decision) {
  CHECK(rc::check("one decision at a time, and one before the deadline", [] {
    oracle none;
    simulated_cell cell(make_small_cell(), none);
    check_cell<op::submit, op::submit, op::start, op::finish, op::decline, op::cancel, op::replay_event,
               op::replay_event, op::restart_server, op::toggle_leaving, op::advance_clock>(cell);
  }));
}

// A higher tier must not be shed while a lower one stays in the queue, and must not wait while a lower one is
// granted.
TEST(property, higher_tiers_are_shed_last_and_granted_first) {
  CHECK(rc::check("tier order", [] {
    tier_oracle tiers;
    simulated_cell cell(make_small_cell(), tiers);
    check_cell<op::submit, op::submit, op::submit, op::start, op::finish, op::decline, op::cancel,
               op::toggle_leaving>(cell);
  }));
}

// Cold servers must not get more requests than their limit. Leaving and unreachable servers must get none.
TEST(property, servers_get_no_more_than_their_limit) {
  CHECK(rc::check("limits and cold start", [] {
    limit_oracle limits;
    simulated_cell cell(make_small_cell(), limits);
    check_cell<op::submit, op::submit, op::start, op::start, op::finish, op::finish, op::decline,
               op::restart_server, op::toggle_leaving, op::fail_poll, op::advance_clock>(cell);
  }));
}

// A new version must not get more than the share of its current step, and no more requests once its failures
// or slowness have been detected.
TEST(property, faulty_versions_get_limited_traffic_and_are_rolled_back) {
  CHECK(rc::check("rollouts and circuit breakers", [] {
    configuration config = make_configuration(4, 8);
    config.m_backend_servers[2].m_version = config.m_backend_servers[3].m_version = "v2";
    config.m_versions.push_back({"v2", "chat", 1});
    config.m_services[0].m_rollout = rollout_configuration{"v2", at(0), at(1), {1, 5, 25, 50, 100}};
    rollout_oracle rollouts;
    simulated_cell cell(config, rollouts);
    const auto kind = *rc::gen::inRange(0, 3);
    rollouts.m_slow = kind == 1;
    cell.m_new_version_total_time = milliseconds(kind == 1 ? 1'200 : 480);
    const int fails_after = *rc::gen::inRange(0, 4'000);
    for (int i = 0; i < 80; ++i) {
      cell.m_new_version_outcome = kind == 2 && i * 60 >= fails_after ? outcome::failed : outcome::succeeded;
      cell.perform(op::run_sequentially, 0, *rc::gen::inRange<std::uint32_t>(30, 60), 0);
      RC_ASSERT(cell.m_violation == "");
    }
  }));
}

// Crashing content must not reach a third server, and requests that ran on the same server must not be
// refused as crashing.
TEST(property, crashing_content_reaches_at_most_two_servers) {
  CHECK(rc::check("crashing requests", [] {
    configuration config = make_configuration(5, 4);
    crash_oracle crashes;
    simulated_cell cell(config, crashes);
    cell.m_crashing_content = crash_oracle::crashing_content;
    check_cell<op::submit, op::submit, op::submit, op::finish, op::finish, op::finish, op::advance_clock>(
        cell);
    if (crashes.m_crashed_servers.size() == 2) {
      cell.submit(0, cell.m_crashing_content, 60'000);
      cell.tick();
      const auto refusals = refusals_in(cell.m_last_decisions);
      RC_ASSERT(refusals.size() == 1U);
      RC_ASSERT(refusals[0].m_code == error_code::crashing_request);
    }
  }));
}

// No slot may stay idle while requests wait, no slot may leak, and prompts must be placed on a free server
// that caches them.
TEST(property, free_slots_are_used_where_the_prompt_is_cached) {
  CHECK(rc::check("placement and cancel", [] {
    configuration config = make_configuration(3, 8);
    config.m_services[0].m_long_request_tokens = 1'000'000;
    placement_oracle placement;
    simulated_cell cell(config, placement);
    check_cell<op::submit, op::submit, op::submit, op::start, op::finish, op::cancel>(cell);
  }));
}

// Input that is invalid, late or about unknown entities must not change any decision.
TEST(property, bad_input_changes_no_decision) {
  CHECK(rc::check("bad input", [] {
    oracle none;
    noise_oracle noise;
    simulated_cell clean(make_small_cell(), none);
    simulated_cell noisy(make_small_cell(), noise);
    noise.m_noisy_cell = &noisy;
    // Restart the first server, so that "b1" identifies an earlier process.
    for (simulated_cell* cell : {&clean, &noisy}) {
      cell->perform(op::restart_server, 0, 0, 0);
      cell->perform(op::advance_clock, 1'899, 0, 0);
      cell->perform(op::advance_clock, 1'899, 0, 0);
    }
    const auto count = *rc::gen::inRange(0, 150);
    for (int i = 0; i < count; ++i) {
      constexpr op kinds[] = {op::submit,  op::submit, op::start,        op::finish,
                              op::decline, op::cancel, op::advance_clock};
      const op kind = kinds[*rc::gen::inRange(0, 7)];
      const auto choice_a = *rc::gen::inRange<std::uint32_t>(0, 100'000);
      const auto choice_b = *rc::gen::inRange<std::uint32_t>(0, 100'000);
      clean.perform(kind, choice_a, choice_b, 0);
      noisy.perform(kind, choice_a, choice_b, 0);
      RC_ASSERT(clean.m_last_decisions.size() == noisy.m_last_decisions.size());
      for (std::size_t d = 0; d < clean.m_last_decisions.size(); ++d) {
        const auto key_of = [](const auto& entry) { return entry.m_key; };
        RC_ASSERT(clean.m_last_decisions[d].index() == noisy.m_last_decisions[d].index());
        RC_ASSERT(std::visit(key_of, clean.m_last_decisions[d]) ==
                  std::visit(key_of, noisy.m_last_decisions[d]));
      }
    }
    RC_ASSERT(noisy.m_scheduler.rejected_inputs().size() >= 5U || count == 0);
  }));
}
