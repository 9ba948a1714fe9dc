#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::fleet {

// Work for the platform that one daemon of the group does at a time.
enum class duty { usage_reports, engine_counts };

// Returns the name of the duty's object in the store and in logs, e.g. "usage_reports".
std::string_view to_string(duty which);

// The counts of one window, fixed before they are sent.
struct recorded_window {
  std::int64_t m_window = 0;
  std::map<std::string, std::uint64_t> m_counts; // requests by client account
  friend bool operator==(const recorded_window&, const recorded_window&) = default;
};

// The content of a duty's object in the store.
struct claim_record {
  std::string m_holder;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_token = 0;
  std::uint64_t m_nonce = 0;              // differs in each write
  bool m_released = false;                // the holder gave the duty up and sends nothing any more
  std::uint32_t m_give_ups = 0;           // holders in sequence that gave up because the API was out of reach
  std::int64_t m_last_window = 0;         // the newest window that was recorded; 0: none
  std::vector<recorded_window> m_windows; // recorded and not known to be accepted by the API
  // Era of the store for which the record was written; 0 if the store states none. A record of another era
  // than that of the answer comes from a copy of the store, or was written late.
  std::uint64_t m_store_era = 0;
  // Windows after m_last_window may have been sent by a holder whose records the store lost.
  bool m_windows_unknown = false;
};

struct stored_claim {
  claim_record m_record;
  std::uint64_t m_revision = 0;
};

// A conditional write of the object: a creation, or a replacement of one revision. The condition holds in the
// era that the record names.
struct claim_write {
  claim_record m_record;
  std::optional<std::uint64_t> m_revision; // nothing: create
};

struct claim_options {
  std::string m_self; // name of this daemon
  std::uint64_t m_incarnation = 0;
  bool m_fencing = false; // the API rejects calls with an outdated token
  duration m_lease = seconds(3);
  std::uint64_t m_seed = 0;
};

// What the reports of the group say about a duty.
struct claim_surroundings {
  std::uint64_t m_announced_token = 0; // highest token of a live peer that holds the duty; 0: none
  bool m_known_holder_live = false;    // duty_claim::known_holder() is a live peer
  duration m_turn_delay{};             // time by which this daemon lets others claim first
  std::uint64_t m_store_era = 0;       // the newest era that the store stated to this daemon; 0: none
  std::uint64_t m_era_withdrawals = 0; // number of eras that the store has contradicted since the start
};

enum class claim_step { none, read, take_over, take_new_token };

// Decides when a daemon claims a duty, whether it holds it, and whether it may act. The truth is an object in
// the store that is written only with a condition on its revision. The caller carries out one read or write
// at a time and reports its result. Times are of a clock that counts suspensions, such as CLOCK_BOOTTIME.
//
// Where the API does not check tokens, the holder acts only within a lease that begins with its last write,
// and a successor waits for a whole lease in which the object does not change.
//
// A store that comes back from a copy states a new era. It may lack the latest claims and give revisions out
// again, so nothing that was read in an earlier era is a condition or a reason to act. A holder claims the
// duty again, with the windows that it knows. A claim over an object from an earlier era, or over none, takes
// a token above all that can have been used, since the store may have lost the last ones.
class duty_claim {
public:
  duty_claim(claim_options options, time_point started);

  // Must be called many times a second. After a gap, or after a step of the wall clock, the holder reads the
  // object before it acts, since others may have taken the duty over.
  void observe_clock(time_point now, duration wall_offset);

  // Returns what to do next.
  claim_step next(time_point now, const claim_surroundings& surroundings);

  void begin_read();

  // `era` is the one that the answer states; 0: none. The same holds for the results of writes.
  void read_done(std::optional<stored_claim> found, time_point now, std::uint64_t era = 0);
  void read_failed(time_point now);

  // Each of these begins a write, which the caller must send.
  claim_write begin_take_over(time_point now);
  claim_write begin_take_new_token(time_point now);
  claim_write begin_record(std::vector<recorded_window> windows, std::int64_t last_window, time_point now);
  claim_write begin_renewal(time_point now);
  claim_write begin_release(bool api_unreachable, time_point now);

  void write_done(std::uint64_t revision, time_point now, std::uint64_t era = 0);
  void write_conflicted(std::optional<stored_claim> found, time_point now, std::uint64_t era = 0);
  void write_failed(time_point now);  // certainly not executed
  void write_unknown(time_point now); // without an answer; may be executed later

  // The API rejected the token because it has seen a higher one.
  void token_rejected();

  // A call to the API had no response, so that it may still be executed.
  void record_unanswered_call(time_point now);

  // The API has answered a call of this holder.
  void record_api_answer() { m_api_reached = true; }

  // The duty is not claimed until the time given.
  void avoid_until(time_point until) { m_avoid_until = until; }

  // This daemon stops and claims nothing any more.
  void stop() { m_stopping = true; }

  bool holds() const { return m_held; }

  // Whether calls to the API may be sent now.
  bool may_act(time_point now) const;

  // Whether the lease has run out, so that begin_renewal() is required before the next call.
  bool needs_renewal(time_point now) const;

  // Whether nothing is in flight and the content of the object is certain, so that it can be written.
  bool may_write(time_point now) const {
    return m_held && !m_reclaims && !m_busy && !m_must_read && now >= m_retry_at;
  }

  // Whether peers are told that this daemon holds the duty. A holder that cannot reach the store for a while
  // lets others claim.
  bool announces(time_point now) const;

  // The content of the object as it is known; its token is the one to send.
  const claim_record& record() const { return m_known.m_record; }
  std::string_view known_holder() const { return m_known.m_record.m_holder; }

  // The era of the store in which the object was read; 0: none was stated.
  std::uint64_t store_era() const { return m_known_era; }

  // Whether this daemon held the duty in an earlier era and has not claimed it in this one yet.
  bool reclaims() const { return m_reclaims; }

private:
  struct sent_write {
    claim_write m_write;
    time_point m_sent_at;
  };

  claim_write begin(claim_record record, time_point now);
  void observe_era(std::uint64_t era);
  void observe_withdrawals(const claim_surroundings& surroundings);
  void adopt(std::optional<stored_claim> found, time_point now);
  void keep_for_reclaim(const std::optional<stored_claim>& found);
  bool may_have_lost_claims() const;
  void lose(time_point now);
  time_point claimable_from(const claim_surroundings& surroundings) const;
  void delay_retry(time_point now);

  claim_options m_options;
  time_point m_started;
  std::mt19937_64 m_random;
  stored_claim m_known; // revision 0: no object is known
  time_point m_known_since;
  std::optional<time_point> m_read_at;
  std::vector<sent_write> m_unresolved; // writes whose results are not known; they may still be executed
  bool m_held = false;
  bool m_busy = false;
  bool m_must_read = false;
  bool m_read_was_required = false;
  bool m_in_doubt = false;       // another daemon may have taken the duty over since the last read
  bool m_read_in_doubt = false;  // the same when the read began
  bool m_reclaims = false;       // held in an earlier era, not claimed in this one yet
  bool m_era_changed = false;    // during the life of this process
  std::uint64_t m_store_era = 0; // the newest one that was stated; 0: none
  std::uint64_t m_known_era = 0; // the one in which m_known was read
  std::uint64_t m_era_withdrawals = 0;
  bool m_stopping = false;
  bool m_api_reached = false; // since this daemon claimed the duty
  time_point m_lease_from;    // when the last successful write was sent
  std::optional<time_point> m_last_held;
  std::optional<time_point> m_vacant_since;
  std::uint64_t m_highest_token = 0; // seen anywhere
  std::uint64_t m_rejected_token = 0;
  std::uint64_t m_announced_token = 0; // the last one that a peer announced
  time_point m_retry_at;
  time_point m_avoid_until;
  time_point m_late_calls_until; // until then, unanswered calls may be executed
  std::optional<time_point> m_store_failing_since;
  duration m_retry_delay{};
  std::optional<time_point> m_observed_at;
  duration m_wall_offset{};
};

} // namespace cardamompond::fleet
