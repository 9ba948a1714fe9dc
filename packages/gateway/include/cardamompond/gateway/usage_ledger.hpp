#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/usage_windows.hpp"
#include "cardamompond/gateway/duty_peers.hpp"
#include "cardamompond/gateway/peer_group.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::gateway {

// Counts the requests of client accounts that begin to run at this daemon, by window of true time, and keeps
// what other daemons state. The statements go to the collectors of the zone: the first three live daemons in
// the rendezvous-hash order.
class usage_ledger {
public:
  usage_ledger(peer_group& group, duty_peers& peers, const member& self, std::uint64_t incarnation,
               duration window_length);

  // Counts a request that has begun to run. Requests without an account are not counted.
  void record_request(std::string_view account);

  void merge(const fleet::usage_statement& statement) { m_windows.merge(statement); }

  // Assigns new requests to windows and drops old windows. Must be called several times a second.
  void tick();

  // Returns what to state to the collectors now; empty if nothing is due.
  std::vector<fleet::usage_statement> take_statements(time_point now, bool all);

  // Returns the addresses of the collectors without this daemon.
  std::vector<std::string> collector_addresses() const;

  std::vector<fleet::usage_statement> statements(std::int64_t window) const {
    return m_windows.statements(window);
  }

  // Returns the sums of a window, by name of the account.
  std::map<std::string, std::uint64_t> counts(std::int64_t window) const;

  // Returns the window that contains the present.
  std::int64_t current_window() const;

  // Returns the true time since the end of a window; negative before its end.
  duration time_since_end(std::int64_t window) const;

  // Returns the first window with a count, or the current one.
  std::int64_t first_window() const { return m_windows.first_window().value_or(current_window()); }

  // The key of the rendezvous-hash order of the collectors.
  static constexpr std::string_view collector_key = "usage-collectors";

private:
  peer_group& m_group;
  duty_peers& m_peers;
  member m_self;
  fleet::usage_source m_source;
  duration m_window_length;
  time_point m_started;
  fleet::usage_windows m_windows;
  std::vector<std::pair<time_point, std::uint32_t>> m_unassigned; // boot time and account of new requests
  std::map<std::uint32_t, std::string> m_account_names;           // by hash
  time_point m_stated_at;                                         // the last statement
  time_point m_all_stated_at;                                     // the last statement of all recent windows
};

} // namespace cardamompond::gateway
