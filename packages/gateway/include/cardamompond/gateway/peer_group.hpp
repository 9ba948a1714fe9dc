#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/fleet_view.hpp"
#include "cardamompond/gateway/peer_report.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// Reports go out at this interval: short against the second or two that a generation lasts.
inline constexpr milliseconds report_interval{100};

// The other daemons of the group as this one hears them: which report, what they run, use and have seen, and
// whose collections are ahead. No socket and no clock; see peer_exchange for both.
class peer_group {
public:
  peer_group(admission_controller& admission, member self, std::vector<std::string> seeds,
             std::uint64_t incarnation);

  // Takes in a report; an older one than the last of the same daemon is dropped.
  void handle_report(const peer_report& report, time_point now);

  // Forgets daemons that fell silent and counts the members. Call it with each round of reports.
  void tick(time_point now);

  // The report of this daemon. Speeds change slowly and make a report long.
  peer_report make_report(bool with_speeds, bool leaving);

  // One round of reports.
  struct round {
    std::vector<std::string> m_same_zone;   // addresses of the daemons of the own zone
    std::vector<std::string> m_other_zones; // of the others
    bool m_with_speeds = false;
  };

  // Whom to tell now: near daemons each time and far ones more seldom, in turns where there are many.
  round next_round();

  // All near daemons at once, for news that must not wait.
  std::vector<std::string> announcement_addresses() const;

  // Whether other daemons read the collection from the store for this one, and lately enough.
  bool updated_by_peers(collection_kind kind, time_point now) const;

  // Replaces the addresses at which daemons may be found before the members are known.
  void set_seeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

  // Whether the daemon reports at present.
  bool is_live(std::string_view name) const { return m_peers.contains(name); }

  // A collection that a peer has had in a newer state for a while; fetch it from that address.
  struct lagging_collection {
    collection_kind m_kind = collection_kind::declarations;
    std::string m_peer_address;
  };
  std::optional<lagging_collection> find_lagging(time_point now) const;

  // Daemons heard within the last second or so, without this one.
  std::size_t live_peer_count() const { return m_peers.size(); }

  // Place of this daemon among those heard, in the order of a hash with `matter`; 0 is the first.
  std::size_t rank_for(std::string_view key) const;

private:
  struct peer {
    std::string m_availability_zone;
    std::string m_address;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    time_point m_last_report_at;
    std::array<collection_state, all_collection_kinds.size()> m_collections{};
    std::array<time_point, all_collection_kinds.size()> m_ahead_since{}; // epoch: not ahead
    std::map<std::uint32_t, double> m_quota_use;                         // last totals
    bool m_has_full_quota_use = false; // an account without a total had none then
  };

  // What this daemon admitted for an account, and since when.
  struct account_use {
    double m_units = 0;
    time_point m_last_change;
  };

  struct zone_addresses {
    std::vector<std::string> m_same_zone;
    std::vector<std::string> m_other_zones;
  };
  void add_quota_use(peer_report& report, time_point now);
  bool peer_ahead_with_large_content(collection_kind kind) const;
  zone_addresses known_addresses() const;
  bool small_group() const;
  duration silence_timeout(const peer& remote) const;
  void apply_quota_use(peer& remote, const peer_report& report, bool restarted, time_point now);
  void compare_collections(peer& remote, const peer_report& report, time_point now);

  admission_controller& m_admission;
  member m_self;
  std::vector<std::string> m_seeds;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;
  std::map<std::string, peer, std::less<>> m_peers;     // by name
  std::map<std::uint32_t, account_use> m_own_quota_use; // by key of the account
  std::uint64_t m_round_number = 0;
  std::size_t m_next_same_zone = 0;
  std::size_t m_next_other_zones = 0;
  std::size_t m_same_zone_count = 0;
  std::size_t m_other_zones_count = 0;
};

} // namespace cardamompond::gateway
