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
  std::uint32_t m_rank = 0;   // rank of its tier
  std::uint32_t m_daemon = 0; // index of the daemon that received it
  std::uint32_t m_output_tokens = 0;
  enum class progress { waiting, permitted, dispatched, over } m_progress = progress::waiting;
  std::size_t m_engine = 0; // index of the engine to which it was granted
  std::uint32_t m_boot = 0; // boot number of the engine at dispatch
  time_point m_dispatched;
  std::uint32_t m_cached_tokens = 0; // prompt tokens that were in the engine's cache
  duration m_first_token{0};         // measured from dispatch; zero if the engine has not started the request
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
  std::size_t cached_blocks(const std::vector<std::uint64_t>& blocks) const;
  bool holds(std::uint64_t block) const { return m_cache.contains(block); }
  // Adds the blocks to the cache, marks them as recently used and evicts others when the cache is full.
  void fill_cache(const std::vector<std::uint64_t>& blocks);

  // Returns the time to the first token and the total time of a request that starts now. `slowness` is a
  // factor of both times.
  std::pair<duration, duration> durations(const simulated_request& request, double slowness) const;

  // Starts the engine again, cold and with an empty cache.
  void restart();
  // To be called after a request was added to the running or waiting ones. Updates the two maxima below.
  void note_accepted();
  // Counts a success towards the doubling of the concurrency limit, unless the engine restarted since `boot`.
  void note_succeeded(std::uint32_t boot);

  scheduler::backend_server_configuration m_declared;
  double m_speed = 1;
  bool m_up = true;
  std::uint32_t m_boot = 1;                           // incremented by each restart
  std::uint32_t m_running = 0;                        // number of requests that occupy a slot
  std::deque<request_key> m_line;                     // requests that wait for a slot
  std::vector<scheduler::cache_event> m_cache_events; // not yet sent to the scheduler
  std::uint32_t m_worst_excess = 0; // maximum number of requests above the concurrency limit of a cold engine
  std::uint32_t m_cold_peak = 0;    // maximum number of requests while the limit was the cold limit

private:
  std::uint32_t outstanding() const { return m_running + static_cast<std::uint32_t>(m_line.size()); }

  std::list<std::uint64_t> m_order; // least recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
  std::uint64_t m_next_event = 1; // sequence number of the next cache event
  std::uint32_t m_bound = 1;      // concurrency limit; it grows from the cold limit to the number of slots
  std::uint32_t m_successes = 0;  // since the limit last changed
};

} // namespace cardamompond::benchmark
