#include "limited_placement.hpp"

#include "dispatch_tables.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Step of the threshold with each request, as a share of its value.
constexpr double threshold_step = 0.1;

// Fewer requests count as large than limited servers take. They do not come at even times, and a large
// request that finds no limited server goes to one of the others.
constexpr double large_share_margin = 0.85;

// Intervals for which a limited server must have been unused before it is sent the smallest requests. They
// are better than none.
constexpr double max_unused_intervals = 2;

constexpr double max_log_threshold = 10;

} // namespace

void large_requests::record(double work_s) {
  const double moved = m_log_threshold + threshold_step * ((relative_work(work_s) >= 1 ? 1 : 0) - m_share);
  m_log_threshold = std::clamp(moved, -max_log_threshold, max_log_threshold);
}

double large_requests::relative_work(double work_s) const {
  return m_share >= 1 || work_s <= 0 ? 1 : std::min(1.0, work_s / std::exp(m_log_threshold));
}

double expected_work_s(const dispatch_tables& tables, const submission& request) {
  const auto declared = tables.m_services.find(request.m_service);
  const double tokens_per_event =
      declared == tables.m_services.end() ? 1 : declared->second.m_tokens_per_event;
  const speed_estimate speed = assumed_speed();
  return speed.m_prompt_s_per_token * request.m_prompt_tokens +
         speed.m_event_interval_s * request.m_output_tokens / tokens_per_event;
}

void record_work_demand(dispatch_tables& tables, const submission& request) {
  if (const auto found = tables.m_large_requests.find(request.m_service);
      found != tables.m_large_requests.end()) {
    found->second.record(expected_work_s(tables, request));
  }
}

void update_large_shares(dispatch_tables& tables, time_point now) {
  if (!tables.m_notices.has_limits()) {
    tables.m_large_requests.clear();
    return;
  }
  for (const auto& [service, lists] : tables.m_lists) {
    double own_rate = 0; // of requests of this daemon to limited servers
    bool has_unlimited = false;
    for (const server_row* each : lists.m_all) {
      if (!is_eligible(tables, *each, now)) {
        continue;
      }
      if (each->m_notice == nullptr || !each->m_notice->is_limited()) {
        has_unlimited = true;
      } else if (const auto interval = each->m_notice->m_limit.m_interval;
                 interval && interval->count() > 0) {
        own_rate += 1 / std::chrono::duration<double>(*interval).count();
      }
    }
    const auto demand = tables.m_demands.find(service);
    if (own_rate <= 0 || !has_unlimited || demand == tables.m_demands.end()) {
      tables.m_large_requests.erase(service);
      continue;
    }
    const double share = large_share_margin * own_rate / std::max(own_rate, demand->second.published());
    tables.m_large_requests[service].set_share(std::min(1.0, share));
  }
}

bool is_left_to_larger_requests(const dispatch_tables& tables, const server_row& server,
                                const submission& request, time_point now) {
  if (server.m_notice == nullptr || !server.m_notice->is_limited() || !server.m_notice->m_limit.m_interval) {
    return false;
  }
  const auto large = tables.m_large_requests.find(request.m_service);
  if (large == tables.m_large_requests.end()) {
    return false;
  }
  // The smaller a request is, the longer the server must have been unused.
  const double smaller_by = 1 - large->second.relative_work(expected_work_s(tables, request));
  const auto unused_time = std::chrono::duration_cast<duration>(max_unused_intervals * smaller_by *
                                                                *server.m_notice->m_limit.m_interval);
  return now < server.m_notice->m_next_request + unused_time;
}

} // namespace cardamompond::fleet
