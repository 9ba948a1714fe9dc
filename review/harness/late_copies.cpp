// Model engines that send second copies of some of their answers, late, on the same connection. Checks TWICE
// and REFUSED for streams that may not be resumed: each runs at most once, and none that is answered 503 or
// 429 runs.
//
// Arguments: the daemon's program, a folder for temporary files, the file of the record, and "1" or "0" for
// with or without the copies. Exits with 1 if a rule was broken, 0 if not, 2 if it could not run.
#include "harness.hpp"

using namespace review;

namespace {

// The disruption: garble, how = "extra late", as the site's list of troubles has it.
constexpr double garble_share = 0.6; // of the engines
constexpr int garble_every = 34;     // one answer in so many, which is under x = 0.03
constexpr double garble_for_s = 5;
constexpr double garble_pause_s = 3;
constexpr double traffic_s = 75;

constexpr int engine_count = 5;
constexpr int slots = 12;
constexpr int caller_count = 100;

// The runs of the requests, by id. A request runs from its first token on.
class run_log {
public:
  void add(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    ++m_runs[id];
  }
  int count(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second;
  }

private:
  std::mutex m_mutex;
  std::map<std::string, int> m_runs;
};

std::atomic<bool> garbling{false};
std::atomic<int> copies_sent{0};
thread_local std::mt19937 random_source{std::random_device{}()};

double uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_source);
}

// A connection of an engine. A copy goes out when it is due and a response is expected.
struct engine_connection {
  std::mutex m_mutex;
  int m_fd;
  bool m_response_expected = false;
  struct late_copy {
    double m_due_s;
    std::string m_bytes;
    std::string m_what;
  };
  std::vector<late_copy> m_copies;

  // Sends the copies that are due. The lock is held.
  void send_due(recorder& record, const std::string& engine) {
    std::erase_if(m_copies, [&](const late_copy& each) {
      if (!m_response_expected || each.m_due_s > now_s()) {
        return false;
      }
      ++copies_sent;
      record.line("copy of " + each.m_what + " by " + engine);
      send_all(m_fd, each.m_bytes);
      return true;
    });
  }
};

class model_engine {
public:
  model_engine(std::string id, bool garbles, run_log& runs, recorder& record)
      : m_id(std::move(id))
      , m_garbles(garbles)
      , m_runs(runs)
      , m_record(record)
      , m_server(
            "127.0.0.1", 0, [this](int fd, const message& request) { return handle(fd, request); },
            [this](int fd) { drop_connection(fd); }) {
    std::thread([this] {
      while (true) {
        sleep_s(0.005);
        const std::lock_guard lock(m_mutex);
        for (auto& [fd, connection] : m_connections) {
          const std::lock_guard connection_lock(connection->m_mutex);
          connection->send_due(m_record, m_id);
        }
      }
    }).detach();
  }

  std::string address() const { return m_server.address(); }

private:
  std::shared_ptr<engine_connection> find_connection(int fd) {
    const std::lock_guard lock(m_mutex);
    auto& found = m_connections[fd];
    if (!found) {
      found = std::make_shared<engine_connection>();
      found->m_fd = fd;
    }
    return found;
  }
  void drop_connection(int fd) {
    const std::lock_guard lock(m_mutex);
    m_connections.erase(fd);
  }

  // Sends a whole answer and may plan a second copy of it.
  bool answer(engine_connection& connection, const std::string& bytes, const std::string& what) {
    const std::lock_guard lock(connection.m_mutex);
    connection.send_due(m_record, m_id);
    connection.m_response_expected = false;
    if (m_garbles && garbling && ++m_answers % garble_every == 0) {
      connection.m_copies.push_back({now_s() + uniform(0.05, 0.4), bytes, what});
    }
    return send_all(connection.m_fd, bytes);
  }

  bool take_slot() {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_holds, [](const auto& each) { return each.second < now_s(); });
    if (m_running + static_cast<int>(m_holds.size()) >= slots) {
      return false;
    }
    ++m_running;
    return true;
  }

  bool handle(int fd, const message& request) {
    const auto connection = find_connection(fd);
    {
      const std::lock_guard lock(connection->m_mutex);
      connection->m_response_expected = true;
    }
    return serve(*connection, request);
  }

  bool serve(engine_connection& connection, const message& request) {
    const std::string not_run = "X-Cardamompond-Not-Executed: 1\r\n";
    if (request.target() == "/hold-take") {
      std::string hold;
      {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_holds, [](const auto& each) { return each.second < now_s(); });
        if (m_running + static_cast<int>(m_holds.size()) < slots) {
          hold = m_id + "-" + std::to_string(++m_hold_number);
          const auto ttl = request.m_body.find("\"ttl_ms\":");
          m_holds[hold] = now_s() + std::strtod(request.m_body.c_str() + ttl + 9, nullptr) / 1000;
        }
      }
      return hold.empty() ? answer(connection, make_response(503, "", not_run), "a refused hold-take")
                          : answer(connection, make_response(200, "{\"hold\":\"" + hold + "\"}"), "a hold");
    }
    const std::string id = request.header("x-cardamompond-request-id");
    const std::string echo = "X-Cardamompond-Request-Id: " + id + "\r\n";
    if (request.header("x-cardamompond-expect-instance") != m_id) {
      return answer(connection, make_response(421, "", echo + not_run), "421 for " + id);
    }
    bool admitted = false;
    {
      const std::lock_guard lock(m_mutex);
      if (m_holds.erase(request.header("x-cardamompond-hold")) > 0) {
        ++m_running;
        admitted = true;
      }
    }
    if (!admitted && !take_slot()) {
      return answer(connection, make_response(503, "", echo + not_run), "a refusal of " + id);
    }
    m_record.line("sent " + id + " to " + m_id);
    const double first_token_at = now_s() + uniform(0.1, 0.4); // the prompt is read until then
    while (now_s() < first_token_at) {
      sleep_s(0.005);
      char byte;
      const auto received = ::recv(connection.m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (received == 0 || (received < 0 && errno != EAGAIN)) { // the connection was closed or reset
        m_record.line("dropped " + id + " by " + m_id);
        const std::lock_guard lock(m_mutex);
        --m_running;
        return false;
      }
    }
    m_runs.add(id);
    m_record.line("run " + id + " by " + m_id);
    std::string events;
    for (int i = 1; i <= 4; ++i) {
      events += "id: " + std::to_string(i) + "\ndata: " + id + " " + std::to_string(i) + "\n\n";
    }
    const bool sent = answer(connection,
                             make_response(200, events,
                                           echo + "X-Cardamompond-Server-Stamp: " + m_id +
                                               ".1\r\nContent-Type: text/event-stream\r\n"),
                             "the answer to " + id);
    const std::lock_guard lock(m_mutex);
    --m_running;
    return sent;
  }

  std::string m_id;
  bool m_garbles;
  std::atomic<int> m_answers{0}; // while copies are sent
  run_log& m_runs;
  recorder& m_record;
  std::mutex m_mutex;
  int m_running = 0;
  int m_hold_number = 0;
  std::map<std::string, double> m_holds; // until when
  std::map<int, std::shared_ptr<engine_connection>> m_connections;
  server m_server;
};

std::string make_spec(const std::string& address, const std::string& zone) {
  return R"({"service":"guides","address":")" + address + R"(","zone":")" + zone +
         R"(","version":"v1","slots":)" + std::to_string(slots) +
         R"(,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1790000000000})";
}

const std::string configuration =
    R"({"version":3,"routes":[{"name":"sorting","host":"desk.example","path_prefix":"/sorting/","service":"guides",)"
    R"("type":"stream","timeout_ms":3000,"target_latency_ms":500,"max_attempts":1,"priority":2,"gap_aim_ms":400,)"
    R"("sticky":true,"resumable":false}],)"
    R"("services":[{"name":"guides","health_path":"/healthz","max_connections":620,"engine":{"stride":6,)"
    R"("hold_ms":2000,"kv_capacity_tokens":686209}}],"tenants":[{"name":"shop","api_keys":["key-of-the-shop"]}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}})";

} // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const std::string program = argv[1];
  const std::string folder = argv[2];
  recorder record(argv[3]);
  const bool trouble = std::string(argv[4]) == "1";

  store platform("127.0.0.1");
  run_log runs;
  std::vector<std::unique_ptr<model_engine>> engines;
  for (int i = 0; i < engine_count; ++i) {
    const std::string id = "i-model-" + std::to_string(i + 1);
    engines.push_back(
        std::make_unique<model_engine>(id, i < static_cast<int>(garble_share * engine_count), runs, record));
    platform.put("servers", id, make_spec(engines.back()->address(), i % 2 == 0 ? "zone-a" : "zone-b"));
  }
  platform.put("config", "main", configuration);

  const std::vector<host> hosts = {{"front-a-1", "zone-a", "127.31.0.1"},
                                   {"front-a-2", "zone-a", "127.31.0.2"},
                                   {"front-b-1", "zone-b", "127.31.0.3"},
                                   {"front-b-2", "zone-b", "127.31.0.4"}};
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
  const double give_up_at = now_s() + 15;
  for (const auto& ip : ips) {
    while (get_status(ip, admin, "/readyz", 1) != 200) {
      if (now_s() > give_up_at) {
        record.line("the daemons did not become ready");
        daemons.clear(); // ends the processes
        std::_Exit(2);
      }
      sleep_s(0.1);
    }
  }

  const double begin = now_s();
  const double end = begin + traffic_s;
  std::mutex mutex;
  std::map<std::string, int> answers; // status by id; 0: none
  std::atomic<int> number{0};
  std::vector<std::thread> threads;
  for (int caller = 0; caller < caller_count; ++caller) {
    threads.emplace_back([&, caller] {
      const std::string& ip = ips[static_cast<std::size_t>(caller) % ips.size()];
      int fd = -1;
      std::string buffer;
      while (now_s() < end) {
        const std::string id = "r-" + std::to_string(++number);
        if (fd < 0) {
          fd = connect_to(ip, callers);
          buffer.clear();
        }
        const std::string text =
            "POST /sorting/ask HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-of-the-shop\r\n"
            "X-Cardamompond-Deadline-Ms: 3000\r\nX-Cardamompond-Model: m\r\n"
            "X-Cardamompond-Token-Count: 1800,24\r\nX-Cardamompond-Prefix-Hash: 5c1e07a2:60," +
            std::to_string(number) + ":1740\r\nX-Cardamompond-Request-Id: " + id +
            "\r\nContent-Length: 5\r\n\r\nquery";
        int status = 0;
        message response;
        if (fd >= 0 && send_all(fd, text) && read_message(fd, buffer, response, now_s() + 4, true)) {
          status = response.status();
        } else if (fd >= 0) {
          ::close(fd);
          fd = -1;
        }
        record.line("answer to " + id + ": " + std::to_string(status));
        {
          const std::lock_guard lock(mutex);
          answers[id] = status;
        }
        if (status == 200) {
          sleep_s(0.05);
        } else {
          const double wait = std::strtod(response.header("retry-after").c_str(), nullptr);
          sleep_s(std::clamp(wait, 0.05, 1.0)); // a caller waits for a third of the time left at most
        }
      }
      if (fd >= 0) {
        ::close(fd);
      }
    });
  }
  while (now_s() < end - garble_for_s - garble_pause_s) {
    sleep_s(garble_pause_s);
    garbling = trouble;
    record.line(trouble ? "engines begin to send late copies" : "no copies");
    sleep_s(garble_for_s);
    garbling = false;
  }
  for (auto& each : threads) {
    each.join();
  }
  sleep_s(1); // engines end what they still run
  for (auto& each : daemons) {
    each->stop(SIGKILL);
  }

  int twice = 0;
  int refused = 0;
  std::map<int, int> by_status;
  for (const auto& [id, status] : answers) {
    const int count = runs.count(id);
    ++by_status[status];
    if (count > 1) {
      ++twice;
      record.line("TWICE: " + id + " ran " + std::to_string(count) + " times, answered " +
                  std::to_string(status));
    }
    if (count > 0 && (status == 503 || status == 429)) {
      ++refused;
      record.line("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
    }
  }
  std::ostringstream result;
  result << answers.size() << " requests, " << copies_sent << " late copies, ran twice " << twice
         << ", refused as not run though run " << refused << "; answers:";
  for (const auto& [status, count] : by_status) {
    result << ' ' << status << ":" << count;
  }
  record.line(result.str());
  std::printf("%s\n", result.str().c_str());
  std::fflush(stdout);
  if (by_status[200] == 0) {
    std::_Exit(2);
  }
  std::_Exit(twice + refused > 0 ? 1 : 0);
}
