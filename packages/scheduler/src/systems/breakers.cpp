#include "systems/breakers.hpp"

#include "systems/observations.hpp"
#include "systems/rollouts.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace cardamompond::scheduler {

namespace {

// A circuit breaker opens when the outcome window contains this many failures, or when the failure rate or
// the slowdown exceeds its maximum. The rate and the slowdown are evaluated only with enough samples.
constexpr std::uint32_t max_failures = 10;
constexpr std::size_t min_rate_samples = 10;
constexpr double max_failure_rate = 0.2;
constexpr std::size_t min_speed_samples = 20;
constexpr double max_slowdown_ratio = 2;
// A crash breaks all connections of a backend server at about the same time. Breaks within this time of each
// other count as one failure of the version.
constexpr milliseconds crash_burst_window{200};
// Bounds the memory that records from peers can occupy.
constexpr std::size_t max_breakers = 4096;

void update_open_breakers(scheduler_state& state, const breaker_key& key) {
  const row_index service = find_row(state.m_service_names, key.m_service);
  if (service == no_row) {
    return;
  }
  const auto found = state.m_version_names.find({service, key.m_version});
  if (found != state.m_version_names.end()) {
    version_row& version = state.m_versions[found->second];
    version.m_open_breakers = 0;
    for (const auto& [other, breaker] : state.m_breakers) {
      version.m_open_breakers += other.m_service == key.m_service && other.m_version == key.m_version &&
                                 breaker.m_attempt >= version.m_attempt;
    }
    if (version.m_open_breakers > 0) {
      roll_back(state, found->second, state.m_breakers.at(key).m_reason);
    }
  }
}

// Returns true if the breaker was not open before.
bool open_breaker(scheduler_state& state, const breaker_key& key, std::uint64_t attempt, std::string reason) {
  const auto found = state.m_breakers.find(key);
  if (found == state.m_breakers.end() && state.m_breakers.size() >= max_breakers) {
    count_rejected(state, "too_many_trips");
    return false;
  }
  if (found != state.m_breakers.end() && found->second.m_attempt >= attempt) {
    return false;
  }
  state.m_breakers[key] = {attempt, std::move(reason)};
  ++state.m_fault_signals_version;
  update_open_breakers(state, key);
  return true;
}

breaker_key make_breaker_key(const scheduler_state& state, row_index version_index, std::string route) {
  const version_row& version = state.m_versions[version_index];
  return {state.m_services[version.m_service].m_name, version.m_name, std::move(route)};
}

std::string format_percent(double share) {
  return std::to_string(std::lround(share * 100)) + "%";
}

// Describes the failures if there are enough of them to open a circuit breaker; otherwise returns an empty
// string.
std::string describe_failures(const outcome_window& window) {
  if (window.m_failures >= max_failures) {
    return std::to_string(window.m_failures) + " failures in the last " +
           std::to_string(window.m_failed.size()) + " requests";
  }
  const double rate = static_cast<double>(window.m_failures) /
                      static_cast<double>(std::max<std::size_t>(1, window.m_failed.size()));
  if (window.m_failed.size() >= min_rate_samples && rate > max_failure_rate) {
    return "failure rate " + format_percent(rate) + " over " + std::to_string(window.m_failed.size()) +
           " requests";
  }
  return {};
}

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

std::string describe_slowness(const speed_comparison& speed) {
  if (speed.m_pairs.size() < min_speed_samples) {
    return {};
  }
  std::vector<double> new_values;
  std::vector<double> old_values;
  for (const auto& [new_us, old_us] : speed.m_pairs) {
    new_values.push_back(new_us);
    old_values.push_back(old_us);
  }
  const double ratio = median(std::move(new_values)) / median(std::move(old_values));
  if (ratio <= max_slowdown_ratio) {
    return {};
  }
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.1f", ratio);
  return "median duration per token " + std::string(text.data()) + " times that of the old version";
}

bool is_failure(const completed_event& completed) {
  switch (completed.m_outcome) {
  case outcome::failed:
  case outcome::connection_broken:
    return true;
  case outcome::timed_out: // if the response had begun, the deadline may simply have been too short
    return completed.m_time_to_first_token <= duration{0};
  case outcome::succeeded:
  case outcome::refused:
  case outcome::cancelled:
    return false;
  }
  return false;
}

bool is_counted(const scheduler_state& state, const request_row& request, const completed_event& completed) {
  if (completed.m_outcome == outcome::cancelled || completed.m_outcome == outcome::refused) {
    return false;
  }
  if (completed.m_outcome == outcome::connection_broken) {
    // A break does not count against the version if the content is already suspected or if another connection
    // of the same backend server has just broken.
    const server_row& server = state.m_servers[request.m_server];
    return !request.m_suspect && server.m_last_broken_connection + crash_burst_window < state.m_now;
  }
  return completed.m_outcome != outcome::timed_out || is_failure(completed);
}

void record_speed(scheduler_state& state, const request_row& request, const completed_event& completed,
                  row_index old_version) {
  const double token_us = us_per_token(state.m_services[request.m_service], completed);
  if (completed.m_outcome != outcome::succeeded || token_us <= 0 || request.m_cold_at_grant) {
    return; // a cold start is slow regardless of the version
  }
  route_outcomes& route_stats = state.m_versions[request.m_version].m_routes[request.m_route];
  route_stats.m_latest_us_per_token = token_us;
  if (old_version == no_row) {
    return;
  }
  const auto& old_routes = state.m_versions[old_version].m_routes;
  const auto old = old_routes.find(request.m_route);
  if (old == old_routes.end() || old->second.m_latest_us_per_token <= 0) {
    return;
  }
  route_stats.m_speed.m_pairs.emplace_back(token_us, old->second.m_latest_us_per_token);
  if (route_stats.m_speed.m_pairs.size() > speed_comparison::size) {
    route_stats.m_speed.m_pairs.pop_front();
  }
}

// Returns the route of the request if all failures of the version occurred on it while other routes had
// enough successes; otherwise returns an empty string, which stands for all routes.
std::string find_faulty_route(const scheduler_state& state, const version_row& version,
                              const request_row& request) {
  const outcome_window& on_route = version.m_routes.at(request.m_route).m_outcomes;
  const outcome_window& on_all_routes = version.m_all_routes.m_outcomes;
  const bool other_routes_healthy =
      on_all_routes.m_failures == on_route.m_failures &&
      on_all_routes.m_failed.size() >= on_route.m_failed.size() + min_rate_samples;
  return other_routes_healthy ? state.m_routes[request.m_route] : std::string();
}

void evaluate_version(scheduler_state& state, const request_row& request) {
  const version_row& version = state.m_versions[request.m_version];
  const route_outcomes& route_stats = version.m_routes.at(request.m_route);
  std::string reason = describe_failures(route_stats.m_outcomes);
  if (reason.empty()) {
    reason = describe_failures(version.m_all_routes.m_outcomes);
  }
  if (!reason.empty()) {
    const std::string route = find_faulty_route(state, version, request);
    open_breaker(state, make_breaker_key(state, request.m_version, route), version.m_attempt,
                 std::move(reason));
    return;
  }
  reason = describe_slowness(route_stats.m_speed);
  if (!reason.empty()) {
    open_breaker(state, make_breaker_key(state, request.m_version, state.m_routes[request.m_route]),
                 version.m_attempt, std::move(reason));
  }
}

} // namespace

bool is_breaker_open(const scheduler_state& state, row_index version_index, row_index route) {
  const version_row& version = state.m_versions[version_index];
  if (version.m_open_breakers == 0) {
    return false;
  }
  for (const std::string& route_name : {std::string(), state.m_routes[route]}) {
    const auto found = state.m_breakers.find(make_breaker_key(state, version_index, route_name));
    if (found != state.m_breakers.end() && found->second.m_attempt >= version.m_attempt) {
      return true;
    }
  }
  return false;
}

void record_outcome(scheduler_state& state, const request_row& request, const completed_event& completed) {
  version_row& version = state.m_versions[request.m_version];
  if (request.m_granted < version.m_attempt_since) {
    return; // the request belongs to an earlier attempt
  }
  const row_index old_version = find_baseline_version(state, request.m_version);
  if (is_counted(state, request, completed)) {
    const bool failed = is_failure(completed);
    version.m_all_routes.m_outcomes.add(failed);
    version.m_routes[request.m_route].m_outcomes.add(failed);
    record_speed(state, request, completed, old_version);
    record_rollout_sample(state, request, failed);
    if (old_version != no_row) {
      evaluate_version(state, request);
    }
  }
  if (completed.m_outcome == outcome::connection_broken) {
    state.m_servers[request.m_server].m_last_broken_connection = state.m_now;
  }
}

void set_attempt(scheduler_state& state, row_index version_index, std::uint64_t attempt) {
  version_row& version = state.m_versions[version_index];
  if (attempt <= version.m_attempt) {
    return;
  }
  version.m_attempt = attempt;
  version.m_attempt_since = state.m_now;
  version.m_all_routes = {};
  version.m_routes.clear();
  const std::string& service = state.m_services[version.m_service].m_name;
  const auto dropped = std::erase_if(state.m_breakers, [&](const auto& entry) {
    return entry.first.m_service == service && entry.first.m_version == version.m_name &&
           entry.second.m_attempt < attempt;
  });
  state.m_fault_signals_version += dropped > 0 ? 1 : 0;
  version.m_open_breakers = 0;
  for (const auto& [key, breaker] : state.m_breakers) {
    version.m_open_breakers += key.m_service == service && key.m_version == version.m_name;
  }
}

void merge_trips(scheduler_state& state, const std::vector<breaker_trip>& trips) {
  for (const breaker_trip& trip : trips) {
    const row_index service = find_row(state.m_service_names, trip.m_service);
    const auto version = service == no_row ? state.m_version_names.end()
                                           : state.m_version_names.find({service, trip.m_version});
    if (version != state.m_version_names.end() &&
        state.m_versions[version->second].m_attempt > trip.m_attempt) {
      continue; // superseded by a higher attempt in the current configuration
    }
    open_breaker(state, {trip.m_service, trip.m_version, trip.m_route}, trip.m_attempt, trip.m_reason);
  }
}

std::vector<breaker_trip> list_breaker_trips(const scheduler_state& state) {
  std::vector<breaker_trip> trips;
  for (const auto& [key, breaker] : state.m_breakers) {
    trips.push_back({key.m_service, key.m_version, breaker.m_attempt, key.m_route, breaker.m_reason});
  }
  return trips;
}

} // namespace cardamompond::scheduler
