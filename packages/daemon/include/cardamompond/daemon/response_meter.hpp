#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace cardamompond::daemon {

// Token counts that a model engine reports in its response.
struct token_usage {
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  std::uint32_t m_cached_tokens = 0;
};

// Measures a response body as it is streamed to the caller. Counts bytes and stream events, and keeps the
// last bytes, in which a model engine reports its token usage. Memory use does not grow with the length of
// the body.
class response_meter {
public:
  // Processes the next chunk of the body.
  void add(std::span<const char> chunk);

  std::uint64_t bytes() const { return m_bytes; }

  // Number of stream events ("data:" lines) so far. Approximates the number of output tokens if the engine
  // reports no usage.
  std::uint32_t events() const { return m_events; }

  // Returns whether a stream of events that ends here ends inside an event.
  bool is_inside_event() const;

  // Returns whether the last `bytes` bytes of a stream of events, which begin between two lines, hold more
  // than comments and blank lines.
  bool has_event_in_last(std::uint64_t bytes) const;

  // Returns whether a stream of events that ends here has its last event, "data: [DONE]".
  bool has_last_event() const;

  // Returns the last JSON member "usage" of the body, or nothing if there is none or it is malformed.
  std::optional<token_usage> usage() const;

private:
  std::uint64_t m_bytes = 0;
  std::uint32_t m_events = 0;
  std::string m_tail;
};

} // namespace cardamompond::daemon
