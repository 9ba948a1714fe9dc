#include "cardamompond/fleet/part_crash_register.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cardamompond::fleet {
namespace {

// A part is refused after this many crashes without an answer, on at least two servers.
constexpr std::size_t min_crashes = 3;

// Time after the last of these crashes in which an answer that another daemon received can still arrive in a
// report.
constexpr duration confirmation_time = milliseconds(500);

// A server that has crashed needs this long to come back. Reports of its crash that are read late, all at
// once, have ages that make one crash look like several.
constexpr duration min_restart_time = seconds(3);

// Crashes within this time happened together.
constexpr duration common_cause_time = milliseconds(150);

// Crashes together that ended requests with a part on this many servers count as two, unless the part was
// answered within `answer_memory` before or the answers were cut off at different places.
constexpr std::size_t min_servers_together = 3;
constexpr duration answer_memory = seconds(60);

// How long a part is refused after its last crash. Then it is tested, at most once in this time.
constexpr duration refusal_time = seconds(60);

// How long a request that tests a part after crashes together may take to begin its answer before another one
// is sent.
constexpr duration short_test_time = seconds(10);

// Evidence is dropped after this time. It covers several tests.
constexpr duration retention = seconds(600);

// An answer that goes on disproves a crash that cut off one with this many events fewer.
constexpr std::uint32_t min_events_beyond = 8;

// A suspicion counts as recent for this long, so that it spreads although some reports get lost.
constexpr duration spreading_time = seconds(5);

// Limits of the memory use. The newest crashes of a part and the most recently changed parts are kept.
// Servers that crash together leave room for crashes before and after.
constexpr std::size_t max_crashes_per_part = 8;
constexpr std::size_t max_crashes_together = 5;
constexpr std::size_t max_records = 2048;

std::uint32_t to_event_count(std::uint64_t events) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(events, std::numeric_limits<std::uint32_t>::max()));
}

duration difference(time_point a, time_point b) {
  return a > b ? a - b : b - a;
}

} // namespace

const char* to_string(part_crash_register::verdict verdict) {
  switch (verdict) {
  case part_crash_register::verdict::refused:
    return "refused";
  case part_crash_register::verdict::test_only:
    return "test_only";
  case part_crash_register::verdict::allowed:
    break;
  }
  return "allowed";
}

bool part_crash_register::add_crash(record& to, const crash& added) {
  auto& crashes = to.m_crashes;
  std::size_t together = 0;
  for (auto& each : crashes) {
    const duration apart = difference(each.m_at, added.m_at);
    if (each.m_server == added.m_server && apart <= min_restart_time) {
      const bool is_longer = added.m_events > each.m_events;
      each.m_events = std::max(each.m_events, added.m_events);
      return is_longer;
    }
    together += apart <= common_cause_time ? 1 : 0;
  }
  const bool disproved = (to.m_answered_at && added.m_at <= *to.m_answered_at) ||
                         (to.m_progress && is_disproved_by(*to.m_progress, added));
  if (together >= max_crashes_together || disproved) {
    return false;
  }
  const auto position =
      std::find_if(crashes.begin(), crashes.end(), [&](const crash& each) { return each.m_at > added.m_at; });
  if (crashes.size() >= max_crashes_per_part && position == crashes.begin()) {
    return false;
  }
  crashes.insert(position, added);
  if (crashes.size() > max_crashes_per_part) {
    crashes.erase(crashes.begin());
  }
  return true;
}

bool part_crash_register::is_disproved_by(const progress& answer, const crash& each) {
  return each.m_at <= answer.m_at && answer.m_events >= min_events_beyond &&
         each.m_events <= answer.m_events - min_events_beyond;
}

// Returns whether there were such crashes.
template <typename Predicate>
bool part_crash_register::clear_crashes(record& of, const Predicate& is_disproved) {
  const auto cleared = std::erase_if(of.m_crashes, is_disproved);
  if (cleared > 0) {
    of.m_cleared_crashes = cleared;
  }
  return cleared > 0;
}

bool part_crash_register::add_answer(record& to, time_point answered_at) {
  if (to.m_answered_at && *to.m_answered_at >= answered_at) {
    return false;
  }
  to.m_answered_at = answered_at;
  return clear_crashes(to, [&](const crash& each) { return each.m_at <= answered_at; });
}

bool part_crash_register::add_progress(record& to, const progress& added) {
  // A shorter answer takes the place of a longer one once the longer one has been told.
  if (auto& known = to.m_progress;
      !known || (added.m_at > known->m_at &&
                 (added.m_events >= known->m_events || added.m_at - known->m_at > spreading_time))) {
    known = added;
  }
  return clear_crashes(to, [&](const crash& each) { return is_disproved_by(added, each); });
}

// Returns the length of the longest answer that a crash cut off.
std::uint32_t part_crash_register::most_events(const record& of) {
  std::uint32_t most = 0;
  for (const auto& each : of.m_crashes) {
    most = std::max(most, each.m_events);
  }
  return most;
}

part_crash_register::record* part_crash_register::find_or_add(std::uint64_t part, time_point now) {
  const auto [found, added] = m_records.try_emplace(part);
  if (!added) {
    return &found->second;
  }
  found->second.m_changed = now;
  found->second.m_answered_at = m_recent_answers.find(part);
  if (m_records.size() <= max_records) {
    return &found->second;
  }
  const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.m_crashes.size(), a.second.m_changed) <
           std::pair(b.second.m_crashes.size(), b.second.m_changed);
  });
  const bool dropped_new = oldest->first == part;
  m_records.erase(oldest);
  return dropped_new ? nullptr : &m_records.find(part)->second;
}

void part_crash_register::record_crash(std::span<const std::uint64_t> parts, std::uint32_t server,
                                       std::uint64_t events, time_point now) {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    record* found = find_or_add(parts[i], now);
    if (found != nullptr && add_crash(*found, {server, now, to_event_count(events)})) {
      found->m_position = std::max(found->m_position, static_cast<std::uint32_t>(i));
      found->m_changed = now;
      found->m_tested_at.reset();
    }
  }
}

void part_crash_register::record_answer(std::span<const std::uint64_t> parts, time_point now) {
  m_recent_answers.record(parts, now);
  if (m_records.empty()) {
    return;
  }
  for (const auto part : parts) {
    if (const auto found = m_records.find(part); found != m_records.end()) {
      if (add_answer(found->second, now)) {
        found->second.m_changed = now;
      }
      found->second.m_tested_at.reset();
    }
  }
}

void part_crash_register::record_progress(std::span<const std::uint64_t> parts, std::uint64_t events,
                                          time_point now) {
  if (m_records.empty()) {
    return;
  }
  for (const auto part : parts) {
    const auto found = m_records.find(part);
    if (found != m_records.end() && add_progress(found->second, {to_event_count(events), now})) {
      found->second.m_changed = now;
      found->second.m_tested_at.reset();
    }
  }
}

void part_crash_register::record_test(std::uint64_t part, time_point now) {
  if (const auto found = m_records.find(part); found != m_records.end()) {
    found->second.m_tested_at = now;
  }
}

void part_crash_register::merge(const part_suspicion& suspicion, time_point now) {
  const auto known = m_records.find(suspicion.m_part);
  const bool has_crashes = std::any_of(suspicion.m_crashes.begin(), suspicion.m_crashes.end(),
                                       [](const part_crash& each) { return each.m_age < retention; });
  if (known == m_records.end() && !has_crashes) {
    return; // an answer disproves nothing here
  }
  record* found = find_or_add(suspicion.m_part, now);
  if (found == nullptr) {
    return;
  }
  found->m_position = std::max(found->m_position, suspicion.m_position);
  bool changed = false;
  if (suspicion.m_answer_age && *suspicion.m_answer_age < retention) {
    changed = add_answer(*found, now - std::max(*suspicion.m_answer_age, milliseconds(0)));
  }
  if (suspicion.m_progress && suspicion.m_progress->m_age < retention) {
    const duration age = std::max(suspicion.m_progress->m_age, milliseconds(0));
    changed = add_progress(*found, {suspicion.m_progress->m_events, now - age}) || changed;
  }
  for (const auto& each : suspicion.m_crashes) {
    if (each.m_age >= milliseconds(0) && each.m_age < retention) {
      changed = add_crash(*found, {each.m_server, now - each.m_age, each.m_events}) || changed;
    }
  }
  if (changed) {
    found->m_changed = now;
  }
}

void part_crash_register::remove_expired(time_point now) {
  for (auto& [part, found] : m_records) {
    std::erase_if(found.m_crashes, [&](const crash& each) { return now - each.m_at >= retention; });
  }
  std::erase_if(m_records, [&](const auto& entry) {
    const record& found = entry.second;
    return found.m_crashes.empty() && now - found.m_changed > spreading_time &&
           found.m_verdict == verdict::allowed;
  });
}

// Counts the crashes that no part judged before explains. The crashes of a record are in the order of time.
part_crash_register::tally part_crash_register::count_crashes(const record& of,
                                                              std::span<const time_point> explained) {
  tally counted;
  const crash* first = nullptr; // of all
  const crash* start = nullptr; // of those that happened together
  std::size_t together = 0;
  std::uint32_t fewest_events = 0; // of those that happened together
  std::uint32_t most_events = 0;
  for (const auto& each : of.m_crashes) {
    if (std::any_of(explained.begin(), explained.end(),
                    [&](time_point at) { return difference(at, each.m_at) <= common_cause_time; })) {
      continue;
    }
    first = first == nullptr ? &each : first;
    counted.m_several_servers = counted.m_several_servers || each.m_server != first->m_server;
    if (start == nullptr || each.m_at - start->m_at > common_cause_time) {
      start = &each;
      together = 0;
      fewest_events = most_events = each.m_events;
    }
    ++together;
    fewest_events = std::min(fewest_events, each.m_events);
    most_events = std::max(most_events, each.m_events);
    const bool answered_before = of.m_answered_at && start->m_at - *of.m_answered_at < answer_memory;
    const bool counts_twice = together == min_servers_together && !answered_before &&
                              most_events - fewest_events < min_events_beyond;
    if (counts_twice && !counted.m_together_at) {
      counted.m_together_at = each.m_at;
    }
    if ((together == 1 || counts_twice) && ++counted.m_count == min_crashes) {
      counted.m_enough_at = each.m_at;
    }
  }
  return counted;
}

bool part_crash_register::is_being_tested(const record& of, time_point now) {
  const bool refused_before = count_crashes(of, {}).m_count >= min_crashes;
  return of.m_tested_at && now - *of.m_tested_at < (refused_before ? refusal_time : short_test_time);
}

std::vector<part_crash_register::verdict_change> part_crash_register::update(time_point now) {
  remove_expired(now);
  std::vector<std::pair<std::uint64_t, record*>> suspects;
  std::vector<verdict_change> changes;
  const auto apply = [&](std::uint64_t part, record& to, verdict new_verdict, std::size_t crashes) {
    if (to.m_verdict != new_verdict) {
      to.m_verdict = new_verdict;
      changes.push_back({part, new_verdict, crashes});
    }
  };
  for (auto& [part, each] : m_records) {
    if (each.m_crashes.size() >= min_crashes) {
      suspects.emplace_back(part, &each);
    } else {
      apply(part, each, verdict::allowed, each.m_crashes.size());
    }
  }
  // The part with most crashes explains most of them, so it is judged first.
  std::sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
    return std::tuple(b.second->m_crashes.size(), most_events(*a.second), b.second->m_position, b.first) <
           std::tuple(a.second->m_crashes.size(), most_events(*b.second), a.second->m_position, a.first);
  });
  m_explained.clear();
  for (auto& [part, suspect] : suspects) {
    const tally counted = count_crashes(*suspect, m_explained);
    const auto confirmed = [&](const std::optional<time_point>& at) {
      return at && now >= *at + confirmation_time;
    };
    const bool together = confirmed(counted.m_together_at);
    const bool enough = counted.m_enough_at && (together || confirmed(counted.m_enough_at));
    if (!counted.m_several_servers || (!together && !enough)) {
      apply(part, *suspect, verdict::allowed, counted.m_count);
      continue;
    }
    for (const auto& each : suspect->m_crashes) {
      m_explained.push_back(each.m_at);
    }
    const bool recent_crash = now - suspect->m_crashes.back().m_at < refusal_time;
    const bool refused = (enough && recent_crash) || is_being_tested(*suspect, now);
    apply(part, *suspect, refused ? verdict::refused : verdict::test_only, counted.m_count);
  }
  return changes;
}

part_crash_register::judgement part_crash_register::judge(std::span<const std::uint64_t> parts,
                                                          time_point now) const {
  judgement strictest;
  if (m_records.empty()) {
    return strictest;
  }
  for (const auto part : parts) {
    const auto found = m_records.find(part);
    if (found == m_records.end()) {
      continue;
    }
    const verdict current =
        found->second.m_verdict == verdict::test_only && is_being_tested(found->second, now)
            ? verdict::refused
            : found->second.m_verdict;
    if (current > strictest.m_verdict) {
      strictest = {current, part};
    }
  }
  return strictest;
}

bool part_crash_register::is_suspected(std::span<const std::uint64_t> parts) const {
  return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
    const auto found = m_records.find(part);
    if (found == m_records.end()) {
      return false;
    }
    if (found->second.m_verdict == verdict::refused) {
      return true;
    }
    const auto counted = count_crashes(
        found->second, found->second.m_verdict == verdict::allowed ? m_explained : std::vector<time_point>());
    // Servers that crashed together count once here, so that requests survive the loss of a zone.
    const std::size_t crashes = counted.m_count - (counted.m_together_at ? 1 : 0);
    return crashes + 1 >= min_crashes && counted.m_several_servers;
  });
}

std::vector<part_suspicion> part_crash_register::recent(std::size_t max_count, bool with_unchanged,
                                                        time_point now) const {
  std::vector<decltype(m_records)::const_iterator> candidates;
  for (auto each = m_records.begin(); each != m_records.end(); ++each) {
    if (with_unchanged ? !each->second.m_crashes.empty() || now - each->second.m_changed < spreading_time
                       : now - each->second.m_changed < spreading_time) {
      candidates.push_back(each);
    }
  }
  const auto strength = [](const record& of) {
    return std::pair(std::max(of.m_crashes.size(), of.m_cleared_crashes), of.m_changed);
  };
  const auto count = std::min(max_count, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [&](const auto& a, const auto& b) { return strength(a->second) > strength(b->second); });
  const auto age = [&](time_point at) { return std::chrono::duration_cast<milliseconds>(now - at); };
  std::vector<part_suspicion> found;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& [part, from] = *candidates[i];
    part_suspicion suspicion{part, from.m_position, {}, std::nullopt, std::nullopt};
    for (const auto& each : from.m_crashes) {
      suspicion.m_crashes.push_back({each.m_server, age(each.m_at), each.m_events});
    }
    if (from.m_answered_at) {
      suspicion.m_answer_age = age(*from.m_answered_at);
    }
    if (from.m_progress) {
      suspicion.m_progress = {from.m_progress->m_events, age(from.m_progress->m_at)};
    }
    found.push_back(std::move(suspicion));
  }
  return found;
}

} // namespace cardamompond::fleet
