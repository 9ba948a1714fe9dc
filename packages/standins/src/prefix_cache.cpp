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

std::vector<std::uint64_t> prompt_blocks(std::string_view prompt) {
  constexpr std::size_t block_bytes = bytes_per_token * tokens_per_block;
  std::vector<std::uint64_t> blocks;
  std::uint64_t previous = 0;
  for (std::size_t at = 0; at + block_bytes <= prompt.size(); at += block_bytes) {
    previous = hash64(prompt.substr(at, block_bytes), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks, std::size_t limit, double gap_rate,
                              random_source& random) {
  std::size_t cached = 0;
  while (cached < blocks.size() && m_places.contains(blocks[cached])) {
    ++cached;
  }
  for (const auto block : blocks) {
    if (const auto found = m_places.find(block); found != m_places.end()) {
      m_recent.splice(m_recent.begin(), m_recent, found->second);
    } else {
      m_recent.push_front(block);
      m_places[block] = m_recent.begin();
      publish(true, block, gap_rate, random);
    }
  }
  while (m_recent.size() > limit) {
    publish(false, m_recent.back(), gap_rate, random);
    m_places.erase(m_recent.back());
    m_recent.pop_back();
  }
  return cached;
}

void prefix_cache::publish(bool added, std::uint64_t block, double gap_rate, random_source& random) {
  ++m_sequence;
  if (random.chance(gap_rate)) {
    return;
  }
  m_events.push_back({m_sequence, added, block, monotonic_now()});
  if (m_events.size() > max_events) {
    m_events.pop_front();
  }
}

boost::json::array prefix_cache::events(std::uint64_t after, milliseconds lag) const {
  boost::json::array rows;
  const time_point until = monotonic_now() - lag;
  for (const auto& one : m_events) {
    if (one.m_sequence > after && one.m_at <= until) {
      std::array<char, 17> hex{};
      std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(one.m_block));
      rows.push_back(
          {{"seq", one.m_sequence}, {"op", one.m_added ? "add" : "remove"}, {"block", hex.data()}});
    }
  }
  return rows;
}

void prefix_cache::clear() {
  m_recent.clear();
  m_places.clear();
  m_events.clear();
  m_sequence = 0;
}

} // namespace cardamompond::standins
