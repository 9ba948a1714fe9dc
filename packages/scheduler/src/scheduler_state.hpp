#pragma once

#include "cardamompond/core/fault_signals.hpp"
#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/request_key.hpp"
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

// Index of an entity in its table.
using row_index = std::uint32_t;
inline constexpr row_index no_row = ~row_index{0};

// Transparent hash, so that maps with string keys can be searched by std::string_view.
struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};
using name_index = std::unordered_map<std::string, row_index, string_hash, std::equal_to<>>;

struct hash128_hash {
  std::size_t operator()(const hash128& value) const noexcept { return value.m_low ^ value.m_high; }
};

// Exponentially weighted moving average. It starts as the arithmetic mean of the first samples.
struct moving_average {
  double m_value = 0;
  std::uint32_t m_samples = 0;
  void add(double sample);
  double value_or(double fallback) const { return m_samples == 0 ? fallback : m_value; }
};

// Ratio of two exponentially decaying sums, e.g. time per token. Long requests weigh more than short ones.
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
  double m_estimated_output_tokens = 0;
  double m_cost_tokens = 0; // estimated prompt and output tokens
  double m_work_us = 0;     // estimated time for which the request occupies a slot
  bool m_long = false;
  bool m_isolated = false; // waits in tier_queue::m_isolated_requests instead of the round robin
  time_point m_isolated_since;
  // When the request was first deferred for a backend server that caches its prefix.
  time_point m_deferred_since = time_point::max();
  std::uint64_t m_deferred_in_tick = 0;
  request_state m_state = request_state::waiting;
  row_index m_server = no_row;
  row_index m_version = no_row;
  std::uint32_t m_cold_epoch = 0; // server_row::m_cold_epoch at the time of the grant
  bool m_cold_at_grant = false;
  bool m_suspect = false; // granted while its content was suspected of crashing backend servers
  time_point m_granted;
  // When the slot is released if the member that dispatched the request was lost.
  time_point m_release_at = time_point::max();
};

// Requests of a client account are ordered by deadline, then by arrival.
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

// Position of a client account in the deficit round robin. m_round is the round in which the deficit of the
// account covers its next request.
struct round_robin_position {
  std::uint64_t m_round = 0;
  std::uint64_t m_sequence = 0; // orders the accounts within a round
  row_index m_account = no_row;
  friend bool operator<(const round_robin_position& a, const round_robin_position& b) {
    return std::tie(a.m_round, a.m_sequence, a.m_account) < std::tie(b.m_round, b.m_sequence, b.m_account);
  }
};

struct account_queue {
  deadline_queue m_short_requests;
  deadline_queue m_long_requests;
  double m_share = 1;
  double m_deficit = 0; // in tokens, as of m_deficit_round
  std::uint64_t m_deficit_round = 0;
  double m_work_us = 0;
  round_robin_position m_position;
};

// Waiting requests of one tier of one service.
struct tier_queue {
  deadline_queue m_by_deadline; // all waiting requests of the tier
  // Requests whose content is under suspicion; they do not take part in the round robin.
  deadline_queue m_isolated_requests;
  std::unordered_map<row_index, account_queue> m_accounts;
  std::set<round_robin_position> m_round_robin;
  std::uint64_t m_round = 0;
  std::uint64_t m_next_sequence = 1;
  std::size_t m_short_waiting = 0; // number of short requests in the round robin
  bool m_has_shed = false;         // true once a request of the tier was shed for lack of capacity
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
  std::uint32_t m_outstanding = 0; // waiting and dispatched requests
};

// Outcomes of recent requests of one version, on one route or on all routes.
struct outcome_window {
  static constexpr std::size_t size = 500;
  std::deque<bool> m_failed; // one entry per request, oldest first
  std::uint32_t m_failures = 0;
  void add(bool failed);
};

// Durations per token of a version that is compared with an older version. Each is paired with the latest
// duration of the older version.
struct speed_comparison {
  static constexpr std::size_t size = 64;
  std::deque<std::pair<double, double>> m_pairs; // (new, old), microseconds per token
};

struct route_outcomes {
  outcome_window m_outcomes;
  speed_comparison m_speed;
  double m_latest_us_per_token = 0; // 0: no sample yet
};

struct version_row {
  std::string m_name;
  row_index m_service = no_row;
  std::uint64_t m_attempt = 1;
  time_point m_attempt_since;
  std::uint32_t m_open_breakers = 0;     // open circuit breakers of the current attempt
  std::vector<row_index> m_servers;      // declared backend servers
  std::vector<row_index> m_free_servers; // backend servers that can accept a request now
  std::uint32_t m_in_service_count = 0;  // number of backend servers in service
  std::uint64_t m_total_limit = 0;       // sum of the current limits of those in service
  route_outcomes m_all_routes;
  std::unordered_map<row_index, route_outcomes> m_routes;
};

struct rollout_row {
  rollout_configuration m_configuration;
  row_index m_target_version = no_row;
  row_index m_source_version = no_row;
  std::uint64_t m_attempt = 0;
  rollout_state m_state = rollout_state::none;
  std::size_t m_step = 0;             // index in rollout_configuration::m_steps_percent
  std::uint32_t m_step_successes = 0; // successes since the later of the step's start and the last failure
  time_point m_step_started;
  double m_grant_credit = 0; // fraction of a grant that is due to the target version; at most 1
  std::string m_reason;
};

struct service_row {
  std::string m_name;
  bool m_declared = false;
  row_index m_active_version = no_row; // no_row: requests may go to every version
  // The active version before m_active_version; it takes over when that one is faulty.
  row_index m_previous_version = no_row;
  rollout_row m_rollout;
  std::uint32_t m_queue_limit = 1000;
  std::uint32_t m_long_request_tokens = 2000;
  double m_long_share = 0.5;
  std::vector<row_index> m_versions;
  std::vector<tier_queue> m_tiers; // indexed by rank
  std::size_t m_waiting = 0;
  moving_average m_output_ratio; // ratio of actual to maximum output tokens
  moving_average m_output_tokens;
  moving_ratio m_prefill_us_per_token;
  moving_ratio m_decode_us_per_token;
  // Maps each prompt block to the backend servers that probably cache it, the most recent one last.
  std::unordered_map<std::uint64_t, std::vector<row_index>> m_block_holders;
};

// Prompt blocks that a backend server probably caches. They are kept in least-recently-used order, like the
// server's own cache.
struct cached_blocks {
  std::list<std::uint64_t> m_lru_order; // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
  std::uint64_t m_last_event_sequence = 0; // sequence number of the latest cache event; 0: no event yet
  // Consecutive cache events whose sequence number was not higher than the last.
  std::uint32_t m_stale_events = 0;
};

// A dispatch whose connection broke. It is kept until load reports show whether the backend server restarted.
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
  std::uint32_t m_slots = 0;      // declared value, clamped to its bounds
  std::uint32_t m_cold_limit = 1; // declared value, clamped to its bounds
  bool m_declared_in_service = false;
  bool m_host_leaving = false;
  bool m_reported_leaving = false;
  std::uint32_t m_failed_polls = 0;    // consecutive
  bool m_refusing_connections = false; // true after a refused connection, until the next load report or retry
  time_point m_refused_at;
  time_point m_retry_at; // when a backend server that refuses connections is tried again
  bool m_was_in_service = false;

  std::uint32_t m_limit = 0; // concurrency limit; it grows from m_cold_limit to m_slots after a cold start
  std::uint32_t m_ramp_successes = 0; // successes counted towards the next doubling of the limit
  std::uint32_t m_cold_epoch = 0;     // number of cold starts so far
  bool m_reported_cold = false;
  std::uint32_t m_slow_first_tokens = 0; // consecutive
  time_point m_cold_since;
  // True after a broken connection, until a load report shows whether the backend server restarted. The limit
  // is reduced until then.
  bool m_restart_possible = false;
  std::uint32_t m_restart_possible_limit = 0;
  time_point m_restart_possible_since;

  std::uint32_t m_outstanding = 0;
  std::uint32_t m_long_outstanding = 0;
  std::uint32_t m_suspects_outstanding = 0;
  // True while no new requests are placed here because a request under suspicion is to run alone on the
  // backend server.
  bool m_reserved_for_suspect = false;
  bool m_reservation_renewed = false;     // since the last release_reservations()
  std::uint32_t m_free_position = no_row; // position in version_row::m_free_servers
  bool m_counted_in_service = false;      // whether version_row::m_in_service_count includes this server
  std::uint32_t m_counted_limit = 0;      // contribution to version_row::m_total_limit

  std::string m_boot_id;
  std::vector<std::string> m_past_boot_ids;
  time_point m_last_report_measured;
  std::uint32_t m_reported_slots = 0; // 0: not reported
  double m_reported_tokens_per_s = 0;
  std::uint32_t m_reported_running = 0;
  std::uint32_t m_reported_waiting = 0;

  moving_average m_time_to_first_token_us;
  moving_average m_total_time_us;
  // Number of requests deferred for this backend server in the tick below.
  std::uint32_t m_deferred_requests = 0;
  std::uint64_t m_deferred_requests_tick = 0;
  moving_ratio m_prefill_us_per_token;
  moving_ratio m_decode_us_per_token;
  cached_blocks m_cached_blocks;
  std::vector<broken_dispatch> m_broken_dispatches;
  time_point m_last_broken_connection;
  time_point m_last_restart;
};

// A broken connection that may have been caused by a crash of the backend server.
struct unconfirmed_crash {
  std::string m_server;
  time_point m_broken_at;
};

struct crash_row {
  std::vector<std::string> m_crashed_servers; // backend servers that restarted while they ran the content
  std::vector<unconfirmed_crash> m_unconfirmed;
  // Backend servers listed as crashed before the content last completed. Peers may still send records with
  // these servers.
  std::vector<std::string> m_cleared_servers;
  time_point m_cleared_at;
  bool m_quarantined = false;
  time_point m_expires;
  std::uint32_t m_outstanding = 0; // dispatches of this content that are running as suspects
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

// The complete state of a scheduler, in one table per kind of entity. The functions in systems/ operate on
// this structure and hold no state of their own.
struct scheduler_state {
  time_point m_now;
  std::uint64_t m_tick = 0;
  std::uint64_t m_revision = 0;
  bool m_configured = false;

  std::vector<tier_row> m_tiers; // indexed by rank
  std::vector<account_row> m_accounts;
  name_index m_account_names;
  std::vector<service_row> m_services;
  name_index m_service_names;
  std::vector<version_row> m_versions;
  // Keys are service row and version name.
  std::map<std::pair<row_index, std::string>, row_index> m_version_names;
  std::vector<server_row> m_servers;
  name_index m_server_names;
  std::vector<row_index> m_unused_server_rows;
  std::set<row_index> m_servers_with_timeouts; // backend servers that expire_health_timeouts() has to check
  std::vector<std::string> m_routes;
  name_index m_route_names;

  // References to rows remain valid across insertions.
  std::unordered_map<request_key, request_row> m_requests;
  std::size_t m_waiting = 0;
  std::unordered_set<request_key> m_finished; // keys of finished requests, which must not be granted again
  std::deque<std::pair<time_point, request_key>> m_finished_order;
  // Dispatches of lost members, by the time at which their slots are released.
  std::map<time_point, std::vector<request_key>> m_orphans;
  // Ordered by time. See release_unanswered_grants().
  std::deque<std::pair<time_point, request_key>> m_grants_by_time;

  std::map<breaker_key, breaker_row> m_breakers;
  std::unordered_map<hash128, crash_row, hash128_hash> m_crashes;
  bool m_crashes_changed = false;
  std::set<row_index> m_reserved_servers; // backend servers with m_reserved_for_suspect set
  std::uint64_t m_fault_signals_version = 0;

  std::mt19937_64 m_random;
  std::vector<decision> m_decisions;
  std::map<std::string, std::uint64_t, std::less<>> m_rejected_inputs;
};

// Counts one rejected input for the metrics.
void count_rejected(scheduler_state& state, std::string_view reason);

row_index find_row(const name_index& index, std::string_view name);

// Removes the request and remembers its key, so that a late duplicate is not granted.
void finish_request(scheduler_state& state, request_key key);

// Refuses a request that was not dispatched. The caller must have removed it from its queue.
void refuse_request(scheduler_state& state, request_key key, error_code code, std::string_view message);

} // namespace cardamompond::scheduler
