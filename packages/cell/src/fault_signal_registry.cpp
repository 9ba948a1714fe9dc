#include "cardamompond/cell/fault_signal_registry.hpp"

#include <algorithm>
#include <iterator>

namespace cardamompond::cell {
namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_reason_bytes = 200;

// Maximum number of backend servers in a crash record. Two are enough for a quarantine; the others are
// recorded for the operator.
constexpr std::size_t max_backend_servers = 16;

// An expiry that moves by less than this does not count as a change, because the clocks of two daemons never
// agree exactly.
constexpr milliseconds expiry_tolerance{1000};

// Replaces the characters that are not printable ASCII. Reasons may quote a backend server, and a byte that
// JSON cannot represent would make the whole set unreadable.
std::string sanitize_reason(std::string_view reason) {
  std::string text(reason.substr(0, max_reason_bytes));
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
  return text;
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

bool fault_signal_registry::merge(const fault_signal_set& fault_signals, time_point now) {
  bool changed = false;
  for (const auto& trip : fault_signals.m_trips) {
    changed = merge_trip(trip) || changed;
  }
  for (const auto& record : fault_signals.m_crashes) {
    changed = merge_crash(record, now) || changed;
  }
  m_version += changed ? 1 : 0;
  return changed;
}

bool fault_signal_registry::merge_trip(const breaker_trip& trip) {
  if (const auto it = m_declared_attempts.find({trip.m_service, trip.m_version});
      it != m_declared_attempts.end() && trip.m_attempt < it->second) {
    return false;
  }
  trip_key key{trip.m_service, trip.m_version, trip.m_route};
  breaker_trip sanitized = trip;
  sanitized.m_reason = sanitize_reason(trip.m_reason);
  const auto it = m_trips.find(key);
  if (it == m_trips.end()) {
    if (m_trips.size() >= max_fault_signals ||
        std::max({trip.m_service.size(), trip.m_version.size(), trip.m_route.size()}) > max_name_bytes) {
      ++m_ignored_count;
      return false;
    }
    m_trips.emplace(std::move(key), std::move(sanitized));
    return true;
  }
  // Of two reasons for the same attempt the alphabetically first one is kept, so that the result does not
  // depend on the order of arrival.
  const bool replaces =
      sanitized.m_attempt > it->second.m_attempt ||
      (sanitized.m_attempt == it->second.m_attempt && sanitized.m_reason < it->second.m_reason);
  if (replaces) {
    it->second = std::move(sanitized);
  }
  return replaces;
}

bool fault_signal_registry::merge_crash(const crash_record& record, time_point now) {
  if (record.m_expires <= now) {
    return false;
  }
  auto it = m_crashes.find(record.m_fingerprint);
  if (it != m_crashes.end() && it->second.m_record.m_expires <= now) {
    m_crashes.erase(it);
    it = m_crashes.end();
  }
  if (it == m_crashes.end()) {
    if (m_crashes.size() >= max_fault_signals) {
      std::erase_if(m_crashes, [&](const auto& entry) { return entry.second.m_record.m_expires <= now; });
    }
    if (m_crashes.size() >= max_fault_signals) {
      ++m_ignored_count;
      return false;
    }
    it = m_crashes.emplace(record.m_fingerprint, crash_entry{{record.m_fingerprint, {}, false, now}, {}})
             .first;
  }
  auto& known = it->second.m_record;
  std::vector<std::string> servers = known.m_backend_servers;
  for (const auto& server : record.m_backend_servers) {
    if (server.size() <= max_name_bytes && !contains(it->second.m_cleared_servers, server)) {
      servers.push_back(server);
    }
  }
  std::sort(servers.begin(), servers.end());
  servers.erase(std::unique(servers.begin(), servers.end()), servers.end());
  const bool quarantined = known.m_quarantined || record.m_quarantined || servers.size() >= 2;
  servers.resize(std::min(servers.size(), max_backend_servers));

  // An entry without backend servers, such as a cleared suspect, is part of fault_signals() only if it is
  // quarantined.
  const bool visible = quarantined || !servers.empty();
  const bool changed = visible && (servers != known.m_backend_servers || quarantined != known.m_quarantined ||
                                   record.m_expires - known.m_expires >= expiry_tolerance);
  known.m_backend_servers = std::move(servers);
  known.m_quarantined = quarantined;
  known.m_expires = std::max(known.m_expires, record.m_expires);
  return changed;
}

void fault_signal_registry::set_attempt(const std::string& service, const std::string& version,
                                        std::uint64_t attempt) {
  const auto dropped = std::erase_if(m_trips, [&](const auto& entry) {
    return entry.second.m_service == service && entry.second.m_version == version &&
           entry.second.m_attempt < attempt;
  });
  m_version += dropped > 0 ? 1 : 0;
  const std::pair key(service, version);
  if (const auto it = m_declared_attempts.find(key); it != m_declared_attempts.end()) {
    it->second = std::max(it->second, attempt);
  } else if (m_declared_attempts.size() < max_fault_signals) {
    m_declared_attempts.emplace(key, attempt);
  } else {
    // Trips of lower attempts that arrive again will be kept, which only makes the set more restrictive than
    // needed.
    ++m_ignored_count;
  }
}

void fault_signal_registry::clear_suspect(const hash128& fingerprint, time_point now) {
  const auto it = m_crashes.find(fingerprint);
  if (it == m_crashes.end() || it->second.m_record.m_expires <= now || it->second.m_record.m_quarantined) {
    return;
  }
  auto& [record, cleared] = it->second;
  // The entry is kept until it expires, because peers that do not know of the completion send the same
  // evidence again.
  if (!record.m_backend_servers.empty() && cleared.size() < max_backend_servers) {
    std::move(record.m_backend_servers.begin(), record.m_backend_servers.end(), std::back_inserter(cleared));
    record.m_backend_servers.clear();
    ++m_version;
  }
}

void fault_signal_registry::expire(time_point now) {
  std::size_t dropped = 0;
  std::erase_if(m_crashes, [&](const auto& entry) {
    const auto& record = entry.second.m_record;
    const bool expired = record.m_expires <= now;
    dropped += expired && (record.m_quarantined || !record.m_backend_servers.empty()) ? 1 : 0;
    return expired;
  });
  m_version += dropped > 0 ? 1 : 0;
}

fault_signal_set fault_signal_registry::fault_signals(time_point now) const {
  fault_signal_set set;
  for (const auto& [key, trip] : m_trips) {
    set.m_trips.push_back(trip);
  }
  for (const auto& [fingerprint, entry] : m_crashes) {
    const auto& record = entry.m_record;
    if (record.m_expires > now && (record.m_quarantined || !record.m_backend_servers.empty())) {
      set.m_crashes.push_back(record);
    }
  }
  return set;
}

} // namespace cardamompond::cell
