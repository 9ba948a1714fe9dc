#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace cardamompond::fleet {

// Whether this daemon has a network path to the backend servers.
enum class path_state {
  connected, // as far as is known
  suspected, // probes are under way
  lost       // none of several servers could be reached
};

// Returns the state as it appears in logs, e.g. "lost".
std::string_view to_string(path_state state);

// Decides from what happens on the direct connections of this daemon whether it reaches the backend servers.
// Servers that crash, are silent for a moment or all belong to one service must not look like a lost path, so
// a suspicion is tested by probes: short requests over new connections to servers of different services. A
// suspicion arises when new connections to several servers failed and none succeeded, or when requests were
// sent and no server sends anything. The path counts as restored after several successful probes in a row.
// Reads no clock and opens no socket.
class server_reachability {
public:
  // A request was sent over a direct connection, new or not.
  void record_sent(time_point now);

  // Data arrived over a direct connection, new or not.
  void record_received(time_point now);

  // A server sent data over a new connection, in response to a request or to a probe.
  void record_reached(time_point now);

  // A new connection to the server could not be opened, or failed before any data arrived.
  void record_unreached(std::uint32_t server, time_point now);

  // The server did not answer a probe.
  void record_probe_failure(std::uint32_t server, time_point now);

  // Advances the state to `now` and returns the number of servers to probe now. `known_servers` is the number
  // of servers that could be probed.
  std::size_t tick(std::size_t known_servers, time_point now);

  path_state state() const { return m_state; }

  // Whether connections that were opened before the path was lost still carry data.
  bool keeps_old_connections() const { return m_state != path_state::lost || m_old_connections_live; }

  // Time from the first sign of the present or last loss to its recognition.
  duration detection_time() const { return m_detection_time; }

  // Number of servers that could not be reached since one was.
  std::size_t unreached_servers() const { return m_unreached.size(); }

private:
  bool is_silent(time_point now) const;
  void forget_old_failures(time_point now);
  std::size_t count_probes(std::size_t known_servers) const;
  std::size_t begin_suspicion(std::size_t known_servers, time_point now);
  void end_suspicion(time_point now);

  path_state m_state = path_state::connected;
  std::map<std::uint32_t, time_point> m_unreached; // when a connection to the server failed
  std::optional<time_point> m_unanswered_since;    // first request since data arrived last
  time_point m_last_received;
  time_point m_suspected_at;
  time_point m_sign_at; // first sign of what led to the suspicion
  time_point m_suspect_after;
  time_point m_next_probe_at;
  bool m_suspected_for_silence = false;
  bool m_all_probes_requested = false;
  std::size_t m_open_probes = 0; // of the present suspicion
  bool m_old_connections_live = false;
  int m_reached_in_a_row = 0;
  duration m_detection_time{};
};

} // namespace cardamompond::fleet
