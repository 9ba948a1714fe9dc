#include "dispatcher_impl.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cardamompond::fleet {
namespace {

// Servers that state less are sent this many requests per second, because only an answer shows that a limit
// has ended.
constexpr double min_rate = 0.2;

// Upper bound of what a server or a peer may state.
constexpr double max_rate = 1e6;

// Times for which peers are told what a server stated. The end of a limit is told for longer, because daemons
// that send the server nothing learn of it only by reports.
constexpr duration recent_statement_time = seconds(2);
constexpr duration statement_time = seconds(10);
constexpr duration end_report_time = seconds(30);

// Seconds within which all daemons have received a report.
constexpr std::size_t report_delay_s = 1;
constexpr std::size_t report_delay_large_group_s = 3;

constexpr duration min_retry_delay = milliseconds(100);
constexpr duration max_retry_delay = milliseconds(4'000);

// Callers that are refused for limits return within this share of the delay after its end.
constexpr double retry_spread = 0.5;

struct live_peer {
  std::uint64_t m_hash = 0; // of its name
  const peer_row* m_row = nullptr;
};

// The registered peers that were heard lately, by zone.
using live_peers = std::map<std::string_view, std::vector<live_peer>>;

live_peers find_live_peers(const dispatch_tables& tables) {
  live_peers live;
  for (const auto& each : tables.m_members) {
    if (const auto peer = tables.m_peers.find(each.m_name);
        peer != tables.m_peers.end() && each.m_name != tables.m_self.m_name) {
      live[each.m_availability_zone].push_back({hash64(each.m_name), &peer->second});
    }
  }
  return live;
}

bool is_limited(const server_row& server) {
  return server.m_listed && server.m_notice != nullptr && server.m_notice->is_limited();
}

double effective_rate(const server_row& server) {
  return std::max(min_rate, *server.m_notice->m_limit.m_requests_per_s);
}

limit_sharers find_sharers(const dispatch_tables& tables, const std::string& service,
                           const live_peers& peers) {
  std::set<std::string, std::less<>> server_zones;
  if (const auto lists = tables.m_lists.find(service); lists != tables.m_lists.end()) {
    for (const server_row* each : lists->second.m_all) {
      if (!server_zones.contains(each->m_entry.m_availability_zone) && is_in_service(tables, *each)) {
        server_zones.insert(each->m_entry.m_availability_zone);
      }
    }
  }
  const auto meter = tables.m_demands.find(service);
  const double own_demand =
      meter == tables.m_demands.end()
          ? 0
          : meter->second.lowest_published(tables.m_frequent_reports ? report_delay_s
                                                                     : report_delay_large_group_s);
  const auto live =
      std::accumulate(peers.begin(), peers.end(), std::size_t(1),
                      [](std::size_t sum, const auto& each) { return sum + each.second.size(); });
  const double live_share =
      static_cast<double>(live) / static_cast<double>(tables.m_other_members.size() + 1);
  limit_sharers sharers({hash64(tables.m_self.m_name), own_demand}, tables.m_self.m_availability_zone,
                        std::move(server_zones), live_share);
  const std::uint32_t hash = service_hash(service);
  for (const auto& [zone, members] : peers) {
    std::vector<sharing_daemon> daemons;
    for (const auto& [name_hash, row] : members) {
      // A peer that has not heard of the limits yet reports no demand.
      const auto reported = std::find_if(row->m_demands.begin(), row->m_demands.end(),
                                         [&](const service_demand& each) { return each.m_service == hash; });
      daemons.push_back(
          {name_hash, reported == row->m_demands.end() ? own_demand : reported->m_requests_per_s});
    }
    sharers.add(std::move(daemons), zone);
  }
  return sharers;
}

void share_limit(dispatch_tables& tables, const server_row& server, limit_sharers& sharers, time_point now) {
  const double rate = effective_rate(server);
  const std::size_t max_daemons = max_sending_daemons(rate, sharers.live_share());
  const auto interval =
      find_sending_interval(server.m_id_hash, rate * sharers.live_share(), max_daemons,
                            sharers.group_for(server.m_entry.m_availability_zone, max_daemons));
  const double phase = std::generate_canonical<double, 16>(tables.m_random);
  tables.m_notices.set_interval(server.m_entry, interval, phase, now);
}

// Returns the row of exactly this process, or null.
server_row* find_process(dispatch_tables& tables, const backend_server& server) {
  const auto servers = tables.m_servers.find(server.m_service);
  if (servers == tables.m_servers.end()) {
    return nullptr;
  }
  const auto row = servers->second.find(server.m_id);
  return row != servers->second.end() && row->second.m_entry.m_started_unix_ms == server.m_started_unix_ms
             ? &row->second
             : nullptr;
}

bool is_valid(std::optional<double> requests_per_s) {
  return !requests_per_s || (std::isfinite(*requests_per_s) && *requests_per_s >= 0);
}

limit_change record_statement(dispatch_tables& tables, const backend_server& server,
                              std::optional<double> requests_per_s, time_point stated,
                              std::optional<time_point> sent_after, time_point now) {
  if (!is_valid(requests_per_s)) {
    return limit_change::none;
  }
  if (requests_per_s) {
    requests_per_s = std::min(*requests_per_s, max_rate);
  }
  const limit_change change = tables.m_notices.record_limit(server, requests_per_s, stated, sent_after);
  if (change == limit_change::none) {
    return change;
  }
  if (server_row* row = find_process(tables, server); row != nullptr) {
    row->m_notice = tables.m_notices.find(row->m_entry);
    if (change == limit_change::stated) {
      auto sharers = tables.m_sharers.find(server.m_service);
      if (sharers == tables.m_sharers.end()) {
        sharers =
            tables.m_sharers
                .emplace(server.m_service, find_sharers(tables, server.m_service, find_live_peers(tables)))
                .first;
      }
      share_limit(tables, *row, sharers->second, now);
    }
  }
  return change;
}

bool is_within(std::optional<time_point> when, duration time, time_point now) {
  return when && now - *when <= time;
}

// Returns what a report of that scope contains about the server, if anything. Statements to peers are not
// passed on to those that hear them: each report adds its delay to the time of the statement.
std::optional<limit_statement> find_statement(const dispatch_tables& tables, const server_row& server,
                                              dispatcher::limit_scope scope, time_point now) {
  const server_limit& limit = server.m_notice->m_limit;
  const bool own = scope != dispatcher::limit_scope::zone;
  const auto stated = own ? limit.m_own_stated : limit.m_stated;
  if (!stated || (!own && server.m_entry.m_availability_zone != tables.m_self.m_availability_zone)) {
    return std::nullopt;
  }
  const auto requests_per_s = own ? limit.m_own_requests_per_s : limit.m_requests_per_s;
  const bool reported = scope == dispatcher::limit_scope::recent
                            ? is_within(limit.m_own_changed, recent_statement_time, now)
                        : requests_per_s ? !own || is_within(stated, statement_time, now)
                                         : is_within(limit.m_changed, end_report_time, now);
  return reported ? std::optional(limit_statement{server.m_id_hash, instance_hash(server.m_entry),
                                                  requests_per_s, std::max(duration::zero(), now - *stated)})
                  : std::nullopt;
}

} // namespace

void update_limits(dispatch_tables& tables, time_point now) {
  tables.m_sharers.clear();
  if (!tables.m_notices.has_limits()) {
    return;
  }
  tables.m_notices.expire_limits(now);
  const auto peers = find_live_peers(tables);
  for (const auto& [service, lists] : tables.m_lists) {
    if (std::none_of(lists.m_all.begin(), lists.m_all.end(),
                     [](const server_row* each) { return is_limited(*each); })) {
      continue;
    }
    auto& sharers = tables.m_sharers.emplace(service, find_sharers(tables, service, peers)).first->second;
    for (const server_row* each : lists.m_all) {
      if (is_limited(*each)) {
        share_limit(tables, *each, sharers, now);
      }
    }
  }
}

std::optional<duration> retry_delay_for_limits(dispatch_tables& tables, std::string_view service,
                                               std::size_t waiting, time_point now) {
  const auto sharers = tables.m_sharers.find(service);
  const auto lists = tables.m_lists.find(service);
  if (sharers == tables.m_sharers.end() || lists == tables.m_lists.end()) {
    return std::nullopt;
  }
  using seconds_f = std::chrono::duration<double>;
  double total_rate = 0; // of all daemons
  double own_rate = 0;
  time_point next = time_point::max(); // of this daemon
  for (const server_row* each : lists->second.m_all) {
    if (!is_in_service(tables, *each)) {
      continue;
    }
    if (!is_limited(*each)) {
      return std::nullopt;
    }
    total_rate += effective_rate(*each) * sharers->second.live_share();
    if (const auto interval = each->m_notice->m_limit.m_interval; interval && interval->count() > 0) {
      own_rate += 1 / seconds_f(*interval).count();
      next = std::min(next, each->m_notice->m_next_request);
    }
  }
  if (total_rate <= 0) {
    return std::nullopt;
  }
  const double delay_s =
      own_rate > 0 ? std::max(seconds_f(next - now).count(), static_cast<double>(waiting + 1) / own_rate)
                   : static_cast<double>(sharers->second.count()) / total_rate;
  const double spread = 1 + retry_spread * std::generate_canonical<double, 16>(tables.m_random);
  const auto bounded = std::min(seconds_f(max_retry_delay).count(), delay_s * spread);
  return std::max<duration>(min_retry_delay, std::chrono::duration_cast<duration>(seconds_f(bounded)));
}

limit_change dispatcher::record_limit(const backend_server& server, std::optional<double> requests_per_s,
                                      time_point sent_after, time_point now) {
  return record_statement(m_impl->m_tables, server, requests_per_s, now, sent_after, now);
}

std::vector<limit_statement> dispatcher::set_peer_limits(std::string_view daemon,
                                                         std::span<const limit_statement> statements,
                                                         std::span<const service_demand> demands,
                                                         time_point received) {
  auto& tables = m_impl->m_tables;
  if (!demands.empty()) {
    peer_row& peer = tables.m_peers[std::string(daemon)];
    peer.m_received = std::max(peer.m_received, received);
    peer.m_demands.clear();
    for (const auto& [service, requests_per_s] : demands) {
      if (is_valid(requests_per_s) && peer.m_demands.size() < tables.m_lists.size()) {
        peer.m_demands.push_back({service, std::min(requests_per_s, max_rate)});
      }
    }
  }
  std::vector<limit_statement> changes;
  for (const auto& each : statements) {
    const auto found = tables.m_servers_by_hash.find(each.m_server);
    if (found == tables.m_servers_by_hash.end() || instance_hash(found->second->m_entry) != each.m_instance) {
      continue;
    }
    const time_point stated = received - std::max(duration::zero(), each.m_age);
    if (record_statement(tables, found->second->m_entry, each.m_requests_per_s, stated, std::nullopt,
                         received) != limit_change::none) {
      changes.push_back(each);
    }
  }
  return changes;
}

std::vector<limit_statement> dispatcher::limit_statements(limit_scope scope, time_point now) const {
  std::vector<limit_statement> statements;
  const auto& tables = m_impl->m_tables;
  if (!tables.m_notices.has_limits()) {
    return statements;
  }
  for (const auto& [service, lists] : tables.m_lists) {
    for (const server_row* each : lists.m_all) {
      if (!each->m_listed || each->m_notice == nullptr) {
        continue;
      }
      if (const auto statement = find_statement(tables, *each, scope, now)) {
        statements.push_back(*statement);
      }
    }
  }
  return statements;
}

std::vector<service_demand> dispatcher::own_demands(time_point /*now*/) const {
  std::vector<service_demand> demands;
  const auto& tables = m_impl->m_tables;
  for (const auto& [service, sharers] : tables.m_sharers) {
    const auto meter = tables.m_demands.find(service);
    demands.push_back(
        {service_hash(service), meter == tables.m_demands.end() ? 0 : meter->second.published()});
  }
  return demands;
}

dispatcher::limit_totals dispatcher::count_limits() const {
  limit_totals totals;
  for (const auto& [service, servers] : m_impl->m_tables.m_servers) {
    for (const auto& [id, server] : servers) {
      if (is_limited(server)) {
        ++totals.m_servers;
        totals.m_requests_per_s += *server.m_notice->m_limit.m_requests_per_s;
      }
    }
  }
  return totals;
}

} // namespace cardamompond::fleet
