#include "policy_simulation.hpp"

#include "cardamompond/scheduler/baseline_scheduler.hpp"
#include "cardamompond/scheduler/scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::benchmark {

namespace {

constexpr std::size_t engines = 33;
constexpr std::uint32_t slots = 8;
constexpr std::size_t bad_engines = 6;
constexpr std::size_t conversations = 1500;
constexpr milliseconds hop{2}; // one-way delay between two daemons, or between a daemon and an engine
constexpr milliseconds tick_interval{5};
constexpr seconds poll_interval{2};
constexpr seconds zone_drain{45};
constexpr seconds zone_absence{60};
constexpr std::array<double, tiers> demand_share = {0.15, 0.25, 0.3, 0.3};
constexpr std::array<std::int64_t, tiers> timeout_s = {30, 45, 60, 120};
const time_point start = time_point(seconds(1000));

class library_policy final : public policy {
public:
  void apply(const scheduler::configuration& config, time_point now) override {
    m_scheduler.apply(config, now);
  }
  void handle(std::size_t /*daemon*/, const scheduler::event& input, time_point now) override {
    m_scheduler.handle(input, now);
  }
  void handle_all(const scheduler::event& input, time_point now) override { m_scheduler.handle(input, now); }
  std::vector<scheduler::decision> tick(time_point now) override { return m_scheduler.tick(now); }

private:
  scheduler::scheduler m_scheduler{1};
};

class baseline_policy final : public policy {
public:
  void apply(const scheduler::configuration& config, time_point now) override {
    for (auto& daemon : m_daemons) {
      daemon.apply(config, now);
    }
  }
  void handle(std::size_t daemon, const scheduler::event& input, time_point now) override {
    m_daemons[daemon].handle(input, now);
  }
  void handle_all(const scheduler::event& input, time_point now) override {
    for (auto& daemon : m_daemons) {
      daemon.handle(input, now);
    }
  }
  std::vector<scheduler::decision> tick(time_point now) override {
    std::vector<scheduler::decision> all;
    for (auto& daemon : m_daemons) {
      for (auto& made : daemon.tick(now)) {
        all.push_back(std::move(made));
      }
    }
    return all;
  }

private:
  std::vector<scheduler::baseline_scheduler> m_daemons = std::vector<scheduler::baseline_scheduler>(daemons);
};

scheduler::configuration make_configuration(const scenario& what) {
  scheduler::configuration config;
  config.m_revision = 1;
  config.m_tiers = {{"t0", 0, 1.0}, {"t1", 1, 0.9}, {"t2", 2, 0.7}, {"t3", 3, 0.5}};
  for (std::uint32_t rank = 0; rank < tiers; ++rank) {
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
  for (std::size_t i = 0; i < engines; ++i) {
    scheduler::backend_server_configuration server;
    server.m_name = "e" + std::to_string(i);
    server.m_service = "chat";
    server.m_version = what.m_bad_version && i < bad_engines ? "v2" : "v1";
    server.m_availability_zone = std::string(1, static_cast<char>('a' + i % 3));
    server.m_address = server.m_name;
    server.m_slots = slots;
    config.m_backend_servers.push_back(server);
  }
  return config;
}

class simulation {
public:
  simulation(policy& tested, const scenario& what, std::uint64_t seed)
      : m_policy(tested)
      , m_what(what)
      , m_random(seed)
      , m_config(make_configuration(what))
      , m_conversation_blocks(conversations) {
    for (const auto& server : m_config.m_backend_servers) {
      // There are two hardware generations, and the speed within each varies by up to 10 %.
      const double speed = m_engines.size() % 2 == 0 ? 1.3 : 0.7;
      m_engines.emplace_back(server, speed * uniform(0.9, 1.1));
      m_engine_index[server.m_name] = m_engines.size() - 1;
    }
  }

  simulation_result run() {
    m_measured_from = start + m_what.m_warm_up;
    m_measured_to = m_measured_from + m_what.m_length;
    m_end = m_measured_to + seconds(timeout_s.back() + 1); // all measured requests have ended by then
    m_policy.apply(m_config, m_now);
    at(start, [this] { arrive(); });
    at(start, [this] { tick(); });
    at(start, [this] { poll(); });
    plan_faults();
    while (!m_events.empty() && m_events.top().m_time <= m_end) {
      const scheduled next = m_events.top();
      m_events.pop();
      m_now = next.m_time;
      next.m_action();
    }
    for (const simulated_engine& engine : m_engines) {
      m_result.m_cold_excess = std::max(m_result.m_cold_excess, engine.m_worst_excess);
      m_result.m_cold_peak = std::max(m_result.m_cold_peak, engine.m_cold_peak);
    }
    return m_result;
  }

private:
  struct scheduled {
    time_point m_time;
    std::uint64_t m_sequence = 0;
    std::function<void()> m_action;
    friend bool operator<(const scheduled& a, const scheduled& b) {
      return std::tie(b.m_time, b.m_sequence) < std::tie(a.m_time, a.m_sequence);
    }
  };
  using progress = simulated_request::progress;

  void at(time_point time, std::function<void()> action) {
    m_events.push({time, ++m_sequence, std::move(action)});
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  bool measured(const simulated_request& request) const {
    return request.m_submitted.m_arrived >= m_measured_from && request.m_submitted.m_arrived < m_measured_to;
  }
  tier_result& result_of(const simulated_request& request) {
    static tier_result unmeasured;
    return measured(request) ? m_result.m_tiers[request.m_rank] : unmeasured;
  }

  void plan_faults() {
    if (m_what.m_bad_version) {
      at(m_measured_from + seconds(10), [this] {
        scheduler::rollout_configuration rollout;
        rollout.m_target_version = "v2";
        rollout.m_started = m_now;
        rollout.m_due = m_now + seconds(120);
        m_config.m_services[0].m_rollout = rollout;
        ++m_config.m_revision;
        m_policy.apply(m_config, m_now);
        m_move_started = m_now;
      });
    }
    if (m_what.m_zone_exit) {
      const time_point out = m_measured_from + seconds(20);
      at(out, [this] { declare_zone(false); });
      at(out + zone_drain, [this] { for_zone([this](std::size_t engine) { stop(engine); }); });
      at(out + zone_drain + zone_absence, [this] {
        for_zone([this](std::size_t engine) { m_engines[engine].restart(); });
        declare_zone(true);
      });
    }
    if (m_what.m_restarts) {
      for (time_point when = m_measured_from; when < m_measured_to; when += seconds(10)) {
        at(when, [this] {
          const std::size_t engine = m_random() % engines;
          stop(engine);
          at(m_now + milliseconds(300), [this, engine] { m_engines[engine].restart(); });
        });
      }
    }
  }

  template <typename function> void for_zone(function&& call) {
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      if (m_engines[i].m_declared.m_availability_zone == "c") {
        call(i);
      }
    }
  }

  void declare_zone(bool in_service) {
    for (auto& server : m_config.m_backend_servers) {
      if (server.m_availability_zone == "c") {
        server.m_in_service = in_service;
      }
    }
    ++m_config.m_revision;
    m_policy.apply(m_config, m_now);
  }

  // Stops an engine without notice. All its connections break.
  void stop(std::size_t number) {
    m_engines[number].m_up = false;
    std::vector<request_key> broken;
    for (auto& [key, request] : m_requests) {
      if (request.m_progress == progress::dispatched && request.m_engine == number) {
        broken.push_back(key);
      }
    }
    for (const request_key key : broken) {
      simulated_request& request = m_requests.at(key);
      ++result_of(request).m_lost;
      waste(request);
      end(request, scheduler::outcome::connection_broken, duration{0});
    }
    m_engines[number].m_running = 0;
    m_engines[number].m_line.clear();
  }

  void arrive() {
    at(m_now + duration(static_cast<std::int64_t>(-std::log(uniform(1e-9, 1)) / m_what.m_rate * 1e6)),
       [this] { arrive(); });
    simulated_request request;
    double draw = m_what.m_single_tier ? 0 : uniform(0, 1);
    while (request.m_rank + 1 < tiers && draw > demand_share[request.m_rank]) {
      draw -= demand_share[request.m_rank++];
    }
    request.m_daemon = static_cast<std::uint32_t>(m_random() % daemons);
    // Between 10 and 1,000 tokens, so that the lengths differ by up to a factor of 100.
    request.m_output_tokens = static_cast<std::uint32_t>(
        std::clamp(std::lognormal_distribution<double>(4.6, 1.1)(m_random), 10.0, 1000.0));
    scheduler::submit_event& submitted = request.m_submitted;
    submitted.m_key = {request.m_daemon + 1, ++m_next_key};
    submitted.m_service = "chat";
    submitted.m_client_account = "t" + std::to_string(request.m_rank) + "-" + std::to_string(m_random() % 3);
    submitted.m_route = "/v1/chat/completions";
    submitted.m_prefix_blocks = prompt_blocks();
    submitted.m_prompt_tokens = static_cast<std::uint32_t>(submitted.m_prefix_blocks.size()) * block_tokens;
    submitted.m_max_output_tokens = std::max(64U, request.m_output_tokens * 2);
    submitted.m_arrived = m_now;
    submitted.m_deadline = m_now + seconds(timeout_s[request.m_rank]);
    submitted.m_fingerprint = {m_next_key, 1};
    ++result_of(request).m_demand;
    const request_key key = submitted.m_key;
    m_requests[key] = request;
    at(m_now + hop, [this, key] { submit(key); });
    at(submitted.m_deadline, [this, key] { on_deadline(key); });
  }

  // Returns the prefix blocks of a new prompt. The prompt repeats a random conversation and extends it. The
  // conversations of one application share their first blocks.
  std::vector<std::uint64_t> prompt_blocks() {
    const std::size_t conversation = std::min(m_random() % conversations, m_random() % conversations);
    std::vector<std::uint64_t>& blocks = m_conversation_blocks[conversation];
    if (blocks.empty() || blocks.size() > 100) {
      blocks.clear();
      for (std::uint64_t i = 0; i < 8; ++i) {
        blocks.push_back((conversation % 10) * 1000 + i + 1);
      }
    }
    const std::size_t added = 1 + m_random() % 10;
    for (std::size_t i = 0; i < added; ++i) {
      blocks.push_back(1'000'000 + ++m_next_block);
    }
    return blocks;
  }

  void submit(request_key key) {
    const auto found = m_requests.find(key);
    if (found != m_requests.end() && found->second.m_progress == progress::waiting) {
      ++m_waiting[found->second.m_rank];
      m_policy.handle(found->second.m_daemon, found->second.m_submitted, m_now);
    }
  }

  void tick() {
    at(m_now + tick_interval, [this] { tick(); });
    std::size_t highest_shed = tiers;
    for (const scheduler::decision& made : m_policy.tick(m_now)) {
      const request_key key = std::visit([](const auto& entry) { return entry.m_key; }, made);
      const auto found = m_requests.find(key);
      if (found == m_requests.end() || found->second.m_progress != progress::waiting) {
        continue;
      }
      simulated_request& request = found->second;
      --m_waiting[request.m_rank];
      if (const auto* refused = std::get_if<scheduler::refusal>(&made)) {
        const bool shed =
            refused->m_code == error_code::queue_full || refused->m_code == error_code::overloaded;
        highest_shed = shed ? std::min<std::size_t>(highest_shed, request.m_rank) : highest_shed;
        ++result_of(request).m_refused;
        m_requests.erase(found);
        continue;
      }
      request.m_progress = progress::permitted;
      request.m_engine = m_engine_index.at(std::get<scheduler::grant>(made).m_backend_server);
      at(m_now + hop, [this, key] { dispatch(key); });
    }
    for (std::size_t rank = highest_shed + 1; rank < tiers; ++rank) {
      m_result.m_inversions += m_waiting[rank] > 0 ? 1 : 0;
    }
  }

  void dispatch(request_key key) {
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
      return; // the deadline passed
    }
    simulated_request& request = found->second;
    simulated_engine& engine = m_engines[request.m_engine];
    if (!engine.m_up) {
      m_policy.handle(request.m_daemon,
                      scheduler::declined_event{key, scheduler::decline_reason::connect_failed}, m_now);
      request.m_progress = progress::waiting;
      submit(key);
      return;
    }
    m_policy.handle(request.m_daemon, scheduler::started_event{key}, m_now);
    request.m_progress = progress::dispatched;
    request.m_dispatched = m_now;
    request.m_boot = engine.m_boot;
    count_dispatch(engine);
    if (engine.m_running >= slots) {
      engine.m_line.push_back(key);
    } else {
      begin(request);
    }
    engine.note_accepted();
  }

  void count_dispatch(const simulated_engine& engine) {
    if (m_move_started == time_point{}) {
      return;
    }
    ++m_result.m_dispatched;
    if (engine.m_declared.m_version == "v2") {
      ++m_result.m_bad_dispatched;
      m_result.m_bad_share_before_zero =
          static_cast<double>(m_result.m_bad_dispatched) / static_cast<double>(m_result.m_dispatched);
      if (m_faults < 10) {
        m_result.m_bad_share_before_tenth = m_result.m_bad_share_before_zero;
      } else {
        m_result.m_tenth_fault_to_zero_s = std::chrono::duration<double>(m_now - m_tenth_fault).count();
      }
    }
  }

  void begin(simulated_request& request) {
    simulated_engine& engine = m_engines[request.m_engine];
    const auto& blocks = request.m_submitted.m_prefix_blocks;
    const std::size_t cached = engine.cached_blocks(blocks);
    request.m_cached_tokens = static_cast<std::uint32_t>(cached) * block_tokens;
    ++engine.m_running;
    auto [first, total] = engine.durations(request, 1);
    const bool fails = engine.m_declared.m_version == "v2";
    if (fails) {
      first = duration{0};
      total = milliseconds(50);
    } else if (measured(request)) {
      m_result.m_prompt_tokens += request.m_submitted.m_prompt_tokens;
      m_result.m_prefill_tokens += request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
      for (std::size_t i = cached; i < blocks.size(); ++i) {
        const bool elsewhere =
            std::any_of(m_engines.begin(), m_engines.end(),
                        [&](const simulated_engine& other) { return other.m_up && other.holds(blocks[i]); });
        m_result.m_wasted_tokens += elsewhere ? block_tokens : 0;
      }
    }
    if (!fails) {
      engine.fill_cache(blocks);
    }
    request.m_first_token = (m_now - request.m_dispatched) + first;
    const request_key key = request.m_submitted.m_key;
    const std::uint32_t boot = engine.m_boot;
    at(m_now + total, [this, key, boot, fails] {
      const auto found = m_requests.find(key);
      if (found != m_requests.end() && found->second.m_boot == boot &&
          found->second.m_progress == progress::dispatched) {
        finish(found->second, fails);
      }
    });
  }

  void finish(simulated_request& request, bool failed) {
    simulated_engine& engine = m_engines[request.m_engine];
    if (failed) {
      ++result_of(request).m_failed;
      if (++m_faults == 10) {
        m_tenth_fault = m_now;
      }
    } else {
      ++result_of(request).m_good;
      engine.note_succeeded(request.m_boot);
    }
    const std::size_t number = request.m_engine;
    end(request, failed ? scheduler::outcome::failed : scheduler::outcome::succeeded,
        m_now - request.m_dispatched);
    free_slot(number);
  }

  void free_slot(std::size_t number) {
    simulated_engine& engine = m_engines[number];
    --engine.m_running;
    if (!engine.m_line.empty()) {
      const request_key next = engine.m_line.front();
      engine.m_line.pop_front();
      begin(m_requests.at(next));
    }
  }

  void waste(const simulated_request& request) {
    const bool began = request.m_first_token > duration{0};
    if (began && measured(request)) {
      m_result.m_wasted_tokens += request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
    }
  }

  void on_deadline(request_key key) {
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
      return;
    }
    simulated_request& request = found->second;
    ++result_of(request).m_late;
    if (request.m_progress != progress::dispatched) {
      if (request.m_progress == progress::waiting) {
        --m_waiting[request.m_rank];
        m_policy.handle(request.m_daemon, scheduler::cancel_event{key}, m_now);
      } else {
        m_policy.handle(request.m_daemon,
                        scheduler::declined_event{key, scheduler::decline_reason::abandoned}, m_now);
      }
      m_requests.erase(found);
      return;
    }
    waste(request);
    const std::size_t number = request.m_engine;
    const bool in_line = std::erase(m_engines[number].m_line, key) > 0;
    end(request, scheduler::outcome::timed_out, m_now - request.m_dispatched);
    if (!in_line) {
      free_slot(number);
    }
  }

  // Reports the end of a dispatched request to the policy and removes the request.
  void end(simulated_request& request, scheduler::outcome result, duration total) {
    scheduler::completed_event completed;
    completed.m_key = request.m_submitted.m_key;
    completed.m_outcome = result;
    completed.m_prompt_tokens = request.m_submitted.m_prompt_tokens;
    completed.m_cached_tokens = request.m_cached_tokens;
    completed.m_output_tokens = request.m_output_tokens;
    completed.m_time_to_first_token = std::min(request.m_first_token, total);
    completed.m_total_time = total;
    const std::uint32_t daemon = request.m_daemon;
    at(m_now + hop, [this, daemon, completed] { m_policy.handle(daemon, completed, m_now); });
    m_requests.erase(completed.m_key);
  }

  void poll() {
    at(m_now + poll_interval, [this] { poll(); });
    for (simulated_engine& engine : m_engines) {
      if (!engine.m_up) {
        m_policy.handle_all(scheduler::unreachable_event{engine.m_declared.m_name}, m_now);
        continue;
      }
      m_policy.handle_all(
          scheduler::load_report_event{engine.m_declared.m_name, std::to_string(engine.m_boot),
                                       scheduler::reported_state::warm, engine.m_running,
                                       static_cast<std::int64_t>(engine.m_line.size()), slots, 0, m_now},
          m_now);
      for (const scheduler::cache_event& change : engine.m_cache_events) {
        m_policy.handle_all(change, m_now);
      }
      engine.m_cache_events.clear();
    }
  }

  policy& m_policy;
  scenario m_what;
  std::mt19937_64 m_random;
  scheduler::configuration m_config;
  std::vector<std::vector<std::uint64_t>> m_conversation_blocks;
  std::vector<simulated_engine> m_engines;
  std::unordered_map<std::string, std::size_t> m_engine_index;
  std::unordered_map<request_key, simulated_request> m_requests;
  std::priority_queue<scheduled> m_events;
  std::array<std::int64_t, tiers> m_waiting{};
  simulation_result m_result;
  time_point m_now = start;
  time_point m_measured_from;
  time_point m_measured_to;
  time_point m_end;
  time_point m_move_started;
  time_point m_tenth_fault;
  std::uint64_t m_faults = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_next_key = 0;
  std::uint64_t m_next_block = 0;
};

} // namespace

std::unique_ptr<policy> make_library() {
  return std::make_unique<library_policy>();
}

std::unique_ptr<policy> make_baseline() {
  return std::make_unique<baseline_policy>();
}

simulation_result simulate(policy& tested, const scenario& what, std::uint64_t seed) {
  return simulation(tested, what, seed).run();
}

} // namespace cardamompond::benchmark
