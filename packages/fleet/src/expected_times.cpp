#include "expected_times.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Weight of the assumed speed, scaled by the stated work time, relative to one measurement. A new server is
// expected to be as fast as it states until requests have shown it.
constexpr double stated_speed_weight = 2;

// Bounds of the factor by which a statement changes the measured speed, so that a wrong statement neither
// attracts all requests nor shuts a server out.
constexpr double min_moment_factor = 0.25;
constexpr double max_moment_factor = 4;

// Share of the prompts reported by peers that are still being read: reports are up to 0.2 s old, and reading
// a long prompt takes about as long.
constexpr double reported_reading_share = 0.5;

// Shares of the available time that the expected times may take. The rest is a margin, because estimated
// output lengths are often far off and the state of a server changes on the way.
constexpr double max_first_share = 0.8;
constexpr double max_end_share = 0.6;
constexpr double max_pause_share = 0.75;

// A response is certainly on time up to the first share of its target, and certainly late from the second.
constexpr double surely_on_time_share = 0.6;
constexpr double surely_late_share = 1.2;

// Accepted pause of services whose routes state none. Callers notice longer ones.
constexpr double default_accepted_pause_s = 0.4;

double seconds_between(time_point from, time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

double probability_of_late(double expected_s, double target_s) {
  const double share = expected_s / target_s;
  return std::clamp((share - surely_on_time_share) / (surely_late_share - surely_on_time_share), 0.0, 1.0);
}

double expected_events(const dispatch_tables& tables, const submission& request) {
  const auto declared = tables.m_services.find(request.m_service);
  const std::uint32_t tokens_per_event =
      declared == tables.m_services.end() ? 1 : std::max(1U, declared->second.m_tokens_per_event);
  return static_cast<double>(request.m_output_tokens) / tokens_per_event;
}

} // namespace

speed_estimate lasting_speed(const server_row& server) {
  const double lasting = server.m_work_time.lasting();
  speed_estimate stated = assumed_speed();
  stated.m_base_s *= lasting;
  stated.m_prompt_s_per_token *= lasting;
  stated.m_event_interval_s *= lasting;
  stated.m_samples = stated_speed_weight;
  return combine(stated, server.m_combined_speed);
}

speed_estimate expected_speed(const server_row& server, time_point now) {
  speed_estimate speed = lasting_speed(server);
  const double factor = std::clamp(server.m_work_time.expected(now) / server.m_work_time.lasting(),
                                   min_moment_factor, max_moment_factor);
  speed.m_base_s *= factor;
  speed.m_prompt_s_per_token *= factor;
  speed.m_event_interval_s *= factor;
  return speed;
}

double accepted_pause_s(const dispatch_tables& tables, std::string_view service) {
  const auto found = tables.m_accepted_pauses.find(service);
  return found == tables.m_accepted_pauses.end() ? default_accepted_pause_s
                                                 : std::chrono::duration<double>(found->second).count();
}

namespace {

expected_times predict(const dispatch_tables& tables, const submission& request, const speed_estimate& speed,
                       double tokens_ahead) {
  expected_times times;
  const double reading_before = speed.m_prompt_s_per_token * tokens_ahead;
  times.m_prompt_s = speed.m_prompt_s_per_token * request.m_prompt_tokens;
  times.m_first_s = speed.m_base_s + reading_before + times.m_prompt_s;
  times.m_end_s = times.m_first_s + expected_events(tables, request) * speed.m_event_interval_s;
  times.m_pause_before_s = speed.m_event_interval_s + reading_before;
  times.m_pause_s = times.m_pause_before_s + times.m_prompt_s;
  return times;
}

} // namespace

expected_times predict_times(const dispatch_tables& tables, const server_row& server,
                             const submission& request, time_point now) {
  speed_estimate speed = expected_speed(server, now);
  const std::uint32_t running = server.m_own_running + server.m_peer_running;
  const double concurrency = server.m_capacity.relative_time(running + 1, now);
  if (!server.m_uses_batching) {
    const double slots = std::max(1U, server.m_entry.m_slots);
    const double waiting = std::max(0.0, running + 1 - slots);
    expected_times times;
    times.m_first_s = speed.m_base_s * concurrency * (1 + waiting / slots);
    times.m_end_s = times.m_first_s;
    return times;
  }
  speed.m_event_interval_s *= concurrency;
  expected_times times =
      predict(tables, request, speed, server.m_own_reading + reported_reading_share * server.m_peer_reading);
  if (running == 0) {
    times.m_pause_before_s = 0;
    times.m_pause_s = 0;
  }
  return times;
}

expected_times predict_undisturbed_times(const dispatch_tables& tables, const server_row& server,
                                         const submission& request) {
  const speed_estimate speed = lasting_speed(server);
  if (!server.m_uses_batching) {
    expected_times times;
    times.m_first_s = speed.m_base_s;
    times.m_end_s = speed.m_base_s;
    return times;
  }
  return predict(tables, request, speed, 0);
}

bool reads_without_stalling(const dispatch_tables& tables, const server_row& server, double prompt_tokens) {
  const speed_estimate speed = lasting_speed(server);
  return speed.m_event_interval_s + speed.m_prompt_s_per_token * prompt_tokens <=
         max_pause_share * accepted_pause_s(tables, server.m_entry.m_service);
}

time_fit evaluate_times(const dispatch_tables& tables, const expected_times& times, const submission& request,
                        time_point now) {
  if (times.m_end_s > max_end_share * seconds_between(now, request.m_deadline)) {
    return time_fit::none;
  }
  const bool late = times.m_first_s > max_first_share * seconds_between(now, request.m_first_token_due);
  const bool stalling = times.m_pause_s > max_pause_share * accepted_pause_s(tables, request.m_service);
  return late && stalling ? time_fit::late_and_stalling
         : late           ? time_fit::late
         : stalling       ? time_fit::stalling
                          : time_fit::good;
}

double expected_stalled_streams(const dispatch_tables& tables, const server_row& server,
                                const expected_times& times) {
  const double accepted = accepted_pause_s(tables, server.m_entry.m_service);
  return (probability_of_late(times.m_pause_s, accepted) -
          probability_of_late(times.m_pause_before_s, accepted)) *
         (server.m_own_running + server.m_peer_running);
}

double expected_late_responses(const dispatch_tables& tables, const server_row& server,
                               const expected_times& times, const submission& request, time_point now) {
  const double until_due = seconds_between(now, request.m_first_token_due);
  // A response that is late in any case cannot become late.
  const double late_first = until_due > 0 ? probability_of_late(times.m_first_s, until_due) : 0;
  return late_first + expected_stalled_streams(tables, server, times);
}

} // namespace cardamompond::fleet
