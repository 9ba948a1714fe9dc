#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

namespace json = boost::json;

constexpr int daemon_count = 2;
constexpr int engine_count = 2;
constexpr int stream_count = 20;
constexpr int events_per_stream = 30;
constexpr int interval_ms = 25;

json::object make_route(const std::string& name, bool resumable) {
  return {{"name", name},
          {"host", "h"},
          {"path_prefix", "/" + name + "/"},
          {"type", "stream"},
          {"timeout_ms", 8'000},
          {"target_latency_ms", 500},
          {"priority", 0},
          {"service", "chat"},
          {"max_attempts", 2},
          {"resumable", resumable},
          {"allow_anonymous", true}};
}

std::string make_events(const std::string& request_id) {
  std::string events;
  for (int number = 1; number <= events_per_stream; ++number) {
    events += "id: " + std::to_string(number) + "\ndata: " + request_id + "\n\n";
  }
  return events;
}

struct engine_process {
  std::string m_id;
  std::string m_address;
  std::unique_ptr<child_process> m_process;
};

struct daemon_process {
  std::string m_callers = find_free_address();
  std::string m_admin = find_free_address();
  std::unique_ptr<child_process> m_process;
};

struct stream {
  std::string m_id;
  bool m_resumable = false;
  std::string m_server; // stamp in the head, which is that of the first engine
  std::string m_received;
  bool m_ended = false;
  bool m_complete = false; // the final chunk came
};

} // namespace

// Daemons before engines that are processes of their own and send streams with neither a length nor chunks.
TEST_GROUP(unframed_ends) {
  void setup() override {
    m_store.set_era(3);
    m_store.put("config", "main",
                json::object{{"version", 1},
                             {"routes", json::array{make_route("guide", false), make_route("note", true)}},
                             {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}}}}});
    for (int i = 0; i < engine_count; ++i) {
      start_engine("i-" + std::to_string(i));
    }
    for (int i = 0; i < daemon_count; ++i) {
      start_daemon("d" + std::to_string(i));
    }
    wait_until("all daemons are ready", milliseconds(20'000), [this] {
      return std::all_of(m_daemons.begin(), m_daemons.end(), [this](const auto& daemon) {
        const auto ready = m_client.fetch(daemon.m_admin, {"GET", "/readyz", {}, {}}, milliseconds(500));
        return ready && ready->m_status == 200;
      });
    });
  }

  void teardown() override {
    wait_for_ends();
  }

  void start_engine(const std::string& id) {
    auto& engine = m_engines.emplace_back();
    engine.m_id = id;
    engine.m_process = std::make_unique<child_process>(
        program_path("standin_unframed_engine"),
        std::vector<std::string>{id, std::to_string(events_per_stream), std::to_string(interval_ms)},
        m_folder.path() + "/" + id + ".log");
    engine.m_address = engine.m_process->wait_for_listening_address();
    m_store.put("servers", id,
                json::object{{"service", "chat"},
                             {"address", engine.m_address},
                             {"zone", "z0"},
                             {"version", "v1"},
                             {"slots", 2 * stream_count},
                             {"state", "ready"},
                             {"born", 1},
                             {"sequence", 1},
                             {"cold_remaining_ms", 0}});
  }

  void start_daemon(const std::string& name) {
    auto& daemon = m_daemons.emplace_back();
    const std::string settings = m_folder.write(
        name + ".toml", "scheduling = \"local\"\nname = \"" + name +
                            "\"\navailability_zone = \"z0\"\n[listen]\ncallers = \"" + daemon.m_callers +
                            "\"\nadmin = \"" + daemon.m_admin + "\"\nmetrics = \"" + find_free_address() +
                            "\"\nexchange = \"" + find_free_address() + "\"\n[store]\naddress = \"" +
                            m_store.address() +
                            "\"\n[group]\nretry_fixed = 1000\n"); // allows all to be resumed
    daemon.m_process = std::make_unique<child_process>(program_path("cardamompondd"),
                                                       std::vector<std::string>{"--settings", settings},
                                                       m_folder.path() + "/" + name + ".log");
  }

  // Starts streams at all daemons and waits until each has some of its events.
  void start_streams() {
    for (int i = 0; i < stream_count; ++i) {
      auto& added = m_streams.emplace_back();
      added.m_id = "r" + std::to_string(i);
      added.m_resumable = i % 4 < 2;
      net::fiber_runtime::spawn(
          [this, &added, address = m_daemons[static_cast<std::size_t>(i) % m_daemons.size()].m_callers] {
            read_stream(added, address);
            added.m_ended = true;
          });
    }
    wait_until("all streams have begun", milliseconds(5'000), [this] {
      return std::all_of(m_streams.begin(), m_streams.end(), [](const stream& each) {
        return each.m_received.find("id: 4\n") != std::string::npos;
      });
    });
  }

  void read_stream(stream & target, const std::string& address) {
    constexpr milliseconds timeout(8'000);
    auto call = m_client.open(address);
    if (!call) {
      return;
    }
    const net::http_request request{
        "POST",
        target.m_resumable ? "/note/x" : "/guide/x",
        {{"Host", "h"}, {"X-Cardamompond-Request-Id", target.m_id}, {"X-Cardamompond-Deadline-Ms", "7000"}},
        "body"};
    if (!(*call)->send(request, timeout)) {
      return;
    }
    const auto head = (*call)->read_head(timeout);
    if (!head) {
      return;
    }
    target.m_server =
        std::string(net::find_header(head->m_headers, "X-Cardamompond-Server-Stamp").value_or(""));
    std::array<char, 4'096> buffer{};
    while (true) {
      const auto part = (*call)->read_some(buffer, timeout);
      if (!part || part->empty()) {
        target.m_complete = part.has_value() && head->m_status == 200;
        return;
      }
      target.m_received.append(part->data(), part->size());
    }
  }

  std::size_t count_ended() const {
    return static_cast<std::size_t>(
        std::count_if(m_streams.begin(), m_streams.end(), [](const stream& each) { return each.m_ended; }));
  }

  void wait_for_ends() {
    wait_until("all streams have ended", milliseconds(15'000),
               [this] { return count_ended() == m_streams.size(); });
  }

  std::string read_logs() const {
    std::string lines;
    for (const auto& daemon : m_daemons) {
      lines += daemon.m_process->read_output();
    }
    return lines;
  }

  temporary_folder m_folder;
  platform::standins::metadata_store m_store{test_runtime()};
  net::http_client m_client{test_runtime()};
  std::deque<engine_process> m_engines;
  std::deque<daemon_process> m_daemons;
  std::deque<stream> m_streams;
};

// Guards against streams that look complete without all their events because the process of their engine was
// killed between two events, and against streams of the other engine that are broken off.
TEST(unframed_ends, no_stream_of_a_killed_engine_looks_complete_without_all_events) {
  start_streams();
  const auto& killed = m_engines.front();
  killed.m_process->kill();
  wait_for_ends();
  int of_killed = 0;
  int truncated = 0;
  int whole = 0;
  int resumable = 0;
  int resumed = 0;
  int broken_elsewhere = 0;
  for (const auto& each : m_streams) {
    const bool is_whole = each.m_complete && each.m_received == make_events(each.m_id);
    const bool is_of_killed = each.m_server == killed.m_id;
    of_killed += is_of_killed ? 1 : 0;
    truncated += each.m_complete && !is_whole ? 1 : 0;
    whole += is_whole ? 1 : 0;
    resumable += is_of_killed && each.m_resumable ? 1 : 0;
    resumed += is_of_killed && each.m_resumable && is_whole ? 1 : 0;
    broken_elsewhere += !is_of_killed && !is_whole ? 1 : 0;
  }
  std::printf("%d of %d streams at the killed engine; %d complete without all events, %d whole, %d of %d "
              "resumable ones resumed\n",
              of_killed, stream_count, truncated, whole, resumed, resumable);
  CHECK(of_killed > 0);
  CHECK(of_killed > resumable);
  LONGS_EQUAL(0, truncated);
  LONGS_EQUAL(0, broken_elsewhere);
  LONGS_EQUAL(resumable, resumed);
}

// Guards against whole streams that are broken off or doubted because many of them end at the same time.
TEST(unframed_ends, streams_of_engines_that_run_are_whole) {
  start_streams();
  wait_for_ends();
  for (const auto& each : m_streams) {
    CHECK_TEXT(each.m_complete, "a whole stream was broken off");
    STRCMP_EQUAL(make_events(each.m_id).c_str(), each.m_received.c_str());
  }
  CHECK_TEXT(read_logs().find("stream_end_doubted") == std::string::npos, "a stream was doubted");
}
