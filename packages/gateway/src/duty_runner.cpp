#include "cardamompond/gateway/duty_runner.hpp"

#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace cardamompond::gateway {
namespace {

constexpr milliseconds step_interval{50};
constexpr milliseconds clock_interval{50};
constexpr milliseconds store_timeout{1'000};

// The daemon of rank n in the order of the duty lets this time pass n times before it claims.
constexpr duration turn_interval = milliseconds(400);

// Daemons in the zone of a holder notice first that it is gone. The others let as many turns go by.
constexpr int turns_of_holder_zone = 3;

// A daemon hears from its peers within this time after its start.
constexpr duration start_delay = milliseconds(1'500);

// A holder gives the duty up when the API was out of reach for this long, twice as long after each holder
// that found the same, so that an outage of the API does not send the duty around the group all the time.
constexpr duration api_patience = seconds(2);
constexpr std::uint32_t max_patience_doublings = 4;

// A daemon that found the API out of reach does not claim the duty again for this long.
constexpr duration api_avoidance_time = seconds(10);

constexpr duration rate_limit_pause = milliseconds(500);
constexpr duration rejection_pause = seconds(1);
constexpr duration failure_pause = milliseconds(200);

// Calls may come from the previous holder in the same second, so the holder uses only a part of the rate.
constexpr double used_share_of_rate = 0.5;

std::string_view to_string(duty_write_result::outcome outcome) {
  switch (outcome) {
  case duty_write_result::outcome::written:
    return "written";
  case duty_write_result::outcome::conflict:
    return "conflict";
  case duty_write_result::outcome::failed:
    return "failed";
  case duty_write_result::outcome::unknown:
    break;
  }
  return "unknown";
}

} // namespace

std::string_view to_string(duty_call_outcome outcome) {
  switch (outcome) {
  case duty_call_outcome::accepted:
    return "accepted";
  case duty_call_outcome::outdated_token:
    return "outdated_token";
  case duty_call_outcome::rate_limited:
    return "rate_limited";
  case duty_call_outcome::rejected:
    return "rejected";
  case duty_call_outcome::unreachable:
    return "unreachable";
  case duty_call_outcome::no_response:
    break;
  }
  return "no_response";
}

duty_runner::duty_runner(fleet::duty which, fleet::claim_options options, double calls_per_s,
                         dependencies with)
    : m_duty(which)
    , m_options(std::move(options))
    , m_with(std::move(with))
    , m_claim(m_options, boot_now())
    , m_call_interval(calls_per_s > 0 ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                            1 / (calls_per_s * used_share_of_rate)))
                                      : duration::zero()) {
  m_claim.avoid_until(boot_now() + start_delay);
}

void duty_runner::start() {
  net::fiber_runtime::spawn([this] { run_clock(); });
  net::fiber_runtime::spawn([this] { run(); });
}

void duty_runner::run_clock() {
  while (!m_stopped) {
    m_claim.observe_clock(boot_now(), wall_clock_offset());
    boost::this_fiber::sleep_for(clock_interval);
  }
}

void duty_runner::run() {
  while (!m_stopped) {
    step();
    boost::this_fiber::sleep_for(step_interval);
  }
}

void duty_runner::step() {
  if (m_stopping && !m_claim.holds()) {
    m_stopped = true;
    return;
  }
  const bool held = m_claim.holds();
  const auto token = m_claim.record().m_token;
  const time_point now = boot_now();
  switch (m_claim.next(now, surroundings())) {
  case fleet::claim_step::read:
    read();
    break;
  case fleet::claim_step::take_over:
    write(m_claim.begin_take_over(now));
    break;
  case fleet::claim_step::take_new_token:
    write(m_claim.begin_take_new_token(now));
    break;
  case fleet::claim_step::none:
    log_change(held, token, "a peer holds a higher token");
    if (m_stopping && m_claim.may_write(now)) {
      release(false);
    } else if (!m_stopping && m_claim.holds()) {
      m_with.m_task->perform(*this);
    }
    break;
  }
}

fleet::claim_surroundings duty_runner::surroundings() const {
  fleet::claim_surroundings now;
  const auto announced = m_with.m_peers->holder_of(m_duty, monotonic_now());
  now.m_announced_token = announced ? announced->m_token : 0;
  if (m_with.m_store_era) {
    now.m_store_era = m_with.m_store_era->latest();
    now.m_era_withdrawals = m_with.m_store_era->withdrawals();
  }
  now.m_known_holder_live = m_with.m_group->is_live(m_claim.known_holder());
  if (announced || m_claim.holds()) {
    return now; // the order of the daemons, whose cost grows with the group, is not needed
  }
  const auto key = fleet::to_string(m_duty);
  const auto& self = m_with.m_group->self();
  const auto zone = m_with.m_peers->last_zone_of(m_duty);
  std::size_t turns = m_with.m_group->rank_for(key);
  if (zone == self.m_availability_zone) {
    const auto daemons = m_with.m_group->daemons_of_zone(zone, key);
    const auto own = std::find_if(daemons.begin(), daemons.end(),
                                  [&](const member& each) { return each.m_name == self.m_name; });
    turns = static_cast<std::size_t>(own - daemons.begin());
  } else if (!zone.empty()) {
    turns += turns_of_holder_zone;
  }
  now.m_turn_delay = turn_interval * static_cast<std::int64_t>(turns);
  return now;
}

void duty_runner::read() {
  const bool held = m_claim.holds();
  const auto token = m_claim.record().m_token;
  const auto era = m_claim.store_era();
  m_claim.begin_read();
  auto found = m_with.m_store->read(m_duty, store_timeout);
  if (found) {
    const std::uint64_t copied_token = found->m_claim ? found->m_claim->m_record.m_token : 0;
    m_claim.read_done(std::move(found->m_claim), boot_now(), found->m_store_era);
    log_era(era, copied_token);
    log_change(held, token, "the store names another holder");
  } else {
    m_claim.read_failed(boot_now());
    log_event(log_level::warning, "duty_read_failed",
              {{"duty", fleet::to_string(m_duty)}, {"reason", found.error().m_message}});
  }
}

bool duty_runner::write(const fleet::claim_write& write) {
  const bool held = m_claim.holds();
  const auto token = m_claim.record().m_token;
  auto result = m_with.m_store->write(m_duty, write, store_timeout);
  ++m_store_writes;
  const time_point now = boot_now();
  switch (result.m_outcome) {
  case duty_write_result::outcome::written:
    m_claim.write_done(result.m_revision, now, result.m_store_era);
    break;
  case duty_write_result::outcome::conflict:
    m_claim.write_conflicted(std::move(result.m_found), now, result.m_store_era);
    break;
  case duty_write_result::outcome::failed:
    m_claim.write_failed(now);
    break;
  case duty_write_result::outcome::unknown:
    m_claim.write_unknown(now);
    break;
  }
  if (result.m_outcome != duty_write_result::outcome::written) {
    log_event(log_level::warning, "duty_write_failed",
              {{"duty", fleet::to_string(m_duty)},
               {"result", to_string(result.m_outcome)},
               {"reason", result.m_reason}});
  }
  log_change(held, token, write.m_record.m_released ? "released" : "another daemon wrote first");
  return result.m_outcome == duty_write_result::outcome::written;
}

void duty_runner::log_era(std::uint64_t era_before, std::uint64_t found_token) {
  if (era_before == 0 || m_claim.store_era() == era_before) {
    return;
  }
  log_event(log_level::warning, "duty_store_restored",
            {{"duty", fleet::to_string(m_duty)},
             {"era_before", era_before},
             {"era", m_claim.store_era()},
             {"found_token", found_token},
             {"token", m_claim.record().m_token},
             {"claims_again", m_claim.reclaims()}});
}

void duty_runner::log_change(bool held_before, std::uint64_t token_before, std::string_view reason) {
  const auto& record = m_claim.record();
  if (m_claim.holds() && (!held_before || record.m_token != token_before)) {
    log_event(log_level::info, "duty_claimed",
              {{"duty", fleet::to_string(m_duty)},
               {"token", record.m_token},
               {"store_era", record.m_store_era},
               {"windows_unknown", record.m_windows_unknown}});
    m_unreachable_since.reset();
  } else if (held_before && !m_claim.holds()) {
    log_event(log_level::info, "duty_lost",
              {{"duty", fleet::to_string(m_duty)}, {"token", token_before}, {"reason", reason}});
  }
}

void duty_runner::hand_over() {
  m_stopping = true;
  m_claim.stop();
}

void duty_runner::release(bool api_unreachable) {
  write(m_claim.begin_release(api_unreachable, boot_now()));
}

bool duty_runner::may_call() {
  const time_point now = boot_now();
  if (m_stopping || now < m_next_call) {
    return false;
  }
  if (m_claim.needs_renewal(now) && m_claim.may_write(now)) {
    write(m_claim.begin_renewal(now));
  }
  m_claim.observe_clock(boot_now(), wall_clock_offset()); // right before the call
  return m_claim.may_act(boot_now());
}

void duty_runner::record_call(const duty_call_result& result) {
  const time_point now = boot_now();
  ++m_call_counts[result.m_outcome];
  m_next_call = now + m_call_interval;
  if (result.m_outcome != duty_call_outcome::accepted) {
    log_event(log_level::warning, "duty_call_failed",
              {{"duty", fleet::to_string(m_duty)},
               {"token", m_claim.record().m_token},
               {"result", to_string(result.m_outcome)},
               {"reason", result.m_reason}});
    const duration pause = result.m_outcome == duty_call_outcome::rate_limited ? rate_limit_pause
                           : result.m_outcome == duty_call_outcome::rejected   ? rejection_pause
                                                                               : failure_pause;
    m_next_call = now + std::max(m_call_interval, pause);
  }
  if (result.m_outcome == duty_call_outcome::outdated_token) {
    m_claim.token_rejected();
  }
  if (result.m_outcome != duty_call_outcome::unreachable &&
      result.m_outcome != duty_call_outcome::no_response) {
    m_unreachable_since.reset();
    m_claim.record_api_answer();
    return;
  }
  if (result.m_outcome == duty_call_outcome::no_response) {
    m_claim.record_unanswered_call(now);
  }
  if (!m_unreachable_since) {
    m_unreachable_since = now;
  }
  const std::uint32_t doublings = std::min(m_claim.record().m_give_ups, max_patience_doublings);
  if (now - *m_unreachable_since >= api_patience * (std::int64_t{1} << doublings) && m_claim.may_write(now)) {
    m_claim.avoid_until(now + api_avoidance_time);
    release(true);
  }
}

bool duty_runner::record_windows(std::vector<fleet::recorded_window> windows, std::int64_t last_window) {
  const time_point now = boot_now();
  return m_claim.may_write(now) && write(m_claim.begin_record(std::move(windows), last_window, now));
}

bool duty_runner::take_new_token() {
  const time_point now = boot_now();
  return m_claim.may_write(now) && write(m_claim.begin_take_new_token(now));
}

} // namespace cardamompond::gateway
