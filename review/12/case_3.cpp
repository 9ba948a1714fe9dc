// Two of nine model engines crash shortly one after the other while they serve a resumable stream. The
// engines answer with neither a length nor chunks, so that an answer ends with its connection. The first
// engine ends inside an event; the second one, which goes on with the stream, ends after its head and before
// its first event. Checks whether a stream that lacks events looks complete to its caller. Without trouble
// (TROUBLE=0) no engine crashes.

#include "standins.hpp"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr const char* host = "shop.example";
constexpr int events = 49;
constexpr int event_interval_ms = 25;
constexpr int first_event_ms = 120; // the prompt is read meanwhile
constexpr int crash_after_events = 10;
constexpr int streams = 12;

// Which request meets the crashes, and which engines have crashed.
std::string target_request;
std::atomic<int> crashes{0};

std::string event_text(int id) {
  return "id: " + std::to_string(id) + "\ndata: advice piece " + std::to_string(id) + "\n\n";
}

class engine {
public:
  explicit engine(std::string id, std::string zone)
      : m_id(std::move(id))
      , m_zone(std::move(zone))
      , m_listener([this](int fd, const request& message) { return serve(fd, message); }) {}

  void write_entry(store& to) const {
    to.put("servers", m_id, engine_spec("llm", m_listener.port(), m_zone, 12));
  }

private:
  // A process that crashes: the kernel closes its sockets.
  bool crash(const std::string& request_id, int sent) {
    ++crashes;
    record("%s crashes; request %s, events up to %d were sent", m_id.c_str(), request_id.c_str(), sent);
    m_crashed = true;
    return false;
  }

  bool serve(int fd, const request& message) {
    bool keep = true;
    if (m_crashed) {
      return false;
    }
    if (answer_other_calls(fd, m_id, message, keep)) {
      return keep;
    }
    const std::string id = message.header("X-Cardamompond-Request-Id");
    const std::string last_id = message.header("Last-Event-Id");
    const int first = last_id.empty() ? 1 : std::atoi(last_id.c_str()) + 1;
    const bool meets_crash = trouble_enabled() && id == target_request && crashes < 2;
    record("run at %s: request %s from event %d", m_id.c_str(), id.c_str(), first);
    if (!send_all(fd,
                  engine_head(m_id, id) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")) {
      return false;
    }
    if (meets_crash && first > 1) {
      sleep_ms(40);
      return crash(id, first - 1);
    }
    sleep_ms(first_event_ms);
    for (int event = first; event <= events; ++event) {
      if (meets_crash && event > crash_after_events) {
        send_all(fd, event_text(event).substr(0, 12)); // a part of the event
        sleep_ms(5);
        return crash(id, event - 1);
      }
      if (!send_all(fd, event_text(event))) {
        return false;
      }
      sleep_ms(event_interval_ms);
    }
    return false; // the answer ends with its connection
  }

  std::string m_id, m_zone;
  std::atomic<bool> m_crashed{false};
  http_listener m_listener;
};

std::string config() {
  return "{\"version\":1,\"routes\":[{\"name\":\"advice\",\"host\":\"" + std::string(host) +
         "\",\"path_prefix\":\"/advice/\",\"type\":\"stream\",\"timeout_ms\":12000,\"target_latency_ms\":400,"
         "\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"allow_anonymous\":false,\"sticky\":true,"
         "\"resumable\":true,\"gap_aim_ms\":400}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/"
         "healthz\","
         "\"max_connections\":620,\"cold_start_s\":3.0,\"cold_per_s\":16.0,\"engine\":{\"slots\":12,"
         "\"kv_capacity_tokens\":686209,\"stride\":6,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-1\"],"
         "\"priority\":1,"
         "\"rate_per_s\":0,\"burst\":0}]}";
}

answer ask(daemon_process& at, const std::string& request_id, int number) {
  const std::string body = "{\"prompt\":" + std::to_string(number) + "}";
  return call(at.callers(),
              "POST /advice/" + std::to_string(number) + " HTTP/1.1\r\nHost: " + host +
                  "\r\nX-Cardamompond-Request-Id: " + request_id +
                  "\r\nX-Cardamompond-Deadline-Ms: 12000\r\nX-Cardamompond-Model: m"
                  "\r\nX-Cardamompond-Token-Count: 640,300\r\nX-Cardamompond-Prefix-Hash: 5c1e07a2:60," +
                  request_id + ":580\r\nApi-Key: key-1\r\nContent-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body,
              15'000);
}

// Returns the number of whole events; -1 if their ids are not 1, 2, 3 and so on.
int count_events(const std::string& stream) {
  std::string expected;
  for (int event = 1; event <= events; ++event) {
    expected += event_text(event);
  }
  if (expected.compare(0, stream.size(), stream) != 0) {
    return -1;
  }
  int count = 0;
  for (auto at = stream.find("\n\n"); at != std::string::npos; at = stream.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

} // namespace

int main(int /*count*/, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  record_file::instance().open(arguments[1]);
  limit_duration(90'000);
  const std::string folder = make_folder();
  store platform;
  platform.put("config", "main", config());
  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(
        std::make_unique<engine>("engine-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b"));
    engines.back()->write_entry(platform);
  }
  std::vector<std::unique_ptr<daemon_process>> daemons;
  std::vector<std::string> seeds;
  for (const char* zone : {"zone-a", "zone-b"}) {
    daemons.push_back(std::make_unique<daemon_process>(folder, std::string("front-") + zone, zone,
                                                       platform.address(), std::vector<std::string>()));
    seeds.push_back(daemons.back()->control());
  }
  end_with({daemons[0].get(), daemons[1].get()}, folder);
  for (auto& each : daemons) {
    each->set_seeds(seeds);
    each->start();
  }
  for (auto& each : daemons) {
    each->wait_ready();
  }
  sleep_ms(2'000);

  std::vector<std::string> ids;
  for (int i = 0; i < streams; ++i) {
    ids.push_back(next_request_id());
  }
  target_request = ids[streams / 2];
  std::vector<answer> answers(streams);
  std::vector<std::thread> callers;
  for (int i = 0; i < streams; ++i) {
    callers.emplace_back([&, i] { answers[i] = ask(*daemons[i % 2], ids[i], i); });
    sleep_ms(60);
  }
  for (auto& each : callers) {
    each.join();
  }
  int short_but_complete = 0;
  int whole = 0;
  for (int i = 0; i < streams; ++i) {
    const answer& received = answers[i];
    const int count = count_events(received.m_body);
    record("request %s: status %d, %d of %d events, end %s", ids[i].c_str(), received.m_status, count, events,
           to_string(received.m_end));
    const bool ended = received.m_status == 200 && received.complete();
    whole += ended && count == events ? 1 : 0;
    short_but_complete += ended && count != events ? 1 : 0;
  }
  if (trouble_enabled() && crashes < 2) {
    finish(exit_not_run, "the crashes did not come about");
  }
  if (!trouble_enabled() && whole != streams) {
    finish(exit_not_run, "streams are not served without trouble");
  }
  finish(short_but_complete > 0 ? exit_broken : exit_held,
         std::to_string(short_but_complete) + " of " + std::to_string(streams) +
             " streams ended as complete without all their events; " + std::to_string(whole) + " were whole");
}
