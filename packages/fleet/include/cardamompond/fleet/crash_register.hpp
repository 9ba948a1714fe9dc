#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// A request content, and the backend servers whose connections broke without a response while they ran
// requests with it.
struct crash_suspicion {
  hash128 m_content;
  std::vector<std::uint64_t> m_servers; // hashes of their ids
  // Time since the last crash, counted from the time of the report; none: a daemon that does not state it.
  std::optional<milliseconds> m_age = std::nullopt;
};

// Detects request contents that crash the backend servers. A content is refused for some time after the
// connections to several servers broke without a response while they ran it. After that time it is let
// through, and another crash refuses it again, whichever server crashed. A response clears the suspicion.
class crash_register {
public:
  // Records that the connection to `server` broke without a response while it ran this content.
  void record_broken_connection(const hash128& content, std::uint64_t server, time_point now);

  // Records that a request with this content received a complete response.
  void record_response(const hash128& content, time_point now);

  // Adds the servers that another daemon reports for a content.
  void merge(const crash_suspicion& suspicion, time_point now);

  // Whether the content must not be sent to any backend server.
  bool is_refused(const hash128& content, time_point now) const;

  // Returns the most recently changed suspicions, at most `max_count`, for reports to the other daemons.
  std::vector<crash_suspicion> recent(std::size_t max_count, time_point now) const;

private:
  struct record {
    std::vector<std::uint64_t> m_servers;
    time_point m_changed;       // the last crash or response
    time_point m_cleared_until; // other daemons' reports are ignored until then
  };

  struct content_hash {
    std::size_t operator()(const hash128& content) const { return content.m_low; }
  };

  void add(const hash128& content, std::uint64_t server, std::optional<time_point> crashed_at,
           time_point now);
  void remove_expired(time_point now);

  std::unordered_map<hash128, record, content_hash> m_records;
};

} // namespace cardamompond::fleet
