// The platform's store comes back from a copy some seconds old, and its revisions go back. After that, the
// operator takes a key away and moves a route to another service. Checks which configuration the daemons
// apply. Without trouble (TROUBLE=0) the store is not away; all changes are the same.

#include "standins.hpp"

#include <atomic>
#include <thread>

using namespace review;

namespace {

// Bounds of the small site.
constexpr long contact_ms = 3'000;
constexpr long config_apply_ms = 2'000;

constexpr const char* host = "shop.example";

struct versions {
  int m_version = 1;
  int m_timeout_ms = 1'000;
  bool m_second_key = true;
  std::string m_stock_service = "desk";

  std::string spec() const {
    const std::string common = "\"host\":\"" + std::string(host) +
                               "\",\"timeout_ms\":" + std::to_string(m_timeout_ms) +
                               ",\"target_latency_ms\":100,\"priority\":2,\"max_attempts\":1,"
                               "\"allow_anonymous\":false,\"resumable\":false";
    return "{\"version\":" + std::to_string(m_version) +
           ",\"routes\":[{\"name\":\"orders\",\"path_prefix\":\"/orders/\",\"type\":\"non_idempotent\","
           "\"service\":\"desk\"," +
           common +
           "},{\"name\":\"stock\",\"path_prefix\":\"/stock/\",\"type\":\"idempotent\",\"service\":\"" +
           m_stock_service + "\"," + common +
           "}],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":110,"
           "\"cold_start_s\":0.0,\"cold_per_s\":0.0},{\"name\":\"desk2\",\"health_path\":\"/healthz\","
           "\"max_connections\":110,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
           "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-1\"" +
           std::string(m_second_key ? ",\"key-2\"" : "") + "],\"priority\":1,\"rate_per_s\":0,\"burst\":0}]}";
  }
};

class engine {
public:
  engine(std::string id, std::string service, std::string zone)
      : m_id(std::move(id))
      , m_service(std::move(service))
      , m_zone(std::move(zone))
      , m_listener([this](int fd, const request& message) { return serve(fd, message); }) {}

  void write_entry(store& to) const {
    to.put("servers", m_id, engine_spec(m_service, m_listener.port(), m_zone, 6));
  }

private:
  bool serve(int fd, const request& message) {
    bool keep = true;
    if (answer_other_calls(fd, m_id, message, keep)) {
      return keep;
    }
    const std::string id = message.header("X-Cardamompond-Request-Id");
    sleep_ms(15);
    record("run at %s of %s: %s %s", m_id.c_str(), m_service.c_str(), message.m_method.c_str(),
           message.m_target.c_str());
    const std::string body = "{\"service\":\"" + m_service + "\"}";
    return send_all(fd, engine_head(m_id, id) + "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
  }

  std::string m_id, m_service, m_zone;
  http_listener m_listener;
};

answer ask(daemon_process& at, const std::string& method, const std::string& target, const std::string& key) {
  const std::string body = method == "POST" ? "{\"kit\":1}" : "";
  return call(at.callers(),
              method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Cardamompond-Request-Id: " +
                  next_request_id() + "\r\nX-Cardamompond-Deadline-Ms: 1000\r\nApi-Key: " + key +
                  (body.empty() ? "" : "\r\nContent-Length: " + std::to_string(body.size())) + "\r\n\r\n" +
                  body,
              3'000);
}

} // namespace

int main(int /*count*/, char** arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  record_file::instance().open(arguments[1]);
  const bool trouble = trouble_enabled();
  limit_duration(110'000);
  const std::string folder = make_folder();

  store platform;
  std::vector<std::unique_ptr<engine>> engines;
  const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
  for (const auto& zone : zones) {
    engines.push_back(std::make_unique<engine>("desk-" + zone, "desk", zone));
    engines.push_back(std::make_unique<engine>("desk2-" + zone, "desk2", zone));
  }
  versions config;
  const auto write_config = [&] {
    const auto revision = platform.put("config", "main", config.spec());
    record("operator writes version %d: revision %lu", config.m_version,
           static_cast<unsigned long>(revision));
  };
  const auto write_entries = [&] {
    for (const auto& each : engines) {
      each->write_entry(platform);
    }
  };
  write_config();
  write_entries();

  std::vector<std::unique_ptr<daemon_process>> daemons;
  std::vector<std::string> seeds;
  for (const auto& zone : zones) {
    daemons.push_back(std::make_unique<daemon_process>(folder, "front-" + zone, zone, platform.address(),
                                                       std::vector<std::string>()));
    seeds.push_back(daemons.back()->control());
  }
  std::vector<daemon_process*> started;
  for (auto& each : daemons) {
    each->set_seeds(seeds);
    each->start();
    started.push_back(each.get());
  }
  end_with(started, folder);
  for (auto& each : daemons) {
    each->wait_ready();
  }
  sleep_ms(4'000);

  // The engines repeat their entries, as with each heartbeat.
  std::atomic<bool> beating{true};
  std::thread heartbeat([&] {
    while (beating) {
      sleep_ms(1'200);
      write_entries();
    }
  });

  // Three changes in the seconds that the copy does not have.
  platform.take_copy();
  record("the copy is taken at revision %lu", static_cast<unsigned long>(platform.revision()));
  for (int i = 0; i < 3; ++i) {
    sleep_ms(800);
    ++config.m_version;
    config.m_timeout_ms += 100;
    write_config();
  }
  sleep_ms(1'000);
  if (trouble) {
    record("the store goes away");
    platform.go_away();
    sleep_ms(1'000);
    platform.come_back_from_copy();
    record("the store is back from the copy at revision %lu",
           static_cast<unsigned long>(platform.revision()));
  } else {
    sleep_ms(1'000);
  }
  write_config(); // written again
  write_entries();

  // The store is stable again, and calm machines are in touch, after contact_ms.
  sleep_ms(contact_ms + 1'000);
  for (auto& each : daemons) {
    if (!each->runs()) {
      finish(exit_broken, "a daemon ended by itself");
    }
    const auto served = ask(*each, "POST", "/orders/1", "key-1");
    record("check before the change at %s: %d", each->name().c_str(), served.m_status);
    if (served.m_status != 200) {
      finish(exit_not_run, "requests are not served before the change");
    }
  }
  config.m_version += 2;
  config.m_second_key = false;
  config.m_stock_service = "desk2";
  write_config();
  const long acknowledged = now_ms();
  record("acknowledged: key-2 is taken away, /stock/ moves from desk to desk2");
  sleep_ms(config_apply_ms + 500);

  int asked = 0;
  int with_dropped_key = 0;
  int by_old_service = 0;
  while (now_ms() < acknowledged + 22'000) {
    for (auto& each : daemons) {
      const auto order = ask(*each, "POST", "/orders/2", "key-2");
      const auto stock = ask(*each, "GET", "/stock/3", "key-1");
      ++asked;
      const bool old_service = stock.m_status == 200 && stock.m_body.find("\"desk\"") != std::string::npos;
      with_dropped_key += order.m_status == 200 ? 1 : 0;
      by_old_service += old_service ? 1 : 0;
      record("%ld ms after the acknowledgement at %s: order with the dropped key %d, stock %d by %s",
             order.m_sent_at - acknowledged, each->name().c_str(), order.m_status, stock.m_status,
             old_service ? "the old service" : "the new service or none");
    }
    sleep_ms(1'000);
  }
  beating = false;
  heartbeat.join();
  const std::string summary = std::to_string(with_dropped_key) + " of " + std::to_string(asked) +
                              " orders ran with the dropped key, " + std::to_string(by_old_service) + " of " +
                              std::to_string(asked) +
                              " reads ran at the old service, 2.5 to 22 s after the "
                              "acknowledgement";
  finish(with_dropped_key + by_old_service > 0 ? exit_broken : exit_held, summary);
}
