#include "simulated_engine.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::benchmark {

namespace {

constexpr std::size_t cache_capacity_blocks = 4000;
constexpr double prefill_us_per_token = 300;
constexpr double decode_us_per_token = 15'000;
// The times grow linearly with the number of slots in use, by this fraction when all of them are.
constexpr double slowdown_when_full = 0.5;
constexpr double base_time_to_first_token_us = 20'000;

} // namespace

simulated_engine::simulated_engine(scheduler::backend_server_configuration declared, double speed)
    : m_declared(std::move(declared))
    , m_speed(speed)
    , m_limit(m_declared.m_cold_limit) {}

std::size_t simulated_engine::count_cached_blocks(const std::vector<std::uint64_t>& blocks) const {
  return static_cast<std::size_t>(std::find_if_not(blocks.begin(), blocks.end(),
                                                   [this](std::uint64_t block) { return is_cached(block); }) -
                                  blocks.begin());
}

void simulated_engine::add_to_cache(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    if (const auto found = m_cache.find(block); found != m_cache.end()) {
      m_lru_blocks.splice(m_lru_blocks.end(), m_lru_blocks, found->second);
      continue;
    }
    m_cache[block] = m_lru_blocks.insert(m_lru_blocks.end(), block);
    m_cache_events.push_back({m_declared.m_name, m_next_cache_sequence++, true, block});
  }
  while (m_lru_blocks.size() > cache_capacity_blocks) {
    m_cache_events.push_back({m_declared.m_name, m_next_cache_sequence++, false, m_lru_blocks.front()});
    m_cache.erase(m_lru_blocks.front());
    m_lru_blocks.pop_front();
  }
}

std::pair<duration, duration> simulated_engine::compute_durations(const simulated_request& request,
                                                                  double slowdown_factor) const {
  const double slot_usage = static_cast<double>(m_running_count) / m_declared.m_slots;
  const double overload_factor =
      m_limit < m_declared.m_slots ? std::max(1.0, 1.0 * outstanding() / m_limit) : 1.0;
  const double time_factor =
      slowdown_factor * overload_factor * (1 + slowdown_when_full * slot_usage) / m_speed;
  const std::uint32_t uncached_tokens = request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
  const double first_token_us =
      (base_time_to_first_token_us + prefill_us_per_token * uncached_tokens) * time_factor;
  const double decode_us = decode_us_per_token * request.m_output_tokens * time_factor;
  return {duration(static_cast<std::int64_t>(first_token_us)),
          duration(static_cast<std::int64_t>(first_token_us + decode_us))};
}

void simulated_engine::restart() {
  m_up = true;
  ++m_boot_number;
  m_running_count = 0;
  m_queue.clear();
  m_lru_blocks.clear();
  m_cache.clear();
  m_cache_events.clear();
  m_next_cache_sequence = 1;
  m_limit = m_declared.m_cold_limit;
  m_successes_at_limit = 0;
}

void simulated_engine::record_accepted_request() {
  if (m_limit < m_declared.m_slots && outstanding() > m_limit) {
    m_max_cold_excess = std::max(m_max_cold_excess, outstanding() - m_limit);
  }
  if (m_limit == m_declared.m_cold_limit) {
    m_max_cold_requests = std::max(m_max_cold_requests, outstanding());
  }
}

void simulated_engine::record_success(std::uint32_t boot_number) {
  if (boot_number == m_boot_number && m_limit < m_declared.m_slots && ++m_successes_at_limit >= m_limit) {
    m_successes_at_limit = 0;
    m_limit = std::min(m_limit * 2, m_declared.m_slots);
  }
}

} // namespace cardamompond::benchmark
