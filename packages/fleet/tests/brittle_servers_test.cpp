#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

namespace {

// A server that takes `m_slots` requests at a time and lets a few wait. One that has to reject more than
// m_max_rejections in a second falls over for 3 s.
struct model_server {
  backend_server m_entry;
  std::set<ticket> m_taken; // running and waiting
  std::vector<time_point> m_rejections;
  time_point m_down_until{};
  std::vector<time_point> m_free_at; // by slot
  int m_falls = 0;
};

// Daemons that report to one another, and brittle servers, in virtual time. From 3 s after they first stated
// that they are brittle, servers let no request wait. A burst of twice their capacity follows.
struct brittle_simulation {
  brittle_simulation(std::size_t daemons, std::size_t servers, bool states, bool batching, std::uint64_t seed,
                     std::size_t with_requests)
      : m_states(states)
      , m_batching(batching)
      , m_random(seed) {
    for (std::size_t i = 0; i < servers; ++i) {
      m_servers.emplace_back().m_entry =
          make_server("s" + std::to_string(i), zone(i), 2 + static_cast<std::uint32_t>(i % 3));
      m_servers.back().m_free_at.resize(m_servers.back().m_entry.m_slots);
      m_capacity += m_servers.back().m_entry.m_slots / mean_s();
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      m_members.push_back({"d" + std::to_string(i), zone(i)});
      const double weight = std::uniform_real_distribution(0.6, 1.4)(m_random);
      m_weights.push_back(
          i < with_requests ? weight * static_cast<double>(daemons) / static_cast<double>(with_requests) : 0);
    }
    for (std::size_t i = 0; i < daemons; ++i) {
      m_daemons.push_back(std::make_unique<daemon_fixture>(m_random()));
      declarations source;
      source.m_services.resize(1);
      source.m_services.front().m_name = "chat";
      source.m_services.front().m_uses_batching = batching;
      m_daemons[i]->m_dispatcher.apply(source);
      m_daemons[i]->m_dispatcher.set_members(m_members, m_members[i], daemons < 16);
    }
    list_servers();
  }

  static std::string zone(std::size_t i) { return std::string(1, static_cast<char>('a' + i % 3)); }
  double mean_s() const { return m_batching ? 0.9 : 0.06; }
  double elapsed() const { return std::chrono::duration<double>(m_now - m_start).count(); }
  milliseconds draw(int from, int to) {
    return milliseconds(std::uniform_int_distribution<int>(from, to)(m_random));
  }

  void list_servers() {
    std::vector<backend_server> entries;
    for (const auto& each : m_servers) {
      entries.push_back(each.m_entry);
    }
    for (auto& each : m_daemons) {
      each->m_dispatcher.set_backend_servers(entries, m_now);
    }
  }

  // Reports arrive after 0.1 to 0.2 s, in other zones of a large group after 1 to 3 s.
  void send_reports(std::size_t from) {
    const auto& sender = m_daemons[from]->m_dispatcher;
    const auto loads = std::make_shared<std::vector<server_load>>(sender.own_loads(m_now));
    using scope = dispatcher::limit_scope;
    const auto own =
        std::make_shared<std::vector<brittle_statement>>(sender.brittle_statements(scope::own, m_now));
    for (std::size_t to = 0; to < m_daemons.size(); ++to) {
      const bool near = m_daemons.size() < 16 || zone(to) == zone(from);
      if (to != from && (near || draw(0, 4) == milliseconds(0))) {
        m_events.emplace(m_now + (near ? draw(100, 200) : draw(1'000, 3'000)), [=, this] {
          auto& receiver = m_daemons[to]->m_dispatcher;
          receiver.set_peer_loads(m_members[from].m_name, *loads, m_now);
          receiver.set_peer_brittle(m_members[from].m_name, *own, m_now);
        });
      }
    }
  }

  void reject(model_server& server) {
    ++m_rejected;
    std::erase_if(server.m_rejections, [&](time_point each) { return m_now - each >= seconds(1); });
    server.m_rejections.push_back(m_now);
    if (elapsed() >= 5 && server.m_rejections.size() > max_rejections) {
      ++server.m_falls;
      server.m_down_until = m_now + seconds(3);
      server.m_taken.clear();
      server.m_rejections.clear();
      std::fill(server.m_free_at.begin(), server.m_free_at.end(), server.m_down_until);
      ++server.m_entry.m_started_unix_ms;
    }
  }

  // Returns when the request that arrives now will have been answered; nothing: it was rejected.
  std::optional<time_point> take(model_server& server, ticket request) {
    const std::size_t places = elapsed() < 5 ? 4 : 0;
    if (server.m_taken.size() >= server.m_entry.m_slots + places) {
      reject(server);
      return std::nullopt;
    }
    server.m_taken.insert(request);
    auto& slot = *std::min_element(server.m_free_at.begin(), server.m_free_at.end());
    const auto mean_ms = static_cast<int>(1'000 * mean_s());
    slot = std::max(slot, m_now) + draw(mean_ms / 2, mean_ms * 3 / 2);
    return slot;
  }

  void end(std::size_t daemon, const dispatch_grant& granted, submission request, server_outcome outcome) {
    auto& dispatcher = m_daemons[daemon]->m_dispatcher;
    if (outcome == server_outcome::answered || outcome == server_outcome::refused) {
      const bool brittle = m_states && elapsed() >= 2;
      dispatcher.record_brittle(granted.m_server, brittle ? std::optional(max_rejections) : std::nullopt,
                                m_now - milliseconds(20), m_now);
    }
    dispatcher.finish(granted.m_ticket, outcome, m_now);
    if (outcome == server_outcome::answered) {
      m_answered += m_now < request.m_abandoned_at + seconds(2) ? 1 : 0;
    } else if (outcome != server_outcome::broken && request.m_excluded_servers.size() < 2) {
      request.m_ticket = ++m_last_ticket;
      request.m_excluded_servers.push_back(granted.m_server.m_id);
      submit(daemon, std::move(request));
    }
  }

  void arrive(std::size_t daemon, const dispatch_grant& granted, const submission& request) {
    model_server& server = *std::find_if(m_servers.begin(), m_servers.end(), [&](const auto& each) {
      return each.m_entry.m_id == granted.m_server.m_id;
    });
    if (m_now < server.m_down_until) {
      end(daemon, granted, request, server_outcome::unreachable);
    } else if (const auto answered = take(server, granted.m_ticket); !answered) {
      m_events.emplace(m_now + milliseconds(5),
                       [=, this] { end(daemon, granted, request, server_outcome::refused); });
    } else {
      m_events.emplace(*answered, [=, this, &server] {
        const bool complete = server.m_taken.erase(granted.m_ticket) > 0;
        end(daemon, granted, request, complete ? server_outcome::answered : server_outcome::broken);
      });
    }
  }

  void submit(std::size_t daemon, submission request) {
    m_daemons[daemon]->m_dispatcher.submit(request, m_now);
    m_requests[request.m_ticket] = std::move(request);
  }

  void tick(std::size_t index, double load) {
    daemon_fixture& daemon = *m_daemons[index];
    daemon.m_now = m_now;
    const double rate = load * m_capacity * m_weights[index] / static_cast<double>(m_daemons.size());
    for (int left = std::poisson_distribution<int>(rate * 0.02)(m_random); left > 0; --left) {
      submit(index, daemon.make_request(++m_last_ticket));
    }
    for (const auto& decision : daemon.m_dispatcher.tick(m_now)) {
      if (const auto* granted = std::get_if<dispatch_grant>(&decision)) {
        m_events.emplace(m_now + draw(1, 15),
                         [=, this, grant = *granted, request = m_requests.at(granted->m_ticket)] {
                           arrive(index, grant, request);
                         });
      }
    }
  }

  void run() {
    for (; elapsed() < 18; m_now += milliseconds(20), ++m_steps) {
      for (; !m_events.empty() && m_events.begin()->first <= m_now; m_events.erase(m_events.begin())) {
        m_events.begin()->second();
      }
      const double load = elapsed() < 2 ? 0.3 : elapsed() >= 6 && elapsed() < 12 ? 2 : 0.7;
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        tick(i, load);
        if ((m_steps + i) % 10 == 0) {
          send_reports(i);
        }
      }
    }
  }

  int falls() const {
    int sum = 0;
    for (const auto& each : m_servers) {
      sum += each.m_falls;
    }
    return sum;
  }

  static constexpr std::uint32_t max_rejections = 2;
  bool m_states;
  bool m_batching;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<daemon_fixture>> m_daemons;
  std::vector<daemon_location> m_members;
  std::vector<double> m_weights;
  std::vector<model_server> m_servers;
  double m_capacity = 0; // requests per second
  std::map<ticket, submission> m_requests;
  std::multimap<time_point, std::function<void()>> m_events;
  std::size_t m_steps = 0;
  ticket m_last_ticket = 0;
  int m_answered = 0;
  int m_rejected = 0;
  time_point m_start{seconds(100)};
  time_point m_now = m_start;
};

// Only the first `with_requests` daemons get requests.
void check_falls(std::size_t daemons, std::size_t servers, bool batching, std::uint64_t seed,
                 std::size_t with_requests) {
  brittle_simulation unaware(daemons, servers, false, batching, seed, with_requests);
  unaware.run();
  brittle_simulation aware(daemons, servers, true, batching, seed, with_requests);
  aware.run();
  const std::string seen = "seed " + std::to_string(seed) + ": falls " + std::to_string(aware.falls()) +
                           " (unaware " + std::to_string(unaware.falls()) + "), rejected " +
                           std::to_string(aware.m_rejected) + " (" + std::to_string(unaware.m_rejected) +
                           "), answered " + std::to_string(aware.m_answered) + " (" +
                           std::to_string(unaware.m_answered) + ")";
  CHECK_TRUE_TEXT(aware.falls() <= 2 + static_cast<int>(servers / 10), seen.c_str());
  CHECK_TRUE_TEXT(aware.m_answered >= unaware.m_answered, seen.c_str());
}

} // namespace

TEST_GROUP(brittle_servers) {
  daemon_fixture daemon;

  void state(const backend_server& server, std::optional<std::uint32_t> max_rejections) {
    daemon.m_dispatcher.record_brittle(server, max_rejections, daemon.m_now - milliseconds(1), daemon.m_now);
  }
};

// Guards against a burst that topples model servers because each daemon sends requests in the hope of room
// that the others fill at the same moment.
TEST(brittle_servers, a_burst_topples_few_batching_servers_of_a_small_group) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    check_falls(8, 18, true, seed, 8);
  }
}

// Guards against the same where responses take less time than the reports.
TEST(brittle_servers, a_burst_topples_few_plain_servers_of_a_small_group) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    check_falls(8, 6, false, seed, 8);
  }
}

// Guards against the same where most daemons have no slots of their own and reports take seconds.
TEST(brittle_servers, a_burst_topples_few_servers_of_a_large_group) {
  check_falls(48, 26, true, 1, 48);
}

// Guards against slots that stay idle because they belong to daemons without requests. Two daemons of eight
// have a quarter of the slots.
TEST(brittle_servers, slots_of_daemons_without_requests_are_used) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    brittle_simulation simulation(8, 18, true, true, seed, 2);
    simulation.run();
    CHECK_TRUE(simulation.falls() <= 3);
    CHECK_TRUE(simulation.m_answered > 1.2 * simulation.elapsed() * simulation.m_capacity / 4);
  }
}

// Guards against changed decisions where no server states anything, and after its statement has ended.
TEST(brittle_servers, the_statement_ends_with_an_answer_without_it) {
  daemon.set_member_count(4);
  daemon.set_servers({make_server("s1", "a", 4)});
  state(make_server("s1", "a", 4), std::nullopt);
  UNSIGNED_LONGS_EQUAL(0, daemon.m_dispatcher.count_brittle().m_servers);
  state(make_server("s1", "a", 4), 2);
  UNSIGNED_LONGS_EQUAL(1, daemon.m_dispatcher.count_brittle().m_servers);
  LONGS_EQUAL(1, count_results(daemon.submit(4), "s1"));
  daemon.m_now += milliseconds(50);
  state(make_server("s1", "a", 4), std::nullopt);
  UNSIGNED_LONGS_EQUAL(0, daemon.m_dispatcher.count_brittle().m_servers);
  daemon.submit(3);
  UNSIGNED_LONGS_EQUAL(4, daemon.m_dispatcher.running());
}

// Guards against a process that is filled before its first answer, because only the earlier one had stated
// that it is brittle.
TEST(brittle_servers, a_process_without_an_answer_counts_like_the_others_of_its_service) {
  daemon.set_member_count(4);
  daemon.set_servers({make_server("s1", "a", 4), make_server("s2", "a", 4)});
  state(make_server("s1", "a", 4), 2);
  UNSIGNED_LONGS_EQUAL(2, daemon.m_dispatcher.count_brittle().m_servers);
  daemon.submit(8);
  UNSIGNED_LONGS_EQUAL(2, daemon.m_dispatcher.running());
}

// Guards against requests that follow to a server that has just rejected one of a peer.
TEST(brittle_servers, rejections_that_a_peer_reports_close_a_server_for_a_second) {
  daemon.set_servers({make_server("s1", "a", 4)});
  state(make_server("s1", "a", 4), 2);
  const brittle_statement report{server_id_hash("s1"), 0, 2, {}, 1};
  daemon.m_dispatcher.set_peer_brittle("d1", {&report, 1}, daemon.m_now);
  LONGS_EQUAL(0, count_results(daemon.submit(1), "s1"));
  daemon.m_now += milliseconds(1'000);
  LONGS_EQUAL(1, count_results(daemon.tick(), "s1"));
}

// Guards against a zone that is evacuated, whose daemons still get requests and have slots only in servers
// that get none.
TEST(brittle_servers, daemons_of_an_evacuated_zone_have_slots_in_other_zones) {
  const std::vector<daemon_location> members = {{"d0", "a"}, {"d1", "a"}, {"d2", "b"}, {"d3", "b"}};
  daemon.m_dispatcher.set_members(members, members.front(), true);
  daemon.set_servers({make_server("s1", "a", 8), make_server("s2", "b", 8)});
  daemon.m_dispatcher.set_evacuated_zones({"a"});
  state(make_server("s1", "a", 8), 2);
  state(make_server("s2", "b", 8), 2);
  CHECK(count_results(daemon.submit(4), "s2") >= 1);
}
