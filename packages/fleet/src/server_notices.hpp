#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/stated_limit.hpp"

#include "brittle_servers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::fleet {

// The rate of requests that a server takes from all daemons together, and the part of this daemon in it.
struct server_limit {
  std::optional<double> m_requests_per_s;     // nothing: the server states no limit
  std::optional<time_point> m_stated;         // last statement to any daemon, with a limit or without
  std::optional<time_point> m_changed;        // last one that changed the limit
  std::optional<double> m_own_requests_per_s; // the same by the last statement to this daemon
  std::optional<time_point> m_own_stated;
  std::optional<time_point> m_own_changed; // last statement to this daemon that changed the limit
  std::optional<duration> m_interval;      // between requests of this daemon; nothing: it sends none
};

// What one process of a backend server stated about itself.
struct server_notice {
  bool m_leaving = false;
  bool m_to_confirm = false; // m_leaving was stated by this process or by an earlier one
  time_point m_leaving_since;
  time_point m_paused_until;
  // Not before m_paused_until; without meaning after m_return_end unless the server states a limit.
  time_point m_next_request;
  time_point m_return_end;
  server_limit m_limit;
  brittle_notice m_brittle;
  std::optional<time_point> m_missing_since; // first list without the server; none: the last list has it

  // Whether the server wants no requests at present.
  bool is_paused(time_point now) const { return now < m_paused_until; }

  bool is_limited() const { return m_limit.m_requests_per_s.has_value(); }

  // Whether a request may be sent, as far as the limit, the last pause and the return from it are concerned.
  bool allows_request(time_point now) const {
    if (is_limited()) {
      return m_limit.m_interval && now >= m_next_request;
    }
    return now >= m_return_end || now >= m_next_request;
  }
};

// What backend servers stated about themselves in their answers to this daemon, and about their limits also
// in those to its peers. A statement holds for one process, identified by the id and the start time of the
// server. It does not depend on the list of servers, so it stays in force if the list still shows the server
// as ready, or loses and regains it. The statements of a server are forgotten some time after it was last
// listed.
class server_notices {
public:
  // Records that the server leaves. Returns false if that was known.
  bool record_leaving(const backend_server& server, time_point now);

  // Records that the server wants no requests until `end`. After that, its first request of this daemon may
  // be sent at `first_return`, and the next ones follow one by one until `return_end`. Returns false if the
  // server is already paused.
  bool record_pause(const backend_server& server, time_point end, time_point first_return,
                    time_point return_end, time_point now);

  // Records what the server stated about its limit at the time `stated`: to this daemon, in the answer to a
  // request that was sent after `sent_after`, or to a peer. Answers may arrive late and overtake one another.
  // That there is no limit any more counts if the request followed the last statement of one; from a peer, if
  // that statement is older by a second.
  limit_change record_limit(const backend_server& server, std::optional<double> requests_per_s,
                            time_point stated, std::optional<time_point> sent_after);

  // Forgets limits that no daemon was told for some time, so that one whose end was missed does not stay.
  void expire_limits(time_point now);

  // Records how many rejections in a second the server withstands, as it stated at the time `stated`;
  // nothing: it stated no number. `sent_after` is as for record_limit(), and so is what ends an earlier
  // statement.
  limit_change record_brittle(const backend_server& server, std::optional<std::uint32_t> max_rejections,
                              time_point stated, std::optional<time_point> sent_after);

  // Forgets the statements that no daemon was told again for some time.
  void expire_brittle(time_point now);

  // Whether any server has stated how many rejections it withstands, whether or not it still does.
  bool has_brittle() const { return m_has_brittle; }

  // Sets the time between two requests of this daemon to a limited server; nothing: it sends none. The first
  // one may follow after `phase` (0 to 1) of the interval.
  void set_interval(const backend_server& server, std::optional<duration> interval, double phase,
                    time_point now);

  // Counts a request that is sent to the server. The next one may follow after the interval of its limit and,
  // after a pause, after `return_interval`.
  void record_request(const backend_server& server, duration return_interval, time_point now);

  // Returns what the server stated; null if it stated nothing. The pointer is valid until update_listed().
  const server_notice* find(const backend_server& server) const;

  // Whether any server is paused.
  bool has_pauses(time_point now) const { return now < m_last_pause_end; }

  // Whether any server has stated a limit, whether or not it has ended.
  bool has_limits() const { return m_has_limits; }

  // Keeps the statements of the listed servers, and forgets those of servers that have been missing for long.
  //
  // Until the servers have written their entries again after the store came back from a copy at
  // `restored_at`, an entry may be that of an earlier process than the one that answers. If the list then
  // shows a later one, it counts as leaving, too, until that is confirmed.
  void update_listed(std::span<const backend_server> servers, time_point now,
                     std::optional<time_point> restored_at);

  // Records whether the process leaves, if it is not known which process stated that.
  void confirm_leaving(const backend_server& server, bool leaves);

  // Whether there may be statements to confirm.
  bool has_unconfirmed() const { return m_has_unconfirmed; }

private:
  server_notice& find_or_add(const backend_server& server);
  void update_unconfirmed();

  // Returns what a process with that id stated if it stated a limit not long ago; null if there is none.
  const server_notice* find_recent_limit(std::string_view id, time_point now) const;

  // Returns what a process with that id stated if it stated after `since` that it leaves; null if there is
  // none.
  const server_notice* find_leaving(std::string_view id, time_point since) const;

  std::map<std::string, std::map<std::int64_t, server_notice>, std::less<>> m_records; // by id and start time
  time_point m_last_pause_end;                                                         // of all servers
  bool m_has_limits = false;
  bool m_has_brittle = false;
  bool m_has_unconfirmed = false;
};

} // namespace cardamompond::fleet
