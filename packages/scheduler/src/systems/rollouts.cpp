#include "systems/rollouts.hpp"

#include "systems/breakers.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::scheduler {

namespace {

// Number of consecutive successes required to complete a step.
constexpr std::uint32_t min_step_successes = 20;
// The steps are spread over this fraction of the time until `m_due`, so that late samples do not delay
// completion.
constexpr double planned_fraction = 0.9;
constexpr double max_first_step_percent = 5;
// The credit is a sum of step fractions such as 0.01; the tolerance covers its rounding errors.
constexpr double credit_tolerance = 1e-9;

bool are_valid_steps(const std::vector<double>& steps) {
  if (steps.empty() || !(steps.front() > 0) || steps.front() > max_first_step_percent ||
      steps.back() != 100) {
    return false;
  }
  return std::is_sorted(steps.begin(), steps.end()) &&
         std::all_of(steps.begin(), steps.end(), [](double step) { return std::isfinite(step); });
}

double step_fraction(const rollout_row& rollout) {
  return rollout.m_configuration.m_steps_percent[rollout.m_step] / 100;
}

time_point planned_step_end(const rollout_row& rollout) {
  const rollout_configuration& declared = rollout.m_configuration;
  const double fraction = planned_fraction * static_cast<double>(rollout.m_step + 1) /
                          static_cast<double>(declared.m_steps_percent.size());
  const auto span = static_cast<double>((declared.m_due - declared.m_started).count());
  return declared.m_started + duration(static_cast<std::int64_t>(span * fraction));
}

bool is_usable(const scheduler_state& state, row_index version, row_index route) {
  return version != no_row && state.m_versions[version].m_in_service_count > 0 &&
         !is_breaker_open(state, version, route);
}

bool has_declared_servers(const scheduler_state& state, row_index version) {
  return version != no_row && !state.m_versions[version].m_servers.empty();
}

version_choice choose_without_active_version(const scheduler_state& state, const service_row& service,
                                             row_index route) {
  version_choice choice{no_row, no_row};
  std::size_t count = 0;
  for (const row_index version : service.m_versions) {
    if (count < choice.size() && is_usable(state, version, route)) {
      choice[count++] = version;
    }
  }
  return choice;
}

} // namespace

version_choice choose_versions(const scheduler_state& state, const request_row& request) {
  const service_row& service = state.m_services[request.m_service];
  const rollout_row& rollout = service.m_rollout;
  const row_index active = service.m_active_version;
  if (active == no_row) {
    return choose_without_active_version(state, service, request.m_route);
  }
  const bool active_usable = is_usable(state, active, request.m_route);
  const bool target_usable = is_usable(state, rollout.m_target_version, request.m_route);
  if (rollout.m_state == rollout_state::in_progress && target_usable) {
    if (rollout.m_grant_credit + step_fraction(rollout) >= 1 - credit_tolerance) {
      return {rollout.m_target_version, active_usable ? active : no_row};
    }
    return {active_usable ? active : rollout.m_target_version, no_row};
  }
  if (rollout.m_state == rollout_state::done && target_usable) {
    return {rollout.m_target_version, no_row};
  }
  if (active_usable) {
    return {active, no_row};
  }
  // An open circuit breaker is respected only while another version has declared backend servers that can
  // take the traffic.
  const row_index other =
      rollout.m_state == rollout_state::none ? service.m_previous_version : rollout.m_target_version;
  if (rollout.m_state == rollout_state::none && is_usable(state, other, request.m_route)) {
    return {other, no_row};
  }
  if (!has_declared_servers(state, active)) {
    return {has_declared_servers(state, other) ? other : no_row, no_row};
  }
  return {has_declared_servers(state, other) ? no_row : active, no_row};
}

void record_rollout_grant(scheduler_state& state, row_index service, row_index version) {
  rollout_row& rollout = state.m_services[service].m_rollout;
  if (rollout.m_state != rollout_state::in_progress) {
    return;
  }
  const double credit = rollout.m_grant_credit + step_fraction(rollout);
  // The credit is capped at one grant, so that a version that was unavailable does not catch up in a burst.
  rollout.m_grant_credit =
      version == rollout.m_target_version ? std::max(0.0, credit - 1) : std::min(1.0, credit);
}

void apply_rollout(scheduler_state& state, row_index service_index,
                   const std::optional<rollout_configuration>& declared) {
  service_row& service = state.m_services[service_index];
  rollout_row& rollout = service.m_rollout;
  if (!declared) {
    rollout = {};
    return;
  }
  const auto found = state.m_version_names.find({service_index, declared->m_target_version});
  if (found == state.m_version_names.end() || found->second == service.m_active_version) {
    count_rejected(state, "bad_move");
    rollout = {};
    return;
  }
  const std::uint64_t attempt = state.m_versions[found->second].m_attempt;
  const bool unchanged = rollout.m_target_version == found->second && rollout.m_attempt == attempt &&
                         rollout.m_source_version == service.m_active_version;
  if (!unchanged) {
    rollout = {};
    rollout.m_target_version = found->second;
    rollout.m_source_version = service.m_active_version;
    rollout.m_attempt = attempt;
    rollout.m_state = rollout_state::in_progress;
    rollout.m_step_started = state.m_now;
  }
  rollout.m_configuration = *declared;
  if (!are_valid_steps(declared->m_steps_percent)) {
    count_rejected(state, "bad_steps");
    rollout.m_configuration.m_steps_percent = rollout_configuration{}.m_steps_percent;
  }
  rollout.m_step = std::min(rollout.m_step, rollout.m_configuration.m_steps_percent.size() - 1);
  if (!unchanged && state.m_versions[rollout.m_target_version].m_open_breakers > 0) {
    const std::string& name = state.m_versions[rollout.m_target_version].m_name;
    for (const breaker_trip& trip : list_breaker_trips(state)) {
      if (trip.m_service == service.m_name && trip.m_version == name && trip.m_attempt >= attempt) {
        roll_back(state, rollout.m_target_version, trip.m_reason);
      }
    }
  }
}

void advance_rollouts(scheduler_state& state) {
  for (service_row& service : state.m_services) {
    rollout_row& rollout = service.m_rollout;
    if (rollout.m_state != rollout_state::in_progress || rollout.m_step_successes < min_step_successes ||
        planned_step_end(rollout) > state.m_now) {
      continue;
    }
    rollout.m_step_successes = 0;
    rollout.m_step_started = state.m_now;
    if (rollout.m_step + 1 < rollout.m_configuration.m_steps_percent.size()) {
      ++rollout.m_step;
    } else {
      rollout.m_state = rollout_state::done;
    }
  }
}

void roll_back(scheduler_state& state, row_index version, const std::string& reason) {
  rollout_row& rollout = state.m_services[state.m_versions[version].m_service].m_rollout;
  if (rollout.m_target_version == version && rollout.m_state != rollout_state::none &&
      rollout.m_state != rollout_state::rolled_back) {
    rollout.m_state = rollout_state::rolled_back;
    rollout.m_reason = reason;
    rollout.m_grant_credit = 0;
  }
}

void record_rollout_sample(scheduler_state& state, const request_row& request, bool failed) {
  rollout_row& rollout = state.m_services[request.m_service].m_rollout;
  if (rollout.m_state != rollout_state::in_progress || rollout.m_target_version != request.m_version) {
    return;
  }
  if (failed) {
    rollout.m_step_successes = 0;
  } else if (request.m_granted >= rollout.m_step_started) {
    ++rollout.m_step_successes;
  }
}

row_index find_baseline_version(const scheduler_state& state, row_index version) {
  const service_row& service = state.m_services[state.m_versions[version].m_service];
  const rollout_row& rollout = service.m_rollout;
  if (rollout.m_target_version == version && rollout.m_state != rollout_state::none) {
    return has_declared_servers(state, service.m_active_version) ? service.m_active_version : no_row;
  }
  if (rollout.m_state == rollout_state::none && service.m_active_version == version) {
    return has_declared_servers(state, service.m_previous_version) ? service.m_previous_version : no_row;
  }
  return no_row;
}

std::vector<rollout_status> list_rollout_statuses(const scheduler_state& state) {
  std::vector<rollout_status> statuses;
  for (const service_row& service : state.m_services) {
    const rollout_row& rollout = service.m_rollout;
    if (!service.m_declared || rollout.m_state == rollout_state::none) {
      continue;
    }
    rollout_status status{service.m_name, state.m_versions[rollout.m_target_version].m_name, rollout.m_state,
                          0, rollout.m_reason};
    if (rollout.m_state == rollout_state::done) {
      status.m_traffic_percent = 100;
    } else if (rollout.m_state == rollout_state::in_progress) {
      status.m_traffic_percent = step_fraction(rollout) * 100;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

} // namespace cardamompond::scheduler
