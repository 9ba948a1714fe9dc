#include "expected_times.hpp"
#include "placement_rules.hpp"

#include <limits>
#include <utility>

namespace cardamompond::fleet {
namespace {

std::string_view to_string(time_fit fit) {
  constexpr std::string_view names[] = {"none", "late_and_stalling", "late", "stalling", "good"};
  return names[static_cast<std::size_t>(fit)];
}

// Describes the servers of the service for a request that is first in its queue.
std::vector<server_explanation> explain_servers(dispatch_tables& tables, const submission& request,
                                                time_point now) {
  std::vector<server_explanation> servers;
  const auto lists = tables.m_lists.find(request.m_service);
  if (lists == tables.m_lists.end()) {
    return servers;
  }
  const auto declared = tables.m_services.find(request.m_service);
  const double cold_rate = declared == tables.m_services.end() ? 0 : declared->second.m_cold_requests_per_s;
  const request_needs needs = find_needs(tables, request, now);
  spare_capacity spare(tables, request.m_service, now);
  waiting_request waiting;
  waiting.m_request = request;
  const double required_free = required_free_slots(tables, waiting, now);
  for (server_row* each : lists->second.m_all) {
    exclusion reason = find_ineligibility(tables, *each, request, now);
    if (reason == exclusion::none) {
      reason = find_lack_of_capacity(tables, *each, spare,
                                     required_free_for(tables, *each, needs, required_free), cold_rate, now);
    }
    const expected_times times = predict_times(*each, needs);
    servers.push_back(
        {each->m_entry.m_id, each->m_entry.m_availability_zone, each->m_own_running + each->m_peer_running,
         each->m_entry.m_slots, running_limit(tables, *each), times.m_first_s, times.m_end_s, times.m_pause_s,
         each->m_work_time.age(now), to_string(reason), to_string(evaluate_times(times, needs))});
  }
  return servers;
}

} // namespace

placement_explanation explain_placement(const dispatch_tables& tables, submission request, time_point now) {
  // The decision is made on a copy of the whole state, so that the answer is that of the same code and leaves
  // no trace.
  dispatch_tables copy = tables;
  std::optional<rollout_controller> rollouts;
  if (tables.m_rollout_controller != nullptr) {
    rollouts = *tables.m_rollout_controller;
    copy.m_rollout_controller = &*rollouts;
  }
  index_servers(copy);
  update_notices(copy);
  placement_explanation explanation;
  explanation.m_learned_limits = uses_learned_limits(copy, request.m_service);
  explanation.m_servers = explain_servers(copy, request, now);
  request.m_ticket = std::numeric_limits<ticket>::max();
  enqueue(copy, std::move(request), now);
  std::vector<dispatch_decision> decisions;
  process_queues(copy, now, decisions);
  for (const auto& decision : decisions) {
    if (const auto* grant = std::get_if<dispatch_grant>(&decision);
        grant != nullptr && grant->m_ticket == std::numeric_limits<ticket>::max()) {
      explanation.m_decision = expected_decision::granted;
      explanation.m_server = grant->m_server.m_id;
    } else if (const auto* refusal = std::get_if<dispatch_refusal>(&decision);
               refusal != nullptr && refusal->m_ticket == std::numeric_limits<ticket>::max()) {
      explanation.m_decision = expected_decision::refused;
      explanation.m_retry_after = refusal->m_retry_after;
    }
  }
  return explanation;
}

} // namespace cardamompond::fleet
