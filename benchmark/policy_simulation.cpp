#include "policy_simulation.hpp"

#include "cardamompond/scheduler/baseline_scheduler.hpp"
#include "cardamompond/scheduler/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::benchmark {

namespace {

constexpr std::size_t engine_count = 33;
constexpr std::uint32_t slots_per_engine = 8;
constexpr std::size_t faulty_engine_count = 6;
constexpr std::size_t conversation_count = 1500;
constexpr milliseconds one_way_delay{2}; // between two daemons, or between a daemon and an engine
constexpr milliseconds tick_interval{5};
constexpr seconds poll_interval{2};
constexpr seconds zone_drain_time{45};
constexpr seconds zone_absence_time{60};
constexpr std::array<double, tier_count> tier_demand_shares = {0.15, 0.25, 0.3, 0.3};
constexpr std::array<std::int64_t, tier_count> tier_timeouts_s = {30, 45, 60, 120};
const time_point simulation_start = time_point(seconds(1000));

class library_policy final : public policy {
public:
  void apply(const scheduler::configuration& config, time_point now) override {
    m_scheduler.apply(config, now);
  }
  void handle(std::size_t /*daemon_index*/, const scheduler::event& input, time_point now) override {
    m_scheduler.handle(input, now);
  }
  void handle_on_all_schedulers(const scheduler::event& input, time_point now) override {
    m_scheduler.handle(input, now);
  }
  std::vector<scheduler::decision> tick(time_point now) override { return m_scheduler.tick(now); }

private:
  scheduler::scheduler m_scheduler{1};
};

class baseline_policy final : public policy {
public:
  void apply(const scheduler::configuration& config, time_point now) override {
    for (auto& daemon_scheduler : m_schedulers) {
      daemon_scheduler.apply(config, now);
    }
  }
  void handle(std::size_t daemon_index, const scheduler::event& input, time_point now) override {
    m_schedulers[daemon_index].handle(input, now);
  }
  void handle_on_all_schedulers(const scheduler::event& input, time_point now) override {
    for (auto& daemon_scheduler : m_schedulers) {
      daemon_scheduler.handle(input, now);
    }
  }
  std::vector<scheduler::decision> tick(time_point now) override {
    std::vector<scheduler::decision> decisions;
    for (auto& daemon_scheduler : m_schedulers) {
      for (auto& made_decision : daemon_scheduler.tick(now)) {
        decisions.push_back(std::move(made_decision));
      }
    }
    return decisions;
  }

private:
  std::vector<scheduler::baseline_scheduler> m_schedulers =
      std::vector<scheduler::baseline_scheduler>(daemon_count);
};

scheduler::configuration make_configuration(const simulation_scenario& scenario) {
  scheduler::configuration config;
  config.m_revision = 1;
  config.m_tiers = {{"t0", 0, 1.0}, {"t1", 1, 0.9}, {"t2", 2, 0.7}, {"t3", 3, 0.5}};
  for (std::uint32_t rank = 0; rank < tier_count; ++rank) {
    for (int i = 0; i < 3; ++i) {
      config.m_client_accounts.push_back(
          {"t" + std::to_string(rank) + "-" + std::to_string(i), rank, 1.0 + i, 0});
    }
  }
  scheduler::service_configuration service;
  service.m_name = "chat";
  service.m_active_version = "v1";
  service.m_queue_limit = 400;
  config.m_services.push_back(service);
  config.m_versions = {{"v1", "chat", 1}, {"v2", "chat", 1}};
  for (std::size_t i = 0; i < engine_count; ++i) {
    scheduler::backend_server_configuration server;
    server.m_name = "e" + std::to_string(i);
    server.m_service = "chat";
    server.m_version = scenario.m_faulty_rollout && i < faulty_engine_count ? "v2" : "v1";
    server.m_availability_zone = std::string(1, static_cast<char>('a' + i % 3));
    server.m_address = server.m_name;
    server.m_slots = slots_per_engine;
    config.m_backend_servers.push_back(server);
  }
  return config;
}

class simulation {
public:
  simulation(policy& tested_policy, const simulation_scenario& scenario, std::uint64_t seed)
      : m_policy(tested_policy)
      , m_scenario(scenario)
      , m_random(seed)
      , m_config(make_configuration(scenario))
      , m_conversation_blocks(conversation_count) {
    for (const auto& server : m_config.m_backend_servers) {
      // There are two hardware generations, and the speed within each varies by up to 10 %.
      const double speed = m_engines.size() % 2 == 0 ? 1.3 : 0.7;
      m_engines.emplace_back(server, speed * uniform(0.9, 1.1));
      m_engine_indices[server.m_name] = m_engines.size() - 1;
    }
  }

  simulation_result run() {
    m_measured_from = simulation_start + m_scenario.m_warm_up;
    m_measured_to = m_measured_from + m_scenario.m_measured_time;
    m_end = m_measured_to + seconds(tier_timeouts_s.back() + 1); // all measured requests have ended by then
    m_policy.apply(m_config, m_now);
    schedule(simulation_start, [this] { generate_request(); });
    schedule(simulation_start, [this] { tick(); });
    schedule(simulation_start, [this] { poll_engines(); });
    schedule_faults();
    while (!m_events.empty() && m_events.top().m_time <= m_end) {
      const scheduled_event next = m_events.top();
      m_events.pop();
      m_now = next.m_time;
      next.m_action();
    }
    for (const simulated_engine& engine : m_engines) {
      m_result.m_max_cold_excess = std::max(m_result.m_max_cold_excess, engine.m_max_cold_excess);
      m_result.m_max_cold_requests = std::max(m_result.m_max_cold_requests, engine.m_max_cold_requests);
    }
    return m_result;
  }

private:
  struct scheduled_event {
    time_point m_time;
    std::uint64_t m_sequence = 0;
    std::function<void()> m_action;
    friend bool operator<(const scheduled_event& a, const scheduled_event& b) {
      return std::tie(b.m_time, b.m_sequence) < std::tie(a.m_time, a.m_sequence);
    }
  };
  using progress = simulated_request::progress;

  void schedule(time_point time, std::function<void()> action) {
    m_events.push({time, ++m_sequence, std::move(action)});
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  bool is_measured(const simulated_request& request) const {
    return request.m_submitted.m_arrived >= m_measured_from && request.m_submitted.m_arrived < m_measured_to;
  }
  // Returns the counts of the tier, or counts that are not reported if the request arrived outside the
  // measured period.
  tier_result& find_tier_result(const simulated_request& request) {
    static tier_result unmeasured_result;
    return is_measured(request) ? m_result.m_tiers[request.m_tier_rank] : unmeasured_result;
  }

  void schedule_faults() {
    if (m_scenario.m_faulty_rollout) {
      schedule(m_measured_from + seconds(10), [this] {
        scheduler::rollout_configuration rollout;
        rollout.m_target_version = "v2";
        rollout.m_started = m_now;
        rollout.m_due = m_now + seconds(120);
        m_config.m_services[0].m_rollout = rollout;
        ++m_config.m_revision;
        m_policy.apply(m_config, m_now);
        m_rollout_started = m_now;
      });
    }
    if (m_scenario.m_zone_exit) {
      const time_point exit_time = m_measured_from + seconds(20);
      schedule(exit_time, [this] { set_zone_in_service(false); });
      schedule(exit_time + zone_drain_time, [this] {
        for_each_engine_in_zone([this](std::size_t engine_index) { stop_engine(engine_index); });
      });
      schedule(exit_time + zone_drain_time + zone_absence_time, [this] {
        for_each_engine_in_zone([this](std::size_t engine_index) { m_engines[engine_index].restart(); });
        set_zone_in_service(true);
      });
    }
    if (m_scenario.m_engine_restarts) {
      for (time_point restart_time = m_measured_from; restart_time < m_measured_to;
           restart_time += seconds(10)) {
        schedule(restart_time, [this] {
          const std::size_t engine_index = m_random() % engine_count;
          stop_engine(engine_index);
          schedule(m_now + milliseconds(300), [this, engine_index] { m_engines[engine_index].restart(); });
        });
      }
    }
  }

  template <typename function> void for_each_engine_in_zone(function&& call) {
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      if (m_engines[i].m_declared.m_availability_zone == "c") {
        call(i);
      }
    }
  }

  void set_zone_in_service(bool in_service) {
    for (auto& server : m_config.m_backend_servers) {
      if (server.m_availability_zone == "c") {
        server.m_in_service = in_service;
      }
    }
    ++m_config.m_revision;
    m_policy.apply(m_config, m_now);
  }

  // Stops an engine without notice. All its connections break.
  void stop_engine(std::size_t engine_index) {
    m_engines[engine_index].m_up = false;
    std::vector<request_key> broken_requests;
    for (auto& [key, request] : m_requests) {
      if (request.m_progress == progress::dispatched && request.m_engine_index == engine_index) {
        broken_requests.push_back(key);
      }
    }
    for (const request_key key : broken_requests) {
      simulated_request& request = m_requests.at(key);
      ++find_tier_result(request).m_connection_broken;
      record_wasted_prefill(request);
      end_request(request, scheduler::outcome::connection_broken, duration{0});
    }
    m_engines[engine_index].m_running_count = 0;
    m_engines[engine_index].m_queue.clear();
  }

  void generate_request() {
    schedule(m_now + duration(static_cast<std::int64_t>(-std::log(uniform(1e-9, 1)) /
                                                        m_scenario.m_requests_per_s * 1e6)),
             [this] { generate_request(); });
    simulated_request request;
    double tier_draw = m_scenario.m_single_tier ? 0 : uniform(0, 1);
    while (request.m_tier_rank + 1 < tier_count && tier_draw > tier_demand_shares[request.m_tier_rank]) {
      tier_draw -= tier_demand_shares[request.m_tier_rank++];
    }
    request.m_daemon_index = static_cast<std::uint32_t>(m_random() % daemon_count);
    // Between 10 and 1,000 tokens, so that the lengths differ by up to a factor of 100.
    request.m_output_tokens = static_cast<std::uint32_t>(
        std::clamp(std::lognormal_distribution<double>(4.6, 1.1)(m_random), 10.0, 1000.0));
    scheduler::submit_event& submitted = request.m_submitted;
    submitted.m_key = {request.m_daemon_index + 1, ++m_last_request_number};
    submitted.m_service = "chat";
    submitted.m_client_account =
        "t" + std::to_string(request.m_tier_rank) + "-" + std::to_string(m_random() % 3);
    submitted.m_route = "/v1/chat/completions";
    submitted.m_prefix_blocks = make_prompt_blocks();
    submitted.m_prompt_tokens = static_cast<std::uint32_t>(submitted.m_prefix_blocks.size()) * block_tokens;
    submitted.m_max_output_tokens = std::max(64U, request.m_output_tokens * 2);
    submitted.m_arrived = m_now;
    submitted.m_deadline = m_now + seconds(tier_timeouts_s[request.m_tier_rank]);
    submitted.m_fingerprint = {m_last_request_number, 1};
    ++find_tier_result(request).m_demand;
    const request_key key = submitted.m_key;
    m_requests[key] = request;
    schedule(m_now + one_way_delay, [this, key] { submit(key); });
    schedule(submitted.m_deadline, [this, key] { handle_deadline(key); });
  }

  // Returns the prefix blocks of a new prompt. The prompt repeats a random conversation and extends it. The
  // conversations of one application share their first blocks.
  std::vector<std::uint64_t> make_prompt_blocks() {
    const std::size_t conversation =
        std::min(m_random() % conversation_count, m_random() % conversation_count);
    std::vector<std::uint64_t>& blocks = m_conversation_blocks[conversation];
    if (blocks.empty() || blocks.size() > 100) {
      blocks.clear();
      for (std::uint64_t i = 0; i < 8; ++i) {
        blocks.push_back((conversation % 10) * 1000 + i + 1);
      }
    }
    const std::size_t added_block_count = 1 + m_random() % 10;
    for (std::size_t i = 0; i < added_block_count; ++i) {
      blocks.push_back(1'000'000 + ++m_last_block_number);
    }
    return blocks;
  }

  void submit(request_key key) {
    const auto found = m_requests.find(key);
    if (found != m_requests.end() && found->second.m_progress == progress::waiting) {
      ++m_waiting_by_tier[found->second.m_tier_rank];
      m_policy.handle(found->second.m_daemon_index, found->second.m_submitted, m_now);
    }
  }

  void tick() {
    schedule(m_now + tick_interval, [this] { tick(); });
    std::size_t highest_refused_rank = tier_count;
    for (const scheduler::decision& made_decision : m_policy.tick(m_now)) {
      const request_key key = std::visit([](const auto& entry) { return entry.m_key; }, made_decision);
      const auto found = m_requests.find(key);
      if (found == m_requests.end() || found->second.m_progress != progress::waiting) {
        continue;
      }
      simulated_request& request = found->second;
      --m_waiting_by_tier[request.m_tier_rank];
      if (const auto* refused = std::get_if<scheduler::refusal>(&made_decision)) {
        const bool refused_for_capacity =
            refused->m_code == error_code::queue_full || refused->m_code == error_code::overloaded;
        highest_refused_rank = refused_for_capacity
                                   ? std::min<std::size_t>(highest_refused_rank, request.m_tier_rank)
                                   : highest_refused_rank;
        ++find_tier_result(request).m_refused;
        m_requests.erase(found);
        continue;
      }
      request.m_progress = progress::granted;
      request.m_engine_index =
          m_engine_indices.at(std::get<scheduler::grant>(made_decision).m_backend_server);
      schedule(m_now + one_way_delay, [this, key] { dispatch(key); });
    }
    for (std::size_t rank = highest_refused_rank + 1; rank < tier_count; ++rank) {
      m_result.m_priority_inversions += m_waiting_by_tier[rank] > 0 ? 1 : 0;
    }
  }

  void dispatch(request_key key) {
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
      return; // the deadline passed
    }
    simulated_request& request = found->second;
    simulated_engine& engine = m_engines[request.m_engine_index];
    if (!engine.m_up) {
      m_policy.handle(request.m_daemon_index,
                      scheduler::declined_event{key, scheduler::decline_reason::connect_failed}, m_now);
      request.m_progress = progress::waiting;
      submit(key);
      return;
    }
    m_policy.handle(request.m_daemon_index, scheduler::started_event{key}, m_now);
    request.m_progress = progress::dispatched;
    request.m_dispatched_at = m_now;
    request.m_boot_number = engine.m_boot_number;
    record_rollout_dispatch(engine);
    if (engine.m_running_count >= slots_per_engine) {
      engine.m_queue.push_back(key);
    } else {
      start_request(request);
    }
    engine.record_accepted_request();
  }

  void record_rollout_dispatch(const simulated_engine& engine) {
    if (m_rollout_started == time_point{}) {
      return;
    }
    ++m_result.m_rollout_dispatches;
    if (engine.m_declared.m_version == "v2") {
      ++m_result.m_faulty_dispatches;
      m_result.m_faulty_share_at_last_dispatch = static_cast<double>(m_result.m_faulty_dispatches) /
                                                 static_cast<double>(m_result.m_rollout_dispatches);
      if (m_failures < 10) {
        m_result.m_faulty_share_at_tenth_failure = m_result.m_faulty_share_at_last_dispatch;
      } else {
        m_result.m_tenth_failure_to_last_dispatch_s =
            std::chrono::duration<double>(m_now - m_tenth_failure).count();
      }
    }
  }

  void start_request(simulated_request& request) {
    simulated_engine& engine = m_engines[request.m_engine_index];
    const auto& blocks = request.m_submitted.m_prefix_blocks;
    const std::size_t cached_block_count = engine.count_cached_blocks(blocks);
    request.m_cached_tokens = static_cast<std::uint32_t>(cached_block_count) * block_tokens;
    ++engine.m_running_count;
    auto [time_to_first_token, total_time] = engine.compute_durations(request, 1);
    const bool fails = engine.m_declared.m_version == "v2";
    if (fails) {
      time_to_first_token = duration{0};
      total_time = milliseconds(50);
    } else if (is_measured(request)) {
      m_result.m_prompt_tokens += request.m_submitted.m_prompt_tokens;
      m_result.m_prefill_tokens += request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
      for (std::size_t i = cached_block_count; i < blocks.size(); ++i) {
        const bool is_cached_elsewhere =
            std::any_of(m_engines.begin(), m_engines.end(), [&](const simulated_engine& other) {
              return other.m_up && other.is_cached(blocks[i]);
            });
        m_result.m_wasted_tokens += is_cached_elsewhere ? block_tokens : 0;
      }
    }
    if (!fails) {
      engine.add_to_cache(blocks);
    }
    request.m_time_to_first_token = (m_now - request.m_dispatched_at) + time_to_first_token;
    const request_key key = request.m_submitted.m_key;
    const std::uint32_t boot_number = engine.m_boot_number;
    schedule(m_now + total_time, [this, key, boot_number, fails] {
      const auto found = m_requests.find(key);
      if (found != m_requests.end() && found->second.m_boot_number == boot_number &&
          found->second.m_progress == progress::dispatched) {
        finish_request(found->second, fails);
      }
    });
  }

  void finish_request(simulated_request& request, bool failed) {
    simulated_engine& engine = m_engines[request.m_engine_index];
    if (failed) {
      ++find_tier_result(request).m_failed;
      if (++m_failures == 10) {
        m_tenth_failure = m_now;
      }
    } else {
      ++find_tier_result(request).m_in_time;
      engine.record_success(request.m_boot_number);
    }
    const std::size_t engine_index = request.m_engine_index;
    end_request(request, failed ? scheduler::outcome::failed : scheduler::outcome::succeeded,
                m_now - request.m_dispatched_at);
    free_slot(engine_index);
  }

  void free_slot(std::size_t engine_index) {
    simulated_engine& engine = m_engines[engine_index];
    --engine.m_running_count;
    if (!engine.m_queue.empty()) {
      const request_key next = engine.m_queue.front();
      engine.m_queue.pop_front();
      start_request(m_requests.at(next));
    }
  }

  void record_wasted_prefill(const simulated_request& request) {
    const bool was_started = request.m_time_to_first_token > duration{0};
    if (was_started && is_measured(request)) {
      m_result.m_wasted_tokens += request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
    }
  }

  void handle_deadline(request_key key) {
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
      return;
    }
    simulated_request& request = found->second;
    ++find_tier_result(request).m_deadline_missed;
    if (request.m_progress != progress::dispatched) {
      if (request.m_progress == progress::waiting) {
        --m_waiting_by_tier[request.m_tier_rank];
        m_policy.handle(request.m_daemon_index, scheduler::cancel_event{key}, m_now);
      } else {
        m_policy.handle(request.m_daemon_index,
                        scheduler::declined_event{key, scheduler::decline_reason::abandoned}, m_now);
      }
      m_requests.erase(found);
      return;
    }
    record_wasted_prefill(request);
    const std::size_t engine_index = request.m_engine_index;
    const bool was_queued = std::erase(m_engines[engine_index].m_queue, key) > 0;
    end_request(request, scheduler::outcome::timed_out, m_now - request.m_dispatched_at);
    if (!was_queued) {
      free_slot(engine_index);
    }
  }

  // Reports the end of a dispatched request to the policy and removes the request.
  void end_request(simulated_request& request, scheduler::outcome result, duration total_time) {
    scheduler::completed_event completed;
    completed.m_key = request.m_submitted.m_key;
    completed.m_outcome = result;
    completed.m_prompt_tokens = request.m_submitted.m_prompt_tokens;
    completed.m_cached_tokens = request.m_cached_tokens;
    completed.m_output_tokens = request.m_output_tokens;
    completed.m_time_to_first_token = std::min(request.m_time_to_first_token, total_time);
    completed.m_total_time = total_time;
    const std::uint32_t daemon_index = request.m_daemon_index;
    schedule(m_now + one_way_delay,
             [this, daemon_index, completed] { m_policy.handle(daemon_index, completed, m_now); });
    m_requests.erase(completed.m_key);
  }

  void poll_engines() {
    schedule(m_now + poll_interval, [this] { poll_engines(); });
    for (simulated_engine& engine : m_engines) {
      if (!engine.m_up) {
        m_policy.handle_on_all_schedulers(scheduler::unreachable_event{engine.m_declared.m_name}, m_now);
        continue;
      }
      m_policy.handle_on_all_schedulers(
          scheduler::load_report_event{engine.m_declared.m_name, std::to_string(engine.m_boot_number),
                                       scheduler::reported_state::warm, engine.m_running_count,
                                       static_cast<std::int64_t>(engine.m_queue.size()), slots_per_engine, 0,
                                       m_now},
          m_now);
      for (const scheduler::cache_event& change : engine.m_cache_events) {
        m_policy.handle_on_all_schedulers(change, m_now);
      }
      engine.m_cache_events.clear();
    }
  }

  policy& m_policy;
  simulation_scenario m_scenario;
  std::mt19937_64 m_random;
  scheduler::configuration m_config;
  std::vector<std::vector<std::uint64_t>> m_conversation_blocks;
  std::vector<simulated_engine> m_engines;
  std::unordered_map<std::string, std::size_t> m_engine_indices;
  std::unordered_map<request_key, simulated_request> m_requests;
  std::priority_queue<scheduled_event> m_events;
  std::array<std::int64_t, tier_count> m_waiting_by_tier{};
  simulation_result m_result;
  time_point m_now = simulation_start;
  time_point m_measured_from;
  time_point m_measured_to;
  time_point m_end;
  time_point m_rollout_started;
  time_point m_tenth_failure;
  std::uint64_t m_failures = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_request_number = 0;
  std::uint64_t m_last_block_number = 0;
};

} // namespace

std::unique_ptr<policy> make_library_policy() {
  return std::make_unique<library_policy>();
}

std::unique_ptr<policy> make_baseline_policy() {
  return std::make_unique<baseline_policy>();
}

simulation_result simulate(policy& tested_policy, const simulation_scenario& scenario, std::uint64_t seed) {
  return simulation(tested_policy, scenario, seed).run();
}

} // namespace cardamompond::benchmark
