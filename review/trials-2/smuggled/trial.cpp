// Not a case: PROTOCOL.md says that bodies are sent with a length or in chunks. A client that the operators
// do not control sends requests with a transfer coding that is not chunked, and with another request, an
// order, inside the body.

#include "engines.hpp"

#include <array>

using namespace review;

namespace {

constexpr int engine_count = 3;
constexpr int request_count = 30;

std::string make_order(const std::string& id) {
  const std::string body = "{\"order\":\"two jack sets\"}";
  return "POST /order/2f HTTP/1.1\r\nHost: a.example\r\nX-Cardamompond-Request-Id: " + id +
         "\r\nX-Cardamompond-Deadline-Ms: 1000\r\nApi-Key: key-1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string make_head(const std::string& id, const std::string& framing) {
  return "POST /status/2f HTTP/1.1\r\nHost: a.example\r\nX-Cardamompond-Request-Id: " + id +
         "\r\nX-Cardamompond-Deadline-Ms: 1000\r\nApi-Key: key-1\r\n" + framing + "\r\n";
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
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs; // bodies that engines ran, by the id of the request
  const auto serve = [&](engine& self, int fd, const message& request) {
    const std::string id = request.header("X-Cardamompond-Request-Id");
    {
      const std::lock_guard lock(mutex);
      runs[id].push_back(request.m_body);
    }
    out.line("engine %s runs %s %s, id %s, tenant %s, a body of %zu bytes", self.id().c_str(),
             request.method().c_str(), request.target().c_str(), id.c_str(),
             request.header("X-Cardamompond-Tenant-Id").c_str(), request.m_body.size());
    sleep_ms(15);
    return send_all(
        fd, response(200, "X-Cardamompond-Request-Id: " + id + "\r\nX-Cardamompond-Server-Stamp: stamp\r\n",
                     "done"));
  };
  platform.put(
      "config", "main",
      R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":"/order/",)"
      R"("type":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"priority":2,)"
      R"("service":"desk","max_attempts":1,"allow_anonymous":false},{"name":"r2","host":"a.example",)"
      R"("path_prefix":"/status/","type":"idempotent","timeout_ms":1000,"target_latency_ms":100,)"
      R"("priority":2,"service":"desk","max_attempts":2,"allow_anonymous":false}],"services":[)"
      R"({"name":"desk","health_path":"/healthz","max_connections":110,"cold_start_s":0.0,)"
      R"("cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1",)"
      R"("api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":400000,)"
      R"("burst":400000}]})");
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

  constexpr std::array codings = {"identity", "gzip", "deflate"};
  std::map<std::string, std::string> sent; // bodies by the id of the request
  for (int i = 0; i < request_count; ++i) {
    const std::string id = "outer-" + std::to_string(i);
    const std::string body = make_order("inside-" + std::to_string(i));
    sent[id] = body;
    std::string request;
    if (has_trouble()) {
      request = make_head(id, std::string("Transfer-Encoding: ") +
                                  codings[static_cast<std::size_t>(i) % codings.size()] + "\r\n") +
                body;
    } else if (i % 2 == 0) {
      request = make_head(id, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
    } else {
      request = make_head(id, "Transfer-Encoding: chunked\r\n") + chunk(body) + "0\r\n\r\n";
    }
    const int fd = connect_to(settings.m_ip, settings.m_port, 1'000);
    send_all(fd, request);
    reader answers(fd);
    std::string statuses;
    while (const auto got = answers.read(300, true)) {
      statuses += " " + std::to_string(got->status());
    }
    ::close(fd);
    out.line("%s: one request sent, answers:%s", id.c_str(), statuses.empty() ? " none" : statuses.c_str());
  }
  sleep_ms(500);

  const std::lock_guard lock(mutex);
  int smuggled = 0;
  int changed = 0;
  for (const auto& [id, bodies] : runs) {
    const auto found = sent.find(id);
    for (const auto& body : bodies) {
      smuggled += found == sent.end() ? 1 : 0;
      changed += found != sent.end() && body != found->second ? 1 : 0;
    }
  }
  const bool is_broken = smuggled > 0 || changed > 0;
  out.line("UNASKED: engines ran %d orders that lay inside another request, and %d requests with another "
           "body than the "
           "client's: %s",
           smuggled, changed, is_broken ? "BROKEN" : "held");
  finish(is_broken ? 1 : 0);
}
