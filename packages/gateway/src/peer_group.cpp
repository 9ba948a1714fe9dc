#include "cardamompond/gateway/peer_group.hpp"

#include "cardamompond/core/hash.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace cardamompond::gateway {
namespace {

// A daemon counts as silent after this many missed reports, but not before the minimum time. Its share of the
// quotas stays reserved.
constexpr int max_missed_rounds = 5;
constexpr duration min_silence_timeout = milliseconds(1'000);

// Number of daemons assumed until the members are known, so that a daemon that does not know the group uses
// only a small share of the quotas.
constexpr std::size_t assumed_daemon_count = 16;

// In a group of up to this many daemons, all share one view of the backend servers; in a larger group, only
// the daemons of one zone do.
constexpr std::size_t small_group_size = 16;

// Daemons that report without being registered are kept up to this number. Whoever can send datagrams can
// invent names, and the state of one takes up to some 100 KB. A daemon registers when it starts.
constexpr std::size_t max_unregistered_peers = 128;

// Accounts whose totals are kept for one peer; more than declarations have.
constexpr std::size_t max_peer_accounts = 8'192;

// Daemons of the same zone are sent a report in each round, but at most this many of them, so that the cost
// per daemon does not grow with the group.
constexpr std::size_t max_same_zone_targets = 14;

// In a small group, each daemon in another zone is sent a report once in this many rounds, since traffic
// between zones is charged.
constexpr std::size_t other_zones_period = 2;

// In a large group, a zone sends a digest to each other zone once in this many rounds. Its daemons do so in
// turns that are not coordinated, so that several seconds may pass between two digests.
constexpr std::size_t digest_period = 10;

// Reports older than this are left out of digests.
constexpr duration max_digest_age = seconds(2);

// The reports in one datagram have at most this size together, unless a single one is larger. Such a datagram
// is not fragmented: a fragment that is lost on a bad link would lose all of them.
constexpr std::size_t max_digest_bytes = 1'200;

// A daemon of another zone of a large group counts as silent after this time.
constexpr duration other_zones_silence_timeout = seconds(8);

// Speeds change slowly; they are included once in this many rounds.
constexpr std::uint64_t speed_report_period = 8;

// The total of an account is included in reports for this long after its last change; some reports get lost,
// so one report would not be enough. All totals are included in one out of full_use_report_period cycles. A
// cycle is the number of rounds in which every daemon in other zones gets a report. A daemon serves a few
// callers and therefore few accounts at a time, whereas the totals of all accounts take up a third of a
// report.
constexpr duration recent_use_window = milliseconds(3'500);
constexpr std::size_t full_use_report_period = 6;
constexpr std::size_t use_report_cycle = 10;

// In a large group, this many daemons of a zone read the store for the others of the zone. With two, one may
// fail.
constexpr std::size_t readers_per_zone = 2;

// A daemon for which peers read the store reads it itself when its content has not been confirmed for this
// long. The limit is the duration of a watch plus that of a few reports.
constexpr duration max_unconfirmed_time = milliseconds(3'000);

// Watches of collections that change rarely last longer, so their limits are higher.
constexpr duration max_unconfirmed_time_of_members = seconds(14);
constexpr duration max_unconfirmed_time_of_orders = milliseconds(4'800);

// The watches of several daemons return within this time of one another. A daemon that watches the store
// itself fetches a collection from a peer only if it lags for longer.
constexpr duration tolerated_lag = milliseconds(250);

// Content above this size is read from the store, and fetched from a peer only if it has not arrived after
// the delay. Each fetch of half a megabyte occupies the peer's link of 10 Mbit/s for 0.4 s.
constexpr std::uint32_t large_content_bytes = 64'000;
constexpr duration large_content_fetch_delay = milliseconds(700);

// The totals of the load are included once in this many rounds. They are rates over some seconds; what waits
// is included in every report.
constexpr std::uint64_t load_total_report_period = 4;

// Number of contents suspected of crashing servers that one report includes.
constexpr std::size_t max_reported_crashes = 12;

// Interval at which the eras that the peers state are gone through.
constexpr duration era_update_interval = seconds(1);

// For how long peers are told that the store came back from a copy.
constexpr duration restore_report_time = seconds(10);

// Number of prompt parts suspected of crashing servers that one report includes. Suspicions that did not
// change recently are included for daemons that start later, as seldom as the speeds.
constexpr std::size_t max_reported_parts = 8;

using limit_scope = fleet::dispatcher::limit_scope;

// Returns the entries that the report with this number contains. If there are more than it may contain, they
// take turns. The turns begin at a hash of the number, since a daemon of a large zone gets only every n-th
// report.
template <typename T> std::vector<T> select_in_turns(std::vector<T> entries, std::uint64_t sequence) {
  if (entries.size() > max_reported_limits) {
    const auto first = static_cast<std::ptrdiff_t>(hash64(std::to_string(sequence)) % entries.size());
    std::rotate(entries.begin(), entries.begin() + first, entries.end());
    entries.resize(max_reported_limits);
  }
  return entries;
}

} // namespace

peer_group::peer_group(admission_controller& admission, member self, std::vector<std::string> seeds,
                       std::uint64_t incarnation)
    : m_admission(admission)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_incarnation(incarnation)
    , m_next_digest_target(hash64(m_self.m_name)) {}

bool peer_group::has_room_for(std::string_view daemon) const {
  const auto& members = m_admission.known_fleet().members();
  return m_peers.size() < members.size() + max_unregistered_peers ||
         std::any_of(members.begin(), members.end(),
                     [&](const member& each) { return each.m_name == daemon; });
}

void peer_group::handle_report(const peer_report& report, time_point received) {
  handle_report(report, received, received);
}

// `received` is when this daemon or, for a relayed report, the daemon that relayed it received the report.
void peer_group::handle_report(const peer_report& report, time_point received, time_point now) {
  if (report.m_daemon == m_self.m_name || report.m_daemon.empty()) {
    return;
  }
  const auto known = m_peers.find(report.m_daemon);
  if (known != m_peers.end() && (report.m_incarnation < known->second.m_incarnation ||
                                 (report.m_incarnation == known->second.m_incarnation &&
                                  report.m_sequence <= known->second.m_sequence))) {
    return;
  }
  if (report.m_leaving) {
    if (known != m_peers.end()) {
      m_peers.erase(known);
      m_admission.quotas().remove_remote_daemon(hash64(report.m_daemon));
      m_admission.dispatcher().set_peer_loads(report.m_daemon, {}, received);
      if (m_duty_peers != nullptr) {
        m_duty_peers->forget(report.m_daemon);
      }
    }
    return;
  }
  if (known == m_peers.end() && !has_room_for(report.m_daemon)) {
    ++m_refused_reports;
    return;
  }
  const bool restarted = known == m_peers.end() || known->second.m_incarnation != report.m_incarnation;
  if (known == m_peers.end()) {
    log_event(log_level::info, "peer_heard",
              {{"peer", report.m_daemon}, {"address", report.m_exchange_address}});
  }
  peer& remote = m_peers[report.m_daemon];
  remote.m_availability_zone = report.m_availability_zone;
  remote.m_address = report.m_exchange_address;
  remote.m_incarnation = report.m_incarnation;
  remote.m_sequence = report.m_sequence;
  remote.m_last_report_at = received;
  remote.m_passes_connections = report.m_passes_connections;
  if (report.m_availability_zone == m_self.m_availability_zone) {
    remote.m_last_report = report;
  }
  if (m_duty_peers != nullptr) {
    m_duty_peers->handle_report(report, received);
  }
  record_restore(report, received);
  compare_collections(remote, report, received);
  apply_quota_use(remote, report, restarted, received, now);
  m_admission.dispatcher().set_peer_loads(report.m_daemon, report.m_loads, received);
  m_admission.record_peer_limits(report.m_daemon, report.m_limits, report.m_demands, received);
  m_admission.record_peer_brittle(report.m_daemon, report.m_brittle, received);
  if (is_small_group() || report.m_availability_zone == m_self.m_availability_zone) {
    m_admission.dispatcher().set_peer_blocked(report.m_daemon, report.m_blocked, received);
    m_admission.dispatcher().set_peer_load_summaries(report.m_daemon, report.m_load_summaries, received);
  }
  apply_rollout_results(report);
  for (const auto& suspicion : report.m_crashes) {
    m_admission.crashes().merge(suspicion, received);
  }
  for (const auto& suspicion : report.m_part_suspicions) {
    m_admission.part_crashes().merge(suspicion, received);
  }
}

// Orders are identified by the revision at which they were created, which stands for another order in another
// era. The results of a peer in another era are left out until it has caught up.
void peer_group::apply_rollout_results(const peer_report& report) {
  const auto& stated = report.m_collections[static_cast<std::size_t>(collection_kind::rollouts)].m_as_of;
  const auto own = m_admission.known_fleet().collection(collection_kind::rollouts).as_of();
  const bool states_era = report.m_orders_era > 0 || stated.m_revision > 0;
  const std::uint64_t era = report.m_orders_era > 0 ? report.m_orders_era : stated.m_era;
  if (states_era && own.m_revision > 0 && era != own.m_era) {
    return;
  }
  m_admission.rollout_controller().set_peer_observations(report.m_daemon, report.m_incarnation,
                                                         report.m_outcomes);
  for (const auto& [service, created] : report.m_rolled_back_orders) {
    m_admission.rollout_controller().record_rollback(service, created, "found by " + report.m_daemon);
  }
}

// A daemon that started after the store came back cannot tell that from the list of servers. No daemon states
// an age above the time for which it tells its peers.
void peer_group::record_restore(const peer_report& report, time_point received) {
  if (!report.m_restore_age || *report.m_restore_age > restore_report_time) {
    return;
  }
  const auto& servers =
      report.m_collections[static_cast<std::size_t>(collection_kind::backend_servers)].m_as_of;
  m_admission.known_fleet().record_restore(servers.m_revision > 0 ? servers.m_era : report.m_orders_era,
                                           received - *report.m_restore_age);
}

std::size_t peer_group::handle_digest(const report_digest& digest, time_point now) {
  if (!is_from_other_zone(digest)) {
    return 0;
  }
  std::size_t malformed = 0;
  for (const auto& [age, encoded] : digest.m_reports) {
    if (auto report = decode_report(encoded); !report) {
      ++malformed;
    } else {
      report->m_availability_zone = digest.m_availability_zone;
      handle_report(*report, now - std::clamp<duration>(age, duration::zero(), max_digest_age), now);
    }
  }
  return malformed;
}

std::vector<report_digest> peer_group::make_digests(time_point now) {
  std::vector<report_digest> digests;
  std::size_t bytes = max_digest_bytes;
  const auto add = [&](peer_report report, duration age) {
    report.m_availability_zone.clear();
    std::string encoded = encode_report(report);
    if (bytes + encoded.size() > max_digest_bytes) {
      digests.push_back({m_self.m_availability_zone, {}, false});
      bytes = 0;
    }
    bytes += encoded.size();
    digests.back().m_reports.push_back({std::chrono::duration_cast<milliseconds>(age), std::move(encoded)});
  };
  // One digest in several carries all totals. Whether the peers' latest reports happen to do so depends on
  // the moment of the turn, which may be the same each time.
  const bool with_all_totals = (m_round_number / digest_period) % full_use_report_period == 0;
  peer_report own = make_report(false, false);
  own.m_limits =
      select_in_turns(m_admission.dispatcher().limit_statements(limit_scope::zone, now), own.m_sequence);
  own.m_brittle =
      select_in_turns(m_admission.dispatcher().brittle_statements(limit_scope::zone, now), own.m_sequence);
  own.m_load_summaries.clear();
  add(std::move(own), duration::zero());
  for (const auto& [name, each] : m_peers) {
    const duration age = now - each.m_last_report_at;
    if (each.m_availability_zone != m_self.m_availability_zone || age > max_digest_age) {
      continue;
    }
    peer_report shortened = each.m_last_report;
    if (!shortened.m_outcomes.empty() || !shortened.m_rolled_back_orders.empty() || shortened.m_restore_age) {
      shortened.m_orders_era =
          shortened.m_collections[static_cast<std::size_t>(collection_kind::rollouts)].m_as_of.m_era;
    }
    shortened.m_collections = {};       // those of this daemon are about the same
    shortened.m_load_summaries.clear(); // used in the own zone only
    shortened.m_limits.clear();         // the own report contains those of the zone
    shortened.m_brittle.clear();
    if (with_all_totals && each.m_has_full_quota_use) {
      shortened.m_quota_use.assign(each.m_quota_use.begin(), each.m_quota_use.end());
      shortened.m_recent_use_only = false;
    }
    std::erase_if(shortened.m_loads, [](const fleet::server_load& load) {
      return load.m_running == 0 && !load.m_failing && !load.m_leaving;
    });
    for (auto& load : shortened.m_loads) {
      load.m_speed = {};
      load.m_learned_limit = 0;
    }
    add(std::move(shortened), age);
  }
  return digests;
}

void peer_group::compare_collections(peer& remote, const peer_report& report, time_point now) {
  for (std::size_t i = 0; i < m_latest_eras.size(); ++i) {
    m_latest_eras[i] = std::max(m_latest_eras[i], report.m_collections[i].m_as_of.m_era);
  }
  remote.m_collections = report.m_collections;
  for (const auto kind : all_collection_kinds) {
    const auto index = static_cast<std::size_t>(kind);
    const collection_state& peer_state = report.m_collections[index];
    const bool ahead = peer_state.m_changed_at > m_admission.known_fleet().collection(kind).as_of();
    if (!ahead) {
      remote.m_ahead_since[index] = {};
      if (peer_state.m_as_of.m_revision > 0 && m_admission.known_fleet().collection(kind).loaded()) {
        // This daemon has every change that the peer knows of.
        m_admission.known_fleet().confirm(kind, peer_state.m_as_of, now - peer_state.m_age);
      }
    } else if (remote.m_ahead_since[index] == time_point{}) {
      remote.m_ahead_since[index] = now;
    }
  }
}

// Takes what the peer admitted since its last report out of the quotas. What it admitted before the first
// report that this daemon received is not counted: it was admitted either before the time that the quotas
// cover or out of the share that was reserved for the peer.
void peer_group::apply_quota_use(peer& remote, const peer_report& report, bool restarted, time_point received,
                                 time_point now) {
  if (restarted) {
    remote.m_quota_use.clear();
    remote.m_has_full_quota_use = false;
  }
  fleet::account_quotas& quotas = m_admission.quotas();
  const std::uint64_t daemon = hash64(report.m_daemon);
  const bool other_zone = remote.m_availability_zone != m_self.m_availability_zone;
  const bool late = !is_small_group() && other_zone;
  if (restarted || (other_zone && !late)) { // a new process, or a group that has become small
    quotas.remove_remote_daemon(daemon);
  }
  std::map<std::uint32_t, double> added_units;
  for (const auto& [account, units] : report.m_quota_use) {
    if (remote.m_quota_use.size() >= max_peer_accounts && !remote.m_quota_use.contains(account)) {
      continue;
    }
    const auto [previous_total, added] =
        remote.m_quota_use.try_emplace(account, remote.m_has_full_quota_use ? 0 : units);
    added_units[account] = units - previous_total->second;
    m_admission.dispatcher().record_peer_account_use(account, units - previous_total->second, now);
    previous_total->second = units;
  }
  for (const auto& [account, units] : added_units) {
    if (!late) {
      quotas.record_peer_use(account, units, received);
    }
  }
  for (const auto& [account, total] : remote.m_quota_use) {
    if (late) { // an account that the report leaves out was not used since the previous one
      const auto found = added_units.find(account);
      const double units = found == added_units.end() ? 0 : found->second;
      quotas.record_remote_use(daemon, account, units, received, m_same_zone_count + 1, now);
    }
  }
  remote.m_has_full_quota_use = remote.m_has_full_quota_use || !report.m_recent_use_only;
}

// The daemons of a zone start at about the same time, so their round numbers agree roughly. After restarts
// they do not, and the turns are spread at random.
bool peer_group::has_digest_turn() const {
  std::size_t zone_daemons = 1;
  std::size_t rank = 0;
  for (const auto& [name, each] : m_peers) {
    if (each.m_availability_zone == m_self.m_availability_zone) {
      ++zone_daemons;
      rank += name < m_self.m_name ? 1 : 0;
    }
  }
  return m_round_number % (digest_period * zone_daemons) == rank * digest_period;
}

bool peer_group::is_small_group() const {
  return m_same_zone_count + m_other_zones_count < small_group_size;
}

duration peer_group::silence_timeout(const peer& remote) const {
  const bool same_zone = remote.m_availability_zone == m_self.m_availability_zone;
  if (!same_zone && !is_small_group()) {
    return other_zones_silence_timeout;
  }
  const std::size_t rounds = same_zone ? m_same_zone_count / max_same_zone_targets + 1 : other_zones_period;
  return std::max<duration>(min_silence_timeout,
                            report_interval * static_cast<int>(rounds) * max_missed_rounds);
}

// Returns the registered daemons that share the quotas.
const member_retention::zone_by_name& peer_group::count_members(time_point now) {
  member_retention::zone_by_name listed;
  for (const auto& each : m_admission.known_fleet().members()) {
    listed.emplace(each.m_name, each.m_availability_zone);
  }
  const std::uint64_t era = m_admission.known_fleet().collection(collection_kind::members).as_of().m_era;
  const bool retained = m_member_retention.retains(now);
  const auto& counted = m_member_retention.update(era, listed, now);
  if (!retained && m_member_retention.retains(now)) {
    log_event(log_level::info, "members_retained",
              {{"era", era}, {"listed", listed.size()}, {"counted", counted.size()}});
  }
  return counted;
}

void peer_group::tick(time_point now) {
  m_admission.update_part_verdicts(now);
  m_admission.log_learned_limits();
  for (auto each = m_peers.begin(); each != m_peers.end();) {
    if (now - each->second.m_last_report_at <= silence_timeout(each->second)) {
      ++each;
      continue;
    }
    log_event(log_level::warning, "peer_silent",
              {{"peer", each->first},
               {"silent_ms",
                std::chrono::duration_cast<milliseconds>(now - each->second.m_last_report_at).count()}});
    m_admission.dispatcher().set_peer_loads(each->first, {}, now); // its requests ended with it
    if (m_duty_peers != nullptr) {
      m_duty_peers->forget(each->first);
    }
    m_admission.quotas().remove_remote_daemon(hash64(each->first));
    each = m_peers.erase(each);
  }
  update_latest_eras(now);
  std::map<std::string, std::string> zones = {{m_self.m_name, m_self.m_availability_zone}}; // by daemon name
  const bool known = m_admission.known_fleet().collection(collection_kind::members).loaded();
  if (known) {
    const auto& counted = count_members(now);
    zones.insert(counted.begin(), counted.end());
  }
  for (const auto& [name, each] : m_peers) {
    zones.emplace(name, each.m_availability_zone);
  }
  std::vector<fleet::daemon_location> registered;
  registered.reserve(zones.size() + assumed_daemon_count);
  for (const auto& [name, zone] : zones) {
    registered.push_back({name, zone});
  }
  for (std::size_t i = registered.size(); !known && i < assumed_daemon_count; ++i) {
    registered.push_back({"unknown-" + std::to_string(i), {}});
  }
  m_admission.set_members(std::move(registered), static_cast<std::uint32_t>(m_peers.size() + 1),
                          is_small_group());
}

peer_report peer_group::make_report(bool with_speeds, bool leaving) {
  const time_point now = monotonic_now();
  peer_report report;
  report.m_daemon = m_self.m_name;
  report.m_availability_zone = m_self.m_availability_zone;
  report.m_exchange_address = m_self.m_exchange_address;
  report.m_incarnation = m_incarnation;
  report.m_sequence = ++m_sequence;
  report.m_leaving = leaving;
  report.m_passes_connections = m_passes_connections && !leaving;
  for (const auto kind : all_collection_kinds) {
    const auto& from = m_admission.known_fleet().collection(kind);
    report.m_collections[static_cast<std::size_t>(kind)] = {
        from.as_of(), from.changed_at(), std::chrono::duration_cast<milliseconds>(now - from.confirmed_at()),
        static_cast<std::uint32_t>(from.bytes()),
        from.read_since() == time_point{}
            ? milliseconds(0)
            : std::chrono::duration_cast<milliseconds>(now - from.read_since())};
  }
  for (auto& load : m_admission.dispatcher().own_loads(now)) {
    if (!with_speeds) {
      load.m_speed = {};
      load.m_learned_limit = 0;
    }
    if (load.m_running > 0 || load.m_failing || load.m_leaving || load.m_speed.m_samples > 0 ||
        load.m_work_time.m_percent > 0) {
      report.m_loads.push_back(load);
    }
  }
  add_quota_use(report, now);
  report.m_blocked = m_admission.dispatcher().own_blocked();
  report.m_load_summaries = m_admission.dispatcher().own_load_summaries(has_load_totals_turn());
  report.m_limits = select_in_turns(
      m_admission.dispatcher().limit_statements(with_speeds ? limit_scope::own : limit_scope::recent, now),
      report.m_sequence);
  report.m_brittle = select_in_turns(
      m_admission.dispatcher().brittle_statements(with_speeds ? limit_scope::own : limit_scope::recent, now),
      report.m_sequence);
  report.m_demands = select_in_turns(m_admission.dispatcher().own_demands(now), report.m_sequence);
  if (const auto restored_at = m_admission.known_fleet().restored_at();
      restored_at && now - *restored_at <= restore_report_time) {
    report.m_restore_age = std::chrono::duration_cast<milliseconds>(now - *restored_at);
  }
  report.m_outcomes = m_admission.rollout_controller().own_observations();
  report.m_rolled_back_orders = m_admission.rollout_controller().rolled_back_orders();
  report.m_crashes = m_admission.crashes().recent(max_reported_crashes, now);
  report.m_part_suspicions = m_admission.part_crashes().recent(max_reported_parts, with_speeds, now);
  if (m_duty_peers != nullptr) {
    m_duty_peers->add_to_report(report);
  }
  return report;
}

// As for the speeds, the totals are sent for a full turn of the daemons of the zone.
bool peer_group::has_load_totals_turn() const {
  const std::uint64_t same_zone_turns = m_same_zone_count / max_same_zone_targets + 1;
  return (m_round_number / same_zone_turns) % load_total_report_period == 0;
}

void peer_group::add_quota_use(peer_report& report, time_point now) {
  report.m_recent_use_only = m_round_number % (use_report_cycle * full_use_report_period) >= use_report_cycle;
  for (const auto& [account, units] : m_admission.quotas().admitted_units()) {
    auto& reported_use = m_own_quota_use[account];
    if (reported_use.m_units != units) {
      reported_use = {units, now};
    }
    if (!report.m_recent_use_only || now - reported_use.m_last_change < recent_use_window) {
      report.m_quota_use.emplace_back(account, units);
    }
  }
}

peer_group::zone_addresses peer_group::known_addresses() const {
  std::map<std::string, std::string> zone_by_address;
  for (const auto& seed : m_seeds) {
    zone_by_address.emplace(seed, std::string()); // not known yet
  }
  for (const auto& each : m_admission.known_fleet().members()) {
    zone_by_address[each.m_exchange_address] = each.m_availability_zone;
  }
  for (const auto& [name, each] : m_peers) {
    zone_by_address[each.m_address] = each.m_availability_zone;
  }
  zone_by_address.erase(m_self.m_exchange_address);
  zone_addresses known;
  for (const auto& [address, zone] : zone_by_address) {
    (zone == m_self.m_availability_zone ? known.m_same_zone : known.m_other_zones).push_back(address);
  }
  return known;
}

std::vector<std::string> peer_group::announcement_addresses() const {
  auto known = known_addresses();
  if (is_small_group()) {
    known.m_same_zone.insert(known.m_same_zone.end(), known.m_other_zones.begin(), known.m_other_zones.end());
  }
  return known.m_same_zone;
}

peer_group::round peer_group::next_round() {
  const auto known = known_addresses();
  m_same_zone_count = known.m_same_zone.size();
  m_other_zones_count = known.m_other_zones.size();
  const auto select_in_turn = [](const std::vector<std::string>& from, std::size_t max_count,
                                 std::size_t& next_index) {
    std::vector<std::string> selected;
    for (std::size_t i = 0; i < std::min(max_count, from.size()); ++i) {
      selected.push_back(from[(next_index + i) % from.size()]);
    }
    next_index = from.empty() ? 0 : (next_index + selected.size()) % from.size();
    return selected;
  };
  round next;
  next.m_same_zone = select_in_turn(known.m_same_zone, max_same_zone_targets, m_next_same_zone_index);
  if (is_small_group()) {
    const std::size_t targets = (m_other_zones_count + other_zones_period - 1) / other_zones_period;
    next.m_other_zones = select_in_turn(known.m_other_zones, targets, m_next_other_zones_index);
  } else if (has_digest_turn()) {
    next.m_digests = next_digest_targets();
  }
  // Where the daemons of the zone take turns, the speeds are sent for a full turn, so that each daemon gets
  // them.
  const std::uint64_t same_zone_turns = m_same_zone_count / max_same_zone_targets + 1;
  next.m_with_speeds = (m_round_number / same_zone_turns) % speed_report_period == 0;
  ++m_round_number;
  if (is_small_group()) {
    next.m_same_zone.insert(next.m_same_zone.end(), next.m_other_zones.begin(), next.m_other_zones.end());
    next.m_other_zones.clear();
  }
  return next;
}

// Returns one daemon of each other zone, in turns: a live one, or any that is registered if none is live.
std::vector<std::string> peer_group::next_digest_targets() {
  std::map<std::string, std::vector<std::string>> by_zone;
  for (const auto& [name, each] : m_peers) {
    by_zone[each.m_availability_zone].push_back(each.m_address);
  }
  std::map<std::string, std::vector<std::string>> registered;
  for (const auto& each : m_admission.known_fleet().members()) {
    registered[each.m_availability_zone].push_back(each.m_exchange_address);
  }
  by_zone.merge(registered); // adds the zones without live peers
  by_zone.erase(m_self.m_availability_zone);
  std::vector<std::string> targets;
  targets.reserve(by_zone.size());
  for (const auto& [zone, addresses] : by_zone) {
    targets.push_back(addresses[m_next_digest_target % addresses.size()]);
  }
  ++m_next_digest_target;
  return targets;
}

bool peer_group::has_peer_ahead_with_large_content(collection_kind kind) const {
  const auto own_version = m_admission.known_fleet().collection(kind).as_of();
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& each) {
    const collection_state& peer_state = each.second.m_collections[static_cast<std::size_t>(kind)];
    return peer_state.m_changed_at > own_version && peer_state.m_bytes > large_content_bytes;
  });
}

bool peer_group::updated_by_peers(collection_kind kind, time_point now) const {
  if (is_small_group()) {
    return false; // few daemons make few calls, so each reads the store itself
  }
  const auto weight = [&](std::string_view name) { return hash64(name, hash64(to_string(kind))); };
  const auto own_weight = weight(m_self.m_name);
  const auto higher_ranked = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& each) {
    return each.second.m_availability_zone == m_self.m_availability_zone && weight(each.first) > own_weight;
  });
  if (static_cast<std::size_t>(higher_ranked) < readers_per_zone) {
    return false;
  }
  if (has_peer_ahead_with_large_content(kind)) {
    return false; // the store's link can serve all daemons at once, the links of the peers cannot
  }
  const duration limit = kind == collection_kind::members ? max_unconfirmed_time_of_members
                         : kind == collection_kind::declarations || kind == collection_kind::backend_servers
                             ? max_unconfirmed_time
                             : max_unconfirmed_time_of_orders;
  return now - m_admission.known_fleet().collection(kind).confirmed_at() < limit;
}

bool peer_group::is_read_by_peers_since(collection_kind kind, time_point since, store_version as_of) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& each) {
    const peer& remote = each.second;
    const collection_state& state = remote.m_collections[static_cast<std::size_t>(kind)];
    return state.m_as_of.m_era == as_of.m_era && state.m_read_for > milliseconds(0) &&
           remote.m_last_report_at > since && remote.m_last_report_at - state.m_read_for <= since &&
           (remote.m_last_report_at - state.m_age > since || state.m_changed_at > as_of);
  });
}

// A later era counts at once. One that no peer states any more is forgotten here, since the era is asked for
// several times a second and a group may have thousands of peers.
void peer_group::update_latest_eras(time_point now) {
  if (now < m_eras_updated_at + era_update_interval) {
    return;
  }
  m_eras_updated_at = now;
  m_latest_eras = {};
  for (const auto& [name, each] : m_peers) {
    for (std::size_t i = 0; i < m_latest_eras.size(); ++i) {
      m_latest_eras[i] = std::max(m_latest_eras[i], each.m_collections[i].m_as_of.m_era);
    }
  }
}

std::optional<peer_group::lagging_collection> peer_group::find_lagging_collection(time_point now) const {
  for (const auto kind : all_collection_kinds) {
    const auto index = static_cast<std::size_t>(kind);
    const auto& known = m_admission.known_fleet().collection(kind);
    const auto own_version = known.as_of();
    const bool accepts_later_era = !known.loaded() || known.store_out_of_reach();
    const duration min_lag = has_peer_ahead_with_large_content(kind) ? duration(large_content_fetch_delay)
                             : own_version == store_version() || updated_by_peers(kind, now)
                                 ? duration::zero()
                                 : duration(tolerated_lag);
    const peer* best_source = nullptr;
    for (const auto& [name, each] : m_peers) {
      const bool ahead =
          each.m_collections[index].m_changed_at > own_version &&
          (accepts_later_era || each.m_collections[index].m_as_of.m_era == own_version.m_era) &&
          each.m_ahead_since[index] != time_point{} && now - each.m_ahead_since[index] >= min_lag;
      // Prefers peers in the same zone, since traffic between zones is charged. The hash differs for each
      // daemon and after each failure: when all daemons start at once, a peer that all fetch from serves none
      // in time.
      const auto preference = [&](const peer& remote) {
        return std::pair(remote.m_availability_zone == m_self.m_availability_zone,
                         hash64(remote.m_address,
                                hash64(m_self.m_name, own_version.m_revision + m_fetch_failures[index])));
      };
      if (ahead && (best_source == nullptr || preference(each) > preference(*best_source))) {
        best_source = &each;
      }
    }
    if (best_source != nullptr) {
      return lagging_collection{kind, best_source->m_address, best_source->m_collections[index].m_bytes};
    }
  }
  return std::nullopt;
}

std::vector<member> peer_group::connection_helpers() const {
  std::vector<member> helpers;
  for (const auto& [name, each] : m_peers) {
    if (each.m_passes_connections) {
      helpers.push_back({name, each.m_availability_zone, each.m_address});
    }
  }
  return helpers;
}

std::vector<member> peer_group::daemons_of_zone(std::string_view zone, std::string_view key) const {
  std::vector<member> daemons;
  for (const auto& [name, each] : m_peers) {
    if (each.m_availability_zone == zone) {
      daemons.push_back({name, each.m_availability_zone, each.m_address});
    }
  }
  if (zone == m_self.m_availability_zone) {
    daemons.push_back(m_self);
  }
  if (daemons.empty()) {
    const auto& members = m_admission.known_fleet().members();
    std::copy_if(members.begin(), members.end(), std::back_inserter(daemons),
                 [&](const member& each) { return each.m_availability_zone == zone; });
  }
  const auto weight = [&](const member& each) { return hash64(each.m_name, hash64(key)); };
  std::sort(daemons.begin(), daemons.end(),
            [&](const member& a, const member& b) { return weight(a) > weight(b); });
  return daemons;
}

std::vector<std::string> peer_group::zones() const {
  std::set<std::string> zones = {m_self.m_availability_zone};
  for (const auto& each : m_admission.known_fleet().members()) {
    zones.insert(each.m_availability_zone);
  }
  for (const auto& [name, each] : m_peers) {
    zones.insert(each.m_availability_zone);
  }
  return {zones.begin(), zones.end()};
}

std::size_t peer_group::rank_for(std::string_view key) const {
  const auto weight = [&](std::string_view name) { return hash64(name, hash64(key)); };
  const auto own_weight = weight(m_self.m_name);
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.end(), [&](const auto& each) { return weight(each.first) > own_weight; }));
}

} // namespace cardamompond::gateway
