#pragma once

// Sound streams and requests with a part of a prompt that crashes engines, for the cases of the second
// review. The rule BUDGET bounds how many of the latter reach engines.

#include "engines.hpp"

namespace review {

struct parts_case {
  int m_events_before_crash = 0; // events that an engine has written when it crashes
  int m_run_ms = 30'000;
  // Returns how many requests with the deadly part are sent at that moment, in steps of 100 ms.
  std::function<int(int step)> m_deadly_requests;
  // Moments, in ms after the begin of traffic, at which all daemons are killed.
  std::vector<int> m_kills;
};

constexpr int parts_engine_count = 9;
constexpr int parts_daemon_count = 2;
constexpr int contact_ms = 3'000;
constexpr int restart_ms = 1'500;
constexpr std::size_t fifth = 5;
constexpr std::size_t allowed = 3;

inline std::string make_parts_request(int number, bool deadly) {
  const std::string id = (deadly ? "deadly-" : "sound-") + std::to_string(number);
  char own_part[16];
  std::snprintf(own_part, sizeof own_part, "%08x", 0x10000000 + number * 2 + (deadly ? 1 : 0));
  const std::string body = "{\"prompt\":\"" + id + "\"}";
  return "POST /note/2f HTTP/1.1\r\nHost: a.example\r\nX-Cardamompond-Request-Id: " + id +
         "\r\nX-Cardamompond-Model: m\r\nX-Cardamompond-Token-Count: 688,60\r\nX-Cardamompond-Prefix-Hash: "
         "5c1e07a2:60," +
         (deadly ? "dead0001:200," : "91bd3f06:200,") + own_part +
         ":428\r\nX-Cardamompond-Deadline-Ms: 12000\r\nApi-Key: key-1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Runs the case. Returns to the shell: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] inline void run_parts_case(const char* record_file, const parts_case& plan) {
  record out(record_file);
  temporary_folder folder;
  const std::vector<std::string> ips = {"127.0.0.1", "127.0.0.2"};
  const int port = find_free_ports(ips, 6 + parts_engine_count);
  store platform("127.0.0.1", port);

  std::mutex mutex;
  std::vector<clock::time_point> crashes;
  std::map<std::string, clock::time_point> deadly_sent; // by the id of the request
  std::vector<clock::time_point> deadly_arrivals;       // when those that reached an engine were sent
  const auto serve = [&](engine& self, int fd, const message& request) {
    const std::string id = request.header("X-Cardamompond-Request-Id");
    if (request.header("X-Cardamompond-Prefix-Hash").find("dead0001") == std::string::npos) {
      sleep_ms(40);
      return write_stream(fd, request, 40);
    }
    {
      const std::lock_guard lock(mutex);
      if (const auto sent = deadly_sent.find(id); sent != deadly_sent.end()) {
        deadly_arrivals.push_back(sent->second);
      }
    }
    out.line("%s reaches engine %s", id.c_str(), self.id().c_str());
    sleep_ms(40);
    if (plan.m_events_before_crash > 0) {
      std::string bytes = stream_head(request);
      for (int i = 1; i <= plan.m_events_before_crash; ++i) {
        bytes += chunk(event(i));
      }
      send_all(fd, bytes);
      sleep_ms(20);
    }
    const std::lock_guard lock(mutex);
    if (self.crash()) {
      crashes.push_back(clock::now());
    }
    return false;
  };
  platform.put(
      "config", "main",
      R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":"/note/","type":"stream",)"
      R"("timeout_ms":12000,"target_latency_ms":400,"priority":1,"service":"model","max_attempts":1,)"
      R"("allow_anonymous":false,"sticky":true,"resumable":false,"gap_aim_ms":400}],"services":[)"
      R"({"name":"model","health_path":"/healthz","max_connections":620,"cold_start_s":3.0,)"
      R"("cold_per_s":16.0,"engine":{"slots":12,"kv_capacity_tokens":686209,"stride":6,)"
      R"("hold_ms":2000.0,"pin_ms":4000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
      R"({"name":"t1","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,)"
      R"("rate_per_s":400000,"burst":400000}]})");
  std::vector<std::unique_ptr<engine>> engines;
  for (int i = 0; i < parts_engine_count; ++i) {
    engine::options options;
    options.m_service = "model";
    engines.push_back(
        std::make_unique<engine>(platform, out, "i-" + std::to_string(i), port + 6 + i, options, serve));
  }
  std::vector<std::unique_ptr<entry_daemon>> daemons;
  const auto finish = [&](int code) {
    daemons.clear();
    folder.finish(code);
  };
  for (int i = 0; i < parts_daemon_count; ++i) {
    daemon_settings settings;
    settings.m_name = "front-a-" + std::to_string(i + 1);
    settings.m_ip = ips[static_cast<std::size_t>(i)];
    settings.m_port = port + 1;
    settings.m_store_address = "127.0.0.1:" + std::to_string(port);
    settings.m_seeds = {"127.0.0.1:" + std::to_string(port + 5), "127.0.0.2:" + std::to_string(port + 5)};
    settings.m_memory_mb = 260;
    daemons.push_back(std::make_unique<entry_daemon>(settings, folder.path()));
    daemons.back()->start();
  }
  for (auto& each : daemons) {
    if (!each->wait_ready(15'000)) {
      out.line("%s is not ready", each->settings().m_name.c_str());
      finish(2);
    }
  }
  sleep_ms(contact_ms);

  std::atomic<int> sound{0};
  std::atomic<int> whole{0};
  std::atomic<int> broken_off{0};
  std::atomic<int> refused{0};
  const auto send = [&](int number, bool deadly) {
    std::thread([&, number, deadly] {
      const auto& to = daemons[static_cast<std::size_t>(number % parts_daemon_count)]->settings();
      if (deadly) {
        const std::lock_guard lock(mutex);
        deadly_sent["deadly-" + std::to_string(number)] = clock::now();
      }
      const answer got = ask(to.m_ip, to.m_port, make_parts_request(number, deadly), 13'000);
      if (deadly || !got.m_complete || got.m_status != 200) {
        out.line("%s-%d: status %d, %d events, %s", deadly ? "deadly" : "sound", number, got.m_status,
                 got.m_events, got.m_complete ? "complete" : "broken off");
      }
      if (!deadly) {
        ++sound;
        whole += got.m_status == 200 && got.m_complete ? 1 : 0;
        refused += got.m_status == 503 || got.m_status == 429 ? 1 : 0;
        broken_off += got.m_status != 200 || !got.m_complete ? 1 : 0;
        broken_off -= got.m_status == 503 || got.m_status == 429 ? 1 : 0;
      }
    }).detach();
  };
  // Spans in which the machines are out of touch: from a kill until contact_ms after the start.
  std::vector<std::pair<clock::time_point, clock::time_point>> out_of_touch;
  out.line("traffic begins: 10 sound streams a second%s",
           has_trouble() ? ", and requests with the deadly part" : "");
  const auto begin = clock::now();
  int deadly_number = 0;
  clock::time_point restart_at = clock::time_point::max(); // max: no daemon is down
  for (int step = 0; step < plan.m_run_ms / 100; ++step) {
    send(step, false);
    for (int i = has_trouble() ? plan.m_deadly_requests(step) : 0; i > 0; --i) {
      send(deadly_number++, true);
    }
    if (std::find(plan.m_kills.begin(), plan.m_kills.end(), step * 100) != plan.m_kills.end()) {
      out.line("all daemons are killed");
      for (auto& each : daemons) {
        each->kill(SIGKILL);
      }
      const auto start = clock::now() + milliseconds(restart_ms);
      out_of_touch.emplace_back(clock::now(), start + milliseconds(contact_ms));
      restart_at = start;
    }
    if (clock::now() >= restart_at) {
      restart_at = clock::time_point::max();
      for (auto& each : daemons) {
        each->start();
      }
      out.line("all daemons start again");
    }
    std::this_thread::sleep_until(begin + milliseconds(100 * (step + 1)));
  }
  sleep_ms(4'000);

  const std::lock_guard lock(mutex);
  std::size_t late = 0;
  if (crashes.size() >= fifth) {
    std::sort(crashes.begin(), crashes.end());
    const auto from = crashes[fifth - 1] + milliseconds(contact_ms);
    late = static_cast<std::size_t>(
        std::count_if(deadly_arrivals.begin(), deadly_arrivals.end(), [&](auto each) {
          return each > from && std::none_of(out_of_touch.begin(), out_of_touch.end(), [&](const auto& span) {
                   return each >= span.first && each <= span.second;
                 });
        }));
  }
  const bool is_broken = late > allowed;
  out.line("sound streams: %d, whole %d, refused %d, broken off or failed %d", sound.load(), whole.load(),
           refused.load(), broken_off.load());
  out.line("requests with the deadly part: %zu reached engines, %zu crashes", deadly_arrivals.size(),
           crashes.size());
  out.line("BUDGET: %zu of them reached engines, sent by machines in touch later than %d ms after the fifth "
           "crash; %zu may: %s",
           late, contact_ms, allowed, is_broken ? "BROKEN" : "held");
  finish(is_broken ? 1 : 0);
  std::abort();
}

} // namespace review
