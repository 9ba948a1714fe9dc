#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace cardamompond::fleet {

// A process that counts requests: a daemon and one start of it.
struct usage_source {
  std::uint64_t m_daemon = 0; // hash of the daemon's name
  std::uint64_t m_incarnation = 0;
  friend bool operator==(const usage_source&, const usage_source&) = default;
  friend bool operator<(const usage_source& a, const usage_source& b) {
    return std::tie(a.m_daemon, a.m_incarnation) < std::tie(b.m_daemon, b.m_incarnation);
  }
};

// The number of requests of an account that began to run at one source in a window.
struct usage_count {
  std::int64_t m_window = 0;
  std::uint32_t m_account = 0; // account_quotas::account_hash of the account's name
  std::uint32_t m_count = 0;
};

// Totals that one source has counted.
struct usage_statement {
  usage_source m_source;
  std::vector<usage_count> m_counts;
};

// Returns the number of the window of the given length that contains a moment of true time since 1970.
std::int64_t window_at(duration true_time, duration window_length);

// Counts the requests of each account by window, and keeps what other daemons stated about theirs. Totals of
// one source only grow, so statements are merged by maximum: repeated, late and lost ones do no harm. What a
// daemon stated outlives it.
class usage_windows {
public:
  explicit usage_windows(usage_source self)
      : m_self(self) {}

  // Keeps only the windows from `first` to `last`; others are dropped, and not accepted in statements.
  void set_range(std::int64_t first, std::int64_t last);

  // Counts a request at this daemon.
  void record(std::int64_t window, std::uint32_t account, time_point now);

  void merge(const usage_statement& statement);

  // Returns the totals of this daemon that changed after `since`, and those of the windows from `from` on.
  std::vector<usage_count> own_counts(time_point since, std::int64_t from) const;

  // Returns what is known about a window, by source.
  std::vector<usage_statement> statements(std::int64_t window) const;

  // Returns the sums over all sources for a window, by account.
  std::map<std::uint32_t, std::uint64_t> sums(std::int64_t window) const;

  // Returns the first window with any count.
  std::optional<std::int64_t> first_window() const;

private:
  struct count {
    std::uint32_t m_count = 0;
    time_point m_changed_at;
  };
  using account_counts = std::map<std::uint32_t, std::uint32_t>;

  usage_source m_self;
  std::int64_t m_first = 0;
  std::int64_t m_last = -1;
  std::map<std::int64_t, std::map<std::uint32_t, count>> m_own;            // by window and account
  std::map<std::int64_t, std::map<usage_source, account_counts>> m_stated; // by window and source
};

} // namespace cardamompond::fleet
