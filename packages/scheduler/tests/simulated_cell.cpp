#include "simulated_cell.hpp"

#include <algorithm>

namespace cardamompond::scheduler {

simulated_cell::simulated_cell(configuration config, oracle& property_oracle)
    : m_config(std::move(config))
    , m_oracle(property_oracle) {
  m_scheduler.apply(m_config, m_now);
  for (const auto& server : m_config.m_backend_servers) {
    m_boot_numbers[server.m_name] = 1;
    report(server.m_name);
  }
}

std::string simulated_cell::server_name(std::uint32_t index) const {
  return m_config.m_backend_servers[index % m_config.m_backend_servers.size()].m_name;
}

void simulated_cell::send(const event& input) {
  m_scheduler.handle(input, m_now);
  m_recent_events.push_back(input);
  if (m_recent_events.size() > 200) {
    m_recent_events.pop_front();
  }
}

void simulated_cell::submit(std::uint32_t account, std::uint64_t content, std::int64_t deadline_ms) {
  tracked_request request;
  const client_account_configuration& owner =
      m_config.m_client_accounts[account % m_config.m_client_accounts.size()];
  request.m_rank = owner.m_tier_rank;
  request.m_request = make_submit(m_next_sequence++, owner.m_name, 0);
  request.m_request.m_arrived = m_now;
  request.m_request.m_deadline = m_now + milliseconds(deadline_ms);
  request.m_request.m_fingerprint = {content, content};
  if (content % 4 == 0) {
    request.m_request.m_prompt_tokens = 4000;
    request.m_request.m_prefix_blocks = {content, content + 1, content + 2, content + 3};
  }
  m_requests[request.m_request.m_key] = request;
  send(request.m_request);
}

void simulated_cell::report(const std::string& server) {
  const auto declared = std::find_if(m_config.m_backend_servers.begin(), m_config.m_backend_servers.end(),
                                     [&](const auto& entry) { return entry.m_name == server; });
  if (m_boot_numbers[server] < 0) {
    m_boot_numbers[server] = -m_boot_numbers[server];
    m_oracle.on_cold_start(server);
  }
  m_failed_polls[server] = 0;
  m_refused_connections.erase(server);
  m_scheduler.handle(load_report_event{server, "b" + std::to_string(m_boot_numbers[server]),
                                       reported_state::warm, 0, 0, declared->m_slots, 0, m_now},
                     m_now);
}

bool simulated_cell::is_in_service(const std::string& server) const {
  const auto leaving = m_leaving.find(server);
  const auto polls = m_failed_polls.find(server);
  return !(leaving != m_leaving.end() && leaving->second) &&
         !(polls != m_failed_polls.end() && polls->second > 1) && !m_refused_connections.contains(server);
}

std::vector<tracked_request*> simulated_cell::requests_in(request_progress progress) {
  std::vector<tracked_request*> found;
  for (auto& [key, request] : m_requests) {
    if (request.m_progress == progress) {
      found.push_back(&request);
    }
  }
  return found;
}

std::size_t simulated_cell::count_outstanding(const std::string& server) const {
  return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [&](const auto& entry) {
    const request_progress progress = entry.second.m_progress;
    return entry.second.m_server == server &&
           (progress == request_progress::granted || progress == request_progress::started);
  }));
}

void simulated_cell::finish(tracked_request& request, outcome result) {
  request.m_progress = request_progress::finished;
  completed_event completed = make_completed(request.m_request.m_key.m_sequence, result);
  if (request.m_version == "v2") {
    completed.m_total_time = m_new_version_total_time;
  }
  send(completed);
  m_oracle.on_finish(request, result);
}

void simulated_cell::start(tracked_request& request) {
  request.m_progress = request_progress::started;
  send(started_event{request.m_request.m_key});
  m_oracle.on_start(request);
  if (m_crashing_content != 0 && request.m_request.m_fingerprint.m_low == m_crashing_content) {
    crash(request.m_server);
  }
}

void simulated_cell::crash(const std::string& server) {
  for (tracked_request* request : requests_in(request_progress::started)) {
    if (request->m_server == server) {
      finish(*request, outcome::connection_broken);
    }
  }
  m_boot_numbers[server] = -(std::abs(m_boot_numbers[server]) + 1);
}

void simulated_cell::apply_decision(const decision& made_decision) {
  const request_key decided_key = std::visit([](const auto& entry) { return entry.m_key; }, made_decision);
  tracked_request& request = m_requests.at(decided_key);
  if (request.m_progress != request_progress::waiting) {
    m_violation = "a decision for a request that is not waiting";
    return;
  }
  std::string violation;
  if (const auto* permit = std::get_if<grant>(&made_decision)) {
    request.m_server = permit->m_backend_server;
    request.m_version = permit->m_version;
    request.m_granted = m_now;
    // The oracle is called before the request counts as outstanding.
    violation = m_oracle.on_grant(*this, request);
    request.m_progress = request_progress::granted;
  } else {
    request.m_progress = request_progress::finished;
    violation = m_oracle.on_refusal(*this, request, std::get<refusal>(made_decision));
  }
  m_violation = violation.empty() ? m_violation : violation;
}

void simulated_cell::tick() {
  for (auto refused = m_refused_connections.begin(); refused != m_refused_connections.end();) {
    refused =
        refused->second + seconds(1) <= m_now ? m_refused_connections.erase(refused) : std::next(refused);
  }
  m_last_decisions = m_scheduler.tick(m_now);
  for (const decision& made_decision : m_last_decisions) {
    apply_decision(made_decision);
  }
  if (const std::string violation = m_oracle.after_tick(*this, m_last_decisions); !violation.empty()) {
    m_violation = violation;
  }
}

void simulated_cell::perform(operation kind, std::uint32_t choice_a, std::uint32_t choice_b,
                             std::uint32_t choice_c) {
  const auto pick = [&](request_progress progress) -> tracked_request* {
    const auto found = requests_in(progress);
    return found.empty() ? nullptr : found[choice_a % found.size()];
  };
  m_now += milliseconds(1);
  switch (kind) {
  case operation::submit:
    submit(choice_a,
           m_crashing_content != 0 && choice_b % 3 == 0 && choice_c % 2 == 0 ? m_crashing_content
           : choice_b % 5 == 0                                               ? 0
                                                                             : 100 + choice_b % 40,
           2'000 + choice_c % 60'000);
    break;
  case operation::advance_clock:
    m_now += milliseconds(choice_a % 1900);
    break;
  case operation::start:
    if (tracked_request* request = pick(request_progress::granted)) {
      start(*request);
    }
    break;
  case operation::finish:
    if (tracked_request* request = pick(request_progress::started)) {
      constexpr outcome results[] = {outcome::succeeded, outcome::succeeded, outcome::succeeded,
                                     outcome::failed, outcome::cancelled};
      finish(*request, results[choice_b % 5]);
    }
    break;
  case operation::decline:
    if (tracked_request* request = pick(request_progress::granted)) {
      const auto reason = static_cast<decline_reason>(choice_b % 3);
      send(declined_event{request->m_request.m_key, reason});
      request->m_progress =
          reason == decline_reason::abandoned ? request_progress::finished : request_progress::waiting;
      if (reason == decline_reason::connect_failed) {
        m_refused_connections[request->m_server] = m_now;
        m_oracle.on_cold_start(request->m_server);
      }
      if (reason != decline_reason::abandoned) {
        send(request->m_request);
      }
    }
    break;
  case operation::cancel:
    if (tracked_request* request = pick(request_progress::waiting)) {
      request->m_progress = request_progress::finished;
      send(cancel_event{request->m_request.m_key});
    }
    break;
  case operation::replay_event: { // sends an earlier submission or completion again
    const event old =
        m_recent_events.empty() ? event(cancel_event{}) : m_recent_events[choice_a % m_recent_events.size()];
    if (const auto* submitted = std::get_if<submit_event>(&old)) {
      m_scheduler.handle(*submitted, m_now);
    } else if (const auto* completed = std::get_if<completed_event>(&old)) {
      m_scheduler.handle(*completed, m_now);
    }
    break;
  }
  case operation::restart_server:
    crash(server_name(choice_a));
    break;
  case operation::toggle_leaving: {
    const std::string server = server_name(choice_a);
    m_leaving[server] = !m_leaving[server];
    m_oracle.on_cold_start(server);
    m_scheduler.handle(host_state_event{server, m_leaving[server]}, m_now);
    break;
  }
  case operation::fail_poll: {
    const std::string server = server_name(choice_a);
    if (++m_failed_polls[server] == 2) {
      m_oracle.on_cold_start(server);
    }
    m_scheduler.handle(unreachable_event{server}, m_now);
    break;
  }
  case operation::run_sequentially: // runs requests one after the other
    for (std::uint32_t i = 0; i < 1 + choice_b % 60; ++i) {
      submit(choice_a, 0, 60'000);
      tick();
      for (tracked_request* request : requests_in(request_progress::granted)) {
        start(*request);
        finish(*request, request->m_version == "v2" ? m_new_version_outcome : outcome::succeeded);
      }
      std::erase_if(m_requests,
                    [](const auto& entry) { return entry.second.m_progress == request_progress::finished; });
    }
    break;
  }
  for (tracked_request* request : requests_in(request_progress::granted)) {
    // Entry daemons return expired permits and submit the request again.
    if (request->m_granted + milliseconds(500) < m_now) {
      send(declined_event{request->m_request.m_key, decline_reason::expired});
      request->m_progress = request_progress::waiting;
      send(request->m_request);
    } else if (m_crashing_content != 0) {
      start(*request);
    }
  }
  if (m_last_reports + seconds(2) <= m_now) {
    m_last_reports = m_now;
    for (const auto& server : m_config.m_backend_servers) {
      report(server.m_name);
    }
  }
  tick();
}

void simulated_cell::run_until_all_decided() {
  for (int i = 0; i < 80 && m_violation.empty(); ++i) {
    perform(operation::advance_clock, 1'000, 0, 0);
  }
  if (!m_violation.empty()) {
    return;
  }
  const scheduler_status status = m_scheduler.status();
  if (!requests_in(request_progress::waiting).empty() || status.m_waiting != 0) {
    m_violation = "a request got no decision before its deadline";
  }
  const std::size_t running =
      requests_in(request_progress::granted).size() + requests_in(request_progress::started).size();
  if (status.m_outstanding != running) {
    m_violation = "the number of occupied slots does not match the number of running requests";
  }
}

} // namespace cardamompond::scheduler
