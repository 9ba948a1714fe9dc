#pragma once

#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/backend_engine.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::testing {

namespace json = boost::json;

inline constexpr std::size_t daemon_count = 4;

// The platform states 2,000 reads and 400 writes per second for a group of eight daemons.
inline constexpr std::size_t reads_per_s = 250 * daemon_count;
inline constexpr std::size_t writes_per_s = 50 * daemon_count;

// From its acknowledgement, a version of the configuration has to be in force within this time.
inline constexpr milliseconds config_apply_time{2'000};

// An engine may get requests for two seconds after its leaving was acknowledged; the rest is for requests
// that are on their way.
inline constexpr milliseconds max_leave_time{2'200};

// The route /moved/ and its service alternate with each version.
inline std::string service_of_moved(int version) {
  return version % 2 == 0 ? "talk" : "chat";
}

inline json::object make_route(const std::string& name, std::string_view type, const std::string& service) {
  return {{"name", name},
          {"host", "h"},
          {"path_prefix", "/" + name + "/"},
          {"type", type},
          {"timeout_ms", 3'000},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", service},
          {"max_attempts", 2},
          {"resumable", false},
          {"allow_anonymous", false}};
}

// Each version moves the route /moved/, adds a route /added-VERSION/ and takes away the key
// "until-(VERSION-1)".
inline json::object make_configuration(int version) {
  constexpr int last_key = 9;
  json::array routes = {make_route("order", "non_idempotent", "chat"),
                        make_route("read", "idempotent", "chat"),
                        make_route("moved", "idempotent", service_of_moved(version))};
  for (int added = 1; added <= version; ++added) {
    routes.push_back(make_route("added-" + std::to_string(added), "idempotent", "chat"));
  }
  json::array keys = {"k"};
  for (int until = version; until <= last_key; ++until) {
    keys.emplace_back("until-" + std::to_string(until));
  }
  return {{"version", version},
          {"routes", std::move(routes)},
          {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}},
                                   {{"name", "talk"}, {"health_path", "/healthz"}}}},
          {"tenants", json::array{{{"name", "workshop"}, {"api_keys", std::move(keys)}}}}};
}

struct drill_daemon {
  std::string m_name;
  std::string m_callers = find_free_address();
  std::string m_admin = find_free_address();
  std::unique_ptr<child_process> m_process;
  int m_version_seen = 0; // the highest version whose effect a caller has observed
};

struct drill_engine {
  std::string m_service;
  std::unique_ptr<platform::standins::backend_engine> m_engine;
  std::string m_state = "ready";
  std::uint64_t m_sequence = 0;
};

} // namespace cardamompond::testing

using namespace cardamompond;
using namespace cardamompond::testing;

// Daemons before a store that comes back from a copy. Its revisions go back and are used again, and it lacks
// what was written since the copy until the operator and the engines have written it again.
TEST_GROUP(store_copy) {
  void setup() override {
    m_store.set_era(3);
    m_store.set_rates(reads_per_s, writes_per_s);
    publish();
    add_engine("chat");
    add_engine("chat");
    add_engine("talk");
  }

  void teardown() override {
    stop_callers();
  }

  drill_engine& add_engine(const std::string& service) {
    const auto number = m_engines.size();
    auto& engine = m_engines.emplace_back();
    engine.m_service = service;
    engine.m_engine = std::make_unique<platform::standins::backend_engine>(
        test_runtime(), "i-" + std::to_string(number), m_runs, number);
    register_engine(engine);
    return engine;
  }

  void register_engine(drill_engine & engine) {
    m_store.put("servers", engine.m_engine->id(),
                json::object{{"service", engine.m_service},
                             {"address", engine.m_engine->address()},
                             {"zone", "z0"},
                             {"version", "v1"},
                             {"slots", 16},
                             {"state", engine.m_state},
                             {"born", engine.m_engine->started()},
                             {"sequence", ++engine.m_sequence},
                             {"cold_remaining_ms", 0}});
  }

  // Writes the next version of the configuration.
  void publish() {
    ++m_version;
    m_store.put("config", "main", make_configuration(m_version));
    m_acknowledged[m_version] = monotonic_now();
  }

  // Starts the daemons and the callers, and waits until all daemons are in service.
  void start() {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      auto& daemon = m_daemons.emplace_back();
      daemon.m_name = "d" + std::to_string(i);
      const std::string settings = m_folder.write(
          daemon.m_name + ".toml",
          "scheduling = \"local\"\nname = \"" + daemon.m_name + "\"\navailability_zone = \"z" +
              std::to_string(i % 2) + "\"\n[listen]\ncallers = \"" + daemon.m_callers + "\"\nadmin = \"" +
              daemon.m_admin + "\"\nmetrics = \"" + find_free_address() + "\"\nexchange = \"" +
              find_free_address() + "\"\n[store]\naddress = \"" + m_store.address() + "\"\n");
      daemon.m_process = std::make_unique<child_process>(program_path("cardamompondd"),
                                                         std::vector<std::string>{"--settings", settings},
                                                         m_folder.path() + "/" + daemon.m_name + ".log");
    }
    wait_until("all daemons serve requests", milliseconds(20'000), [this] {
      return std::all_of(m_daemons.begin(), m_daemons.end(), [this](const auto& daemon) {
        const auto ready = m_client.fetch(daemon.m_admin, {"GET", "/readyz", {}, {}}, milliseconds(500));
        return ready && ready->m_status == 200 && send(daemon, "read", "k").m_status == 200;
      });
    });
    run_for(seconds(1));
    for (auto& daemon : m_daemons) {
      start_caller([this, &daemon] { check_unchanged_route(daemon, "order"); });
      start_caller([this, &daemon] { check_unchanged_route(daemon, "read"); });
      start_caller([this, &daemon] { check_configuration(daemon); });
    }
    run_for(seconds(1));
  }

  void start_caller(std::function<void()> call) {
    ++m_running_callers;
    net::fiber_runtime::spawn([this, call = std::move(call)] {
      while (!m_stopping) {
        call();
        boost::this_fiber::sleep_for(milliseconds(20));
      }
      --m_running_callers;
    });
  }

  void stop_callers() {
    m_stopping = true;
    while (m_running_callers > 0) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
  }

  static void run_for(milliseconds length) {
    boost::this_fiber::sleep_for(length);
  }

  net::http_response send(const drill_daemon& daemon, const std::string& route, const std::string& key) {
    const std::string id = std::to_string(++m_request_count);
    const auto response = m_client.fetch(daemon.m_callers,
                                         {"POST",
                                          "/" + route + "/x",
                                          {{"Host", "h"},
                                           {"X-Cardamompond-Request-Id", id},
                                           {"X-Cardamompond-Deadline-Ms", "2000"},
                                           {"Api-Key", key}},
                                          "body"},
                                         milliseconds(2'500));
    return response ? *response : net::http_response{0, {}, response.error().m_message};
  }

  void add_violation(const drill_daemon& daemon, const std::string& text) {
    const auto at = std::chrono::duration_cast<milliseconds>(monotonic_now() - m_acknowledged.at(m_version));
    m_violations.push_back(daemon.m_name + ": " + text + ", " + std::to_string(at.count()) +
                           " ms after version " + std::to_string(m_version) + " was acknowledged");
  }

  // Sends a request on a route that no version changes, to engines that are all sound.
  void check_unchanged_route(const drill_daemon& daemon, const std::string& route) {
    const auto response = send(daemon, route, "k");
    ++m_unchanged_count;
    if (response.m_status != 200) {
      add_violation(daemon,
                    route + " got status " + std::to_string(response.m_status) + " " + response.m_body);
    }
  }

  // Sends requests that are handled differently by the newest version and by those before it. The daemon may
  // handle them by an older one only within the time limit, and not after it has shown the newest one.
  void check_configuration(drill_daemon & daemon) {
    const int version = m_version;
    const time_point bound = m_acknowledged.at(version) + config_apply_time;
    const auto must_apply = [&] { return daemon.m_version_seen >= version || monotonic_now() > bound; };
    const std::string suffix = std::to_string(version);

    const bool route_must_exist = must_apply();
    const int added_status = send(daemon, "added-" + suffix, "k").m_status;
    if (added_status == 404 && route_must_exist) {
      add_violation(daemon, "404 for the route added by version " + suffix);
    }
    if (added_status == 200) {
      daemon.m_version_seen = std::max(daemon.m_version_seen, version);
    }

    const bool key_must_be_gone = must_apply();
    const int key_status = send(daemon, "order", "until-" + std::to_string(version - 1)).m_status;
    if (key_status == 200 && key_must_be_gone) {
      add_violation(daemon, "a key was valid that version " + suffix + " took away");
    }

    const bool route_must_be_moved = must_apply();
    const auto moved = send(daemon, "moved", "k");
    const auto stamp = net::find_header(moved.m_headers, "X-Cardamompond-Server-Stamp").value_or("");
    const std::string engine(stamp.substr(0, stamp.find('.')));
    for (const auto& each : m_engines) {
      if (each.m_engine->id() == engine && each.m_service != service_of_moved(version) &&
          route_must_be_moved && m_version == version) {
        add_violation(daemon, "a request ran at the service that version " + suffix + " moved it from");
      }
    }
  }

  // Makes the revisions of later changes higher than those that the store has soon after its return.
  void raise_revisions() {
    constexpr int writes = 200;
    for (int i = 0; i < writes; ++i) {
      m_store.put("other", "x", json::object{{"number", i}});
    }
  }

  // The store goes away and comes back from its copy, the second time before anything is written again.
  void run_drills(int count) {
    m_drill_began = monotonic_now();
    for (int drill = 0; drill < count; ++drill) {
      m_store.go_away();
      run_for(milliseconds(drill == 0 ? 1'000 : 400));
      m_store.come_back({.m_engines = {milliseconds(1'000), milliseconds(2'000)},
                         .m_operator = {milliseconds(1'500), milliseconds(2'000)},
                         .m_seed = static_cast<std::uint64_t>(drill) + 1});
      run_for(milliseconds(300));
    }
    wait_until("everything is written again", milliseconds(6'000), [this] { return m_store.is_complete(); });
  }

  // The calls to the store since the beginning of the drill stay within its rates.
  void check_store_calls() {
    std::deque<time_point> last_second;
    std::size_t most_reads = 0;
    std::size_t lists = 0;
    std::size_t refused = 0;
    for (const auto& call : m_store.calls()) {
      if (call.m_at < m_drill_began) {
        continue;
      }
      refused += call.m_status == 429 ? 1 : 0;
      lists += call.m_is_list ? 1 : 0;
      if (call.m_is_read) {
        last_second.push_back(call.m_at);
        while (last_second.front() <= call.m_at - seconds(1)) {
          last_second.pop_front();
        }
        most_reads = std::max(most_reads, last_second.size());
      }
    }
    std::printf(
        "%llu requests on unchanged routes; store calls since the drill: %zu lists, at most %zu reads "
        "in a second, %zu over the rate\n",
        static_cast<unsigned long long>(m_unchanged_count), lists, most_reads, refused);
    if (most_reads > reads_per_s || refused > 0) {
      m_violations.push_back(std::to_string(most_reads) + " reads in a second, " + std::to_string(refused) +
                             " calls over the rate of the store");
    }
  }

  // No request has reached the engine later than the time limit after its leaving was acknowledged.
  void check_left(const drill_engine& engine, time_point acknowledged, const std::string& description) {
    const auto& arrivals = engine.m_engine->log().m_arrivals;
    const auto late = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& arrival) {
      return arrival.m_at > acknowledged + max_leave_time;
    });
    if (late > 0) {
      m_violations.push_back(std::to_string(late) + " late requests reached an engine that " + description);
    }
  }

  void check_violations() {
    stop_callers();
    check_store_calls();
    constexpr std::size_t max_lines = 12;
    std::string text;
    for (std::size_t i = 0; i < m_violations.size() && i < max_lines; ++i) {
      text += m_violations[i] + "\n";
    }
    CHECK_TEXT(m_violations.empty(),
               (std::to_string(m_violations.size()) + " violations, the first of them:\n" + text).c_str());
  }

  void check_configuration_over_drills(int count) {
    start();
    m_store.take_copy();
    publish();
    raise_revisions();
    const auto revision_before = m_store.revision();
    run_for(seconds(3));
    run_drills(count);
    run_for(milliseconds(500));
    publish();
    CHECK_TEXT(m_store.revision() < revision_before,
               "the new version has a higher revision than the old one");
    run_for(milliseconds(4'500));
    check_violations();
  }

  void check_engines_over_drills(int count) {
    auto& left_before = add_engine("chat");
    auto& left_after = add_engine("chat");
    start();
    m_store.take_copy();
    raise_revisions();
    register_engine(left_after);
    left_before.m_state = "draining";
    register_engine(left_before);
    const time_point left_before_at = monotonic_now();
    const auto revision_before = m_store.revision();
    run_for(seconds(3));
    run_drills(count);
    run_for(milliseconds(500));
    left_after.m_state = "draining";
    register_engine(left_after);
    const time_point left_after_at = monotonic_now();
    CHECK_TEXT(m_store.revision() < revision_before, "the entry has a higher revision than before the drill");
    run_for(milliseconds(4'500));
    stop_callers();
    check_left(left_before, left_before_at, "was draining before the drill, ready in the copy");
    check_left(left_after, left_after_at, "is draining after the drill");
    check_violations();
  }

  temporary_folder m_folder;
  platform::standins::run_counter m_runs;
  platform::standins::metadata_store m_store{test_runtime()};
  net::http_client m_client{test_runtime()};
  std::deque<drill_engine> m_engines;
  std::deque<drill_daemon> m_daemons;
  std::map<int, time_point> m_acknowledged; // by version
  int m_version = 0;
  time_point m_drill_began;
  std::uint64_t m_request_count = 0;
  std::uint64_t m_unchanged_count = 0;
  std::vector<std::string> m_violations;
  int m_running_callers = 0;
  bool m_stopping = false;
};
