#include "cardamompond/gateway/engine_duty.hpp"

#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompond::gateway {
namespace {

constexpr duration observation_interval = milliseconds(500);
constexpr milliseconds call_timeout{1'000};

// After a longer time without observations another daemon may have held the duty, so nothing that is known
// holds any more.
constexpr duration max_observation_gap = seconds(3);

} // namespace

engine_duty::engine_duty(admission_controller& admission, const duty_peers& peers, std::string self,
                         duty_api& api)
    : m_admission(admission)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_api(api) {}

void engine_duty::observe(time_point now) {
  std::map<std::uint32_t, std::uint64_t> running = m_peers.running_by_server();
  for (const auto& load : m_admission.dispatcher().own_loads(monotonic_now())) {
    running[load.m_server] += load.m_running;
  }
  const auto& view = m_admission.known_fleet();
  const auto routes = view.routes();
  if (!routes) {
    return;
  }
  for (auto& [group, demand] : m_demands) {
    demand.m_running = 0;
    demand.m_listed = 0;
  }
  std::map<fleet::engine_group, double> slots;
  for (const auto& service : routes->source().m_services) {
    if (!service.m_engine_bounds) {
      continue;
    }
    for (const auto& server : view.backend_servers()) {
      if (server.m_service != service.m_name) {
        continue;
      }
      const fleet::engine_group group{server.m_service, server.m_availability_zone};
      auto& demand = m_demands[group];
      demand.m_min = service.m_engine_bounds->m_min;
      demand.m_max = service.m_engine_bounds->m_max;
      demand.m_boot_time = service.m_engine_bounds->m_boot_time;
      // What runs on an engine that leaves needs a place on another one soon.
      demand.m_running += static_cast<double>(running[fleet::server_id_hash(server.m_id)]);
      if (!server.m_draining) {
        ++demand.m_listed;
        slots[group] += server.m_slots;
      }
    }
  }
  for (auto& [group, demand] : m_demands) {
    if (demand.m_listed > 0) {
      demand.m_slots_per_engine = slots[group] / demand.m_listed;
    }
    m_planner.observe(group, demand, now);
  }
}

void engine_duty::perform(duty_runner& runner) {
  const time_point now = boot_now();
  if (m_observed_at && now - *m_observed_at < observation_interval) {
    return;
  }
  if (m_observed_at && now - *m_observed_at > max_observation_gap) {
    m_planner.reset();
    m_demands.clear();
    m_unanswered.clear();
    m_orders.clear();
  }
  m_observed_at = now;
  observe(now);
  std::vector<std::tuple<std::uint32_t, fleet::engine_group, std::uint32_t>> wanted;
  for (const auto& [group, demand] : m_demands) {
    m_orders[group] = m_planner.engines_in_force(group);
    if (m_admission.known_fleet().evacuated_zones().contains(group.m_availability_zone)) {
      continue; // its load returns with the zone, and finds its engines
    }
    if (const auto engines = m_planner.decide(group, now)) {
      const std::uint32_t in_force = m_planner.engines_in_force(group);
      wanted.emplace_back(*engines > in_force ? *engines - in_force : 0, group, *engines);
    }
  }
  // The largest increase first, since the rate of calls is limited.
  std::sort(wanted.begin(), wanted.end(),
            [](const auto& a, const auto& b) { return std::get<0>(a) > std::get<0>(b); });
  for (const auto& [increase, group, engines] : wanted) {
    if (!send(runner, group, engines)) {
      return;
    }
  }
}

// Returns whether further calls may follow.
bool engine_duty::send(duty_runner& runner, const fleet::engine_group& group, std::uint32_t engines) {
  const auto unanswered = m_unanswered.find(group);
  if (unanswered != m_unanswered.end() && unanswered->second.m_engines != engines &&
      unanswered->second.m_token == runner.claim().record().m_token) {
    // The earlier call may be executed after this one, unless its token is outdated by then.
    if (!runner.take_new_token()) {
      return false;
    }
  }
  if (!runner.may_call()) {
    return false;
  }
  const std::uint32_t before = m_planner.engines_in_force(group);
  const std::uint64_t token = runner.claim().record().m_token;
  const auto result = m_api.order_engines({m_self, token}, group, engines, call_timeout);
  runner.record_call(result);
  if (result.m_outcome == duty_call_outcome::no_response) {
    m_unanswered[group] = {engines, token};
  }
  if (result.m_outcome != duty_call_outcome::accepted) {
    return false;
  }
  m_unanswered.erase(group);
  m_planner.record_order(group, engines, boot_now());
  m_orders[group] = engines;
  log_event(log_level::info, "engines_ordered",
            {{"service", group.m_service},
             {"availability_zone", group.m_availability_zone},
             {"engines", engines},
             {"before", before},
             {"listed", m_demands[group].m_listed},
             {"running", m_demands[group].m_running},
             {"token", token}});
  return true;
}

} // namespace cardamompond::gateway
