#pragma once

#include <boost/json/array.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace cardamompond::standins {

// A request that a stand-in received.
struct history_entry {
  std::string m_request_id{}; // Cardamompond-Request-Id
  std::string m_key{};        // Idempotency-Key, key of the object, or address of the reported host
  std::string m_route{};      // method and path, or the reported state of a host
  std::string m_outcome = "running";
  std::string m_boot_id{};
  std::int64_t m_received_ms = 0; // Unix time
  std::int64_t m_ended_ms = 0;    // Unix time; 0 while the request runs
  std::int64_t m_concurrent = 0;  // requests in flight when it arrived, including itself
  std::int64_t m_limit = 0;       // how many requests the stand-in could handle at that time
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  std::int64_t m_output_tokens = 0;
  std::int64_t m_version = 0; // version of the object after a write
  bool m_executed = false;    // whether the request took effect
};

// The requests that a stand-in received, in order of arrival. References to entries stay valid for the
// lifetime of the history.
class history {
public:
  // Appends an entry and sets the current time as the time of its arrival.
  history_entry& add(history_entry entry);

  // Sets the outcome of a request, and the current time as the time of its end.
  static void record_outcome(history_entry& entry, std::string outcome);

  const std::deque<history_entry>& entries() const { return m_entries; }

  boost::json::array to_json() const;

private:
  std::deque<history_entry> m_entries;
};

// Returns the Unix time in milliseconds. Its values are comparable between the processes of a machine, so
// that tests can compare the histories of several stand-ins.
std::int64_t unix_time_ms();

} // namespace cardamompond::standins
