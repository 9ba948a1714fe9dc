#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/standins/random.hpp"

#include <boost/json/array.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::standins {

constexpr std::size_t bytes_per_token = 4; // the stand-in has no tokenizer
constexpr std::size_t tokens_per_block = 256;

// Returns the chained hashes of the complete blocks of a prompt. Each block of 1024 bytes is hashed with the
// hash of the previous block as the seed; the seed of the first block is 0.
std::vector<std::uint64_t> hash_prompt_blocks(std::string_view prompt);

// A least-recently-used (LRU) cache of prompt blocks. It publishes its changes as numbered events, with a lag
// and with gaps in the numbering where events were lost.
class prefix_cache {
public:
  // Caches all blocks, evicts the least recently used ones above `max_blocks`, and returns the number of
  // leading blocks that were already cached. Each resulting event is lost with the probability
  // `event_loss_probability`.
  std::size_t look_up_and_insert(const std::vector<std::uint64_t>& blocks, std::size_t max_blocks,
                                 double event_loss_probability, random_source& random);

  // Returns the events that have a sequence number greater than `after` and are at least `lag` old.
  boost::json::array events(std::uint64_t after, milliseconds lag) const;

  void clear();

private:
  struct event {
    std::uint64_t m_sequence = 0;
    bool m_added = false;
    std::uint64_t m_block = 0;
    time_point m_published_at{};
  };

  void publish(bool added, std::uint64_t block, double event_loss_probability, random_source& random);

  std::list<std::uint64_t> m_blocks; // most recently used first
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
  std::deque<event> m_events;
  std::uint64_t m_sequence = 0;
};

} // namespace cardamompond::standins
