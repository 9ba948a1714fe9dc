#include "cardamompond/gateway/peer_group.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <set>

namespace cardamompond::gateway {
namespace {

// A daemon that has not reported for this many of its rounds, and at least this long, counts as silent: its
// share of the quotas stays reserved.
constexpr int silent_rounds = 5;
constexpr duration min_silence = milliseconds(1'000);

// Members that are assumed while none is known, so that a daemon that knows nothing takes a small share only.
constexpr std::size_t assumed_members = 16;

// Reports of one round. A larger group is served in turns, so that the cost of a daemon does not grow with it.
constexpr std::size_t max_targets_per_round = 14;

// Watches of several daemons return within this time; only one that stays behind fetches from a peer.
constexpr duration tolerated_lag = milliseconds(250);

// Contents suspected of crashing servers in one report.
constexpr std::size_t max_reported_crashes = 12;

} // namespace

peer_group::peer_group(admission& decisions, member self, std::vector<std::string> seeds,
                       std::uint64_t incarnation)
    : m_admission(decisions)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_incarnation(incarnation) {}

void peer_group::note_report(const peer_report& report, time_point now) {
  if (report.m_daemon == m_self.m_name || report.m_daemon.empty()) {
    return;
  }
  const auto known = m_peers.find(report.m_daemon);
  if (known != m_peers.end() &&
      (report.m_incarnation < known->second.m_incarnation ||
       (report.m_incarnation == known->second.m_incarnation && report.m_sequence <= known->second.m_sequence))) {
    return;
  }
  if (report.m_leaving) {
    if (known != m_peers.end()) {
      m_peers.erase(known);
      m_admission.dispatcher().note_peer_loads(report.m_daemon, {}, now);
    }
    return;
  }
  const bool restarted = known == m_peers.end() || known->second.m_incarnation != report.m_incarnation;
  if (known == m_peers.end()) {
    log_event(log_level::info, "peer_heard", {{"peer", report.m_daemon}, {"address", report.m_exchange_address}});
  }
  peer& of = m_peers[report.m_daemon];
  of.m_address = report.m_exchange_address;
  of.m_incarnation = report.m_incarnation;
  of.m_sequence = report.m_sequence;
  of.m_heard = now;
  note_collections(of, report, now);
  note_quota_use(of, report, restarted, now);
  m_admission.dispatcher().note_peer_loads(report.m_daemon, report.m_loads, now);
  m_admission.judge().note_peer(report.m_daemon, report.m_outcomes);
  for (const auto& [service, created] : report.m_taken_back) {
    m_admission.judge().note_taken_back(service, created, "found by " + report.m_daemon);
  }
  for (const auto& suspicion : report.m_crashes) {
    m_admission.crashes().merge(suspicion, now);
  }
}

void peer_group::note_collections(peer& of, const peer_report& report, time_point now) {
  of.m_collections = report.m_collections;
  for (const auto kind : all_collections) {
    const auto index = static_cast<std::size_t>(kind);
    const bool ahead = report.m_collections[index].m_changed_at > m_admission.knowledge().of(kind).as_of();
    if (!ahead) {
      of.m_ahead_since[index] = {};
    } else if (of.m_ahead_since[index] == time_point{}) {
      of.m_ahead_since[index] = now;
    }
  }
}

// What a daemon admitted before this one heard of it is not counted: it lies before the window or in the share
// that was reserved for it.
void peer_group::note_quota_use(peer& of, const peer_report& report, bool restarted, time_point now) {
  std::map<std::string, double, std::less<>> use(report.m_quota_use.begin(), report.m_quota_use.end());
  if (!restarted) {
    for (const auto& [account, units] : use) {
      const auto before = of.m_quota_use.find(account);
      m_admission.quota().note_peer_use(account, units - (before == of.m_quota_use.end() ? 0 : before->second),
                                        now);
    }
  }
  of.m_quota_use = std::move(use);
}

duration peer_group::silent_after() const {
  const auto rounds = static_cast<int>(m_target_count / max_targets_per_round + 1);
  return std::max<duration>(min_silence, report_interval * rounds * silent_rounds);
}

void peer_group::tick(time_point now) {
  for (auto each = m_peers.begin(); each != m_peers.end();) {
    if (now - each->second.m_heard <= silent_after()) {
      ++each;
      continue;
    }
    log_event(log_level::warning, "peer_silent",
              {{"peer", each->first},
               {"silent_ms", std::chrono::duration_cast<milliseconds>(now - each->second.m_heard).count()}});
    each = m_peers.erase(each);
  }
  std::set<std::string> names = {m_self.m_name};
  for (const auto& each : m_admission.knowledge().members()) {
    names.insert(each.m_name);
  }
  for (const auto& [name, each] : m_peers) {
    names.insert(name);
  }
  std::vector<std::string> registered(names.begin(), names.end());
  for (std::size_t i = registered.size(); !m_admission.knowledge().of(collection_kind::members).known() && i < assumed_members; ++i) {
    registered.push_back("unknown-" + std::to_string(i));
  }
  m_admission.set_members(std::move(registered), static_cast<std::uint32_t>(m_peers.size() + 1));
}

peer_report peer_group::make_report(bool leaving) {
  const time_point now = monotonic_now();
  peer_report report;
  report.m_daemon = m_self.m_name;
  report.m_exchange_address = m_self.m_exchange_address;
  report.m_incarnation = m_incarnation;
  report.m_sequence = ++m_sequence;
  report.m_leaving = leaving;
  for (const auto kind : all_collections) {
    const auto& from = m_admission.knowledge().of(kind);
    report.m_collections[static_cast<std::size_t>(kind)] = {from.as_of(), from.changed_at()};
  }
  report.m_loads = m_admission.dispatcher().own_loads();
  for (const auto& [account, units] : m_admission.quota().admitted()) {
    report.m_quota_use.emplace_back(account, units);
  }
  report.m_outcomes = m_admission.judge().own_observations();
  report.m_taken_back = m_admission.judge().taken_back();
  report.m_crashes = m_admission.crashes().recent(max_reported_crashes, now);
  return report;
}

std::vector<std::string> peer_group::next_targets() {
  std::set<std::string> addresses(m_seeds.begin(), m_seeds.end());
  for (const auto& each : m_admission.knowledge().members()) {
    addresses.insert(each.m_exchange_address);
  }
  for (const auto& [name, each] : m_peers) {
    addresses.insert(each.m_address);
  }
  addresses.erase(m_self.m_exchange_address);
  std::vector<std::string> all(addresses.begin(), addresses.end());
  m_target_count = all.size();
  if (all.size() <= max_targets_per_round) {
    return all;
  }
  std::vector<std::string> some;
  for (std::size_t i = 0; i < max_targets_per_round; ++i) {
    some.push_back(all[(m_next_target + i) % all.size()]);
  }
  m_next_target = (m_next_target + max_targets_per_round) % all.size();
  return some;
}

std::optional<peer_group::lagging_collection> peer_group::find_lagging(time_point now) const {
  for (const auto kind : all_collections) {
    const auto index = static_cast<std::size_t>(kind);
    const auto own = m_admission.knowledge().of(kind).as_of();
    const peer* best = nullptr;
    for (const auto& [name, each] : m_peers) {
      const bool ahead = each.m_collections[index].m_changed_at > own && each.m_ahead_since[index] != time_point{} &&
                         (own == 0 || now - each.m_ahead_since[index] >= tolerated_lag);
      if (ahead && (best == nullptr || each.m_collections[index].m_as_of > best->m_collections[index].m_as_of)) {
        best = &each;
      }
    }
    if (best != nullptr) {
      return lagging_collection{kind, best->m_address};
    }
  }
  return std::nullopt;
}

std::size_t peer_group::rank_for(std::string_view matter) const {
  const auto weight = [&](std::string_view name) { return hash64(name, hash64(matter)); };
  const auto own = weight(m_self.m_name);
  return static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                                [&](const auto& each) { return weight(each.first) > own; }));
}

} // namespace cardamompond::gateway
