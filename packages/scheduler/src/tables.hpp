#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/request_key.hpp"
#include "cardamompond/core/signals.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/scheduler/configuration.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"
#include "cardamompond/scheduler/scheduler.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cardamompond::scheduler {

// Position of an entity in its table.
using row_index = std::uint32_t;
inline constexpr row_index no_row = ~row_index{0};

// Hash that lets string-keyed maps be searched by std::string_view.
struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};
using name_index = std::unordered_map<std::string, row_index, string_hash, std::equal_to<>>;

struct hash128_hash {
  std::size_t operator()(const hash128& value) const noexcept { return value.m_low ^ value.m_high; }
};

// Exponentially weighted moving average that starts as a plain mean of the first samples.
struct moving_average {
  double m_value = 0;
  std::uint32_t m_samples = 0;
  void add(double sample);
  double value_or(double fallback) const { return m_samples == 0 ? fallback : m_value; }
};

// Ratio of two decaying sums, e.g. time per token: long requests weigh more than short ones.
struct moving_ratio {
  double m_numerator = 0;
  double m_denominator = 0;
  void add(double numerator, double denominator);
  double value_or(double fallback) const {
    return m_denominator > 0 ? m_numerator / m_denominator : fallback;
  }
};

enum class request_state { waiting, granted, started };

struct request_row {
  request_key m_key;
  row_index m_service = no_row;
  row_index m_account = no_row;
  row_index m_route = no_row;
  std::uint32_t m_rank = 0;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;
  std::vector<std::uint64_t> m_prefix_blocks;
  hash128 m_fingerprint;
  time_point m_arrived;
  time_point m_deadline;
  double m_estimated_output_tokens = 0; // tokens
  double m_cost_tokens = 0;             // estimated tokens, prompt and output
  double m_work_us = 0;                 // estimated time in a slot
  bool m_long = false;
  bool m_isolated = false; // waits among the suspects of its tier
  time_point m_isolated_since;
  time_point m_deferred_since = time_point::max(); // when it first waited for the holder of its prompt
  std::uint64_t m_deferred_in_tick = 0;
  request_state m_state = request_state::waiting;
  row_index m_server = no_row;
  row_index m_version = no_row;
  std::uint32_t m_cold_epoch = 0; // of the backend server at the time of the grant
  bool m_cold_at_grant = false;
  bool m_suspect = false; // granted as a suspect
  time_point m_granted;
  time_point m_release_at = time_point::max(); // when the slot of a lost member's request is freed
};

// Order within an account: earliest deadline first, then by arrival.
struct queue_entry {
  time_point m_deadline;
  time_point m_arrived;
  request_key m_key;
  request_row* m_request = nullptr;
  friend bool operator<(const queue_entry& a, const queue_entry& b) {
    return std::tie(a.m_deadline, a.m_arrived, a.m_key.m_daemon, a.m_key.m_sequence) <
           std::tie(b.m_deadline, b.m_arrived, b.m_key.m_daemon, b.m_key.m_sequence);
  }
};
using deadline_queue = std::set<queue_entry>;

// The place of an account in the deficit round robin: the round in which its deficit covers its next request.
struct round_robin_position {
  std::uint64_t m_round = 0;
  std::uint64_t m_sequence = 0;
  row_index m_account = no_row;
  friend bool operator<(const round_robin_position& a, const round_robin_position& b) {
    return std::tie(a.m_round, a.m_sequence, a.m_account) < std::tie(b.m_round, b.m_sequence, b.m_account);
  }
};

struct account_queue {
  deadline_queue m_short_requests;
  deadline_queue m_long_requests;
  double m_share = 1;
  double m_deficit = 0; // tokens, as of m_base_round
  std::uint64_t m_deficit_round = 0;
  double m_work_us = 0;
  round_robin_position m_position;
};

// The waiting requests of one tier of one service.
struct tier_queue {
  deadline_queue m_by_deadline;       // all of them
  deadline_queue m_isolated_requests; // those outside the round robin
  std::unordered_map<row_index, account_queue> m_accounts;
  std::set<round_robin_position> m_round_robin;
  std::uint64_t m_round = 0;
  std::uint64_t m_next_sequence = 1;
  std::size_t m_short_waiting = 0;
  bool m_has_shed = false; // a request of the tier was shed for lack of capacity
  double m_work_us = 0;
  double m_total_share = 0; // sum of the shares of m_accounts
};

struct tier_row {
  std::string m_name;
  double m_queue_share = 1.0;
};

struct account_row {
  std::string m_name;
  bool m_declared = false;
  std::uint32_t m_rank = 0;
  double m_share = 1.0;
  std::uint32_t m_max_outstanding = 0;
  std::uint32_t m_outstanding = 0; // waiting and dispatched
};

// Outcomes of one version, on one route or on all.
struct outcome_window {
  static constexpr std::size_t size = 500;
  std::deque<bool> m_failed; // the most recent outcomes, oldest first
  std::uint32_t m_failures = 0;
  void add(bool failed);
};

// Durations per token of the new version, each paired with the most recent one of the old version.
struct speed_comparison {
  static constexpr std::size_t size = 64;
  std::deque<std::pair<double, double>> m_pairs; // (new, old), microseconds per token
};

struct route_outcomes {
  outcome_window m_outcomes;
  speed_comparison m_speed;
  double m_latest_us_per_token = 0; // 0: none yet
};

struct version_row {
  std::string m_name;
  row_index m_service = no_row;
  std::uint64_t m_attempt = 1;
  time_point m_attempt_since;
  std::uint32_t m_open_breakers = 0;     // of this attempt
  std::vector<row_index> m_servers;      // declared
  std::vector<row_index> m_free_servers; // those that can take a request now
  std::uint32_t m_in_service_count = 0;  // backend servers
  std::uint64_t m_total_limit = 0;       // sum of their limits
  route_outcomes m_all_routes;
  std::unordered_map<row_index, route_outcomes> m_routes;
};

struct rollout_row {
  rollout_configuration m_configuration;
  row_index m_target_version = no_row;
  row_index m_source_version = no_row;
  std::uint64_t m_attempt = 0;
  rollout_state m_state = rollout_state::none;
  std::size_t m_step = 0;
  std::uint32_t m_step_successes = 0; // successes since the step began or the last failure
  time_point m_step_started;
  double m_grant_credit = 0; // grants that the new version is due
  std::string m_reason;
};

struct service_row {
  std::string m_name;
  bool m_declared = false;
  row_index m_active_version = no_row;   // no_row: every version
  row_index m_previous_version = no_row; // the active version before; takes over when m_active is faulty
  rollout_row m_rollout;
  std::uint32_t m_queue_limit = 1000;
  std::uint32_t m_long_request_tokens = 2000;
  double m_long_share = 0.5;
  std::vector<row_index> m_versions;
  std::vector<tier_queue> m_tiers; // by rank
  std::size_t m_waiting = 0;
  moving_average m_output_ratio; // actual to maximum output tokens
  moving_average m_output_tokens;
  moving_ratio m_prefill_us_per_token; // per uncached prompt token
  moving_ratio m_decode_us_per_token;  // per output token
  // Which backend servers probably hold a prompt block, the most recent ones last.
  std::unordered_map<std::uint64_t, std::vector<row_index>> m_block_holders;
};

// Prompt blocks that a backend server probably holds, in the order of their last use, as in its own cache.
struct cached_blocks {
  std::list<std::uint64_t> m_lru_order; // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::uint64_t m_last_event_sequence = 0; // of the latest cache event; 0: none yet
  std::uint32_t m_stale_events = 0;        // cache events in a row that were not newer
};

// A connection that broke, until the backend server is seen to restart or not.
struct broken_dispatch {
  hash128 m_fingerprint;
  time_point m_broken_at;
};

struct server_row {
  std::string m_name;
  std::string m_address;
  std::string m_zone;
  bool m_declared = false;
  row_index m_service = no_row;
  row_index m_version = no_row;
  std::uint32_t m_slots = 0;      // declared, within bounds
  std::uint32_t m_cold_limit = 1; // declared, within bounds
  bool m_declared_in_service = false;
  bool m_host_leaving = false;
  bool m_reported_leaving = false;
  std::uint32_t m_failed_polls = 0;    // in a row
  bool m_refusing_connections = false; // refused a connection and has not reported since
  time_point m_refused_at;
  time_point m_retry_at; // when a refusing one is tried again
  bool m_was_in_service = false;

  std::uint32_t m_limit = 0;
  std::uint32_t m_ramp_successes = 0;
  std::uint32_t m_cold_epoch = 0; // counts cold starts
  bool m_reported_cold = false;
  std::uint32_t m_slow_first_tokens = 0; // in a row
  time_point m_cold_since;
  bool m_restart_possible = false; // may have restarted; no growth before a report tells
  std::uint32_t m_restart_possible_limit = 0;
  time_point m_restart_possible_since;

  std::uint32_t m_outstanding = 0;
  std::uint32_t m_long_outstanding = 0;
  std::uint32_t m_suspects_outstanding = 0;
  bool m_reserved_for_suspect = false; // gets nothing new until it is empty for a suspect
  bool m_reservation_renewed = false;
  std::uint32_t m_free_position = no_row; // in version_row::m_free
  bool m_counted_in_service = false;
  std::uint32_t m_counted_limit = 0;

  std::string m_boot_id;
  std::vector<std::string> m_past_boot_ids;
  time_point m_last_report_measured;
  std::uint32_t m_reported_slots = 0; // 0: none
  double m_reported_tokens_per_s = 0;
  std::uint32_t m_reported_running = 0;
  std::uint32_t m_reported_waiting = 0;

  moving_average m_time_to_first_token_us;
  moving_average m_total_time_us;
  std::uint32_t m_deferred_requests = 0; // requests deferred for it in m_awaited_tick
  std::uint64_t m_deferred_requests_tick = 0;
  moving_ratio m_prefill_us_per_token;
  moving_ratio m_decode_us_per_token;
  cached_blocks m_cached_blocks;
  std::vector<broken_dispatch> m_broken_dispatches;
  time_point m_last_broken_connection;
  time_point m_last_restart;
};

// A broken connection that may have been a crash.
struct unconfirmed_crash {
  std::string m_server;
  time_point m_broken_at;
};

struct crash_row {
  std::vector<std::string> m_crashed_servers; // those that restarted under it
  std::vector<unconfirmed_crash> m_unconfirmed;
  // Evidence from before the content last completed; peers may still bring it.
  std::vector<std::string> m_cleared_servers;
  time_point m_cleared_at;
  bool m_quarantined = false;
  time_point m_expires;
  std::uint32_t m_outstanding = 0; // dispatches that run as this suspect
};

struct breaker_key {
  std::string m_service;
  std::string m_version;
  std::string m_route;
  friend bool operator<(const breaker_key& a, const breaker_key& b) {
    return std::tie(a.m_service, a.m_version, a.m_route) < std::tie(b.m_service, b.m_version, b.m_route);
  }
};

struct breaker_row {
  std::uint64_t m_attempt = 0;
  std::string m_reason;
};

// All tables. The systems are functions over this struct; nothing else holds state.
struct scheduler_state {
  time_point m_now;
  std::uint64_t m_tick = 0;
  std::uint64_t m_revision = 0;
  bool m_configured = false;

  std::vector<tier_row> m_tiers; // by rank
  std::vector<account_row> m_accounts;
  name_index m_account_names;
  std::vector<service_row> m_services;
  name_index m_service_names;
  std::vector<version_row> m_versions;
  std::map<std::pair<row_index, std::string>, row_index> m_version_names; // by service
  std::vector<server_row> m_servers;
  name_index m_server_names;
  std::vector<row_index> m_unused_server_rows;
  std::set<row_index> m_servers_with_timeouts; // those with a pending time limit
  std::vector<std::string> m_routes;
  name_index m_route_names;

  std::unordered_map<request_key, request_row> m_requests; // references stay valid
  std::size_t m_waiting = 0;
  std::unordered_set<request_key> m_finished; // keys that must not be granted (again)
  std::deque<std::pair<time_point, request_key>> m_finished_order;
  std::map<time_point, std::vector<request_key>> m_orphans; // of lost members, by the time of their release
  std::deque<std::pair<time_point, request_key>>
      m_grants_by_time; // by time; those not answered are taken back

  std::map<breaker_key, breaker_row> m_breakers;
  std::unordered_map<hash128, crash_row, hash128_hash> m_crashes;
  bool m_crashes_changed = false;
  std::set<row_index> m_reserved_servers; // backend servers
  std::uint64_t m_signals_version = 0;

  std::mt19937_64 m_random;
  std::vector<decision> m_decisions;
  std::map<std::string, std::uint64_t, std::less<>> m_rejected_inputs;
};

// Counts one rejected input.
void count_rejected(scheduler_state& state, std::string_view reason);

row_index find_row(const name_index& index, std::string_view name);

// Removes the request from the table and remembers its key, so that a late duplicate is not run.
void finish_request(scheduler_state& state, request_key key);

// Ends a request that was not dispatched with a refusal. It must not be in a queue any more.
void refuse_request(scheduler_state& state, request_key key, error_code code, std::string_view message);

} // namespace cardamompond::scheduler
