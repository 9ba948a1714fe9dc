#include "cardamompond/fleet/server_reachability.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// A sound server may be silent for a second, but hardly all of them at once.
constexpr duration silence_limit = milliseconds(400);

// Failed connections to this many servers, none reached in between, raise a suspicion.
constexpr std::size_t suspicious_failures = 2;

// The path is lost if so many servers, chosen for this, give no answer.
constexpr std::size_t convincing_probes = 3;

// Older failures say nothing about the present.
constexpr duration failure_memory = seconds(2);

// After a suspicion that a probe disproved, the next one arises no sooner than this. It must stay well below
// the time in which callers expect a lost path to be noticed.
constexpr duration suspicion_interval = milliseconds(800);

// A suspicion without a result ends after this time; probes take less.
constexpr duration max_suspicion = seconds(2);

// While the path is lost, one server is probed at this interval, and so many probes in a row must succeed
// until it counts as restored, so that a path that comes and goes does not move all requests to and fro.
constexpr duration probe_interval = milliseconds(400);
constexpr int restoring_successes = 3;

} // namespace

std::string_view to_string(path_state state) {
  constexpr std::string_view names[] = {"connected", "suspected", "lost"};
  return names[static_cast<std::size_t>(state)];
}

void server_reachability::record_sent(time_point now) {
  if (!m_unanswered_since) {
    m_unanswered_since = now;
  }
}

void server_reachability::record_received(time_point now) {
  m_last_received = now;
  m_unanswered_since.reset();
  if (m_state == path_state::lost) {
    m_old_connections_live = true;
  } else if (m_state == path_state::suspected && m_suspected_for_silence) {
    end_suspicion(now);
  }
}

void server_reachability::record_reached(time_point now) {
  m_unreached.clear();
  if (m_state == path_state::suspected) {
    end_suspicion(now);
  } else if (m_state == path_state::lost && ++m_reached_in_a_row >= restoring_successes) {
    end_suspicion(now);
    m_unanswered_since.reset();
  }
}

void server_reachability::record_unreached(std::uint32_t server, time_point now) {
  m_unreached[server] = now;
  m_reached_in_a_row = 0;
}

void server_reachability::record_probe_failure(std::uint32_t server, time_point now) {
  record_unreached(server, now);
  m_open_probes -= std::min<std::size_t>(1, m_open_probes);
}

bool server_reachability::is_silent(time_point now) const {
  return m_unanswered_since && now - *m_unanswered_since >= silence_limit;
}

void server_reachability::forget_old_failures(time_point now) {
  std::erase_if(m_unreached, [&](const auto& each) { return now - each.second > failure_memory; });
}

std::size_t server_reachability::count_probes(std::size_t known_servers) const {
  return std::min(convincing_probes, std::max<std::size_t>(1, known_servers));
}

std::size_t server_reachability::begin_suspicion(std::size_t known_servers, time_point now) {
  m_state = path_state::suspected;
  m_suspected_at = now;
  m_suspected_for_silence = m_unreached.size() < std::min(suspicious_failures, known_servers);
  m_sign_at = m_suspected_for_silence ? *m_unanswered_since : now;
  for (const auto& [server, failed_at] : m_unreached) {
    m_sign_at = std::min(m_sign_at, failed_at);
  }
  // After a silence that one sound server may explain, a single probe is cheaper and usually enough.
  m_all_probes_requested = !m_suspected_for_silence;
  m_open_probes = m_suspected_for_silence ? 1 : count_probes(known_servers);
  return m_open_probes;
}

void server_reachability::end_suspicion(time_point now) {
  m_state = path_state::connected;
  m_unreached.clear();
  m_suspect_after = now + suspicion_interval;
}

std::size_t server_reachability::tick(std::size_t known_servers, time_point now) {
  forget_old_failures(now);
  if (m_state == path_state::connected) {
    const bool failing =
        !m_unreached.empty() && m_unreached.size() >= std::min(suspicious_failures, known_servers);
    if (known_servers == 0 || now < m_suspect_after || !(failing || is_silent(now))) {
      return 0;
    }
    return begin_suspicion(known_servers, now);
  }
  if (m_state == path_state::suspected) {
    if (now - m_suspected_at > max_suspicion) {
      end_suspicion(now);
    } else if (m_open_probes == 0 && !m_all_probes_requested) {
      m_all_probes_requested = true;
      m_open_probes = count_probes(known_servers);
      return m_open_probes;
    } else if (m_open_probes == 0) { // none succeeded, since a success ends the suspicion
      m_state = path_state::lost;
      m_detection_time = now - m_sign_at;
      m_old_connections_live = !is_silent(now) && now - m_last_received < silence_limit;
      m_reached_in_a_row = 0;
      m_next_probe_at = now + probe_interval;
    }
    return 0;
  }
  if (is_silent(now)) {
    m_old_connections_live = false;
  }
  if (now < m_next_probe_at) {
    return 0;
  }
  m_next_probe_at = now + probe_interval;
  return 1;
}

} // namespace cardamompond::fleet
