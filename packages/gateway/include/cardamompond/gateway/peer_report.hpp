#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/fleet/crash_register.hpp"
#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/fleet/duty_claim.hpp"
#include "cardamompond/fleet/part_crash_register.hpp"
#include "cardamompond/fleet/rollout_controller.hpp"
#include "cardamompond/fleet/stated_limit.hpp"
#include "cardamompond/fleet/usage_windows.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cardamompond::gateway {

// State of the sender's copy of one collection.
struct collection_state {
  store_version m_as_of;
  store_version m_changed_at; // of the same era
  milliseconds m_age{0};      // time since the copy was last known to equal the content of the store
  std::uint32_t m_bytes = 0;  // size of the content
  // How long the sender has read the collection from the store without a failure; 0: it does not read it now.
  milliseconds m_read_for{0};
};

// Number of limits of servers, and of demands, that one report contains at most; a report fits one packet.
inline constexpr std::size_t max_reported_limits = 64;

// What one daemon reports to the others. Totals count from the start of the daemon.
struct peer_report {
  std::string m_daemon;
  std::string m_availability_zone;
  std::string m_exchange_address;
  std::uint64_t m_incarnation = 0;   // increases with each start
  std::uint64_t m_sequence = 0;      // increases with each report
  bool m_leaving = false;            // the sender is stopping
  bool m_passes_connections = false; // the sender reaches servers, and connects peers that do not
  std::array<collection_state, all_collection_kinds.size()> m_collections{};
  std::vector<fleet::server_load> m_loads;
  std::vector<std::pair<std::uint32_t, double>> m_quota_use; // units admitted, by hash of the account name
  bool m_recent_use_only = false; // m_quota_use leaves out accounts whose total did not change recently
  std::vector<fleet::version_observation> m_outcomes;
  // Rollout orders that the sender knows to be rolled back: the service, and the revision at which the order
  // was created.
  std::vector<std::pair<std::string, std::uint64_t>> m_rolled_back_orders;
  // Era of the store of the revisions in m_outcomes and m_rolled_back_orders, in reports that are passed on
  // without m_collections; 0: that of the rollouts there, or, if they are left out, not stated by an earlier
  // version.
  std::uint64_t m_orders_era = 0;
  // Time since the sender noticed that the store came back from a copy; nothing: not lately.
  std::optional<milliseconds> m_restore_age;
  std::vector<fleet::crash_suspicion> m_crashes;
  std::vector<fleet::part_suspicion> m_part_suspicions;
  fleet::blocked_totals m_blocked{};
  std::int64_t m_wall_clock_ms = 0; // when the report was made; 0 where no duties are configured
  std::vector<std::pair<fleet::duty, std::uint64_t>> m_held_duties; // with their tokens
  std::vector<fleet::load_summary> m_load_summaries;                // of the services with overload control
  std::vector<fleet::limit_statement> m_limits;    // what servers stated about the rate that they take
  std::vector<fleet::service_demand> m_demands;    // for services that have servers with limits
  std::vector<fleet::brittle_statement> m_brittle; // what servers stated about rejections
};

// A report that a daemon passes on.
struct relayed_report {
  milliseconds m_age{0}; // time since the relaying daemon received it
  std::string m_encoded; // without the availability zone; most leave out the collections
};

// Reports of the daemons of one availability zone, for the daemons of another one.
struct report_digest {
  std::string m_availability_zone; // of all daemons that it contains
  std::vector<relayed_report> m_reports;
  bool m_forwarded = false; // passed on within the zone of the receiver
};

// Why a message of a peer could not be decoded.
struct malformed_message {
  std::string m_reason;
};

std::string encode_report(const peer_report& report);
std::string encode_digest(const report_digest& digest);

std::string encode_usage(const fleet::usage_statement& statement);

// A datagram is a report, a digest of reports or a statement about usage.
using peer_message = std::variant<peer_report, report_digest, fleet::usage_statement>;
result<peer_message, malformed_message> decode_message(std::span<const char> bytes);

// Fails if the message is not a report.
result<peer_report, malformed_message> decode_report(std::span<const char> bytes);

std::string encode_usage_list(std::span<const fleet::usage_statement> statements);
result<std::vector<fleet::usage_statement>, malformed_message> decode_usage_list(std::span<const char> bytes);

std::string encode_snapshot(const collection_snapshot& snapshot);
result<collection_snapshot, malformed_message> decode_snapshot(std::span<const char> bytes);

} // namespace cardamompond::gateway
