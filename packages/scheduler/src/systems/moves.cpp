#include "systems/moves.hpp"

#include "systems/breakers.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::scheduler {

namespace {

// Successes in a row, without a fault, that end a step.
constexpr std::uint32_t step_samples = 20;
// The steps are planned over this part of the time until `due`, so that late samples do not delay the end.
constexpr double planned_part = 0.9;
constexpr double max_first_step_percent = 5;
// Grants are counted in hundredths; the tolerance covers the rounding of their sum.
constexpr double credit_tolerance = 1e-9;

bool valid_steps(const std::vector<double>& steps) {
  if (steps.empty() || !(steps.front() > 0) || steps.front() > max_first_step_percent ||
      steps.back() != 100) {
    return false;
  }
  return std::is_sorted(steps.begin(), steps.end()) &&
         std::all_of(steps.begin(), steps.end(), [](double step) { return std::isfinite(step); });
}

double step_share(const move_row& move) {
  return move.m_declared.m_steps_percent[move.m_step] / 100;
}

time_point planned_end(const move_row& move) {
  const rollout_configuration& declared = move.m_declared;
  const double part = planned_part * static_cast<double>(move.m_step + 1) /
                      static_cast<double>(declared.m_steps_percent.size());
  const auto span = static_cast<double>((declared.m_due - declared.m_started).count());
  return declared.m_started + duration(static_cast<std::int64_t>(span * part));
}

bool usable(const tables& t, row version, row route) {
  return version != no_row && t.m_versions[version].m_in_service > 0 && !breaker_open(t, version, route);
}

bool has_declared_servers(const tables& t, row version) {
  return version != no_row && !t.m_versions[version].m_servers.empty();
}

version_choice undeclared_choice(const tables& t, const service_row& service, row route) {
  version_choice choice{no_row, no_row};
  std::size_t count = 0;
  for (const row version : service.m_versions) {
    if (count < choice.size() && usable(t, version, route)) {
      choice[count++] = version;
    }
  }
  return choice;
}

} // namespace

version_choice choose_versions(const tables& t, const request_row& request) {
  const service_row& service = t.m_services[request.m_service];
  const move_row& move = service.m_rollout;
  const row active = service.m_active;
  if (active == no_row) {
    return undeclared_choice(t, service, request.m_route);
  }
  const bool active_usable = usable(t, active, request.m_route);
  const bool next_usable = usable(t, move.m_target_version, request.m_route);
  if (move.m_state == rollout_state::in_progress && next_usable) {
    if (move.m_credit + step_share(move) >= 1 - credit_tolerance) {
      return {move.m_target_version, active_usable ? active : no_row};
    }
    return {active_usable ? active : move.m_target_version, no_row};
  }
  if (move.m_state == rollout_state::done && next_usable) {
    return {move.m_target_version, no_row};
  }
  if (active_usable) {
    return {active, no_row};
  }
  // A breaker protects only as long as another version can be expected to take the traffic.
  const row other = move.m_state == rollout_state::none ? service.m_previous : move.m_target_version;
  if (move.m_state == rollout_state::none && usable(t, other, request.m_route)) {
    return {other, no_row};
  }
  if (!has_declared_servers(t, active)) {
    return {has_declared_servers(t, other) ? other : no_row, no_row};
  }
  return {has_declared_servers(t, other) ? no_row : active, no_row};
}

void count_grant(tables& t, row service, row version) {
  move_row& move = t.m_services[service].m_rollout;
  if (move.m_state != rollout_state::in_progress) {
    return;
  }
  const double credit = move.m_credit + step_share(move);
  // A version that could not take its turn catches up by one grant, not by a burst.
  move.m_credit = version == move.m_target_version ? std::max(0.0, credit - 1) : std::min(1.0, credit);
}

void apply_move(tables& t, row service_number, const std::optional<rollout_configuration>& declared) {
  service_row& service = t.m_services[service_number];
  move_row& move = service.m_rollout;
  if (!declared) {
    move = {};
    return;
  }
  const auto found = t.m_version_names.find({service_number, declared->m_target_version});
  if (found == t.m_version_names.end() || found->second == service.m_active) {
    reject(t, "bad_move");
    move = {};
    return;
  }
  const std::uint64_t attempt = t.m_versions[found->second].m_attempt;
  const bool same =
      move.m_target_version == found->second && move.m_attempt == attempt && move.m_from == service.m_active;
  if (!same) {
    move = {};
    move.m_target_version = found->second;
    move.m_from = service.m_active;
    move.m_attempt = attempt;
    move.m_state = rollout_state::in_progress;
    move.m_step_started = t.m_now;
  }
  move.m_declared = *declared;
  if (!valid_steps(declared->m_steps_percent)) {
    reject(t, "bad_steps");
    move.m_declared.m_steps_percent = rollout_configuration{}.m_steps_percent;
  }
  move.m_step = std::min(move.m_step, move.m_declared.m_steps_percent.size() - 1);
  if (!same && t.m_versions[move.m_target_version].m_open_breakers > 0) {
    const std::string& name = t.m_versions[move.m_target_version].m_name;
    for (const breaker_trip& trip : open_trips(t)) {
      if (trip.m_service == service.m_name && trip.m_version == name && trip.m_attempt >= attempt) {
        take_back_move(t, move.m_target_version, trip.m_reason);
      }
    }
  }
}

void advance_moves(tables& t) {
  for (service_row& service : t.m_services) {
    move_row& move = service.m_rollout;
    if (move.m_state != rollout_state::in_progress || move.m_step_samples < step_samples ||
        planned_end(move) > t.m_now) {
      continue;
    }
    move.m_step_samples = 0;
    move.m_step_started = t.m_now;
    if (move.m_step + 1 < move.m_declared.m_steps_percent.size()) {
      ++move.m_step;
    } else {
      move.m_state = rollout_state::done;
    }
  }
}

void take_back_move(tables& t, row version, const std::string& reason) {
  move_row& move = t.m_services[t.m_versions[version].m_service].m_rollout;
  if (move.m_target_version == version && move.m_state != rollout_state::none &&
      move.m_state != rollout_state::rolled_back) {
    move.m_state = rollout_state::rolled_back;
    move.m_reason = reason;
    move.m_credit = 0;
  }
}

void count_move_sample(tables& t, const request_row& request, bool failed) {
  move_row& move = t.m_services[request.m_service].m_rollout;
  if (move.m_state != rollout_state::in_progress || move.m_target_version != request.m_version) {
    return;
  }
  if (failed) {
    move.m_step_samples = 0;
  } else if (request.m_granted >= move.m_step_started) {
    ++move.m_step_samples;
  }
}

row old_version_beside(const tables& t, row version) {
  const service_row& service = t.m_services[t.m_versions[version].m_service];
  const move_row& move = service.m_rollout;
  if (move.m_target_version == version && move.m_state != rollout_state::none) {
    return has_declared_servers(t, service.m_active) ? service.m_active : no_row;
  }
  if (move.m_state == rollout_state::none && service.m_active == version) {
    return has_declared_servers(t, service.m_previous) ? service.m_previous : no_row;
  }
  return no_row;
}

std::vector<rollout_status> move_statuses(const tables& t) {
  std::vector<rollout_status> statuses;
  for (const service_row& service : t.m_services) {
    const move_row& move = service.m_rollout;
    if (!service.m_declared || move.m_state == rollout_state::none) {
      continue;
    }
    rollout_status status{service.m_name, t.m_versions[move.m_target_version].m_name, move.m_state, 0,
                          move.m_reason};
    if (move.m_state == rollout_state::done) {
      status.m_traffic_percent = 100;
    } else if (move.m_state == rollout_state::in_progress) {
      status.m_traffic_percent = step_share(move) * 100;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

} // namespace cardamompond::scheduler
