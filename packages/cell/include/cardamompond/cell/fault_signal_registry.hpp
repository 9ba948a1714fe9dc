#pragma once

#include "cardamompond/core/fault_signals.hpp"
#include "cardamompond/core/result.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompond::cell {

// Maximum number of entries of each kind. Further ones are ignored and counted, so that faulty input cannot
// grow the registry without bound.
constexpr std::size_t max_fault_signals = 4096;

// The union of the breaker trips and crash records that the daemons know. The result of merging depends
// neither on order nor on repetition. The set only becomes more restrictive, with three exceptions: crash
// records expire, a suspect that completed is cleared, and a trip is dropped when a higher attempt of its
// version is declared.
class fault_signal_registry {
public:
  // Merges the fault signals of a peer, the scheduler or the platform object. Returns whether anything
  // changed; an expiry that moves by less than 1 s does not count as a change.
  bool merge(const fault_signal_set& fault_signals, time_point now);

  // Records that a declaration with this attempt number of the version is in force; raising the number resets
  // the circuit breakers of the version. Trips of lower attempts are dropped now and ignored from now on.
  void set_attempt(const std::string& service, const std::string& version, std::uint64_t attempt);

  // Records that the request completed, so that the crashes known so far no longer make it a suspect. A
  // quarantine is not lifted.
  void clear_suspect(const hash128& fingerprint, time_point now);

  // Drops expired crash records.
  void expire(time_point now);

  fault_signal_set fault_signals(time_point now) const;

  // Returns a number that increases with each change of the set.
  std::uint64_t version() const { return m_version; }

  std::uint64_t ignored_count() const { return m_ignored_count; }

private:
  struct crash_entry {
    crash_record m_record;
    std::vector<std::string> m_cleared_servers; // backend servers whose crash evidence no longer counts
  };
  // Compares with std::tie because clang-tidy mistakes the 0 of a defaulted three-way comparison for a null
  // pointer.
  struct hash_less {
    bool operator()(const hash128& left, const hash128& right) const {
      return std::tie(left.m_high, left.m_low) < std::tie(right.m_high, right.m_low);
    }
  };
  using trip_key = std::tuple<std::string, std::string, std::string>; // service, version, route

  bool merge_trip(const breaker_trip& trip);
  bool merge_crash(const crash_record& record, time_point now);

  std::map<trip_key, breaker_trip> m_trips;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_declared_attempts; // service, version
  std::map<hash128, crash_entry, hash_less> m_crashes;
  std::uint64_t m_version = 0;
  std::uint64_t m_ignored_count = 0;
};

// Encodes the value of the platform object `signals`. Expiry times are stored as wall clock times
// (milliseconds since 1970), rounded down to seconds. Entries that do not fit into 900 KB are left out; trips
// and quarantined records are written first.
std::string encode_fault_signals(const fault_signal_set& fault_signals, time_point now,
                                 std::int64_t wall_clock_ms);

// Decodes the text strictly and leaves out expired records. An expiry later than `now` + 1 h is set to that,
// so that a wrong clock cannot quarantine a request for ever.
result<fault_signal_set, std::string> decode_fault_signals(std::string_view text, time_point now,
                                                           std::int64_t wall_clock_ms);

} // namespace cardamompond::cell
