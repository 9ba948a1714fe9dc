#include "cardamompond/scheduler/scheduler.hpp"

#include <array>
#include <cstdio>
#include <ctime>
#include <deque>
#include <fstream>
#include <random>
#include <string>
#include <unistd.h>

using namespace cardamompond;
using namespace cardamompond::scheduler;

// Measures processor time and memory of one scheduler with increasing numbers of engines. The load follows
// docs/design.md, section 2: 840 client accounts, and for each engine 4.3 requests/s and 69 open streams of
// 16 s each.
namespace {

constexpr std::uint32_t slots = 80;
constexpr double requests_per_engine_s = 4.3;
constexpr int accounts = 840;
constexpr milliseconds tick_interval{50};
constexpr seconds answer_time{16};
constexpr seconds poll_interval{2};

double processor_s() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double resident_mb() {
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

configuration make_configuration(std::uint32_t engines) {
  configuration config;
  config.m_revision = 1;
  config.m_tiers = {{"t0", 0, 1}, {"t1", 1, 0.9}, {"t2", 2, 0.7}, {"t3", 3, 0.5}};
  for (int i = 0; i < accounts; ++i) {
    config.m_client_accounts.push_back({"a" + std::to_string(i), static_cast<std::uint32_t>(i % 4), 1.0, 0});
  }
  for (int i = 0; i < 11; ++i) {
    service_configuration service;
    service.m_name = "m" + std::to_string(i);
    service.m_active_version = "v1";
    service.m_queue_limit = 100'000;
    config.m_services.push_back(service);
    config.m_versions.push_back({"v1", service.m_name, 1});
  }
  for (std::uint32_t i = 0; i < engines; ++i) {
    config.m_backend_servers.push_back({"e" + std::to_string(i), "m" + std::to_string(i % 11), "v1", "z",
                                        "127.0.0.1:1", slots, slots, true});
  }
  return config;
}

struct costs {
  double m_request_us = 0;
  double m_tick_us = 0;
  double m_core_percent = 0;
  double m_memory_mb = 0;
  std::uint64_t m_requests = 0;
};

costs measure(std::uint32_t engines, seconds length) {
  const double memory_before = resident_mb();
  scheduler::scheduler tested(1);
  std::mt19937_64 random(42);
  time_point now{seconds(1000)};
  const time_point measured_from = now + answer_time;
  const time_point end = measured_from + length;
  tested.apply(make_configuration(engines), now);
  std::deque<std::pair<time_point, request_key>> running;
  std::uint64_t sequence = 0;
  double due = 0;
  double event_s = 0;
  double tick_s = 0;
  std::uint64_t ticks = 0;
  costs result;
  time_point polled = now;
  for (; now < end; now += tick_interval) {
    const bool measured = now >= measured_from;
    std::vector<event> events;
    due += engines * requests_per_engine_s * std::chrono::duration<double>(tick_interval).count();
    for (; due >= 1; due -= 1) {
      submit_event submitted;
      submitted.m_key = {random() % 8, ++sequence};
      submitted.m_service = "m" + std::to_string(random() % 11);
      submitted.m_client_account = "a" + std::to_string(random() % accounts);
      submitted.m_route = "/v1/chat/completions";
      submitted.m_prompt_tokens = 2000;
      submitted.m_max_output_tokens = 700;
      const std::uint64_t conversation = random() % (engines * 50);
      for (std::uint64_t block = 0; block < 30; ++block) {
        submitted.m_prefix_blocks.push_back(conversation * 1000 + block);
      }
      submitted.m_fingerprint = {sequence, 1};
      submitted.m_arrived = now;
      submitted.m_deadline = now + seconds(60);
      events.emplace_back(std::move(submitted));
      result.m_requests += measured ? 1 : 0;
    }
    while (!running.empty() && running.front().first <= now) {
      events.emplace_back(completed_event{running.front().second, outcome::succeeded, 2000, 500, 372,
                                          milliseconds(390), answer_time});
      running.pop_front();
    }
    if (polled + poll_interval <= now) {
      polled = now;
      for (std::uint32_t i = 0; i < engines; ++i) {
        events.emplace_back(
            load_report_event{"e" + std::to_string(i), "b", reported_state::warm, 60, 0, slots, 23, now});
      }
    }
    const double begin = processor_s();
    for (const event& input : events) {
      tested.handle(input, now);
    }
    const double handled = processor_s();
    const auto decisions = tested.tick(now);
    const double ticked = processor_s();
    std::vector<event> started;
    for (const decision& made : decisions) {
      if (const auto* permit = std::get_if<grant>(&made)) {
        started.emplace_back(started_event{permit->m_key});
        running.emplace_back(now + answer_time, permit->m_key);
      }
    }
    const double resumed = processor_s();
    for (const event& input : started) {
      tested.handle(input, now);
    }
    if (measured) {
      event_s += handled - begin + processor_s() - resumed;
      tick_s += ticked - handled;
      ++ticks;
    }
  }
  result.m_request_us =
      (event_s + tick_s) / static_cast<double>(std::max<std::uint64_t>(1, result.m_requests)) * 1e6;
  result.m_tick_us = tick_s / static_cast<double>(ticks) * 1e6;
  result.m_core_percent = 100 * (event_s + tick_s) / static_cast<double>(length.count());
  result.m_memory_mb = resident_mb() - memory_before;
  return result;
}

// Fits y = a + b x to points (x, y) by least squares and returns a and b.
std::pair<double, double> fit(const std::vector<std::pair<double, double>>& points) {
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& [x, y] : points) {
    n += 1;
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return {(sy - slope * sx) / n, slope};
}

} // namespace

int main() {
  std::printf("840 client accounts, 11 services, 4.3 requests/s an engine, tick every 50 ms, load reports "
              "every 2 s\n");
  std::printf("%8s | %9s | %12s | %10s | %8s | %9s\n", "engines", "requests", "us a request", "us a tick",
              "% a core", "memory MB");
  std::vector<std::pair<double, double>> request_us;
  std::vector<std::pair<double, double>> tick_us;
  std::vector<std::pair<double, double>> memory_mb;
  // The numbers ascend, because a scheduler that runs after a larger one would reuse the memory which that
  // one freed, and its own would not be seen.
  for (const std::uint32_t engines : {33U, 330U, 3'300U, 10'000U}) {
    const costs cost = measure(engines, engines > 3'000 ? seconds(4) : seconds(20));
    std::printf("%8u | %9llu | %12.2f | %10.1f | %8.2f | %9.1f\n", engines,
                static_cast<unsigned long long>(cost.m_requests), cost.m_request_us, cost.m_tick_us,
                cost.m_core_percent, cost.m_memory_mb);
    std::fflush(stdout);
    request_us.emplace_back(engines, cost.m_request_us);
    tick_us.emplace_back(engines, cost.m_tick_us);
    memory_mb.emplace_back(engines, cost.m_memory_mb);
  }
  std::printf("slope per 1,000 engines: %.3f us a request, %.1f us a tick, %.1f MB\n",
              fit(request_us).second * 1000, fit(tick_us).second * 1000, fit(memory_mb).second * 1000);
  return 0;
}
