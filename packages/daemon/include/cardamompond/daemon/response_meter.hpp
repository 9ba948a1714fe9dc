#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace cardamompond::daemon {

// Token counts as a model engine reports them in its answer.
struct token_usage {
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
};

// Follows an answer as it passes through: counts its events and keeps its last bytes, in which a model engine
// reports the usage. Memory is bounded whatever the length of the answer.
class response_meter {
public:
  // Notes a part of the body.
  void add(std::span<const char> chunk);

  std::uint64_t bytes() const { return m_bytes; }

  // Events of a stream ("data:" lines) so far; approximates the tokens when no usage is reported.
  std::uint32_t events() const { return m_events; }

  // The object "usage" nearest to the end of the answer; none if there is none or it is malformed.
  std::optional<token_usage> usage() const;

private:
  std::uint64_t m_bytes = 0;
  std::uint32_t m_events = 0;
  std::string m_tail;
};

} // namespace cardamompond::daemon
