// Another writer puts an entry of servers with bytes that cannot be read into the store. Then all daemons are
// killed and started again. Checks RECOVER: a quarter of the requests that are sent later than recovery_s
// after the machines are back must be served.
//
// Arguments: the daemon's program, a folder for temporary files, the file of the record, and what happens:
// "1" both, "0" nothing, "kill" only the kill. Exits with 1 if the rule was broken, 0 if not, 2 if it could
// not run.
#include "harness.hpp"

using namespace review;

namespace {

constexpr double recovery_s = 12;
constexpr double entry_at_s = 6; // seconds from the start of traffic
constexpr double kill_at_s = 10;
constexpr double down_s = 1;
constexpr double judged_for_s = 10;

// The value is valid JSON. The escapes are what encoders write for bytes that are no UTF-8, e.g. json.dumps()
// of Python for text that was read with "surrogateescape".
const std::string unreadable_spec =
    "{\"service\":\"\\udcff\\udcfe\\udc80\",\"address\":\"\\udcff\",\"zone\":1}";

std::string make_spec(const std::string& service, const std::string& address, const std::string& zone) {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,"
         "\"born\":"
         "1790000000000}";
}

std::string make_configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"orders","host":"desk.example","path_prefix":"/orders/","service":"desk",)"
         R"("type":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,"max_attempts":1,"priority":0},)"
         R"({"name":"stock","host":"desk.example","path_prefix":"/stock/","service":"desk","type":"idempotent",)"
         R"("timeout_ms":1000,"target_latency_ms":100,"max_attempts":2,"priority":1}],)"
         R"("services":[{"name":"desk","health_path":"/healthz","max_connections":110}],)"
         R"("tenants":[{"name":"shop","api_keys":["key-of-the-shop"]}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}})";
}

struct outcome {
  double m_sent_s;
  int m_status;
};

} // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const std::string program = argv[1];
  const std::string folder = argv[2];
  recorder record(argv[3]);
  const std::string trouble = argv[4];

  store platform("127.0.0.1");
  std::atomic<int> runs{0};
  std::vector<std::unique_ptr<server>> engines;
  for (const std::string id : {"i-desk-1", "i-desk-2"}) {
    engines.push_back(
        std::make_unique<server>("127.0.0.1", 0, [&record, &runs, id](int fd, const message& request) {
          const std::string request_id = request.header("x-cardamompond-request-id");
          const std::string echo = "X-Cardamompond-Request-Id: " + request_id + "\r\n";
          if (request.header("x-cardamompond-expect-instance") != id) {
            return send_all(fd, make_response(421, "", echo + "X-Cardamompond-Not-Executed: 1\r\n"));
          }
          ++runs;
          record.line("run " + request_id + " by " + id);
          sleep_s(0.015);
          return send_all(fd, make_response(200, "answer to " + request_id,
                                            echo + "X-Cardamompond-Server-Stamp: " + id + ".1\r\n"));
        }));
    platform.put("servers", id, make_spec("desk", engines.back()->address(), "zone-a"));
  }
  platform.put("config", "main", make_configuration(3));

  const std::vector<host> hosts = {{"front-a-1", "zone-a", "127.30.0.1"},
                                   {"front-a-2", "zone-a", "127.30.0.2"},
                                   {"front-b-1", "zone-b", "127.30.0.3"}};
  std::vector<std::string> ips;
  for (const auto& each : hosts) {
    ips.push_back(each.m_ip);
  }
  const int callers = find_free_port(ips);
  const int admin = find_free_port(ips);
  const int metrics = find_free_port(ips);
  const int exchange = find_free_port(ips);
  std::vector<std::unique_ptr<daemon_process>> daemons;
  for (const auto& each : hosts) {
    const std::string file = folder + "/" + each.m_name + ".conf";
    std::ofstream(file) << make_settings(each, ips, callers, admin, metrics, exchange, platform.address());
    daemons.push_back(std::make_unique<daemon_process>(program, file, folder + "/" + each.m_name + ".log"));
    daemons.back()->start();
  }
  const auto count_ready = [&] {
    return std::count_if(ips.begin(), ips.end(),
                         [&](const std::string& ip) { return get_status(ip, admin, "/readyz", 1) == 200; });
  };
  const double give_up_at = now_s() + 15;
  while (count_ready() < static_cast<long>(hosts.size())) {
    if (now_s() > give_up_at) {
      record.line("the daemons did not become ready");
      daemons.clear(); // ends the processes
      std::_Exit(2);
    }
    sleep_s(0.1);
  }

  // Six callers send an order or a stock read each 100 ms, each on a new connection to the next host.
  const double begin = now_s();
  const double back_at = begin + kill_at_s + down_s;
  const double judged_from = back_at + recovery_s;
  const double end = judged_from + judged_for_s;
  record.line("traffic begins");
  std::mutex mutex;
  std::vector<outcome> outcomes;
  std::vector<std::thread> callers_threads;
  std::atomic<int> number{0};
  for (int caller = 0; caller < 6; ++caller) {
    callers_threads.emplace_back([&, caller] {
      for (double next = begin + caller * 0.016; next < end; next = std::max(next + 0.1, now_s())) {
        sleep_until(next);
        const int own = ++number;
        const std::string id = "r-" + std::to_string(own);
        const std::string& ip = ips[static_cast<std::size_t>(own) % ips.size()];
        const double sent = now_s();
        const int fd = connect_to(ip, callers);
        int status = 0;
        if (fd >= 0) {
          const std::string common = " HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-of-the-shop\r\n"
                                     "X-Cardamompond-Deadline-Ms: 1000\r\nX-Cardamompond-Request-Id: " +
                                     id + "\r\nConnection: close\r\n";
          const std::string text = own % 3 == 0
                                       ? "POST /orders/new" + common + "Content-Length: 5\r\n\r\norder"
                                       : "GET /stock/" + id + common + "\r\n";
          std::string buffer;
          message answer;
          if (send_all(fd, text) && read_message(fd, buffer, answer, sent + 2, true)) {
            status = answer.status();
            if (status == 200 && answer.m_body != "answer to " + id) {
              status = -1;
            }
          }
          ::close(fd);
        }
        record.line("sent " + id + " to " + ip + " answered " + std::to_string(status));
        const std::lock_guard lock(mutex);
        outcomes.push_back({sent, status});
      }
    });
  }

  sleep_until(begin + entry_at_s);
  if (trouble == "1") {
    platform.put("servers", "i-from-elsewhere", unreadable_spec);
    record.line("another writer puts an unreadable entry into servers: " + unreadable_spec);
  }
  sleep_until(begin + kill_at_s);
  platform.put("config", "main",
               make_configuration(5)); // a final fault strikes right after such an acknowledgement
  record.line("configuration 5 is acknowledged");
  if (trouble != "0") {
    for (auto& each : daemons) {
      each->signal(SIGKILL);
    }
    for (auto& each : daemons) {
      each->stop(SIGKILL);
    }
    record.line("all daemons are killed");
    sleep_until(back_at);
    for (auto& each : daemons) {
      each->start();
    }
    record.line("all daemons are started");
  }
  sleep_until(end - 0.5);
  const auto ready = count_ready();
  for (auto& each : callers_threads) {
    each.join();
  }

  int before = 0, served_before = 0, after = 0, served_after = 0;
  for (const auto& [sent, status] : outcomes) {
    if (sent < begin + kill_at_s - 1.1) {
      ++before;
      served_before += status == 200 ? 1 : 0;
    } else if (sent > judged_from) {
      ++after;
      served_after += status == 200 ? 1 : 0;
    }
  }
  std::ostringstream result;
  result << "before the kill " << served_before << " of " << before
         << " served; later than recovery_s after the start " << served_after << " of " << after << "; "
         << ready << " of " << hosts.size() << " daemons ready at the end";
  record.line(result.str());
  std::printf("%s\n", result.str().c_str());
  for (auto& each : daemons) {
    each->stop(SIGKILL);
  }
  if (before == 0 || after == 0 || served_before * 4 < before) {
    std::fflush(stdout);
    std::_Exit(2);
  }
  std::fflush(stdout);
  std::_Exit(served_after * 4 < after ? 1 : 0);
}
