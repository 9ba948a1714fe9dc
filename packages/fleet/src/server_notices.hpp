#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace cardamompond::fleet {

// What backend servers stated about themselves in their answers to this daemon. A statement holds for one
// process, identified by the id and the start time of the server. It does not depend on the list of servers,
// so it stays in force if the list still shows the server as ready, or loses and regains it. The statements
// of a server are forgotten some time after it was last listed.
class server_notices {
public:
  // Records that the server leaves. Returns false if that was known.
  bool record_leaving(const backend_server& server, time_point now);

  // Whether the server has stated that it leaves.
  bool is_leaving(const backend_server& server) const;

  // Whether the server stated less than `period` ago, for the first time, that it leaves.
  bool is_newly_leaving(const backend_server& server, duration period, time_point now) const;

  // Records that the server wants no requests until `end`. After that, its first request of this daemon may
  // be sent at `first_return`, and the next ones follow one by one until `return_end`. Returns false if the
  // server is already paused.
  bool record_pause(const backend_server& server, time_point end, time_point first_return,
                    time_point return_end, time_point now);

  // Whether the server wants no requests at present.
  bool is_paused(const backend_server& server, time_point now) const { return now < pause_end(server); }

  // Returns the end of the last pause that the server asked for; the epoch of the clock if there was none.
  time_point pause_end(const backend_server& server) const;

  // Whether a request may be sent to the server, as far as its last pause and the return from it are
  // concerned.
  bool allows_request(const backend_server& server, time_point now) const;

  // Counts a request that is sent to the server: after a pause, the next one may follow after `interval`.
  void record_request(const backend_server& server, duration interval, time_point now);

  // Whether any server is paused.
  bool has_pauses(time_point now) const { return now < m_last_pause_end; }

  // Keeps the statements of the listed servers, and forgets those of servers that have been missing for long.
  void update_listed(std::span<const backend_server> servers, time_point now);

private:
  struct record {
    bool m_leaving = false;
    time_point m_leaving_since;
    time_point m_paused_until;
    time_point m_next_request; // not before m_paused_until; without meaning after m_return_end
    time_point m_return_end;
    time_point m_last_listed;
  };

  const record* find(const backend_server& server) const;
  record& find_or_add(const backend_server& server, time_point now);

  std::map<std::string, std::map<std::int64_t, record>, std::less<>> m_records; // by id and start time
  time_point m_last_pause_end;                                                  // of all servers
};

} // namespace cardamompond::fleet
