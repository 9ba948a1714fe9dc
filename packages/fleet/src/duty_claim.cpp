#include "cardamompond/fleet/duty_claim.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::fleet {
namespace {

// Peers take a duty over one second after the last report of its holder at the earliest, so a holder that was
// stopped for less than half of that still holds it.
constexpr duration max_observation_gap = milliseconds(500);
constexpr duration max_clock_step = milliseconds(500);

// Added to the lease where a daemon must not return, and taken off it where the holder must stop; covers the
// time between a check and the call that follows it.
constexpr duration lease_margin = milliseconds(300);

// A holder that is live but that no report names yet is given this long to announce itself: reports from
// other zones are up to 2.5 s old.
constexpr duration announcement_time = seconds(3);

// A holder that has failed to reach the store for this long lets others claim the duty.
constexpr duration store_patience = seconds(2);

// A call without a response may be executed this much later. A property test found the order A, B, A within
// the lease where a former holder did not wait for its own late calls.
constexpr duration max_execution_delay = seconds(5);

constexpr duration min_retry_delay = milliseconds(100);
constexpr duration max_retry_delay = seconds(1);

// After a rejected token the API has seen a higher one, which it does not tell.
constexpr std::uint64_t token_skip = 1'000;

// Added to the token of a claim that follows a return of the store from a copy. Some seconds of claims are
// lost then; each adds 1 to the token, or token_skip after a rejection.
constexpr std::uint64_t era_token_skip = 100'000;

// Eras above this are not multiplied, so that tokens stay exact in JSON.
constexpr std::uint64_t max_multiplied_era = 1'000'000'000;

// Numbers in JSON are exact up to 53 bits everywhere.
constexpr unsigned unused_nonce_bits = 11;

} // namespace

std::string_view to_string(duty which) {
  return which == duty::usage_reports ? "usage_reports" : "engine_counts";
}

duty_claim::duty_claim(claim_options options, time_point started)
    : m_options(std::move(options))
    , m_started(started)
    , m_random(m_options.m_seed)
    , m_known_since(started)
    , m_lease_from(started)
    , m_retry_at(started)
    , m_avoid_until(started)
    , m_late_calls_until(started) {}

void duty_claim::observe_clock(time_point now, duration wall_offset) {
  if (m_observed_at && m_held) {
    const duration step = wall_offset - m_wall_offset;
    if (now - *m_observed_at > max_observation_gap || step > max_clock_step || step < -max_clock_step) {
      m_must_read = true;
      m_in_doubt = true;
    }
  }
  m_observed_at = now;
  m_wall_offset = wall_offset;
}

// Nothing that was read in an earlier era is acted upon.
void duty_claim::observe_era(std::uint64_t era) {
  if (era <= m_store_era) {
    return;
  }
  m_era_changed = m_era_changed || m_store_era > 0;
  m_store_era = era;
  m_read_at.reset();
  m_must_read = m_must_read || m_held;
}

// What was read in an era that the store contradicts is read again in the lower one.
void duty_claim::observe_withdrawals(const claim_surroundings& surroundings) {
  if (std::exchange(m_era_withdrawals, surroundings.m_era_withdrawals) != surroundings.m_era_withdrawals &&
      surroundings.m_store_era < m_store_era) {
    m_store_era = surroundings.m_store_era;
    m_read_at.reset();
    m_must_read = m_must_read || m_held;
  }
}

claim_step duty_claim::next(time_point now, const claim_surroundings& surroundings) {
  observe_withdrawals(surroundings);
  observe_era(surroundings.m_store_era);
  m_highest_token = std::max(m_highest_token, surroundings.m_announced_token);
  if (m_held && surroundings.m_announced_token > m_known.m_record.m_token) {
    lose(now);
  }
  if (surroundings.m_announced_token > 0) {
    m_announced_token = surroundings.m_announced_token;
    m_vacant_since.reset();
  }
  if (m_busy || now < m_retry_at) {
    return claim_step::none;
  }
  if (m_must_read) {
    return claim_step::read;
  }
  if (m_reclaims) {
    return claim_step::take_over;
  }
  if (m_held) {
    return m_rejected_token == m_known.m_record.m_token ? claim_step::take_new_token : claim_step::none;
  }
  if (m_stopping || surroundings.m_announced_token > 0 || now < m_avoid_until) {
    return claim_step::none;
  }
  if (!m_vacant_since) {
    m_vacant_since = now;
  }
  if (now - *m_vacant_since < surroundings.m_turn_delay) {
    return claim_step::none;
  }
  if (!m_read_at || *m_read_at < *m_vacant_since) {
    return claim_step::read;
  }
  return now >= claimable_from(surroundings) ? claim_step::take_over : claim_step::none;
}

// Returns when this daemon may take the duty over from the holder that the object names.
time_point duty_claim::claimable_from(const claim_surroundings& surroundings) const {
  time_point from = m_started;
  const bool lost_claims = may_have_lost_claims();
  if (lost_claims && (m_era_changed || m_announced_token > 0)) {
    // The last holder knows which windows were sent, and claims the duty again if it is alive.
    from = std::max(from, m_known_since + announcement_time);
  }
  if (lost_claims && !m_options.m_fencing) {
    from = std::max(from, m_known_since + m_options.m_lease);
  }
  if (lost_claims && m_last_held) {
    from = std::max(from, std::max(*m_last_held, m_late_calls_until) + m_options.m_lease + lease_margin);
  }
  if (m_known.m_revision == 0) {
    return from;
  }
  const auto& record = m_known.m_record;
  const bool other = lost_claims || record.m_holder != m_options.m_self;
  if (!record.m_released) {
    if (other && surroundings.m_known_holder_live && record.m_token > m_announced_token) {
      from = std::max(from, m_known_since + announcement_time);
    }
    if (!m_options.m_fencing) {
      from = std::max(from, m_known_since + m_options.m_lease);
    }
  }
  if (other) {
    // This process or an earlier one on this machine may have acted before the other holder.
    from = std::max(from, m_started + m_options.m_lease + lease_margin);
    if (m_last_held) {
      from = std::max(from, std::max(*m_last_held, m_late_calls_until) + m_options.m_lease + lease_margin);
    }
  }
  return from;
}

// Whether the object comes from an earlier era, or is missing, so that later claims may have been lost.
bool duty_claim::may_have_lost_claims() const {
  return m_known_era > 0 && (m_known.m_revision == 0 || m_known.m_record.m_store_era != m_known_era);
}

void duty_claim::begin_read() {
  m_busy = true;
  m_read_in_doubt = std::exchange(m_in_doubt, false);
  // A pause during the read requires another one: the object may have been read before the pause.
  m_read_was_required = std::exchange(m_must_read, false);
}

void duty_claim::read_done(std::optional<stored_claim> found, time_point now, std::uint64_t era) {
  if (era < m_store_era) {
    read_failed(now); // a late answer of an earlier era, or one whose era is not known
    return;
  }
  m_busy = false;
  const bool paused = m_must_read;
  observe_era(era);
  m_must_read = paused;
  m_read_at = now;
  adopt(std::move(found), now);
}

void duty_claim::read_failed(time_point now) {
  m_busy = false;
  m_must_read = m_must_read || m_read_was_required;
  m_in_doubt = m_in_doubt || m_read_in_doubt;
  delay_retry(now);
}

claim_write duty_claim::begin(claim_record record, time_point now) {
  m_busy = true;
  record.m_nonce = m_random() >> unused_nonce_bits;
  record.m_store_era = m_known_era;
  claim_write write{std::move(record), std::nullopt};
  if (m_known.m_revision > 0) {
    write.m_revision = m_known.m_revision;
  }
  m_unresolved.push_back({write, now});
  return write;
}

claim_write duty_claim::begin_take_over(time_point now) {
  claim_record record = m_known.m_record;
  record.m_holder = m_options.m_self;
  record.m_incarnation = m_options.m_incarnation;
  record.m_token = std::max(record.m_token, m_highest_token) + 1;
  if (m_reclaims || may_have_lost_claims()) {
    // Eras start at different tokens, so that two claims over a missing object differ.
    record.m_token = std::max(record.m_token + era_token_skip,
                              m_known_era <= max_multiplied_era ? m_known_era * era_token_skip : 0);
    record.m_windows_unknown = record.m_windows_unknown || !m_reclaims;
  }
  record.m_released = false;
  return begin(std::move(record), now);
}

claim_write duty_claim::begin_take_new_token(time_point now) {
  claim_record record = m_known.m_record;
  const bool rejected = m_rejected_token == record.m_token;
  record.m_token = std::max(record.m_token, m_highest_token) + (rejected ? token_skip : 1);
  return begin(std::move(record), now);
}

claim_write duty_claim::begin_record(std::vector<recorded_window> windows, std::int64_t last_window,
                                     time_point now) {
  claim_record record = m_known.m_record;
  record.m_windows = std::move(windows);
  record.m_last_window = last_window;
  record.m_windows_unknown = false;
  record.m_give_ups = m_api_reached ? 0 : record.m_give_ups;
  return begin(std::move(record), now);
}

claim_write duty_claim::begin_renewal(time_point now) {
  return begin(m_known.m_record, now);
}

claim_write duty_claim::begin_release(bool api_unreachable, time_point now) {
  claim_record record = m_known.m_record;
  record.m_released = true;
  record.m_give_ups = api_unreachable ? record.m_give_ups + 1 : record.m_give_ups;
  return begin(std::move(record), now);
}

void duty_claim::write_done(std::uint64_t revision, time_point now, std::uint64_t era) {
  const claim_record& written = m_unresolved.back().m_write.m_record;
  if (era != written.m_store_era) {
    // The condition was read in another era and held by chance, or the era is not known.
    observe_era(era);
    write_unknown(now);
    return;
  }
  m_busy = false;
  if (era < m_store_era) {
    m_must_read = true; // the era changed after the write
    return;
  }
  adopt(stored_claim{written, revision}, now);
}

void duty_claim::write_conflicted(std::optional<stored_claim> found, time_point now, std::uint64_t era) {
  m_busy = false;
  observe_era(era);
  const std::uint64_t nonce = m_unresolved.back().m_write.m_record.m_nonce;
  if (found && era == m_known_era && era == m_store_era) {
    // The object may hold this very write, if a connection broke and the request was sent twice.
    m_read_at = now;
    adopt(std::move(found), now);
  } else {
    m_must_read = true;
  }
  std::erase_if(m_unresolved, [&](const sent_write& each) { return each.m_write.m_record.m_nonce == nonce; });
}

void duty_claim::write_failed(time_point now) {
  m_busy = false;
  m_unresolved.pop_back();
  delay_retry(now);
}

void duty_claim::write_unknown(time_point now) {
  m_busy = false;
  m_must_read = true;
  delay_retry(now);
}

// Takes over what the store holds, which decides about writes without an answer too.
void duty_claim::adopt(std::optional<stored_claim> found, time_point now) {
  m_store_failing_since.reset();
  m_retry_delay = {};
  const bool new_era = std::exchange(m_known_era, m_store_era) != m_store_era;
  if (new_era) {
    m_known_since = now;
    if (m_held && (m_in_doubt || m_read_in_doubt)) {
      lose(now); // a successor may have acted, and the store may have lost its claim
    }
  }
  if ((new_era || m_reclaims) && m_held && (!found || found->m_record.m_store_era != m_known_era)) {
    keep_for_reclaim(found);
    return;
  }
  if (!found) {
    lose(now);
    m_known = {};
    return;
  }
  m_highest_token = std::max(m_highest_token, found->m_record.m_token);
  if (new_era || found->m_revision != m_known.m_revision) {
    const auto own = std::find_if(m_unresolved.begin(), m_unresolved.end(), [&](const sent_write& each) {
      return each.m_write.m_record.m_nonce == found->m_record.m_nonce &&
             found->m_record.m_store_era == m_known_era;
    });
    m_known_since = now;
    m_known = std::move(*found);
    if (own == m_unresolved.end()) {
      lose(now);
    } else if (m_known.m_record.m_released) {
      m_lease_from = own->m_sent_at;
      lose(now);
    } else {
      m_api_reached = m_held && m_api_reached;
      m_held = true;
      m_reclaims = false;
      m_lease_from = own->m_sent_at;
      m_vacant_since.reset();
    }
  }
  // A write for another revision can no longer be executed. One from another era can, if its condition holds
  // by chance, but is not recognised as a claim.
  std::erase_if(m_unresolved, [&](const sent_write& each) {
    return each.m_write.m_revision != std::optional(m_known.m_revision) ||
           each.m_write.m_record.m_store_era != m_known_era;
  });
}

// Keeps what this holder knows for a claim over what the store holds in its new era. An own write without an
// answer that the copy contains is newer than what was known.
void duty_claim::keep_for_reclaim(const std::optional<stored_claim>& found) {
  m_known.m_revision = found ? found->m_revision : 0;
  if (found) {
    m_highest_token = std::max(m_highest_token, found->m_record.m_token);
    const auto own = std::find_if(m_unresolved.begin(), m_unresolved.end(), [&](const sent_write& each) {
      return each.m_write.m_record.m_nonce == found->m_record.m_nonce;
    });
    if (own != m_unresolved.end()) {
      m_known.m_record = found->m_record;
    }
  }
  std::erase_if(m_unresolved, [&](const sent_write& each) {
    return each.m_write.m_record.m_store_era != m_known_era ||
           each.m_write.m_revision.value_or(0) != m_known.m_revision;
  });
  m_reclaims = true;
}

void duty_claim::lose(time_point now) {
  m_reclaims = false;
  if (std::exchange(m_held, false)) {
    m_last_held = now;
    m_vacant_since.reset();
  }
}

void duty_claim::delay_retry(time_point now) {
  if (!m_store_failing_since) {
    m_store_failing_since = now;
  }
  m_retry_delay = std::clamp(m_retry_delay * 2, min_retry_delay, max_retry_delay);
  m_retry_at = now + m_retry_delay;
}

void duty_claim::token_rejected() {
  m_rejected_token = m_known.m_record.m_token;
  m_must_read = true;
  m_in_doubt = true;
}

void duty_claim::record_unanswered_call(time_point now) {
  m_late_calls_until = now + max_execution_delay;
}

bool duty_claim::may_act(time_point now) const {
  return m_held && !m_reclaims && !m_must_read && !m_busy && m_rejected_token != m_known.m_record.m_token &&
         !needs_renewal(now);
}

bool duty_claim::needs_renewal(time_point now) const {
  return m_held && !m_options.m_fencing && now >= m_lease_from + m_options.m_lease - lease_margin;
}

bool duty_claim::announces(time_point now) const {
  return m_held && (!m_store_failing_since || now - *m_store_failing_since < store_patience);
}

} // namespace cardamompond::fleet
