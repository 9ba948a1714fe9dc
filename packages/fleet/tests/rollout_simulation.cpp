#include "rollout_simulation.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cardamompond::fleet::testing {
namespace {

constexpr std::array<double, 3> server_speeds = {0.55, 1.0, 2.8};

// A server of speed 1: time of one step, its increase with each running request, time to process prompts, and
// the tokens of one event.
constexpr double step_s = 0.00341;
constexpr double step_s_per_request = 0.000097;
constexpr double prompt_s_per_token = 1.0 / 112'000;
constexpr double first_token_s = 0.031;
constexpr double tokens_per_event = 6;
constexpr double slots = 11;

constexpr duration report_period = milliseconds(200);

struct route_mix {
  const char* m_name;
  double m_share;
  double m_prompt_tokens; // median
  double m_events;        // mean
};
constexpr std::array<route_mix, 3> routes = {
    {{"report", 0.23, 3'300, 64}, {"question", 0.34, 380, 49}, {"label", 0.43, 800, 4}}};

constexpr const char* service_name = "chat";
constexpr const char* old_version = "v1";
constexpr const char* target_version = "v2";

struct mean_time {
  double m_sum = 0;
  std::uint64_t m_count = 0;
  double value() const { return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count); }
};

rollout_order make_order(const simulated_rollout& rollout) {
  rollout_order order;
  order.m_service = service_name;
  order.m_target_version = target_version;
  order.m_period = std::chrono::duration_cast<milliseconds>(rollout.m_period);
  order.m_created_revision = 5;
  return order;
}

class simulation {
public:
  explicit simulation(const simulated_rollout& rollout)
      : m_rollout(rollout)
      , m_random(rollout.m_seed) {
    for (int i = 0; i < rollout.m_daemons; ++i) {
      m_daemons.push_back({});
      start_daemon(m_daemons.back());
    }
  }

  simulation_result run() {
    time_point now = m_start;
    time_point next_report = m_start + report_period;
    time_point next_restart = m_start + m_rollout.m_restart_every;
    std::size_t next_restarted = 0;
    simulation_result result;
    while (now < m_start + m_rollout.m_period) {
      now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          std::exponential_distribution<double>(m_rollout.m_requests_per_s)(m_random)));
      if (m_rollout.m_restart_every > duration::zero() && now >= next_restart) {
        next_restart += m_rollout.m_restart_every;
        start_daemon(m_daemons[next_restarted++ % m_daemons.size()]);
      }
      while (now >= next_report) {
        exchange_reports();
        if (const auto decided = decide(next_report)) {
          result.m_state = *decided;
          result.m_decided_after = next_report - m_start;
          result.m_requests = m_requests;
          result.m_requests_to_target = m_requests_to_target;
          return result;
        }
        next_report += report_period;
      }
      serve_request(now);
    }
    return result;
  }

  bool is_slow_by_mean() {
    constexpr std::uint64_t target_period = 14; // every fourteenth request goes to the target
    time_point now = m_start;
    while (now < m_start + m_rollout.m_period) {
      now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          std::exponential_distribution<double>(m_rollout.m_requests_per_s)(m_random)));
      const bool to_target = ++m_requests % target_period == 0;
      const auto server =
          static_cast<int>(m_random() % static_cast<std::uint64_t>(m_rollout.m_servers_per_version));
      record_response(*m_daemons.front().m_controller, to_target, server, choose_route(), now);
    }
    return m_slow_by_mean;
  }

private:
  struct daemon {
    std::unique_ptr<rollout_controller> m_controller;
    std::uint64_t m_incarnation = 0;
  };

  void start_daemon(daemon& each) {
    each.m_controller = std::make_unique<rollout_controller>();
    each.m_controller->set_daemon_count(static_cast<std::uint32_t>(m_rollout.m_daemons));
    each.m_controller->set_orders({make_order(m_rollout)}, m_start);
    ++each.m_incarnation;
  }

  void exchange_reports() {
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
      const auto observations = m_daemons[i].m_controller->own_observations();
      for (std::size_t j = 0; j < m_daemons.size(); ++j) {
        if (j != i) {
          m_daemons[j].m_controller->set_peer_observations(std::to_string(i), m_daemons[i].m_incarnation,
                                                           observations);
        }
      }
    }
  }

  // Any daemon may decide. A rollback is passed on to the others at once.
  std::optional<rollout_order::state> decide(time_point now) {
    std::optional<rollout_order::state> decided;
    for (const auto& each : m_daemons) {
      each.m_controller->tick(now);
      const auto state = each.m_controller->decisions().front().m_state;
      if (state == rollout_order::state::rolled_back ||
          (state == rollout_order::state::completed && !decided)) {
        decided = state;
      }
    }
    return decided;
  }

  double normal(double deviation) { return std::normal_distribution<double>(0, deviation)(m_random); }

  std::size_t choose_route() {
    const double uniform = std::uniform_real_distribution<double>(0, 1)(m_random);
    return uniform < routes[0].m_share ? 0 : uniform < routes[0].m_share + routes[1].m_share ? 1 : 2;
  }

  void serve_request(time_point now) {
    rollout_controller& controller = *m_daemons[m_random() % m_daemons.size()].m_controller;
    const bool to_target = controller.allows(service_name, target_version);
    const char* version = to_target ? target_version : old_version;
    controller.record_grant(service_name, version);
    ++m_requests;
    m_requests_to_target += to_target ? 1 : 0;
    const auto server =
        static_cast<int>(m_random() % static_cast<std::uint64_t>(m_rollout.m_servers_per_version));
    record_response(controller, to_target, server, choose_route(), now);
  }

  void record_response(rollout_controller& controller, bool to_target, int server, std::size_t route,
                       time_point now) {
    const std::string id = (to_target ? "new-" : "old-") + std::to_string(server);
    const double load = to_target ? 0.08 : m_rollout.m_load;
    const auto running = static_cast<std::uint32_t>(std::clamp(load * slots + normal(1.5), 1.0, slots));
    const double prompt_tokens = routes[route].m_prompt_tokens * std::exp(normal(1.2));
    const double events = std::exponential_distribution<double>(1 / routes[route].m_events)(m_random);
    double slowness = server_speeds[static_cast<std::size_t>(server) % server_speeds.size()];
    const bool may_be_slow = to_target && now >= m_start + m_rollout.m_slow_after &&
                             (!m_rollout.m_slow_on_one_route || route == 0);
    if (may_be_slow && std::uniform_real_distribution<double>(0, 1)(m_random) < m_rollout.m_slow_share) {
      slowness *= m_rollout.m_slow_factor;
    }
    // On a loaded server, a request first waits for the prompts of others.
    const double waiting_s = std::exponential_distribution<double>(1.0)(m_random) * 0.06 * load * load;
    const double first_s =
        slowness * (first_token_s + prompt_s_per_token * prompt_tokens + waiting_s) + 0.006;
    const double gap_s = slowness * tokens_per_event * (step_s + step_s_per_request * running) *
                         std::exp(std::abs(normal(0.06 + 0.1 * load)));
    const auto to_duration = [](double value) {
      return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    };
    request_sample sample{service_name, to_target ? target_version : old_version, routes[route].m_name, id,
                          true};
    sample.m_running = running;
    sample.m_prompt_tokens = static_cast<std::uint32_t>(prompt_tokens);
    sample.m_time_to_first_token = to_duration(first_s);
    sample.m_event_gap = events >= 4 ? to_duration(gap_s) : duration::zero();
    controller.record_outcome(sample);
    record_mean(to_target, route, first_s);
  }

  void record_mean(bool to_target, std::size_t route, double first_s) {
    constexpr double slow_factor = 2.2;
    constexpr std::uint64_t min_samples = 8;
    auto& [old_mean, target_mean] = m_means[route];
    mean_time& mean = to_target ? target_mean : old_mean;
    mean.m_sum += first_s;
    ++mean.m_count;
    m_slow_by_mean =
        m_slow_by_mean || (old_mean.m_count >= min_samples && target_mean.m_count >= min_samples &&
                           target_mean.value() > slow_factor * old_mean.value());
  }

  simulated_rollout m_rollout;
  std::mt19937_64 m_random;
  time_point m_start{seconds(100)};
  std::vector<daemon> m_daemons;
  std::uint64_t m_requests = 0;
  std::uint64_t m_requests_to_target = 0;
  std::array<std::pair<mean_time, mean_time>, routes.size()> m_means; // old version and target
  bool m_slow_by_mean = false;
};

} // namespace

simulation_result simulate(const simulated_rollout& rollout) {
  return simulation(rollout).run();
}

bool is_slow_by_mean(const simulated_rollout& rollout) {
  return simulation(rollout).is_slow_by_mean();
}

} // namespace cardamompond::fleet::testing
