#include "cardamompond/fleet/part_evidence.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Crashes within this time happened together. One cause explains all of them.
constexpr duration common_cause_time = milliseconds(150);

// A server that has crashed needs this long to come back. Reports of its crash that are read late, all at
// once, have ages that make one crash look like several.
constexpr duration min_restart_time = seconds(3);

// Crashes together that ended requests with a part on this many servers count as two, unless the part was
// answered within `answer_memory` before.
constexpr std::size_t min_servers_together = 3;
constexpr duration answer_memory = seconds(60);

// Answers whose lengths differ by less were cut off at about the same place.
constexpr std::uint32_t max_events_apart = 8;

// A shorter answer that goes on takes the place of a longer one once reports have told the longer one.
constexpr duration telling_time = seconds(5);

// Limits of the memory use. The newest crashes are kept, and servers that crash together leave room for
// crashes before and after.
constexpr std::size_t max_crashes = 8;
constexpr std::size_t max_crashes_together = 5;

duration difference(time_point a, time_point b) {
  return a > b ? a - b : b - a;
}

bool is_disproved_by(const part_evidence::progress& answer, const part_evidence::crash& each) {
  return each.m_at <= answer.m_at && answer.m_events >= max_events_apart &&
         each.m_events <= answer.m_events - max_events_apart;
}

} // namespace

bool part_evidence::add_crash(const crash& added) {
  std::size_t together = 0;
  for (auto& each : m_crashes) {
    const duration apart = difference(each.m_at, added.m_at);
    if (each.m_server == added.m_server && apart <= min_restart_time) {
      const bool is_longer = added.m_events > each.m_events;
      each.m_events = std::max(each.m_events, added.m_events);
      return is_longer;
    }
    together += apart <= common_cause_time ? 1 : 0;
  }
  const bool disproved =
      (m_answered_at && added.m_at <= *m_answered_at) || (m_progress && is_disproved_by(*m_progress, added));
  if (together >= max_crashes_together || disproved) {
    return false;
  }
  const auto position = std::find_if(m_crashes.begin(), m_crashes.end(),
                                     [&](const crash& each) { return each.m_at > added.m_at; });
  if (m_crashes.size() >= max_crashes && position == m_crashes.begin()) {
    return false;
  }
  m_crashes.insert(position, added);
  if (m_crashes.size() > max_crashes) {
    m_crashes.erase(m_crashes.begin());
  }
  return true;
}

template <typename Predicate> bool part_evidence::remove_disproved(const Predicate& is_disproved) {
  const auto removed = std::erase_if(m_crashes, is_disproved);
  if (removed > 0) {
    m_disproved = removed;
  }
  return removed > 0;
}

bool part_evidence::add_answer(time_point answered_at) {
  if (m_answered_at && *m_answered_at >= answered_at) {
    return false;
  }
  m_answered_at = answered_at;
  return remove_disproved([&](const crash& each) { return each.m_at <= answered_at; });
}

bool part_evidence::add_progress(const progress& added) {
  if (!m_progress || (added.m_at > m_progress->m_at && (added.m_events >= m_progress->m_events ||
                                                        added.m_at - m_progress->m_at > telling_time))) {
    m_progress = added;
  }
  return remove_disproved([&](const crash& each) { return is_disproved_by(added, each); });
}

void part_evidence::expire(time_point before) {
  std::erase_if(m_crashes, [&](const crash& each) { return each.m_at < before; });
}

std::uint32_t part_evidence::longest_answer() const {
  std::uint32_t longest = 0;
  for (const auto& each : m_crashes) {
    longest = std::max(longest, each.m_events);
  }
  return longest;
}

part_evidence::tally part_evidence::count(std::span<const time_point> explained) const {
  tally most;
  for (const auto& each : m_crashes) {
    if (const tally counted = count_from(each.m_events, explained); counted.m_count > most.m_count) {
      most = counted;
    }
  }
  return most;
}

// Counts the crashes that cut off answers with that many events or a few more.
part_evidence::tally part_evidence::count_from(std::uint32_t fewest_events,
                                               std::span<const time_point> explained) const {
  tally counted;
  const crash* first = nullptr; // of all
  const crash* start = nullptr; // of those that happened together
  std::size_t together = 0;
  for (const auto& each : m_crashes) {
    const bool at_that_place =
        each.m_events >= fewest_events && each.m_events - fewest_events < max_events_apart;
    if (!at_that_place || std::any_of(explained.begin(), explained.end(), [&](time_point at) {
          return difference(at, each.m_at) <= common_cause_time;
        })) {
      continue;
    }
    first = first == nullptr ? &each : first;
    counted.m_several_servers = counted.m_several_servers || each.m_server != first->m_server;
    if (start == nullptr || each.m_at - start->m_at > common_cause_time) {
      start = &each;
      together = 0;
    }
    const bool answered_before = m_answered_at && start->m_at - *m_answered_at < answer_memory;
    const bool counts_twice = ++together == min_servers_together && !answered_before;
    if (counts_twice && !counted.m_together_at) {
      counted.m_together_at = each.m_at;
    }
    if ((together == 1 || counts_twice) && ++counted.m_count == min_crashes) {
      counted.m_enough_at = each.m_at;
    }
  }
  return counted;
}

} // namespace cardamompond::fleet
