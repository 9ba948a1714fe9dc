#include "expected_times.hpp"
#include "spare_capacity.hpp"

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

// The same for the pause. Prompts that other daemons have sent since their last reports add to it.
constexpr double max_pause_share = 0.6;

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

namespace {

// Speeds and statements change little in this time. Several requests are compared with many servers in it.
constexpr duration max_cache_age = milliseconds(10);

speed_estimate compute_lasting_speed(const server_row& server) {
  const double lasting = server.m_work_time.lasting();
  speed_estimate stated = assumed_speed();
  stated.m_base_s *= lasting;
  stated.m_prompt_s_per_token *= lasting;
  stated.m_event_interval_s *= lasting;
  stated.m_samples = stated_speed_weight;
  return combine(stated, server.m_combined_speed);
}

const cached_speed& cached(const server_row& server, time_point now) {
  cached_speed& cache = server.m_cached_speed;
  const std::uint32_t running = server.m_own_running + server.m_peer_running;
  if (cache.m_at != time_point{} && cache.m_running == running && now - cache.m_at < max_cache_age &&
      now >= cache.m_at) {
    return cache;
  }
  const double lasting = server.m_work_time.lasting();
  const double factor =
      std::clamp(server.m_work_time.expected(now) / lasting, min_moment_factor, max_moment_factor);
  cache = {
      now, running, compute_lasting_speed(server), {}, server.m_capacity.relative_time(running + 1, now)};
  cache.m_expected = cache.m_lasting;
  cache.m_expected.m_base_s *= factor;
  cache.m_expected.m_prompt_s_per_token *= factor;
  cache.m_expected.m_event_interval_s *= factor;
  return cache;
}

} // namespace

const speed_estimate& lasting_speed(const server_row& server, time_point now) {
  return cached(server, now).m_lasting;
}

const speed_estimate& expected_speed(const server_row& server, time_point now) {
  return cached(server, now).m_expected;
}

request_needs find_needs(const dispatch_tables& tables, const submission& request, time_point now) {
  const auto pause = tables.m_accepted_pauses.find(request.m_service);
  request_needs needs;
  needs.m_prompt_tokens = request.m_prompt_tokens;
  needs.m_events = expected_events(tables, request);
  needs.m_until_due_s = seconds_between(now, request.m_first_token_due);
  needs.m_until_deadline_s = seconds_between(now, request.m_deadline);
  needs.m_accepted_pause_s = pause == tables.m_accepted_pauses.end()
                                 ? default_accepted_pause_s
                                 : std::chrono::duration<double>(pause->second).count();
  needs.m_urgency_level = urgency_level(tables, request);
  for (std::size_t level = 0; level < urgency_levels; ++level) {
    needs.m_blocked[level] =
        tables.m_blocked.more_urgent_than(level + 1, now) - tables.m_blocked.more_urgent_than(level, now);
  }
  needs.m_now = now;
  return needs;
}

namespace {

expected_times predict(const request_needs& needs, const speed_estimate& speed, double concurrency,
                       double tokens_ahead) {
  const double event_s = speed.m_event_interval_s * concurrency;
  const double reading_before = speed.m_prompt_s_per_token * tokens_ahead;
  expected_times times;
  times.m_prompt_s = speed.m_prompt_s_per_token * needs.m_prompt_tokens;
  times.m_first_s = speed.m_base_s + reading_before + times.m_prompt_s;
  times.m_end_s = times.m_first_s + needs.m_events * event_s;
  times.m_pause_before_s = event_s + reading_before;
  times.m_pause_s = times.m_pause_before_s + times.m_prompt_s;
  return times;
}

expected_times predict_plain(double seconds) {
  expected_times times;
  times.m_first_s = seconds;
  times.m_end_s = seconds;
  return times;
}

} // namespace

expected_times predict_times(const server_row& server, const request_needs& needs) {
  const cached_speed& speed = cached(server, needs.m_now);
  const std::uint32_t running = server.m_own_running + server.m_peer_running;
  if (!server.m_uses_batching) {
    const double slots = std::max(1U, server.m_entry.m_slots);
    const double waiting = std::max(0.0, running + 1 - slots);
    return predict_plain(speed.m_expected.m_base_s * speed.m_concurrency * (1 + waiting / slots));
  }
  expected_times times = predict(needs, speed.m_expected, speed.m_concurrency,
                                 server.m_own_reading + reported_reading_share * server.m_peer_reading);
  if (running == 0) {
    times.m_pause_before_s = 0;
    times.m_pause_s = 0;
  }
  return times;
}

expected_times predict_undisturbed_times(const server_row& server, const request_needs& needs) {
  const speed_estimate& speed = lasting_speed(server, needs.m_now);
  return server.m_uses_batching ? predict(needs, speed, 1, 0) : predict_plain(speed.m_base_s);
}

bool reads_without_stalling(const server_row& server, double prompt_tokens, const request_needs& needs) {
  const speed_estimate& speed = lasting_speed(server, needs.m_now);
  return speed.m_event_interval_s + speed.m_prompt_s_per_token * prompt_tokens <=
         max_pause_share * needs.m_accepted_pause_s;
}

time_fit evaluate_times(const expected_times& times, const request_needs& needs) {
  if (times.m_end_s > max_end_share * needs.m_until_deadline_s) {
    return time_fit::none;
  }
  const bool late = times.m_first_s > max_first_share * needs.m_until_due_s;
  const bool stalling = times.m_pause_s > max_pause_share * needs.m_accepted_pause_s;
  return late && stalling ? time_fit::late_and_stalling
         : late           ? time_fit::late
         : stalling       ? time_fit::stalling
                          : time_fit::good;
}

double expected_stalled_streams(const server_row& server, const expected_times& times,
                                const request_needs& needs) {
  return (probability_of_late(times.m_pause_s, needs.m_accepted_pause_s) -
          probability_of_late(times.m_pause_before_s, needs.m_accepted_pause_s)) *
         (server.m_own_running + server.m_peer_running);
}

double expected_late_responses(const server_row& server, const expected_times& times,
                               const request_needs& needs) {
  // A response that is late in any case cannot become late.
  const double late_first =
      needs.m_until_due_s > 0 ? probability_of_late(times.m_first_s, needs.m_until_due_s) : 0;
  return late_first + expected_stalled_streams(server, times, needs);
}

} // namespace cardamompond::fleet
