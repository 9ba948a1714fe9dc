#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/duty_peers.hpp"
#include "cardamompond/gateway/fleet_view.hpp"
#include "cardamompond/gateway/member_retention.hpp"
#include "cardamompond/gateway/peer_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// Interval between two reports. It is short compared with the one to two seconds that a generation takes.
inline constexpr milliseconds report_interval{100};

// The other daemons of the group as known from their reports. Tracks which daemons are live, passes their
// server loads, quota use, rollout outcomes and crash suspicions on to the admission controller, and finds
// collections of which a peer has a newer copy. It has no socket; peer_exchange sends and receives the
// reports.
class peer_group {
public:
  peer_group(admission_controller& admission, member self, std::vector<std::string> seeds,
             std::uint64_t incarnation);

  // Processes a report that was received at the given time. A report that is older than the last one of the
  // same daemon is dropped.
  void handle_report(const peer_report& report, time_point received);

  // Whether the digest contains reports of another zone, which the daemons of this one need.
  bool is_from_other_zone(const report_digest& digest) const {
    return digest.m_availability_zone != m_self.m_availability_zone;
  }

  // Processes the reports of a digest from another zone. Returns the number of reports that could not be
  // decoded.
  std::size_t handle_digest(const report_digest& digest, time_point now);

  // Returns the latest reports of the daemons of this zone, this one included, in digests of the size of a
  // datagram.
  std::vector<report_digest> make_digests(time_point now);

  // Removes peers that stopped reporting and updates the members of the admission controller. Must be called
  // with each round of reports.
  void tick(time_point now);

  // Creates the next report of this daemon. Speeds change slowly and make a report long, so most reports
  // leave them out.
  peer_report make_report(bool with_speeds, bool leaving);

  // The recipients of one round of reports.
  struct round {
    std::vector<std::string> m_same_zone;   // addresses of daemons in the zone of this daemon
    std::vector<std::string> m_other_zones; // addresses of daemons in other zones
    std::vector<std::string> m_digests;     // addresses of daemons in other zones that get digests instead
    bool m_with_speeds = false;
  };

  // Returns the recipients of the next round. Daemons in the same zone are sent a report in every round;
  // where there are too many for one round, they take turns. In a small group, those in other zones are sent
  // one less often. In a large group, the daemons of a zone take turns in sending a digest of its reports to
  // one daemon of each other zone, which forwards it to its zone. So the traffic between zones does not grow
  // with the product of their sizes, and depends on no particular daemon.
  round next_round();

  // Returns the addresses of the daemons in the same zone, to which a digest is forwarded.
  std::vector<std::string> same_zone_addresses() const { return known_addresses().m_same_zone; }

  // The recipients of a report that must not wait: all daemons in the same zone, and in a small group those
  // in other zones, too.
  std::vector<std::string> announcement_addresses() const;

  // Whether peers read the collection from the store and pass changes on to this daemon, and confirmed its
  // content recently enough.
  bool updated_by_peers(collection_kind kind, time_point now) const;

  // Whether a live peer has read the collection from the store without a failure since before the time
  // `since`, and has heard of the store after it or knows a change after the version `as_of`, the last that
  // this daemon knew then. An outage of the store that this daemon saw from then on was its own. The change
  // counts because the cut may have begun some seconds before this daemon noticed it, and watches without a
  // change last as long. A peer in another era does not count: the entries may have been lost with this one.
  bool is_read_by_peers_since(collection_kind kind, time_point since, store_version as_of) const;

  // Returns the latest era of the store that a live peer states for its copy of the collection; 0 if none
  // does. It is a reason to read the store, not yet a fact: a report may be wrong.
  std::uint64_t latest_peer_era(collection_kind kind) const {
    return m_latest_eras[static_cast<std::size_t>(kind)];
  }

  // Replaces the addresses of daemons to contact before the members are known.
  void set_seeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

  // Sets what keeps the peers' clocks and duties. Without it, reports contain neither.
  void set_duty_peers(duty_peers* duties) { m_duty_peers = duties; }

  // Sets whether reports state that this daemon reaches servers and connects peers that do not.
  void set_passes_connections(bool passes) { m_passes_connections = passes; }

  // Returns the live peers that reach servers and pass connections on.
  std::vector<member> connection_helpers() const;

  // Returns the live daemons of a zone in the rendezvous-hash order of `key`, this one included. If there are
  // none, returns those that are registered.
  std::vector<member> daemons_of_zone(std::string_view zone, std::string_view key) const;

  // Returns the zones of all registered and live daemons.
  std::vector<std::string> zones() const;

  const member& self() const { return m_self; }
  fleet_view& known_fleet() const { return m_admission.known_fleet(); }

  // Whether the daemon is a live peer, that is, reports at present.
  bool is_live(std::string_view name) const { return m_peers.contains(name); }

  // A collection of which a peer has a newer copy, and the address to fetch it from.
  struct lagging_collection {
    collection_kind m_kind = collection_kind::declarations;
    std::string m_peer_address;
    std::uint32_t m_bytes = 0; // size of the content
  };

  // Returns a collection that peers have had in a newer state for longer than this daemon tolerates. The
  // state of a later era is left to an own read of the store, unless the store is out of reach.
  std::optional<lagging_collection> find_lagging_collection(time_point now) const;

  // Makes the next fetch of the collection try another peer.
  void record_fetch_failure(collection_kind kind) { ++m_fetch_failures[static_cast<std::size_t>(kind)]; }

  // Number of peers that reported recently. This daemon is not counted.
  std::size_t live_peer_count() const { return m_peers.size(); }

  // Number of reports of unregistered daemons that were ignored because there were too many of these.
  std::uint64_t refused_reports() const { return m_refused_reports; }

  // Rank of this daemon among the live daemons in the rendezvous-hash order of `key`; 0 is the first.
  std::size_t rank_for(std::string_view key) const;

private:
  struct peer {
    std::string m_availability_zone;
    std::string m_address;
    peer_report m_last_report; // kept for digests if the peer is in the same zone
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    time_point m_last_report_at;
    std::array<collection_state, all_collection_kinds.size()> m_collections{};
    std::array<time_point, all_collection_kinds.size()> m_ahead_since{}; // time_point{}: not ahead
    std::map<std::uint32_t, double> m_quota_use;                         // last reported totals
    bool m_passes_connections = false;
    bool m_has_full_quota_use = false; // accounts missing from m_quota_use have a total of 0
  };

  // What this daemon admitted for an account, and when that total last changed.
  struct account_use {
    double m_units = 0;
    time_point m_last_change;
  };

  struct zone_addresses {
    std::vector<std::string> m_same_zone;
    std::vector<std::string> m_other_zones;
  };
  bool has_room_for(std::string_view daemon) const;
  void add_quota_use(peer_report& report, time_point now);
  bool has_peer_ahead_with_large_content(collection_kind kind) const;
  zone_addresses known_addresses() const;
  bool is_small_group() const;
  bool has_digest_turn() const;
  bool has_load_totals_turn() const;
  std::vector<std::string> next_digest_targets();
  duration silence_timeout(const peer& remote) const;
  void handle_report(const peer_report& report, time_point received, time_point now);
  void apply_quota_use(peer& remote, const peer_report& report, bool restarted, time_point received,
                       time_point now);
  const member_retention::zone_by_name& count_members(time_point now);
  void apply_rollout_results(const peer_report& report);
  void record_restore(const peer_report& report, time_point received);
  void update_latest_eras(time_point now);
  void compare_collections(peer& remote, const peer_report& report, time_point now);

  admission_controller& m_admission;
  member m_self;
  duty_peers* m_duty_peers = nullptr;
  bool m_passes_connections = false;
  std::vector<std::string> m_seeds;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  std::map<std::string, peer, std::less<>> m_peers;                       // by name
  std::array<std::uint64_t, all_collection_kinds.size()> m_latest_eras{}; // that peers state, by collection
  time_point m_eras_updated_at;
  member_retention m_member_retention;
  std::map<std::uint32_t, account_use> m_own_quota_use; // by hash of the account name
  std::uint64_t m_refused_reports = 0;
  std::uint64_t m_round_number = 0;
  std::size_t m_next_same_zone_index = 0;
  std::size_t m_next_other_zones_index = 0;
  std::size_t m_next_digest_target = 0;
  std::array<std::uint64_t, all_collection_kinds.size()> m_fetch_failures{}; // since the start
  // Numbers of other daemons whose addresses were known at the last round.
  std::size_t m_same_zone_count = 0;
  std::size_t m_other_zones_count = 0;
};

} // namespace cardamompond::gateway
