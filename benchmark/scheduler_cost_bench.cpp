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

constexpr std::uint32_t slots_per_engine = 80;
constexpr double requests_per_engine_s = 4.3;
constexpr int account_count = 840;
constexpr milliseconds tick_interval{50};
constexpr seconds response_duration{16};
constexpr seconds load_report_interval{2};

double read_processor_s() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double read_resident_mb() {
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

configuration make_configuration(std::uint32_t engine_count) {
  configuration config;
  config.m_revision = 1;
  config.m_tiers = {{"t0", 0, 1}, {"t1", 1, 0.9}, {"t2", 2, 0.7}, {"t3", 3, 0.5}};
  for (int i = 0; i < account_count; ++i) {
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
  for (std::uint32_t i = 0; i < engine_count; ++i) {
    config.m_backend_servers.push_back({"e" + std::to_string(i), "m" + std::to_string(i % 11), "v1", "z",
                                        "127.0.0.1:1", slots_per_engine, slots_per_engine, true});
  }
  return config;
}

struct scheduler_cost {
  double m_request_us = 0;
  double m_tick_us = 0;
  double m_core_percent = 0;
  double m_memory_mb = 0;
  std::uint64_t m_requests = 0;
};

scheduler_cost measure(std::uint32_t engine_count, seconds measured_time) {
  const double memory_before = read_resident_mb();
  scheduler::scheduler measured_scheduler(1);
  std::mt19937_64 random(42);
  time_point now{seconds(1000)};
  const time_point measured_from = now + response_duration;
  const time_point end = measured_from + measured_time;
  measured_scheduler.apply(make_configuration(engine_count), now);
  std::deque<std::pair<time_point, request_key>> running_requests;
  std::uint64_t sequence = 0;
  double due_requests = 0;
  double handle_s = 0;
  double tick_s = 0;
  std::uint64_t ticks = 0;
  scheduler_cost result;
  time_point last_load_reports = now;
  for (; now < end; now += tick_interval) {
    const bool is_measured = now >= measured_from;
    std::vector<event> events;
    due_requests +=
        engine_count * requests_per_engine_s * std::chrono::duration<double>(tick_interval).count();
    for (; due_requests >= 1; due_requests -= 1) {
      submit_event submitted;
      submitted.m_key = {random() % 8, ++sequence};
      submitted.m_service = "m" + std::to_string(random() % 11);
      submitted.m_client_account = "a" + std::to_string(random() % account_count);
      submitted.m_route = "/v1/chat/completions";
      submitted.m_prompt_tokens = 2000;
      submitted.m_max_output_tokens = 700;
      const std::uint64_t conversation = random() % (engine_count * 50);
      for (std::uint64_t block = 0; block < 30; ++block) {
        submitted.m_prefix_blocks.push_back(conversation * 1000 + block);
      }
      submitted.m_fingerprint = {sequence, 1};
      submitted.m_arrived = now;
      submitted.m_deadline = now + seconds(60);
      events.emplace_back(std::move(submitted));
      result.m_requests += is_measured ? 1 : 0;
    }
    while (!running_requests.empty() && running_requests.front().first <= now) {
      events.emplace_back(completed_event{running_requests.front().second, outcome::succeeded, 2000, 500, 372,
                                          milliseconds(390), response_duration});
      running_requests.pop_front();
    }
    if (last_load_reports + load_report_interval <= now) {
      last_load_reports = now;
      for (std::uint32_t i = 0; i < engine_count; ++i) {
        events.emplace_back(load_report_event{"e" + std::to_string(i), "b", reported_state::warm, 60, 0,
                                              slots_per_engine, 23, now});
      }
    }
    const double events_begin_s = read_processor_s();
    for (const event& input : events) {
      measured_scheduler.handle(input, now);
    }
    const double events_end_s = read_processor_s();
    const auto decisions = measured_scheduler.tick(now);
    const double tick_end_s = read_processor_s();
    std::vector<event> started_events;
    for (const decision& made_decision : decisions) {
      if (const auto* permit = std::get_if<grant>(&made_decision)) {
        started_events.emplace_back(started_event{permit->m_key});
        running_requests.emplace_back(now + response_duration, permit->m_key);
      }
    }
    const double started_begin_s = read_processor_s();
    for (const event& input : started_events) {
      measured_scheduler.handle(input, now);
    }
    if (is_measured) {
      handle_s += events_end_s - events_begin_s + read_processor_s() - started_begin_s;
      tick_s += tick_end_s - events_end_s;
      ++ticks;
    }
  }
  result.m_request_us =
      (handle_s + tick_s) / static_cast<double>(std::max<std::uint64_t>(1, result.m_requests)) * 1e6;
  result.m_tick_us = tick_s / static_cast<double>(ticks) * 1e6;
  result.m_core_percent = 100 * (handle_s + tick_s) / static_cast<double>(measured_time.count());
  result.m_memory_mb = read_resident_mb() - memory_before;
  return result;
}

// Fits y = a + b x to points (x, y) by least squares and returns a and b.
std::pair<double, double> fit_line(const std::vector<std::pair<double, double>>& points) {
  double count = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [x, y] : points) {
    count += 1;
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  const double slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  return {(sum_y - slope * sum_x) / count, slope};
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
  for (const std::uint32_t engine_count : {33U, 330U, 3'300U, 10'000U}) {
    const scheduler_cost cost = measure(engine_count, engine_count > 3'000 ? seconds(4) : seconds(20));
    std::printf("%8u | %9llu | %12.2f | %10.1f | %8.2f | %9.1f\n", engine_count,
                static_cast<unsigned long long>(cost.m_requests), cost.m_request_us, cost.m_tick_us,
                cost.m_core_percent, cost.m_memory_mb);
    std::fflush(stdout);
    request_us.emplace_back(engine_count, cost.m_request_us);
    tick_us.emplace_back(engine_count, cost.m_tick_us);
    memory_mb.emplace_back(engine_count, cost.m_memory_mb);
  }
  std::printf("slope per 1,000 engines: %.3f us a request, %.1f us a tick, %.1f MB\n",
              fit_line(request_us).second * 1000, fit_line(tick_us).second * 1000,
              fit_line(memory_mb).second * 1000);
  return 0;
}
