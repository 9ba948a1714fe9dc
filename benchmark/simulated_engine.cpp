#include "simulated_engine.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::benchmark {

namespace {

constexpr std::size_t cache_blocks = 4000;
constexpr double prefill_us_per_token = 300;
constexpr double decode_us_per_token = 15'000;
// The times grow linearly with the number of slots in use, by this fraction when all of them are.
constexpr double slowdown_when_full = 0.5;
constexpr double base_first_token_us = 20'000;

} // namespace

simulated_engine::simulated_engine(scheduler::backend_server_configuration declared, double speed)
    : m_declared(std::move(declared))
    , m_speed(speed)
    , m_bound(m_declared.m_cold_limit) {}

std::size_t simulated_engine::cached_blocks(const std::vector<std::uint64_t>& blocks) const {
  return static_cast<std::size_t>(
      std::find_if_not(blocks.begin(), blocks.end(), [this](std::uint64_t block) { return holds(block); }) -
      blocks.begin());
}

void simulated_engine::fill_cache(const std::vector<std::uint64_t>& blocks) {
  for (const std::uint64_t block : blocks) {
    if (const auto found = m_cache.find(block); found != m_cache.end()) {
      m_order.splice(m_order.end(), m_order, found->second);
      continue;
    }
    m_cache[block] = m_order.insert(m_order.end(), block);
    m_cache_events.push_back({m_declared.m_name, m_next_event++, true, block});
  }
  while (m_order.size() > cache_blocks) {
    m_cache_events.push_back({m_declared.m_name, m_next_event++, false, m_order.front()});
    m_cache.erase(m_order.front());
    m_order.pop_front();
  }
}

std::pair<duration, duration> simulated_engine::durations(const simulated_request& request,
                                                          double slowness) const {
  const double load = static_cast<double>(m_running) / m_declared.m_slots;
  const double overload = m_bound < m_declared.m_slots ? std::max(1.0, 1.0 * outstanding() / m_bound) : 1.0;
  const double factor = slowness * overload * (1 + slowdown_when_full * load) / m_speed;
  const std::uint32_t uncached = request.m_submitted.m_prompt_tokens - request.m_cached_tokens;
  const double first_us = (base_first_token_us + prefill_us_per_token * uncached) * factor;
  const double rest_us = decode_us_per_token * request.m_output_tokens * factor;
  return {duration(static_cast<std::int64_t>(first_us)),
          duration(static_cast<std::int64_t>(first_us + rest_us))};
}

void simulated_engine::restart() {
  m_up = true;
  ++m_boot;
  m_running = 0;
  m_line.clear();
  m_order.clear();
  m_cache.clear();
  m_cache_events.clear();
  m_next_event = 1;
  m_bound = m_declared.m_cold_limit;
  m_successes = 0;
}

void simulated_engine::note_accepted() {
  if (m_bound < m_declared.m_slots && outstanding() > m_bound) {
    m_worst_excess = std::max(m_worst_excess, outstanding() - m_bound);
  }
  if (m_bound == m_declared.m_cold_limit) {
    m_cold_peak = std::max(m_cold_peak, outstanding());
  }
}

void simulated_engine::note_succeeded(std::uint32_t boot) {
  if (boot == m_boot && m_bound < m_declared.m_slots && ++m_successes >= m_bound) {
    m_successes = 0;
    m_bound = std::min(m_bound * 2, m_declared.m_slots);
  }
}

} // namespace cardamompond::benchmark
