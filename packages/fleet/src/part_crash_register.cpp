#include "cardamompond/fleet/part_crash_register.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cardamompond::fleet {
namespace {

// Time after the crash that refuses a part in which an answer that another daemon received can still arrive
// in a report.
constexpr duration confirmation_time = milliseconds(500);

// How long a part is refused after its last crash. Then it is tested, at most once in this time.
constexpr duration refusal_time = seconds(60);

// How long a request that tests a part after crashes together may take to begin its answer before another one
// is sent.
constexpr duration short_test_time = seconds(10);

// Evidence is dropped after this time. It covers several tests.
constexpr duration retention = seconds(600);

// A suspicion counts as recent for this long, so that it spreads although some reports get lost.
constexpr duration spreading_time = seconds(5);

// Limits the memory use. The most recently changed parts are kept.
constexpr std::size_t max_records = 2048;

std::uint32_t to_event_count(std::uint64_t events) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(events, std::numeric_limits<std::uint32_t>::max()));
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

part_crash_register::record* part_crash_register::find_or_add(std::uint64_t part, time_point now) {
  const auto [found, added] = m_records.try_emplace(part);
  if (!added) {
    return &found->second;
  }
  found->second.m_changed = now;
  found->second.m_evidence.set_answered_before(m_recent_answers.find(part));
  if (m_records.size() <= max_records) {
    return &found->second;
  }
  const auto oldest = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
    return std::pair(a.second.m_evidence.crashes().size(), a.second.m_changed) <
           std::pair(b.second.m_evidence.crashes().size(), b.second.m_changed);
  });
  const bool dropped_new = oldest->first == part;
  m_records.erase(oldest);
  return dropped_new ? nullptr : &m_records.find(part)->second;
}

void part_crash_register::record_crash(std::span<const std::uint64_t> parts, std::uint32_t server,
                                       std::uint64_t events, time_point now) {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    record* found = find_or_add(parts[i], now);
    if (found != nullptr && found->m_evidence.add_crash({server, now, to_event_count(events)})) {
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
      if (found->second.m_evidence.add_answer(now)) {
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
    if (found != m_records.end() && found->second.m_evidence.add_progress({to_event_count(events), now})) {
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
    changed = found->m_evidence.add_answer(now - std::max(*suspicion.m_answer_age, milliseconds(0)));
  }
  if (suspicion.m_progress && suspicion.m_progress->m_age < retention) {
    const duration age = std::max(suspicion.m_progress->m_age, milliseconds(0));
    changed = found->m_evidence.add_progress({suspicion.m_progress->m_events, now - age}) || changed;
  }
  for (const auto& each : suspicion.m_crashes) {
    if (each.m_age >= milliseconds(0) && each.m_age < retention) {
      changed = found->m_evidence.add_crash({each.m_server, now - each.m_age, each.m_events}) || changed;
    }
  }
  if (changed) {
    found->m_changed = now;
  }
}

void part_crash_register::remove_expired(time_point now) {
  for (auto& [part, found] : m_records) {
    found.m_evidence.expire(now - retention);
  }
  std::erase_if(m_records, [&](const auto& entry) {
    const record& found = entry.second;
    return found.m_evidence.crashes().empty() && now - found.m_changed > spreading_time &&
           found.m_verdict == verdict::allowed;
  });
}

bool part_crash_register::is_being_tested(const record& of, time_point now) {
  const bool refused_before = of.m_evidence.count({}).m_count >= part_evidence::min_crashes;
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
    if (each.m_evidence.crashes().size() >= part_evidence::min_crashes) {
      suspects.emplace_back(part, &each);
    } else {
      apply(part, each, verdict::allowed, each.m_evidence.crashes().size());
    }
  }
  // The part with most crashes explains most of them, so it is judged first.
  std::sort(suspects.begin(), suspects.end(), [](const auto& a, const auto& b) {
    const auto& [evidence_a, evidence_b] = std::tie(a.second->m_evidence, b.second->m_evidence);
    return std::tuple(evidence_b.crashes().size(), evidence_a.longest_answer(), b.second->m_position,
                      b.first) < std::tuple(evidence_a.crashes().size(), evidence_b.longest_answer(),
                                            a.second->m_position, a.first);
  });
  m_explained.clear();
  for (auto& [part, suspect] : suspects) {
    const auto counted = suspect->m_evidence.count(m_explained);
    const auto confirmed = [&](const std::optional<time_point>& at) {
      return at && now >= *at + confirmation_time;
    };
    const bool together = confirmed(counted.m_together_at);
    const bool enough = counted.m_enough_at && (together || confirmed(counted.m_enough_at));
    if (!counted.m_several_servers || (!together && !enough)) {
      apply(part, *suspect, verdict::allowed, counted.m_count);
      continue;
    }
    for (const auto& each : suspect->m_evidence.crashes()) {
      m_explained.push_back(each.m_at);
    }
    const bool recent_crash = now - suspect->m_evidence.crashes().back().m_at < refusal_time;
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
  const std::vector<time_point> nothing_explained;
  return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
    const auto found = m_records.find(part);
    if (found == m_records.end()) {
      return false;
    }
    if (found->second.m_verdict == verdict::refused) {
      return true;
    }
    const auto& explained = found->second.m_verdict == verdict::allowed ? m_explained : nothing_explained;
    const auto counted = found->second.m_evidence.count(explained);
    // Servers that crashed together count once here, so that requests survive the loss of a zone.
    const std::size_t crashes = counted.m_count - (counted.m_together_at ? 1 : 0);
    return crashes + 1 >= part_evidence::min_crashes && counted.m_several_servers;
  });
}

std::vector<part_suspicion> part_crash_register::recent(std::size_t max_count, bool with_unchanged,
                                                        time_point now) const {
  std::vector<decltype(m_records)::const_iterator> candidates;
  for (auto each = m_records.begin(); each != m_records.end(); ++each) {
    if (with_unchanged
            ? !each->second.m_evidence.crashes().empty() || now - each->second.m_changed < spreading_time
            : now - each->second.m_changed < spreading_time) {
      candidates.push_back(each);
    }
  }
  const auto strength = [](const record& of) {
    return std::pair(std::max(of.m_evidence.crashes().size(), of.m_evidence.disproved()), of.m_changed);
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
    for (const auto& each : from.m_evidence.crashes()) {
      suspicion.m_crashes.push_back({each.m_server, age(each.m_at), each.m_events});
    }
    if (const auto& answered_at = from.m_evidence.answered_at()) {
      suspicion.m_answer_age = age(*answered_at);
    }
    if (const auto& progress = from.m_evidence.furthest_progress()) {
      suspicion.m_progress = {progress->m_events, age(progress->m_at)};
    }
    found.push_back(std::move(suspicion));
  }
  return found;
}

} // namespace cardamompond::fleet
