#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

// Daemons that report to one another, and servers that answer after 0.3 s and state limits, in virtual time.
struct limit_simulation {
  // The first `limited` servers state limits from 1 to 5 requests per second.
  limit_simulation(std::size_t daemons, std::size_t servers, std::size_t limited)
      : m_rates(daemons)
      , m_daemons(daemons) {
    for (std::size_t i = 0; i < servers; ++i) {
      m_servers.push_back(make_server("s" + std::to_string(i), zone(i), 4));
      if (i < limited) {
        m_limits[m_servers.back().m_id] = 1 + 4.0 * static_cast<double>(i) / static_cast<double>(limited);
      }
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      m_members.push_back({"d" + std::to_string(i), zone(i)});
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      start(i);
    }
  }

  static std::string zone(std::size_t i) { return std::string(1, static_cast<char>('a' + i % 3)); }
  bool is_small() const { return m_rates.size() < 16; }
  milliseconds draw(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(m_random));
  }

  void start(std::size_t index) {
    m_daemons[index] = std::make_unique<daemon_fixture>(m_random());
    m_daemons[index]->m_dispatcher.set_members(m_members, m_members[index], is_small());
    m_daemons[index]->m_dispatcher.set_backend_servers(m_servers, m_now);
  }

  // Reports arrive after 0.1 to 0.2 s, in other zones of a large group after 1 to 3 s.
  void send_reports(std::size_t from) {
    const auto& sender = m_daemons[from]->m_dispatcher;
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
      const bool near = is_small() || zone(to) == zone(from);
      const bool cut = m_cut && (to < m_daemons.size() / 2) != (from < m_daemons.size() / 2);
      if (to != from && !cut && (near || draw(0, 4) == milliseconds(0))) {
        using scope = dispatcher::limit_scope;
        const auto statements = sender.limit_statements(near ? scope::own : scope::zone, m_now);
        m_events.emplace(m_now + (near ? draw(100, 200) : draw(1'000, 3'000)),
                         [=, this, loads = sender.own_loads(m_now), demands = sender.own_demands(m_now)] {
                           auto& receiver = m_daemons[to]->m_dispatcher;
                           receiver.set_peer_loads(m_members[from].m_name, loads, m_now);
                           receiver.set_peer_limits(m_members[from].m_name, statements, demands, m_now);
                         });
      }
    }
  }

  void answer(std::size_t daemon, const dispatch_grant& granted) {
    const auto limit = m_limits.find(granted.m_server.m_id);
    const auto stated = limit == m_limits.end() ? std::nullopt : std::optional(limit->second);
    m_daemons[daemon]->m_dispatcher.record_limit(granted.m_server, stated, m_now - milliseconds(300), m_now);
    m_daemons[daemon]->m_dispatcher.finish(granted.m_ticket, server_outcome::answered, m_now);
  }

  void tick(std::size_t index) {
    daemon_fixture& daemon = *m_daemons[index];
    daemon.m_now = m_now;
    for (int left = std::poisson_distribution<int>(m_rates[index] * 0.02 + 1e-9)(m_random); left > 0;
         --left) {
      daemon.m_dispatcher.submit(daemon.make_request(++m_last_ticket), m_now);
    }
    for (const auto& decision : daemon.m_dispatcher.tick(m_now)) {
      if (const auto* granted = std::get_if<dispatch_grant>(&decision)) {
        m_sent[granted->m_server.m_id].push_back(m_now);
        m_events.emplace(m_now + milliseconds(300), [=, this, grant = *granted] { answer(index, grant); });
      } else {
        m_retry_delays.push_back(std::get<dispatch_refusal>(decision).m_retry_after);
      }
    }
  }

  void run(seconds length) {
    for (const time_point end = m_now + length; m_now < end; m_now += milliseconds(20), ++m_steps) {
      for (; !m_events.empty() && m_events.begin()->first <= m_now; m_events.erase(m_events.begin())) {
        m_events.begin()->second();
      }
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        tick(i);
        if ((m_steps + i) % 10 == 0) {
          send_reports(i);
        }
      }
    }
  }

  // Checks that no 4 s of the last seconds exceed one and a half times a limit, and 5 more, and that a share
  // of the limits was used in the last ten seconds.
  void check(seconds checked, double min_used = 0.6) {
    double worst = -1'000;
    double sent_lately = 0;
    double allowed_lately = 0;
    for (const auto& [id, limit] : m_limits) {
      const auto& sent = m_sent[id];
      for (auto each = std::lower_bound(sent.begin(), sent.end(), m_now - checked); each != sent.end();
           ++each) {
        const auto count = std::lower_bound(each, sent.end(), *each + seconds(4)) - each;
        worst = std::max(worst, static_cast<double>(count) - (6 * limit + 5));
      }
      sent_lately +=
          static_cast<double>(sent.end() - std::lower_bound(sent.begin(), sent.end(), m_now - seconds(10)));
      allowed_lately += 10 * limit;
    }
    const double used = sent_lately / allowed_lately;
    const std::string seen = "excess " + std::to_string(worst) + ", used " + std::to_string(used);
    CHECK_TRUE_TEXT(worst <= 0 && used >= min_used, seen.c_str());
  }

  std::vector<double> m_rates; // requests per second that reach each daemon
  std::vector<std::unique_ptr<daemon_fixture>> m_daemons;
  std::vector<daemon_location> m_members;
  std::vector<backend_server> m_servers;
  std::map<std::string, double> m_limits; // by server
  std::map<std::string, std::vector<time_point>> m_sent;
  std::vector<duration> m_retry_delays;
  std::multimap<time_point, std::function<void()>> m_events;
  bool m_cut = false; // the first half of the daemons does not hear the others
  std::size_t m_steps = 0;
  ticket m_last_ticket = 0;
  time_point m_now{seconds(100)};
  std::mt19937_64 m_random{7};
};

} // namespace

TEST_GROUP(stated_limits){};

// Guards against daemons that together send a server more than it states while all are busy or its limit is
// halved, and against servers that are held back after their limits have ended.
TEST(stated_limits, busy_daemons_stay_below_the_limits_and_use_them) {
  limit_simulation simulation(8, 18, 12);
  simulation.m_rates.assign(8, 12.0);
  simulation.run(seconds(20));
  simulation.check(seconds(16));
  for (auto& [id, limit] : simulation.m_limits) {
    limit /= 2;
  }
  simulation.run(seconds(13));
  simulation.check(seconds(10));
  simulation.m_limits.clear();
  simulation.run(seconds(10));
  for (const auto& each : simulation.m_daemons) {
    UNSIGNED_LONGS_EQUAL(0, each->m_dispatcher.count_limits().m_servers);
  }
}

// Guards against shares of daemons without requests that nobody uses.
TEST(stated_limits, the_daemons_that_have_requests_use_the_whole_limits) {
  for (const std::size_t busy : {1, 2}) {
    limit_simulation simulation(8, 18, 12);
    std::fill_n(simulation.m_rates.begin(), busy, 96.0 / static_cast<double>(busy));
    simulation.run(seconds(20));
    simulation.check(seconds(16));
  }
}

// Guards against excess in a large group, where reports of other zones are seconds old, after a restart and
// while two halves of the group do not hear each other.
TEST(stated_limits, a_large_group_stays_below_the_limits_after_a_restart_and_a_cut) {
  limit_simulation simulation(60, 18, 12);
  simulation.m_rates.assign(60, 2.5);
  simulation.run(seconds(25));
  simulation.check(seconds(21));
  simulation.start(0);
  simulation.run(seconds(5));
  simulation.m_cut = true;
  simulation.run(seconds(12));
  simulation.m_cut = false;
  simulation.run(seconds(8));
  simulation.check(seconds(25), 0);
}

// Guards against daemons with few requests whose requests no limited server takes, and against refused
// callers that are told to return at a time without relation to the limits.
TEST(stated_limits, sparse_requests_are_served_and_refused_callers_learn_when_to_return) {
  limit_simulation simulation(20, 18, 18);
  simulation.m_rates.assign(20, 0.2);
  simulation.run(seconds(25));
  simulation.m_retry_delays.clear();
  const ticket before = simulation.m_last_ticket;
  simulation.run(seconds(50));
  CHECK_TRUE(20 * simulation.m_retry_delays.size() < simulation.m_last_ticket - before);
  simulation.m_rates.assign(20, 9.0);
  simulation.run(seconds(25));
  simulation.check(seconds(25));
  const auto [least, most] =
      std::minmax_element(simulation.m_retry_delays.begin(), simulation.m_retry_delays.end());
  CHECK_TRUE(*least >= milliseconds(100) && *most <= seconds(4));
}

// Guards against limits that outlive their end because daemons pass on one another's statements, each time
// with a later time.
TEST(stated_limits, reports_contain_only_the_statements_to_this_daemon) {
  daemon_fixture daemon;
  daemon.set_servers({make_server("s1")});
  auto& dispatcher = daemon.m_dispatcher;
  dispatcher.record_limit(make_server("s1"), 2, daemon.m_now, daemon.m_now);
  daemon.m_now += milliseconds(500);
  const limit_statement later{server_id_hash("s1"), 0, 3, milliseconds(0)};
  dispatcher.set_peer_limits("d1", {&later, 1}, {}, daemon.m_now);
  const auto own = dispatcher.limit_statements(dispatcher::limit_scope::own, daemon.m_now);
  LONGS_EQUAL(500'000, own.at(0).m_age.count());
  DOUBLES_EQUAL(2, own.at(0).m_requests_per_s.value_or(0), 0);
}

// Guards against limits that end by an answer that was overtaken, or that change by old statements or those
// of another process, and against limits that the explanation of a decision does not show.
TEST(stated_limits, the_latest_statement_of_the_process_counts) {
  daemon_fixture daemon;
  const backend_server server = make_server("s1");
  daemon.set_servers({server});
  auto& dispatcher = daemon.m_dispatcher;
  const auto from_peer = [&](std::uint32_t instance, double limit, int age_ms) {
    const limit_statement statement{server_id_hash("s1"), instance, limit, milliseconds(age_ms)};
    return dispatcher.set_peer_limits("d1", {&statement, 1}, {}, daemon.m_now).size();
  };
  UNSIGNED_LONGS_EQUAL(0, from_peer(7, 2, 0));
  UNSIGNED_LONGS_EQUAL(1, from_peer(0, 2, 100));
  UNSIGNED_LONGS_EQUAL(0, from_peer(0, 3, 200));
  STRCMP_EQUAL(
      "limited",
      std::string(dispatcher.explain(daemon.make_request(1), daemon.m_now).m_servers.front().m_exclusion)
          .c_str());
  const time_point stated = daemon.m_now - milliseconds(100);
  daemon.m_now += seconds(1);
  CHECK_TRUE(dispatcher.record_limit(server, std::nullopt, stated, daemon.m_now) == limit_change::none);
  CHECK_TRUE(dispatcher.record_limit(server, std::nullopt, stated + milliseconds(1), daemon.m_now) ==
             limit_change::ended);
  UNSIGNED_LONGS_EQUAL(0, from_peer(0, 2, 100));
  UNSIGNED_LONGS_EQUAL(1, dispatcher.limit_statements(dispatcher::limit_scope::recent, daemon.m_now).size());
  LONGS_EQUAL(2, count_results(daemon.submit(2), "s1"));
}

// Guards against a limit that stays for ever at a daemon that did not hear of its end, because it was cut off
// or stopped at that time, and that sends the server nothing itself, because other daemons rank higher.
TEST(stated_limits, a_daemon_that_missed_the_end_of_a_limit_learns_of_it) {
  daemon_fixture daemon;
  daemon.set_member_count(8);
  std::vector<backend_server> servers;
  std::vector<limit_statement> stated;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(make_server("s" + std::to_string(i)));
    stated.push_back({server_id_hash(servers.back().m_id), 0, 1, {}});
  }
  daemon.set_servers(servers);
  auto& dispatcher = daemon.m_dispatcher;
  const service_demand demand{service_hash("chat"), 12};
  const auto hear_peers = [&](std::span<const limit_statement> statements) {
    for (int i = 1; i < 8; ++i) {
      const std::string name = "d" + std::to_string(i);
      dispatcher.set_peer_loads(name, {}, daemon.m_now);
      dispatcher.set_peer_limits(name, statements, {&demand, 1}, daemon.m_now);
    }
  };
  hear_peers(stated);
  // The limits end, but no report of that arrives. The reports after that contain no statements.
  for (int s = 0; s < 600; ++s) {
    daemon.m_now += seconds(1);
    hear_peers({});
    for (const auto& [id, result] : daemon.submit(20)) {
      if (result != "refused") { // the answers show that the limit ended
        dispatcher.record_limit(make_server(result), std::nullopt, daemon.m_now, daemon.m_now);
        dispatcher.finish(id, server_outcome::answered, daemon.m_now);
      }
    }
  }
  UNSIGNED_LONGS_EQUAL(0, dispatcher.count_limits().m_servers);
}

// Guards against a daemon that ends a limit for all others because it reads an answer late that a server gave
// before it stated the limit: the answer was held up by a stop of the daemon, or by its network.
TEST(stated_limits, an_answer_from_before_the_statement_does_not_end_the_limit) {
  daemon_fixture daemon;
  const backend_server server = make_server("s1");
  daemon.set_servers({server});
  auto& dispatcher = daemon.m_dispatcher;
  // The answer to a request of this daemon is under way. A peer hears of a limit of 0.4 requests per second.
  const limit_statement statement{server_id_hash("s1"), 0, 0.4, milliseconds(0)};
  dispatcher.set_peer_limits("d1", {&statement, 1}, {}, daemon.m_now);
  const time_point sent = daemon.m_now - milliseconds(10);
  daemon.m_now += milliseconds(1'500);
  CHECK_TRUE(dispatcher.record_limit(server, std::nullopt, sent, daemon.m_now) == limit_change::none);
}

// Guards against a limit that is forgotten when the list of servers shows, seconds late, that the server had
// started again under its id before it stated the limit.
TEST(stated_limits, a_limit_holds_when_the_list_shows_the_start_of_its_process_late) {
  daemon_fixture daemon;
  backend_server server = make_server("s1", "a", 32);
  server.m_started_unix_ms = 1'000;
  daemon.set_servers({server});
  auto& dispatcher = daemon.m_dispatcher;
  for (int s = 0; s < 6; ++s) { // the process started at 2'000 and answers requests since
    dispatcher.record_limit(server, 1, daemon.m_now, daemon.m_now);
    daemon.submit(1);
    daemon.m_now += seconds(1);
  }
  server.m_started_unix_ms = 2'000;
  daemon.set_servers({server});
  CHECK_TRUE(count_results(daemon.submit(32), "s1") <= 11);
}

// Guards against limits that stay for ever at a daemon that was stopped when they ended, and that it passes
// on to daemons of other zones that start later.
TEST(stated_limits, limits_that_ended_while_a_daemon_was_stopped_end_there_and_at_new_daemons) {
  limit_simulation simulation(60, 18, 12);
  simulation.m_rates.assign(60, 3.0);
  simulation.run(seconds(15));
  auto stopped = std::move(simulation.m_daemons[0]);
  simulation.start(0); // stands for the stopped daemon and gets no requests
  simulation.m_rates[0] = 0;
  simulation.m_limits.clear();
  simulation.run(seconds(45));
  simulation.m_events.clear();
  simulation.m_daemons[0] = std::move(stopped);
  simulation.m_rates[0] = 3;
  simulation.run(seconds(60));
  simulation.start(1); // in another zone
  simulation.run(seconds(30));
  for (const auto& each : simulation.m_daemons) {
    UNSIGNED_LONGS_EQUAL(0, each->m_dispatcher.count_limits().m_servers);
  }
}
