#include "cardamompond/fleet/crash_register.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// A content is refused after the connections to this many different servers broke. The platform's rule counts
// only the crashes after the third one.
constexpr std::size_t min_crashed_servers = 3;

// How long a content stays refused after the last broken connection.
constexpr duration retention = seconds(60);

// A server that has crashed needs this long to come back. Ages in reports of one crash differ by less.
constexpr duration min_restart_time = seconds(3);

// How long reports of other daemons about a content are ignored after a response to it, since the reports may
// be this old.
constexpr duration clearance_time = seconds(5);

// Limits the memory use when many connections break at once. The oldest records are removed first.
constexpr std::size_t max_records = 4096;

} // namespace

void crash_register::remove_expired(time_point now) {
  std::erase_if(m_records, [&](const auto& entry) { return now - entry.second.m_changed > retention; });
  while (m_records.size() > max_records) {
    m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
      return a.second.m_changed < b.second.m_changed;
    }));
  }
}

// Without `crashed_at`, a crash of a server that the record holds is the one that is known.
void crash_register::add(const hash128& content, std::uint64_t server, std::optional<time_point> crashed_at,
                         time_point now) {
  record& found = m_records[content];
  const bool is_known =
      std::find(found.m_servers.begin(), found.m_servers.end(), server) != found.m_servers.end();
  if (!is_known) {
    found.m_servers.push_back(server);
    found.m_changed = std::max(found.m_changed, crashed_at.value_or(now));
  } else if (crashed_at && *crashed_at > found.m_changed + min_restart_time) {
    found.m_changed = *crashed_at; // a server that starts again may keep its id
  }
  if (m_records.size() > max_records) {
    remove_expired(now);
  }
}

void crash_register::record_broken_connection(const hash128& content, std::uint64_t server, time_point now) {
  add(content, server, now, now);
}

void crash_register::record_response(const hash128& content, time_point now) {
  if (const auto found = m_records.find(content); found != m_records.end()) {
    found->second = {{}, now, now + clearance_time};
  }
}

void crash_register::merge(const crash_suspicion& suspicion, time_point now) {
  const auto known = m_records.find(suspicion.m_content);
  if (known != m_records.end() && now < known->second.m_cleared_until) {
    return;
  }
  if (suspicion.m_age && (*suspicion.m_age < milliseconds(0) || *suspicion.m_age > retention)) {
    return;
  }
  const auto crashed_at = suspicion.m_age ? std::optional(now - *suspicion.m_age) : std::nullopt;
  for (const auto server : suspicion.m_servers) {
    add(suspicion.m_content, server, crashed_at, now);
  }
}

bool crash_register::is_refused(const hash128& content, time_point now) const {
  const auto found = m_records.find(content);
  return found != m_records.end() && found->second.m_servers.size() >= min_crashed_servers &&
         now - found->second.m_changed <= retention;
}

std::vector<crash_suspicion> crash_register::recent(std::size_t max_count, time_point now) const {
  std::vector<decltype(m_records)::const_iterator> candidates;
  for (auto each = m_records.begin(); each != m_records.end(); ++each) {
    if (!each->second.m_servers.empty() && now - each->second.m_changed <= retention) {
      candidates.push_back(each);
    }
  }
  const auto count = std::min(max_count, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const auto& a, const auto& b) { return a->second.m_changed > b->second.m_changed; });
  std::vector<crash_suspicion> found;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& [content, suspected] = *candidates[i];
    found.push_back(
        {content, suspected.m_servers, std::chrono::duration_cast<milliseconds>(now - suspected.m_changed)});
  }
  return found;
}

} // namespace cardamompond::fleet
