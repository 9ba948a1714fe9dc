#include "cardamompond/standins/prefix_cache.hpp"

#include "cardamompond/core/hash.hpp"

#include <boost/json/object.hpp>

#include <array>
#include <cstdio>

namespace cardamompond::standins {
namespace {

// Number of events that are kept. A reader that is further behind sees a gap in the sequence numbers.
constexpr std::size_t max_events = 10'000;

} // namespace

std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt) {
  constexpr std::size_t block_bytes = bytes_per_token * tokens_per_block;
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous_hash = 0;
  for (std::size_t offset = 0; offset + block_bytes <= prompt.size(); offset += block_bytes) {
    previous_hash = hash64(prompt.substr(offset, block_bytes), previous_hash);
    blocks.push_back(previous_hash);
  }
  return blocks;
}

std::size_t prefix_cache::look_up_and_insert(const std::vector<std::uint64_t>& blocks, std::size_t max_blocks,
                                             double event_loss_probability, random_source& random) {
  std::size_t cached = 0;
  while (cached < blocks.size() && m_positions.contains(blocks[cached])) {
    ++cached;
  }
  for (const auto block : blocks) {
    if (const auto found = m_positions.find(block); found != m_positions.end()) {
      m_blocks.splice(m_blocks.begin(), m_blocks, found->second);
    } else {
      m_blocks.push_front(block);
      m_positions[block] = m_blocks.begin();
      publish(true, block, event_loss_probability, random);
    }
  }
  while (m_blocks.size() > max_blocks) {
    publish(false, m_blocks.back(), event_loss_probability, random);
    m_positions.erase(m_blocks.back());
    m_blocks.pop_back();
  }
  return cached;
}

void prefix_cache::publish(bool added, std::uint64_t block, double event_loss_probability,
                           random_source& random) {
  ++m_sequence;
  if (random.with_probability(event_loss_probability)) {
    return;
  }
  m_events.push_back({m_sequence, added, block, monotonic_now()});
  if (m_events.size() > max_events) {
    m_events.pop_front();
  }
}

boost::json::array prefix_cache::events(std::uint64_t after, milliseconds lag) const {
  boost::json::array rows;
  const time_point visible_until = monotonic_now() - lag;
  for (const auto& entry : m_events) {
    if (entry.m_sequence > after && entry.m_published_at <= visible_until) {
      std::array<char, 17> hex{};
      std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(entry.m_block));
      rows.push_back(
          {{"seq", entry.m_sequence}, {"op", entry.m_added ? "add" : "remove"}, {"block", hex.data()}});
    }
  }
  return rows;
}

void prefix_cache::clear() {
  m_blocks.clear();
  m_positions.clear();
  m_events.clear();
  m_sequence = 0;
}

} // namespace cardamompond::standins
