#pragma once

#include "cardamompond/core/store_version.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::gateway {

// What a daemon knows of one collection from before the store came back from a copy. For some time it decides
// which entries of the copy are older than that, until their writers have written them again.
class earlier_era {
public:
  // Records that the store no longer lists an entry. `started` is the start time of a server, otherwise 0.
  void record_removal(std::string_view name, std::int64_t started, time_point now);

  // Records that an entry is in force again.
  void forget_removal(std::string_view name);

  // Begins the time in which the earlier knowledge holds. `listed_at` is the version of the first state of
  // the new era, `servers` are the servers known before, if the collection is that of the servers. Entries
  // that the store lacks are kept until `kept_until`; what it has holds unconditionally after `until`.
  void begin(store_version listed_at, std::span<const fleet::backend_server> servers, time_point kept_until,
             time_point until);

  // Whether entries that the store lacks are kept.
  bool keeps_missing(time_point now) const { return m_active && now < m_kept_until; }

  // The next time at which expire() has an effect; nothing if there is none.
  std::optional<time_point> next_expiry() const;

  // What ended by `now`.
  struct expiry {
    bool m_kept = false; // entries that the store lacks are no longer kept
    bool m_all = false;  // what the store has holds
  };
  expiry expire(time_point now);

  // Whether the entry was removed in the earlier era and only the copy brought it back. An entry that changed
  // after the first list was written again, and so was a server with a later start time.
  bool is_removed(std::string_view name, std::int64_t started, store_version changed_at) const;

  // Returns what holds for a server of the list: the entry, or what is known of it if that is newer. A
  // process that leaves never becomes ready again, and a later start time is that of a later process.
  fleet::backend_server resolve(const fleet::backend_server& listed) const;

private:
  struct removal {
    time_point m_when;
    std::int64_t m_started = 0;
  };
  std::map<std::string, removal, std::less<>> m_removals;
  std::map<std::string, fleet::backend_server, std::less<>> m_servers;
  store_version m_listed_at;
  time_point m_kept_until;
  time_point m_until;
  bool m_kept_expired = false;
  bool m_active = false;
};

} // namespace cardamompond::gateway
