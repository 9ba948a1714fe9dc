#pragma once

#include "cardamompond/scheduler/scheduler.hpp"

#include <string>
#include <variant>
#include <vector>

namespace cardamompond::scheduler {

inline time_point at(std::int64_t milliseconds_since_start) {
  return time_point(seconds(1'000)) + milliseconds(milliseconds_since_start);
}

inline request_key key(std::uint64_t sequence) {
  return {1, sequence};
}

// Returns a configuration with two tiers, the client accounts "high" (rank 0) and "low" (rank 1), and the
// service "chat" with version "v1". The service has `servers` warm backend servers "s0", "s1" and so on, with
// `slots` slots each.
inline configuration make_configuration(std::uint32_t servers, std::uint32_t slots) {
  configuration config;
  config.m_revision = 1;
  config.m_tiers = {{"gold", 0, 1.0}, {"bulk", 1, 1.0}};
  config.m_client_accounts = {{"high", 0, 1.0, 0}, {"low", 1, 1.0, 0}};
  service_configuration service;
  service.m_name = "chat";
  service.m_active_version = "v1";
  config.m_services.push_back(service);
  config.m_versions = {{"v1", "chat", 1}};
  for (std::uint32_t i = 0; i < servers; ++i) {
    backend_server_configuration server;
    server.m_name = "s" + std::to_string(i);
    server.m_service = "chat";
    server.m_version = "v1";
    server.m_availability_zone = "a";
    server.m_address = "127.0.0.1:" + std::to_string(9000 + i);
    server.m_slots = slots;
    server.m_cold_limit = slots;
    config.m_backend_servers.push_back(server);
  }
  return config;
}

inline submit_event make_submit(std::uint64_t sequence, const std::string& account,
                                std::int64_t deadline_ms) {
  submit_event submitted;
  submitted.m_key = key(sequence);
  submitted.m_service = "chat";
  submitted.m_client_account = account;
  submitted.m_route = "/v1/chat/completions";
  submitted.m_prompt_tokens = 10;
  submitted.m_max_output_tokens = 10;
  submitted.m_arrived = at(0);
  submitted.m_deadline = at(deadline_ms);
  return submitted;
}

inline completed_event make_completed(std::uint64_t sequence, outcome result = outcome::succeeded) {
  completed_event completed;
  completed.m_key = key(sequence);
  completed.m_outcome = result;
  completed.m_prompt_tokens = 10;
  completed.m_output_tokens = 10;
  completed.m_time_to_first_token = milliseconds(50);
  completed.m_total_time = milliseconds(480);
  return completed;
}

inline std::vector<grant> grants_in(const std::vector<decision>& decisions) {
  std::vector<grant> grants;
  for (const decision& entry : decisions) {
    if (const auto* granted = std::get_if<grant>(&entry)) {
      grants.push_back(*granted);
    }
  }
  return grants;
}

inline std::vector<refusal> refusals_in(const std::vector<decision>& decisions) {
  std::vector<refusal> refusals;
  for (const decision& entry : decisions) {
    if (const auto* refused = std::get_if<refusal>(&entry)) {
      refusals.push_back(*refused);
    }
  }
  return refusals;
}

} // namespace cardamompond::scheduler
