#pragma once

#include "cardamompond/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::daemon {

// Number of prompt bytes that are estimated as one token.
constexpr std::size_t bytes_per_token = 4;

// Size in tokens of the blocks in which model engines cache prompts.
constexpr std::size_t tokens_per_block = 256;

// The properties of a chat request that the scheduler needs, read from its body.
struct chat_request {
  std::string m_model;
  bool m_stream = false;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;      // 0 if the request sets no limit
  std::vector<std::uint64_t> m_prefix_blocks; // chained hashes of the complete blocks of the prompt
};

// Parses the body of a chat request. The error is a one-line message for the caller.
result<chat_request, std::string> parse_chat_request(std::string_view body);

} // namespace cardamompond::daemon
