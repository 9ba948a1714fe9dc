#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// The backend servers whose connection broke without an answer while they ran one request content.
struct crash_suspicion {
  hash128 m_content;
  std::vector<std::uint64_t> m_servers; // hashes of their ids
};

// Recognises request contents that crash the backend servers that run them. A content that broke on several
// servers and was never answered in between is refused for a while; an answer clears it.
class crash_register {
public:
  // A connection to `server` broke without an answer while it ran this content.
  void record_broken_connection(const hash128& content, std::uint64_t server, time_point now);

  // The content was answered whole.
  void record_answer(const hash128& content, time_point now);

  // Takes over what another daemon saw.
  void merge(const crash_suspicion& suspicion, time_point now);

  // Whether the content must not be sent to any backend server.
  bool is_refused(const hash128& content, time_point now) const;

  // The suspicions that changed last, at most `max_count`, for reports to the other daemons.
  std::vector<crash_suspicion> recent(std::size_t max_count, time_point now) const;

private:
  struct record {
    std::vector<std::uint64_t> m_servers;
    time_point m_changed;
    time_point m_cleared_until; // an answer outweighs older reports of other daemons
  };

  struct content_hash {
    std::size_t operator()(const hash128& content) const { return content.m_low; }
  };

  void add(const hash128& content, std::uint64_t server, time_point now);
  void remove_expired(time_point now);

  std::unordered_map<hash128, record, content_hash> m_records;
};

} // namespace cardamompond::fleet
