// An engine breaks off a few of its answers that have no length: it sends a part of the body, stalls for
// about as long as the daemon waits until it asks another engine, and resets the connection.

#include "engines.hpp"

#include <random>

using namespace review;

namespace {

constexpr int engine_count = 3;
constexpr int requests_per_s = 30;
constexpr int spell_ms = 5'000; // of trouble
constexpr int pause_ms = 1'000; // between two spells
constexpr int run_ms = 90'000;
constexpr int spoiled_every = 20; // answers of one engine
constexpr std::size_t body_bytes = 800;

// The whole body of an engine's answer to a request.
std::string make_body(const std::string& engine_id, const std::string& request_id) {
  std::string body = "answer of " + engine_id + " to " + request_id + ":";
  while (body.size() < body_bytes) {
    body += " " + std::to_string(body.size());
  }
  return body;
}

} // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  record out(argv[1]);
  temporary_folder folder;
  const int port = find_free_ports({"127.0.0.1"}, 6 + engine_count);
  store platform("127.0.0.1", port);

  const auto traffic_begins = std::make_shared<std::atomic<bool>>(false);
  clock::time_point begin = clock::now();
  std::mutex mutex;
  std::mt19937 random(std::random_device{}());
  int spoiled = 0;
  int answers_in_spells = 0; // of that engine
  const auto serve = [&](engine& self, int fd, const message& request) {
    const std::string id = request.header("X-Cardamompond-Request-Id");
    const std::string server = self.id();
    const std::string body = make_body(server, id);
    const std::string headers =
        "X-Cardamompond-Request-Id: " + id + "\r\nX-Cardamompond-Server-Stamp: " + server + "\r\n";
    int work_ms = 0;
    int stall_ms = 0;
    {
      const std::lock_guard lock(mutex);
      work_ms = std::uniform_int_distribution<int>(20, 60)(random);
      const auto at = std::chrono::duration_cast<milliseconds>(clock::now() - begin).count();
      const bool in_spell = has_trouble() && *traffic_begins && at % (spell_ms + pause_ms) < spell_ms;
      if (in_spell && server.rfind("i-0", 0) == 0 && ++answers_in_spells % spoiled_every == 0) {
        stall_ms = std::uniform_int_distribution<int>(560, 700)(random);
        ++spoiled;
      }
    }
    sleep_ms(work_ms);
    if (stall_ms == 0) {
      return send_all(fd, response(200, headers, body));
    }
    send_all(fd,
             "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n" + body.substr(0, body_bytes / 2));
    sleep_ms(stall_ms);
    out.line("%s: %s sent %zu of %zu bytes without a length and resets the connection after %d ms",
             id.c_str(), server.c_str(), body_bytes / 2, body.size(), stall_ms);
    const linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    return false;
  };
  platform.put(
      "config", "main",
      R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":"/status/",)"
      R"("type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"desk",)"
      R"("max_attempts":2,"allow_anonymous":false}],"services":[{"name":"desk",)"
      R"("health_path":"/healthz","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}],)"
      R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-1"],"priority":1,)"
      R"("unit":"tokens","plain_tokens":200,"rate_per_s":400000,"burst":400000}]})");
  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 0; i < engine_count; ++i) {
    engine::options options;
    options.m_service = "desk";
    options.m_slots = 6;
    engines.push_back(
        std::make_unique<engine>(platform, out, "i-" + std::to_string(i), port + 6 + i, options, serve));
  }
  daemon_settings settings;
  settings.m_port = port + 1;
  settings.m_store_address = "127.0.0.1:" + std::to_string(port);
  entry_daemon daemon_process(settings, folder.path());
  daemon_process.start();
  const auto finish = [&](int code) {
    daemon_process.kill(SIGKILL);
    folder.finish(code);
  };
  if (!daemon_process.wait_ready(15'000)) {
    out.line("the daemon is not ready");
    finish(2);
  }

  std::atomic<int> sent{0};
  std::atomic<int> whole{0};
  std::atomic<int> mixed{0};
  begin = clock::now();
  *traffic_begins = true;
  for (int step = 0; step < run_ms * requests_per_s / 1'000; ++step) {
    std::thread([&, step] {
      const std::string id = "read-" + std::to_string(step);
      const int fd = connect_to(settings.m_ip, settings.m_port, 1'000);
      ++sent;
      if (fd < 0) {
        return;
      }
      send_all(fd, "GET /status/2f HTTP/1.1\r\nHost: a.example\r\nX-Cardamompond-Request-Id: " + id +
                       "\r\nX-Cardamompond-Deadline-Ms: 1500\r\nApi-Key: key-1\r\n\r\n");
      reader answers(fd);
      const auto got = answers.read(3'000, true);
      ::close(fd);
      if (!got || got->status() != 200 || !got->m_complete) {
        out.line("%s: %s", id.c_str(),
                 !got                   ? "no answer"
                 : got->status() != 200 ? "a failure"
                                        : "an incomplete answer");
        return;
      }
      const std::string server = got->header("X-Cardamompond-Server-Stamp");
      if (got->m_body == make_body(server, id)) {
        ++whole;
      } else {
        ++mixed;
        out.line("%s: status 200 with the stamp of %s, complete by its framing, %zu of %zu bytes of the body",
                 id.c_str(), server.c_str(), got->m_body.size(), make_body(server, id).size());
      }
    }).detach();
    std::this_thread::sleep_until(begin + milliseconds((step + 1) * 1'000 / requests_per_s));
  }
  sleep_ms(3'500);
  const bool is_broken = mixed > 0;
  const std::lock_guard lock(mutex);
  out.line("%d requests, %d answers broken off by an engine, %d whole successes", sent.load(), spoiled,
           whole.load());
  out.line("MIXED: %d successes with a body that isn't the engine's whole body: %s", mixed.load(),
           is_broken ? "BROKEN" : "held");
  finish(is_broken ? 1 : 0);
}
