#pragma once

#include "cardamompond/scheduler/configuration.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamompond::benchmark {

constexpr std::uint32_t block_tokens = 64; // tokens in a block of the prefix cache

// A request in the simulated cell.
struct simulated_request {
  scheduler::submit_event m_submitted;
  std::uint32_t m_tier_rank = 0;
  std::uint32_t m_daemon_index = 0; // the daemon that received the request
  std::uint32_t m_output_tokens = 0;
  enum class progress { waiting, granted, dispatched, finished } m_progress = progress::waiting;
  std::size_t m_engine_index = 0;  // the engine for which the request has a permit
  std::uint32_t m_boot_number = 0; // that of the engine at dispatch
  time_point m_dispatched_at;
  std::uint32_t m_cached_tokens = 0; // prompt tokens that were in the engine's cache
  duration m_time_to_first_token{0}; // measured from dispatch; zero if the engine has not started the request
};

// Simulates a model engine in virtual time. It has slots, a queue, a prefix cache with least-recently-used
// eviction, and a speed that falls as more slots are in use. After its start the engine is cold: its
// concurrency limit is the declared cold limit and doubles each time as many requests have succeeded, until
// it reaches the number of slots. While the engine has more requests than this limit, it slows down in
// proportion.
class simulated_engine {
public:
  simulated_engine(scheduler::backend_server_configuration declared, double speed);

  // Returns the number of blocks at the beginning of the prompt that are in the cache.
  std::size_t count_cached_blocks(const std::vector<std::uint64_t>& blocks) const;
  bool is_cached(std::uint64_t block) const { return m_cache.contains(block); }
  // Adds the blocks to the cache, marks them as recently used and evicts others when the cache is full.
  void add_to_cache(const std::vector<std::uint64_t>& blocks);

  // Returns the time to the first token and the total time of a request that starts now, both multiplied by
  // `slowdown_factor`.
  std::pair<duration, duration> compute_durations(const simulated_request& request,
                                                  double slowdown_factor) const;

  // Starts the engine again, cold and with an empty cache.
  void restart();
  // To be called after a request was added to the running or waiting ones. Updates the two maxima below.
  void record_accepted_request();
  // Counts a success towards the doubling of the concurrency limit, unless the engine has restarted since the
  // request was dispatched with this boot number.
  void record_success(std::uint32_t boot_number);

  scheduler::backend_server_configuration m_declared;
  double m_speed = 1;
  bool m_up = true;
  std::uint32_t m_boot_number = 1;                    // incremented by each restart
  std::uint32_t m_running_count = 0;                  // number of requests that occupy a slot
  std::deque<request_key> m_queue;                    // requests that wait for a slot
  std::vector<scheduler::cache_event> m_cache_events; // not yet sent to the scheduler
  // Maximum number of requests above the concurrency limit while the engine was cold.
  std::uint32_t m_max_cold_excess = 0;
  std::uint32_t m_max_cold_requests = 0; // maximum number of requests while the limit was the cold limit

private:
  std::uint32_t outstanding() const { return m_running_count + static_cast<std::uint32_t>(m_queue.size()); }

  std::list<std::uint64_t> m_lru_blocks; // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
  std::uint64_t m_next_cache_sequence = 1; // sequence number of the next cache event
  std::uint32_t m_limit = 1; // concurrency limit; it grows from the cold limit to the number of slots
  std::uint32_t m_successes_at_limit = 0; // since the limit last changed
};

} // namespace cardamompond::benchmark
